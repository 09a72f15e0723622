//! Seeded random runs that check four invariants after every step: no request is lost, no effect happens twice, the
//! server is not overloaded, and it drains cleanly.
use crate::server_model::*;
use cottondyke_admission::*;
use quickcheck::{Gen, QuickCheck};

/// The kind of a step, and two numbers that parametrize it.
type Step = (u8, u16, u16);

pub(crate) fn setup(choice: u16) -> Setup {
    let cancellations = [
        Cancellation::Drop,
        Cancellation::Never,
        Cancellation::Suspend,
    ];
    let advice_formats = [
        AdviceFormat::Share,
        AdviceFormat::Credit,
        AdviceFormat::Rank,
        AdviceFormat::Unused,
    ];
    let index = choice as usize;
    Setup {
        cancellation: cancellations[index % 3],
        tells_client_time_left: choice & 4 != 0,
        is_cold: choice & 8 != 0,
        advice_format: advice_formats[index / 16 % 4],
        call_share: (choice & 64 != 0).then_some([0.8, 2.5][index / 512 % 2]),
        skip_value: if choice & 128 != 0 { 0.5 } else { 0.0 },
        memory_limit_kb: if choice & 256 != 0 { 600.0 } else { 1e6 },
        expected_callers: [0.0, 4.0, 5000.0][index / 1024 % 3],
        overload_window: Time(if choice & 0x8000 != 0 { 30_000 } else { 0 }),
        has_cost_hints: choice & 0x8000 != 0,
    }
}

pub(crate) fn step(server: &mut ServerModel, (kind, a, b): Step) {
    let pick = |ids: Vec<RequestId>| ids.get(a as usize % ids.len().max(1)).copied();
    let running = || pick(server.in_state(State::Running)).filter(|_| !server.cores_frozen);
    match kind % 16 {
        0..=6 => arrive(server, a, b),
        7 | 8 => {
            if let Some(id) = running() {
                let has_failed = b % 8 == 0;
                server.end_run(
                    id,
                    if has_failed {
                        RunOutcome::Failed
                    } else {
                        RunOutcome::Completed
                    },
                );
            }
        }
        9 => {
            if let Some(id) = running() {
                server.want_call(id);
            }
        }
        10 => {
            if let Some(id) = pick(server.in_state(State::Calling)) {
                server.end_call(id, call_outcome(b));
            }
        }
        11 => {
            let unanswered = server.requests.iter().filter(|(_, r)| !r.answered);
            if let Some(id) = pick(unanswered.map(|(id, _)| *id).collect()) {
                server.request_abandoned(id);
            }
        }
        12 if b % 64 == 0 && server.draining.is_none() => server.drain(Time(20_000)),
        13 if b % 8 == 0 => server.cores_frozen = !server.cores_frozen,
        _ => advance_while_up(server, Time(b as i64 % 3000)),
    }
}

fn arrive(server: &mut ServerModel, a: u16, b: u16) {
    let queueing_delay = Time((b % 4000) as i64);
    let client_time_left = Time((a % 30_000) as i64 + 100);
    let idempotency_key = Some((b % 7) as u32);
    server.arrive(
        a as usize,
        queueing_delay,
        client_time_left,
        idempotency_key,
    );
}

fn call_outcome(b: u16) -> CallOutcome {
    let outcomes = [
        CallOutcome::Completed,
        CallOutcome::NotExecuted,
        CallOutcome::Indeterminate,
        CallOutcome::Failed,
    ];
    outcomes[b as usize % outcomes.len()]
}

fn advance_while_up(server: &mut ServerModel, duration: Time) {
    let end = server.now + duration;
    if server.draining.is_none_or(|(_, stop)| end < stop) {
        server.advance(duration);
    }
}

fn upholds_invariants(choice: u16, steps: Vec<Step>) -> bool {
    let mut server = ServerModel::new(setup(choice));
    for random_step in steps {
        step(&mut server, random_step);
    }
    // Requests that are still unanswered are answered in time.
    let draining = server.draining;
    let rest = draining.map_or(Time(40_000), |(_, stop)| stop - server.now - Time(1));
    server.advance(rest.max(Time(0)));
    // The number of rules that fire is bounded: each firing moves one request to its next phase.
    server.max_rules_fired <= 2 * server.requests.len() + 2
}

#[test]
fn upholds_the_invariants_when_steps_are_random() {
    let rng = Gen::from_size_and_seed(160, 1);
    QuickCheck::new()
        .rng(rng)
        .tests(1000)
        .quickcheck(upholds_invariants as fn(u16, Vec<Step>) -> bool);
}
