//! The advice to callers.
use crate::server_model::*;
use crate::workloads::*;
use cottondyke_admission::*;

#[test]
fn spreads_credit_over_the_callers_seen_when_callers_are_named() {
    // With a thousand callers in its settings, a server advised each to keep a five-hundredth of a request in flight,
    // which callers read as: send nothing. With one, as where callers are counted by connection, the table of callers
    // seen held no more than four.
    for (expected_callers, callers, max, min) in [
        (1000.0, 2, 1.0, 0.5),
        (1000.0, 0, 0.01, 0.0),
        (1.0, 10, 0.2, 0.0),
    ] {
        let mut server = ServerModel::new(Setup {
            advice_format: AdviceFormat::Credit,
            expected_callers,
            ..DEFAULT_SETUP
        });
        run_for_callers(&mut server, callers, callers.max(1), Time(100));
        assert!(
            (min..=max).contains(&server.advice),
            "credit {} for {callers} of {expected_callers}",
            server.advice
        );
    }
}

/// The number of rejections that discourage retries, and of all rejections.
fn count_rejections(server: &ServerModel) -> (usize, usize) {
    let discouraging = server.rejections.iter().filter(|r| r.do_not_retry);
    (discouraging.count(), server.rejections.len())
}

#[test]
fn discourages_retries_when_many_are_rejected_and_none_is_marked_as_a_retry() {
    // Unmarked retries through an overloaded fleet were read by each server on their way, up to ten of them. Where
    // reading is cheap, a retry on another server may still succeed: judged by marked retries alone, every retry was
    // discouraged there.
    for (delay, is_expensive) in [(500, true), (1, false)] {
        let mut server = ServerModel::new(DEFAULT_SETUP);
        server.tick(1.0);
        arrive(&mut server, 40, Time(delay));
        let (discouraging, all) = count_rejections(&server);
        let is_right = if is_expensive {
            discouraging * 2 > all
        } else {
            discouraging == 0
        };
        assert!(
            all > 0 && is_right,
            "{discouraging} of {all}, delay {delay}"
        );
    }
    // On sockets the first requests arrive before any delay is known, and count as not having waited. The server
    // learned from them that reading takes no time, which lasted for some 600 requests, and a burst within these
    // discouraged no retry.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    server.tick(1.0);
    arrive(&mut server, 3, Time(0));
    arrive(&mut server, 40, Time(500));
    let (discouraging, all) = count_rejections(&server);
    assert!(
        all > 0 && discouraging * 2 > all,
        "{discouraging} of {all} after requests without a known delay"
    );
    // At low load every rejection discouraged retries: one among four arrivals is more than a fifth of them.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    server.tick(1.0);
    for _ in 0..12 {
        arrive(&mut server, 1, Time(0));
        server.advance(Time(4000));
    }
    let first = server.rejections.first().expect("at least one rejection");
    assert!(!first.do_not_retry, "{:?}", server.rejections);
}

#[test]
fn sets_the_idle_timeout_by_the_gaps_seen_when_callers_are_many() {
    // A thousand callers that each sent rarely filled the connection table with idle connections, which took a third
    // of the cores and got callers rejected. Closing all connections at once harmed front tiers whose callers return
    // soon. Few callers all stay connected, as do callers that do not identify themselves: nothing is known of them.
    for (expected_callers, callers, min, max) in [
        (1000.0, 1000, 0, 1000),
        (1000.0, 4, 5000, MAX_IDLE.0),
        (4.0, 4, MAX_IDLE.0, MAX_IDLE.0),
        (1000.0, 0, MAX_IDLE.0, MAX_IDLE.0),
    ] {
        let mut server = ServerModel::new(Setup {
            expected_callers,
            ..DEFAULT_SETUP
        });
        run_for_callers(&mut server, callers, 120, Time(1500));
        assert!(
            (min..=max).contains(&server.idle_timeout.0),
            "{callers} of {expected_callers} callers: {:?}",
            server.idle_timeout
        );
    }
}
