//! Calls to a dependency.
use crate::server_model::*;
use crate::workloads::*;
use cottondyke_admission::*;

#[test]
fn keeps_calls_in_flight_under_the_share_when_many_want_calls() {
    // A limit on the mean over the window allowed twice the share for short times, and the dependency failed.
    let mut server = ServerModel::new(Setup {
        call_share: Some(3.0),
        ..DEFAULT_SETUP
    });
    for _ in 0..6 {
        server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.all_want_calls();
    }
    assert_eq!(server.count(State::Calling), 2);
    assert!(server.count(State::AwaitingCall) > 0);
}

#[test]
fn counts_a_call_whose_connection_broke_for_as_long_as_it_may_go_on() {
    // A broken connection was taken for the end of its call, which was repeated at once: the dependency held both
    // calls, and nineteen times its share when a network broke all connections.
    let mut server = ServerModel::new(Setup {
        call_share: Some(3.0),
        ..DEFAULT_SETUP
    });
    let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    server.want_call(id);
    // There is room for one call beside it, but not for a third.
    server.end_call(id, CallOutcome::Interrupted);
    assert_eq!(server.count(State::Calling), 1);
    server.end_call(id, CallOutcome::Interrupted);
    assert_eq!(server.count(State::Calling), 0);
    server.advance(Time(3_000));
    assert_eq!(server.count(State::Calling), 1, "its slot is free again");
}

#[test]
fn keeps_calls_within_a_share_below_one_when_they_hang() {
    // The mean in flight was checked only when a call began, and calls that then hung raised it to three times the
    // share. The shared dependency survived only because callers followed the advice and calls were abandoned early.
    let (share, linger) = (0.4, Time(2000));
    let mut server = ServerModel::new(Setup {
        call_share: Some(share),
        ..DEFAULT_SETUP
    });
    let spans = make_sequential_calls(&mut server, CLIENT_TIMEOUT, RESPONSE_TARGET.scaled(12.0));
    let call_time = |window_start: Time| {
        let window_end = window_start + RESPONSE_TARGET;
        let inside = |span: &CallSpan| {
            (span.ended_at + linger).min(window_end) - span.began_at.max(window_start)
        };
        let times = spans.iter().map(|span| inside(span).as_f64().max(0.0));
        times.sum::<f64>()
    };
    let windows = spans.iter().map(|span| call_time(span.began_at));
    let max = windows.fold(0.0, f64::max);
    assert!(
        spans.len() > 3 && max <= share * RESPONSE_TARGET.as_f64(),
        "{max} in flight over the window: {spans:?}"
    );
}

/// A server with a share of 0.8 whose latest calls took 25 times their usual time, and these slow calls.
fn server_with_slow_calls() -> (ServerModel, Vec<CallSpan>) {
    let mut server = ServerModel::new(Setup {
        call_share: Some(0.8),
        ..DEFAULT_SETUP
    });
    make_sequential_calls(&mut server, Time(100), RESPONSE_TARGET.scaled(3.0));
    let slow = make_sequential_calls(&mut server, Time(2500), RESPONSE_TARGET.scaled(6.0));
    (server, slow)
}

#[test]
fn calls_less_often_when_a_shared_dependency_is_slow() {
    // Three hundred servers with one call each made ten times as many calls as the shared database had slots. Its calls
    // took forty times their usual time and ten in eleven were abandoned, long after the fault had ended.
    let (server, slow) = server_with_slow_calls();
    let last = &slow[slow.len() / 2..];
    let times = last.iter().map(|s| (s.ended_at - s.began_at).as_f64());
    let elapsed = (server.now - last[0].began_at).as_f64();
    let fraction = times.sum::<f64>() / elapsed;
    assert!(
        (0.1..0.35).contains(&fraction),
        "{fraction} of the time with a call in flight: {slow:?}"
    );
}

#[test]
fn starts_requests_that_make_no_calls_while_calls_are_queued() {
    // While calls were queued nothing was started, not even requests that make no calls.
    let (mut server, _) = server_with_slow_calls();
    for id in server.in_state(State::AwaitingCall) {
        server.request_abandoned(id);
    }
    for _ in 0..4 {
        arrive(&mut server, 1, Time(0));
        server.all_want_calls();
    }
    let ids = [0, 2].map(|handler| server.arrive(handler, Time(0), CLIENT_TIMEOUT, None));
    let is_running = ids.map(|id| server.requests[&id].state == State::Running);
    assert_eq!(is_running, [false, true]);
}

#[test]
fn abandons_a_call_early_when_another_attempt_may_succeed() {
    // Calls to machines that were cut off, and single calls that were never answered, took all the time that a request
    // had left. Where many calls to a shared dependency fail, the next attempt would run beside the abandoned ones.
    for (share, failed, early) in [
        (None, 4, true),
        (Some(30.0), 0, true),
        (Some(30.0), 4, false),
    ] {
        let mut server = ServerModel::new(Setup {
            call_share: share,
            ..DEFAULT_SETUP
        });
        for n in 0..failed + 2 {
            let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
            server.want_call(id);
            server.advance(Time(200));
            let is_lost = n > 0 && n <= failed;
            server.end_call(
                id,
                if is_lost {
                    CallOutcome::Indeterminate
                } else {
                    CallOutcome::Completed
                },
            );
            server.end_run(id, RunOutcome::Completed);
            server.advance(Time(3_000));
        }
        assert_eq!(
            *server.call_timeouts.last().unwrap() < server.call_timeouts[0].scaled(0.5),
            early,
            "{:?}",
            server.call_timeouts
        );
    }
}

