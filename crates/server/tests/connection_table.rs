//! Which connections are evicted, and when.
use cottondyke::connection::table::ConnectionTable;
use cottondyke::event::{ConnectionId, Outgoing};
use cottondyke::protocol::sidecar::{Response, StreamId};
use cottondyke::resource_limits::ConnectionCount;
use cottondyke_types::Time;

fn count(open: usize, target: usize) -> ConnectionCount {
    ConnectionCount { open, target }
}

/// Guards sidecars against connections that send nothing: of those that must go they are first, the young ones not.
#[test]
fn evicts_silent_connections_first() {
    let mut connections = ConnectionTable::default();
    let conns: Vec<_> = (0..5).map(|_| async_channel::bounded(4)).collect();
    for (n, at) in [(0, 0), (1, 10), (2, 20), (3, 5_000), (4, 5_000)] {
        connections.opened(Time(at), ConnectionId(n), conns[n as usize].0.clone());
    }
    connections.record_request(Time(10), ConnectionId(0));
    connections.send(Time(10), ConnectionId(0), &Response::Failed(StreamId(1)));
    // What each connection was handed since the last look: replies, and whether it is to close.
    let handed = || -> Vec<(usize, bool)> {
        let of = |outgoing: &async_channel::Receiver<Outgoing>| {
            let all: Vec<_> = std::iter::from_fn(|| outgoing.try_recv().ok()).collect();
            let closes = all
                .iter()
                .filter(|p| matches!(p, Outgoing::Close { .. }))
                .count();
            (all.len() - closes, closes > 0)
        };
        conns.iter().map(|(_, outgoing)| of(outgoing)).collect()
    };
    connections.evict_excess(Time(5_500), count(5, 3));
    assert_eq!(
        handed(),
        [(1, false), (1, true), (1, true), (0, false), (0, false)]
    );
    // Closing ones count as going already; the idle one is told, and closed after what may cross.
    connections.evict_excess(Time(5_500), count(5, 3));
    assert_eq!(handed(), [(0, false); 5]);
    (1..=2).for_each(|n| connections.closed(ConnectionId(n)));
    connections.evict_excess(Time(5_600), count(3, 2));
    assert_eq!((connections.count(), handed()[0]), (3, (1, false)));
    connections.evict_excess(Time(7_000), count(3, 2));
    assert_eq!(
        handed(),
        [(0, true), (0, false), (0, false), (0, false), (0, false)]
    );
}
