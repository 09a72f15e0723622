//! Workloads that several tests share.
use crate::server_model::*;
use cottondyke_admission::*;

/// A call from its start to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallSpan {
    pub(crate) began_at: Time,
    pub(crate) ended_at: Time,
}

/// Lets `count` requests for the idempotent handler arrive, each after waiting `queueing_delay` to be read.
pub(crate) fn arrive(server: &mut ServerModel, count: usize, queueing_delay: Time) {
    for _ in 0..count {
        server.arrive(0, queueing_delay, CLIENT_TIMEOUT, None);
    }
}

/// Ticks `count` times, each `interval` after the one before.
pub(crate) fn tick_repeatedly(
    server: &mut ServerModel,
    count: usize,
    interval: Time,
    cpu_utilization: f64,
) {
    for _ in 0..count {
        server.now += interval;
        server.tick(cpu_utilization);
    }
}

/// Runs one request for each of `handlers` for `ticks` ticks, while the cores are used to `cpu_utilization`.
pub(crate) fn run_all(
    server: &mut ServerModel,
    handlers: &[usize],
    ticks: usize,
    interval: Time,
    cpu_utilization: f64,
) {
    let arrive = |h: &usize| server.arrive(*h, Time(0), CLIENT_TIMEOUT, None);
    let ids: Vec<RequestId> = handlers.iter().map(arrive).collect();
    tick_repeatedly(server, ticks, interval, cpu_utilization);
    for id in ids {
        server.end_run(id, RunOutcome::Completed);
    }
}

/// Runs `count` requests one after the other, of `callers` callers in turn; callers are unknown if that is 0.
pub(crate) fn run_for_callers(server: &mut ServerModel, callers: u64, count: u64, run_time: Time) {
    for turn in 0..count {
        server.caller = (callers > 0).then(|| CallerId(turn % callers));
        run_all(server, &[0], 1, run_time, 0.5);
    }
}

/// Makes calls one after the other for `duration`, each as long as `call_time` or its timeout, whichever is shorter.
pub(crate) fn make_sequential_calls(
    server: &mut ServerModel,
    call_time: Time,
    duration: Time,
) -> Vec<CallSpan> {
    let end = server.now + duration;
    let mut spans = Vec::new();
    while server.now < end {
        if server.count(State::AwaitingCall) == 0 {
            arrive(server, 1, Time(0));
            server.all_want_calls();
        }
        let began_at = server.now;
        let Some(id) = server.in_state(State::Calling).first().copied() else {
            server.advance(call_time.min(Time(100)));
            continue;
        };
        let timeout = *server.call_timeouts.last().unwrap();
        server.advance(call_time.min(timeout));
        let is_in_time = call_time < timeout;
        server.end_call(
            id,
            if is_in_time {
                CallOutcome::Completed
            } else {
                CallOutcome::Indeterminate
            },
        );
        for id in server.in_state(State::Running) {
            server.end_run(id, RunOutcome::Completed);
        }
        let ended_at = server.now;
        spans.push(CallSpan { began_at, ended_at });
    }
    spans
}