#[test]
fn does_not_repeat_an_indeterminate_call_when_the_request_is_keyed() {
    let mut server = ServerModel::new(DEFAULT_SETUP);
    let id = server.arrive(1, Time(0), CLIENT_TIMEOUT, Some(1));
    server.want_call(id);
    server.end_call(id, CallOutcome::Indeterminate);
    assert!(server.requests[&id].answered && server.call_timeouts.len() == 1);
}

#[test]
fn repeats_a_failed_call_at_once_when_the_request_is_idempotent() {
    // Its reply was damaged in transit: nothing runs at the dependency any more, so its slot is free, shared or not.
    for (handler, calls) in [(0, 2), (1, 1)] {
        let mut server = ServerModel::new(Setup {
            call_share: Some(6.0),
            ..DEFAULT_SETUP
        });
        let id = server.arrive(handler, Time(0), CLIENT_TIMEOUT, None);
        server.want_call(id);
        server.end_call(id, CallOutcome::Failed);
        assert_eq!(
            (server.call_timeouts.len(), server.requests[&id].answered),
            (calls, handler == 1)
        );
    }
}

#[test]
fn starts_nothing_while_refused_calls_are_queued() {
    // A front tier with more capacity than the tier behind it ran requests up to calls that were refused, and then
    // failed the requests.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    for _ in 0..20 {
        let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.want_call(id);
        while !server.requests[&id].answered {
            server.advance(Time(10));
            for id in server.in_state(State::Calling) {
                server.end_call(id, CallOutcome::NotExecuted);
            }
        }
    }
    for _ in 0..3 {
        let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.want_call(id);
    }
    let started = |server: &ServerModel| {
        let requests = server.requests.values();
        requests.filter(|r| r.was_started).count()
    };
    let before = started(&server);
    arrive(&mut server, 5, Time(0));
    assert!(server.count(State::AwaitingCall) > 1);
    assert_eq!(started(&server), before);
}

#[test]
fn waits_for_an_unrepeatable_call_while_calls_succeed() {
    // At low load one response in eight was sent without its call.
    let mut server = ServerModel::new(Setup {
        call_share: Some(3.0),
        skip_value: 0.5,
        ..DEFAULT_SETUP
    });
    for _ in 0..3 {
        let id = server.arrive(2, Time(0), CLIENT_TIMEOUT, None);
        server.want_call(id);
        server.advance(Time(100));
        server.end_call(id, CallOutcome::Completed);
        server.end_run(id, RunOutcome::Completed);
    }
    let timeouts = &server.call_timeouts;
    let min = RESPONSE_TARGET.scaled(0.5);
    assert!(timeouts.iter().all(|t| *t >= min), "{timeouts:?}");
}

#[test]
fn leaves_time_for_the_rest_of_the_run_when_a_call_can_be_skipped() {
    // A slow call was abandoned only at the response target, so the response without it was late.
    for (skip_value, leaves_time) in [(0.5, true), (0.0, false)] {
        let mut server = ServerModel::new(Setup {
            call_share: Some(3.0),
            skip_value,
            ..DEFAULT_SETUP
        });
        let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.want_call(id);
        let timeout = server.call_timeouts[0];
        assert_eq!(timeout < RESPONSE_TARGET, leaves_time, "{timeout:?}");
    }
}

#[test]
fn skips_a_call_when_it_has_waited_long_for_it() {
    // With a slow dependency each request waited for up to a quarter of its time to call, and was then late without
    // the call.
    let mut server = ServerModel::new(Setup {
        call_share: Some(3.0),
        skip_value: 0.5,
        ..DEFAULT_SETUP
    });
    for _ in 0..3 {
        let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.want_call(id);
    }
    assert_eq!(server.count(State::AwaitingCall), 1);
    server.advance(RESPONSE_TARGET.scaled(0.08));
    assert_eq!(
        (
            server.count(State::AwaitingCall),
            server.count(State::Running)
        ),
        (0, 1)
    );
}

/// A run whose call result was lost waited for it until its deadline.
#[test]
fn skips_the_call_or_runs_again_when_the_result_may_have_been_lost() {
    for (skip_value, cancellation, is_cancelled) in [
        (0.5, Cancellation::Drop, false),
        (0.0, Cancellation::Drop, true),
        (0.0, Cancellation::Suspend, false),
        (0.0, Cancellation::Never, false),
    ] {
        for handler in 0..2 {
            let mut server = ServerModel::new(Setup {
                skip_value,
                cancellation,
                ..DEFAULT_SETUP
            });
            let id = server.arrive(handler, Time(0), CLIENT_TIMEOUT, Some(1));
            server.want_call(id);
            server.lose_call_result(id);
            let is_idempotent = server.requests[&id].idempotency == Idempotency::Idempotent;
            let last = server.actions.iter().rev().take(2);
            let started_again = last.flat_map(|actions| &actions.start).count() == 1;
            assert_eq!(started_again, is_cancelled && is_idempotent, "run again");
            let skipped = server.actions.iter().flat_map(|a| &a.skip_call).count();
            assert_eq!(skipped, usize::from(skip_value > 0.0), "skipped");
            assert_eq!(server.requests[&id].state, State::Running);
            server.end_run(id, RunOutcome::Completed);
            assert!(server.requests[&id].answered);
        }
    }
}

/// A request whose run was cancelled has run: it must not be rejected, which promises the opposite.
#[test]
fn fails_a_request_that_is_queued_again_and_cannot_start() {
    let mut server = ServerModel::new(DEFAULT_SETUP);
    let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    server.want_call(id);
    arrive(&mut server, 60, Time(0));
    server.lose_call_result(id);
    server.cores_frozen = true;
    server.advance(CLIENT_TIMEOUT);
    assert!(server.requests[&id].answered);
    assert!(server.rejections.iter().all(|rejection| rejection.id != id));
}
