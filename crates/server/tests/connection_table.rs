//! Tests of which connections are evicted, and when.
use cottondyke::connection::table::ConnectionTable;
use cottondyke::event::{ConnectionHandle, ConnectionId, Outgoing};
use cottondyke::memory_plan::MemoryPlan;
use cottondyke::protocol::sidecar::{Response, StreamId};
use cottondyke::resource_limits::{ConnectionCount, ResourceLimits};
use cottondyke_types::Time;

fn count(open: usize, target: usize) -> ConnectionCount {
    ConnectionCount { open, target }
}

/// Guards active sidecars against connections that send nothing: those are evicted first, except for ones that were
/// opened only just now.
#[test]
fn evicts_silent_connections_first() {
    let mut connections = ConnectionTable::default();
    let limits = ResourceLimits::new(MemoryPlan::unlimited(8));
    let channels: Vec<_> = (0..5).map(|_| async_channel::bounded(4)).collect();
    for (n, at) in [(0, 0), (1, 10), (2, 20), (3, 5_000), (4, 5_000)] {
        let handle = ConnectionHandle {
            outgoing: channels[n as usize].0.clone(),
            account: limits.open_account(),
        };
        connections.insert(Time(at), ConnectionId(n), handle);
    }
    connections.record_request(Time(10), ConnectionId(0));
    connections.send(Time(10), ConnectionId(0), &Response::Failed(StreamId(1)));
    // What was sent to each connection's writer since the last call: the number of responses, and whether to close.
    let sent = || -> Vec<(usize, bool)> {
        let summarize = |outgoing: &async_channel::Receiver<Outgoing>| {
            let all: Vec<_> = std::iter::from_fn(|| outgoing.try_recv().ok()).collect();
            let closes = all
                .iter()
                .filter(|message| matches!(message, Outgoing::Close { .. }))
                .count();
            (all.len() - closes, closes > 0)
        };
        channels
            .iter()
            .map(|(_, outgoing)| summarize(outgoing))
            .collect()
    };
    connections.evict_excess(Time(5_500), count(5, 3));
    assert_eq!(
        sent(),
        [(1, false), (1, true), (1, true), (0, false), (0, false)]
    );
    // Closing connections count as evicted already. The idle one is sent go-away, and closed after the delay for
    // requests in transit.
    connections.evict_excess(Time(5_500), count(5, 3));
    assert_eq!(sent(), [(0, false); 5]);
    (1..=2).for_each(|n| connections.remove(ConnectionId(n)));
    connections.evict_excess(Time(5_600), count(3, 2));
    assert_eq!((connections.count(), sent()[0]), (3, (1, false)));
    connections.evict_excess(Time(7_000), count(3, 2));
    assert_eq!(
        sent(),
        [(0, true), (0, false), (0, false), (0, false), (0, false)]
    );
}

/// Guards sidecars in use against a crowd of new clients: the connection of a client that the engine knows is not evicted
/// for them, unless it has been idle for long.
#[test]
fn does_not_evict_active_known_clients() {
    let mut connections = ConnectionTable::default();
    let limits = ResourceLimits::new(MemoryPlan::unlimited(8));
    let channels: Vec<_> = (0..3).map(|_| async_channel::bounded(4)).collect();
    for (n, at) in [(0, 0), (1, 9_000), (2, 10_000)] {
        let handle = ConnectionHandle {
            outgoing: channels[n as usize].0.clone(),
            account: limits.open_account(),
        };
        connections.insert(Time(at), ConnectionId(n), handle);
        connections.record_event(Time(at), ConnectionId(n));
    }
    connections.mark_verified(ConnectionId(0));
    connections.mark_verified(ConnectionId(1));
    let sent = || -> Vec<_> { channels.iter().map(|(_, queue)| queue.len()).collect() };
    connections.evict_excess(Time(10_010), count(3, 2));
    assert_eq!(sent(), [1, 0, 0], "the known one that is idle for a second");
    connections.evict_excess(Time(10_010), count(3, 0));
    assert_eq!(sent(), [1, 0, 1], "the unknown one, but not the active one");
}
