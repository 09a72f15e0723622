//! Plain cases: boundary values, and one small case for each failure found.
use crate::world::*;
use cottondyke_admission::*;

fn arrive(world: &mut World, count: usize, lay: Time) {
    for _ in 0..count {
        world.arrive(0, lay, TIMEOUT, None);
    }
}

fn looks(world: &mut World, count: usize, step: Time, busy: f64) {
    for _ in 0..count {
        world.now += step;
        world.wake(busy);
    }
}

/// Runs that take so many looks, with so little of the cores.
fn runs(world: &mut World, handlers: &[usize], count: usize, step: Time, busy: f64) {
    let ids: Vec<_> = handlers
        .iter()
        .map(|h| world.arrive(*h, Time(0), TIMEOUT, None))
        .collect();
    looks(world, count, step, busy);
    ids.into_iter()
        .for_each(|id| world.end(id, RunOutcome::Completed));
}

/// Reqs of so many callers in turn; of none that says who it is where `named` is 0.
fn in_turn(world: &mut World, named: u64, count: u64, time: Time) {
    for turn in 0..count {
        world.caller = (named > 0).then(|| CallerId(turn % named));
        runs(world, &[0], 1, time, 0.5);
    }
}

/// Calls one after the other, each as long as `time` or as it may: when they began and ended.
fn calls_in_a_row(world: &mut World, time: Time, span: Time) -> Vec<(Time, Time)> {
    let (end, mut spans) = (world.now + span, Vec::new());
    while world.now < end {
        if world.count(State::Wanting) == 0 {
            arrive(world, 1, Time(0));
            world
                .ids(State::OnCore)
                .into_iter()
                .for_each(|id| world.want_call(id));
        }
        let (began, call) = (world.now, world.ids(State::Calling).first().copied());
        let cap = call.map_or(Time(100), |_| *world.caps.last().unwrap());
        world.pass(time.min(cap));
        if let Some(id) = call {
            world.end_call(
                id,
                if time < cap {
                    CallOutcome::Completed
                } else {
                    CallOutcome::Indeterminate
                },
            );
            world
                .ids(State::OnCore)
                .into_iter()
                .for_each(|id| world.end(id, RunOutcome::Completed));
            spans.push((began, world.now));
        }
    }
    spans
}

#[test]
fn threshold_slides_from_the_upper_bound_to_the_floor() {
    let (floor, upper) = (Time(1000), Time(9000));
    for loss in [0.0, 0.05] {
        assert_eq!(termination_threshold(floor, upper, loss), upper);
    }
    for loss in [0.15, 0.5, 2.0] {
        assert_eq!(termination_threshold(floor, upper, loss), floor);
    }
    assert_eq!(termination_threshold(floor, upper, 0.10), Time(1500));
}

#[test]
fn a_req_already_due_is_answered_at_once() {
    let mut world = World::new(PLAIN);
    let first = world.arrive(1, Time(0), TIMEOUT, Some(1));
    let repeat = world.arrive(1, TIMEOUT, TIMEOUT, Some(1));
    assert!(!world.reqs[&first].answered);
    assert!(world.reqs[&repeat].answered);
}

#[test]
fn a_repeat_joins_and_runs_only_once() {
    let mut world = World::new(PLAIN);
    world.arrive(1, Time(0), TIMEOUT, Some(1));
    let repeat = world.arrive(1, Time(0), TIMEOUT, Some(1));
    assert_eq!(world.reqs[&repeat].state, State::Joined);
}

#[test]
fn nothing_that_came_past_the_grace_runs() {
    let mut world = World::new(PLAIN);
    world.leave(Time(20_000));
    world.pass(GRACE + Time(100));
    let late = world.arrive(0, Time(0), TIMEOUT, None);
    assert!(world.reqs[&late].answered && !world.reqs[&late].ran);
    assert_eq!(world.advice, 0.0);
}

#[test]
fn while_reqs_lie_unread_fewer_run() {
    // A slowed server that went on running read reqs when nobody waited any more.
    for (lay, running) in [(0, CORES), (6500, 1)] {
        let mut world = World::new(PLAIN);
        arrive(&mut world, 4, Time(lay));
        assert_eq!(world.count(State::OnCore), running, "lay {lay}");
    }
}

#[test]
fn a_held_req_that_cannot_be_won_is_shed_while_the_pool_is_shrunk() {
    // With few runs on the cores the intake check once held a server that only read for idle.
    let mut world = World::new(PLAIN);
    arrive(&mut world, 3, Time(6500));
    world.frozen = true;
    world.pass(Time(2000));
    assert!(!world.shed.is_empty());
}

#[test]
fn calls_in_hand_stay_under_the_told_share() {
    // A mean over the told time let twice the share out for moments, and the dependency fell over.
    let mut world = World::new(Set {
        share: Some(3.0),
        ..PLAIN
    });
    for _ in 0..6 {
        world.arrive(0, Time(0), TIMEOUT, None);
        world
            .ids(State::OnCore)
            .into_iter()
            .for_each(|id| world.want_call(id));
    }
    assert_eq!(world.count(State::Calling), 2);
    assert!(world.count(State::Wanting) > 0);
}

#[test]
fn calls_keep_within_a_share_under_one_and_leave_what_they_crowd_time() {
    // The mean in hand was looked at as a call began; calls that then hung took it to three times the share,
    // and only that callers obeyed and calls were cut early kept what all share from falling.
    let (share, linger) = (0.4, Time(2000));
    let mut world = World::new(Set {
        share: Some(share),
        ..PLAIN
    });
    let spans = calls_in_a_row(&mut world, TIMEOUT, TARGET.scaled(12.0));
    let held = |from: Time| {
        let part = |(began, ended): &(Time, Time)| {
            (*ended + linger).min(from + TARGET) - (*began).max(from)
        };
        spans.iter().map(|s| part(s).as_f64().max(0.0)).sum::<f64>()
    };
    let most = spans
        .iter()
        .map(|(began, _)| held(*began))
        .fold(0.0, f64::max);
    assert!(
        spans.len() > 3 && most <= share * TARGET.as_f64(),
        "{most} in hand over the window: {spans:?}"
    );
    // Three hundred servers with one call each were ten times what the shared database had slots for; its
    // calls took forty times their time and ten in eleven were given up, long after the trouble had ended.
    let mut world = World::new(Set {
        share: Some(0.8),
        ..PLAIN
    });
    calls_in_a_row(&mut world, Time(100), TARGET.scaled(3.0));
    let slow = calls_in_a_row(&mut world, Time(2500), TARGET.scaled(6.0));
    let late = &slow[slow.len() / 2..];
    let part = late.iter().map(|(b, e)| (*e - *b).as_f64()).sum::<f64>()
        / (world.now - late[0].0).as_f64();
    assert!(
        (0.1..0.35).contains(&part),
        "{part} of the time with a call in hand: {slow:?}"
    );
    // While calls queued nothing started, not even what never calls.
    world
        .ids(State::Wanting)
        .into_iter()
        .for_each(|id| world.gone(id));
    for _ in 0..4 {
        arrive(&mut world, 1, Time(0));
        world
            .ids(State::OnCore)
            .into_iter()
            .for_each(|id| world.want_call(id));
    }
    let ids = [0, 2].map(|kind| world.arrive(kind, Time(0), TIMEOUT, None));
    assert_eq!(
        ids.map(|id| world.reqs[&id].state == State::OnCore),
        [false, true]
    );
}

#[test]
fn a_call_is_given_up_early_where_another_may_end_well() {
    // Machines that were cut off, and single calls that were never answered, took the whole time that a req had
    // left. Where many calls to what all share fail, the next would lie there beside those given up.
    for (share, failed, early) in [
        (None, 4, true),
        (Some(30.0), 0, true),
        (Some(30.0), 4, false),
    ] {
        let mut world = World::new(Set { share, ..PLAIN });
        for n in 0..failed + 2 {
            let id = world.arrive(0, Time(0), TIMEOUT, None);
            world.want_call(id);
            world.pass(Time(200));
            world.end_call(
                id,
                if n > 0 && n <= failed {
                    CallOutcome::Indeterminate
                } else {
                    CallOutcome::Completed
                },
            );
            world.end(id, RunOutcome::Completed);
            world.pass(Time(3_000));
        }
        assert_eq!(
            *world.caps.last().unwrap() < world.caps[0].scaled(0.5),
            early,
            "{:?}",
            world.caps
        );
    }
}

#[test]
fn a_call_that_may_have_run_is_not_made_again_for_a_uniqued_req() {
    let mut world = World::new(PLAIN);
    let id = world.arrive(1, Time(0), TIMEOUT, Some(1));
    world.want_call(id);
    world.end_call(id, CallOutcome::Indeterminate);
    assert!(world.reqs[&id].answered && world.caps.len() == 1);
}

#[test]
fn a_call_that_ended_without_a_reply_is_made_again_at_once_where_that_is_safe() {
    // Its reply was spoilt on the way: nothing lies below, so its place there is free, shared or not.
    for (kind, calls) in [(0, 2), (1, 1)] {
        let mut world = World::new(Set {
            share: Some(6.0),
            ..PLAIN
        });
        let id = world.arrive(kind, Time(0), TIMEOUT, None);
        world.want_call(id);
        world.end_call(id, CallOutcome::Failed);
        assert_eq!(
            (world.caps.len(), world.reqs[&id].answered),
            (calls, kind == 1)
        );
    }
}

#[test]
fn a_server_whose_work_hung_takes_reqs_again() {
    let mut world = World::new(PLAIN);
    arrive(&mut world, 3, Time(0));
    world.frozen = true;
    world.pass(TIMEOUT);
    assert!(world.reqs.values().all(|n| n.answered));
    world.frozen = false;
    world.pass(Time(5000));
    let id = world.arrive(0, Time(0), TIMEOUT, None);
    assert_eq!(world.reqs[&id].state, State::OnCore);
}

#[test]
fn a_frozen_server_asks_again_for_its_stops() {
    // A stop while the cores are frozen has no effect; the run would hold its core for ever.
    let mut world = World::new(PLAIN);
    let id = world.arrive(0, Time(0), TIMEOUT, None);
    world.frozen = true;
    world.pass(TIMEOUT);
    assert_eq!(world.reqs[&id].state, State::OnCore);
    world.frozen = false;
    world.pass(TARGET);
    assert_eq!(world.reqs[&id].state, State::Over);
}

#[test]
fn nothing_starts_while_refused_calls_queue() {
    // A front tier grown past its lower tier ran reqs up to calls that were refused, and failed them.
    let mut world = World::new(PLAIN);
    for _ in 0..20 {
        let id = world.arrive(0, Time(0), TIMEOUT, None);
        world.want_call(id);
        while !world.reqs[&id].answered {
            world.pass(Time(10));
            world
                .ids(State::Calling)
                .into_iter()
                .for_each(|id| world.end_call(id, CallOutcome::NotExecuted));
        }
    }
    for _ in 0..3 {
        let id = world.arrive(0, Time(0), TIMEOUT, None);
        world.want_call(id);
    }
    let before = world.reqs.values().filter(|n| n.ran).count();
    arrive(&mut world, 5, Time(0));
    assert!(world.count(State::Wanting) > 1);
    assert_eq!(world.reqs.values().filter(|n| n.ran).count(), before);
}

#[test]
fn a_call_that_cannot_be_made_again_is_not_given_up_early_while_calls_end_well() {
    // On a quiet day one answer in eight went out without its call.
    let mut world = World::new(Set {
        share: Some(3.0),
        skip: 0.5,
        ..PLAIN
    });
    for _ in 0..3 {
        let id = world.arrive(2, Time(0), TIMEOUT, None);
        world.want_call(id);
        world.pass(Time(100));
        world.end_call(id, CallOutcome::Completed);
        world.end(id, RunOutcome::Completed);
    }
    assert!(
        world.caps.iter().all(|cap| *cap >= TARGET.scaled(0.5)),
        "{:?}",
        world.caps
    );
}

#[test]
fn a_customer_whose_share_is_filled_gives_way() {
    // One customer sent three times its share, and as many of the others' reqs were shed as of its excess.
    let mut world = World::new(Set {
        told: true,
        ..PLAIN
    });
    for n in 0..33 {
        world.customer = Some(usize::from(n % 11 == 0));
        let id = world.arrive(0, Time(0), TIMEOUT, None);
        world.pass(Time(400));
        world.end(id, RunOutcome::Completed);
    }
    world.customer = Some(0);
    arrive(&mut world, 12, Time(0));
    world.customer = Some(1);
    let other = world.arrive(0, Time(0), TIMEOUT, None);
    assert_eq!(world.reqs[&other].state, State::Held);
    let first = world.ids(State::OnCore)[0];
    world.end(first, RunOutcome::Completed);
    assert_eq!(world.reqs[&other].state, State::OnCore);
}

#[test]
fn a_call_that_can_be_skipped_leaves_time_for_the_rest_of_its_req() {
    // A slow call was given up at the response target, and the answer without it came late.
    for (skip, leaves) in [(0.5, true), (0.0, false)] {
        let mut world = World::new(Set {
            share: Some(3.0),
            skip,
            ..PLAIN
        });
        let id = world.arrive(0, Time(0), TIMEOUT, None);
        world.want_call(id);
        assert_eq!(world.caps[0] < TARGET, leaves, "{:?}", world.caps);
    }
}

#[test]
fn a_run_that_can_be_done_in_time_is_not_stopped_under_loss() {
    // While much was refused, four of five stopped runs were stopped before their response target.
    let mut world = World::new(PLAIN);
    for _ in 0..20 {
        let id = world.arrive(0, Time(0), TIMEOUT, None);
        world.pass(Time(500));
        world.end(id, RunOutcome::Completed);
    }
    let id = world.arrive(0, Time(0), TIMEOUT, None);
    for _ in 0..60 {
        world.arrive(0, Time(9000), TIMEOUT, None);
        world.pass(Time(150));
    }
    assert!(world.shed.len() > 20);
    assert_eq!(world.reqs[&id].state, State::OnCore);
    world.pass(TARGET.scaled(0.5));
    assert!(world.reqs[&id].answered);
}

#[test]
fn a_req_that_can_skip_its_call_does_not_wait_long_for_it() {
    // With a slow dependency each waited up to a quarter of its time and then came late without the call.
    let mut world = World::new(Set {
        share: Some(3.0),
        skip: 0.5,
        ..PLAIN
    });
    for _ in 0..3 {
        let id = world.arrive(0, Time(0), TIMEOUT, None);
        world.want_call(id);
    }
    assert_eq!(world.count(State::Wanting), 1);
    world.pass(TARGET.scaled(0.08));
    assert_eq!(
        (world.count(State::Wanting), world.count(State::OnCore)),
        (0, 1)
    );
}

#[test]
fn settings_of_any_scale_are_taken() {
    // None told, one of each, and far more than any fleet: every req is answered and every figure finite.
    let one = [handler(Idempotency::Idempotent, 0.5)];
    let (none, late) = (Time(0), Time(0) + TIMEOUT);
    for scale in [0.0, 1.0, 1e9] {
        for reading in [
            AdviceFormat::Share,
            AdviceFormat::Credit,
            AdviceFormat::Rank,
            AdviceFormat::Unused,
        ] {
            let span = Time(scale as i64);
            let config = AdmissionConfig {
                resolution: Time(1),
                handlers: one.to_vec(),
                quotas: vec![scale, scale],
                fleet_size: scale,
                goal: GoalWeights {
                    total: 0.0,
                    worst_handler: scale,
                    worst_tenant: scale,
                    over_quota: 0.1,
                    by_work: true,
                },
                concurrency: ConcurrencyConfig {
                    cores: scale.min(1e3) as usize,
                    overload_factor: scale,
                    start_capacity: scale.min(1.0),
                    warm_within: span,
                },
                cancellation: Cancellation::Drop,
                loss_window: span,
                memory: MemoryLimits {
                    limit: scale,
                    running_factor: scale,
                    per_key: scale,
                },
                calls: CallConfig {
                    share: Some(scale),
                    window: span,
                    abandoned_linger: span,
                },
                drain_grace: span,
                callers: CallerConfig {
                    expected: scale,
                    max_idle: span,
                    advice_format: reading,
                    advice_lifetime: span,
                    max_retry_after: span,
                },
                seed: u64::MAX,
            };
            let mut controller = AdmissionController::new(none, &config);
            let mut all = vec![controller.tick(none, LoadSample::default())];
            for id in 0..40 {
                let (id, customer) = (RequestId(id), Some(TenantId(id as usize % 3)));
                let (hint, retry, repeats) = (Some(span), id.0 % 2 == 0, None);
                let (handler, kb, lay, wait) = (HandlerId(0), scale, span, Some(span));
                let new = Arrival {
                    id,
                    handler,
                    tenant: customer,
                    caller: None,
                    cost_hint: hint,
                    is_retry: retry,
                    duplicate_of: repeats,
                    memory_kb: kb,
                    queueing_delay: lay,
                    observed_delay: lay,
                    client_wait: wait,
                };
                all.push(controller.arrival(Time(id.0 as i64 * 5), new));
                all.push(controller.call_wanted(Time(id.0 as i64 * 5), id));
            }
            for at in [late, late + span, late + span + TIMEOUT] {
                all.push(controller.tick(
                    at,
                    LoadSample {
                        cpu_utilization: Some(scale),
                        runnable_tasks: None,
                    },
                ));
            }
            let answers = all
                .iter()
                .map(|r| r.reject.len() + r.fail.len())
                .sum::<usize>();
            assert_eq!(answers, 40, "scale {scale}, {reading:?}");
            assert!(all
                .iter()
                .filter_map(|r| r.advice)
                .all(|level| level.is_finite() && level >= 0.0));
        }
    }
}

#[test]
fn the_pool_grows_where_runs_wait_on_disk_and_not_at_a_late_gauge() {
    // The gauge looks back, so a rush on idle cores grew the pool past the runs that slow each other.
    for (count, more) in [(6, false), (40, true)] {
        let mut world = World::new(PLAIN);
        arrive(&mut world, 6, Time(0));
        looks(&mut world, count, TARGET.scaled(0.06), 0.5);
        assert_eq!(
            world.count(State::OnCore) > CORES,
            more,
            "after {count} looks"
        );
    }
}

#[test]
fn runs_at_the_disk_leave_room_past_the_ceiling_for_what_can_be_stopped() {
    // No more ran than may be on the cores at once: with long waits on the disk fast cores stood half idle.
    let ceiling = (CORES as f64 * FACTOR * 0.85) as usize;
    for (handler, seen, past) in [
        (0, Some(1.0), true),
        (0, None, false),
        (2, Some(1.0), false),
    ] {
        let mut world = World::new(PLAIN);
        world.seen = seen;
        for _ in 0..10 {
            (0..3).for_each(|_| _ = world.arrive(handler, Time(0), TIMEOUT, None));
            looks(&mut world, 1, TARGET.scaled(0.06), 0.1);
        }
        let running = world.count(State::OnCore);
        assert_eq!(
            running > ceiling,
            past,
            "{running} of handler {handler}, seen {seen:?}"
        );
        assert!(
            running >= ceiling,
            "{running} of handler {handler}, seen {seen:?}"
        );
        // All come back to the cores: at the next look those past the ceiling are stopped.
        world.seen = seen.map(|_| running as f64);
        looks(&mut world, 1, TARGET.scaled(0.06), 1.0);
        assert_eq!(
            world.count(State::OnCore),
            ceiling,
            "handler {handler}, seen {seen:?}"
        );
    }
}

#[test]
fn runs_at_the_disk_leave_room_for_newcomers() {
    // A run whose cores stood idle was taken for work: two waits on the disk turned all newcomers away.
    let mut world = World::new(PLAIN);
    (0..8).for_each(|_| runs(&mut world, &[0, 0], 12, Time(500), 0.1));
    assert!(world.shed.is_empty(), "{:?}", world.shed);
    arrive(&mut world, 2, Time(0));
    looks(&mut world, 4, Time(500), 0.1);
    arrive(&mut world, 1, Time(0));
    assert!(
        world.shed.is_empty(),
        "a newcomer beside two runs at the disk was shed: {:?}",
        world.shed
    );
    // They passed for use of the cores: one handler, its runs once slow, was turned away for good.
    let mut world = World::new(PLAIN);
    (0..8).for_each(|_| runs(&mut world, &[0; 4], 17, Time(500), 0.2));
    world.shed.clear();
    (0..8).for_each(|_| runs(&mut world, &[0, 0, 2], 30, Time(500), 0.2));
    assert!(
        world.shed.is_empty(),
        "shed beside two runs at the disk: {:?}",
        world.shed
    );
}

#[test]
fn credit_is_spread_over_the_callers_that_send_here() {
    // Told a thousand callers at start, a node said a five-hundredth of a req each, which reads as: stay away;
    // told one, as on sockets, the table of callers heard held no more than four.
    for (told, named, most, least) in [
        (1000.0, 2, 1.0, 0.5),
        (1000.0, 0, 0.01, 0.0),
        (1.0, 10, 0.2, 0.0),
    ] {
        let mut world = World::new(Set {
            reading: AdviceFormat::Credit,
            callers: told,
            ..PLAIN
        });
        in_turn(&mut world, named, named.max(1), Time(100));
        assert!(
            (least..=most).contains(&world.advice),
            "credit {} for {named} of {told}",
            world.advice
        );
    }
}

#[test]
fn sheds_ask_for_no_further_try_once_many_are_shed_though_no_retry_is_marked() {
    // Unmarked walks through a full fleet paid the reading of each server on their way, up to ten of them.
    // Where reading is cheap a try elsewhere may still win: marked retries alone ended every walk there.
    for (lay, dear) in [(500, true), (1, false)] {
        let mut world = World::new(PLAIN);
        world.wake(1.0);
        arrive(&mut world, 40, Time(lay));
        let (last, all) = (
            world.shed.iter().filter(|s| s.do_not_retry).count(),
            world.shed.len(),
        );
        assert!(
            all > 0 && if dear { last * 2 > all } else { last == 0 },
            "{last} of {all}, lay {lay}"
        );
    }
    // On sockets the first reqs come where nothing is proven yet, and count as not unread: that taught that reading
    // takes no time, for some 600 reqs, and a rush that came before ended no walk.
    let mut world = World::new(PLAIN);
    world.wake(1.0);
    arrive(&mut world, 3, Time(0));
    arrive(&mut world, 40, Time(500));
    let (last, all) = (
        world.shed.iter().filter(|s| s.do_not_retry).count(),
        world.shed.len(),
    );
    assert!(
        all > 0 && last * 2 > all,
        "{last} of {all} after reqs that taught nothing"
    );
    // On a quiet day every shed asked for no further try: one shed among four arrivals passed a fifth of them.
    let mut world = World::new(PLAIN);
    world.wake(1.0);
    for _ in 0..12 {
        arrive(&mut world, 1, Time(0));
        world.pass(Time(4000));
    }
    assert!(
        !world.shed.first().expect("no shed at all").do_not_retry,
        "{:?}",
        world.shed
    );
}

#[test]
fn a_req_that_cannot_be_won_is_shed_at_once_with_a_time_to_come_back() {
    // Held toward its client timeout, a lost req kept its caller from asking elsewhere and named no time; a
    // server that refused quickly and named no time drew the traffic of callers that pick the least busy.
    for reading in [
        AdviceFormat::Share,
        AdviceFormat::Credit,
        AdviceFormat::Rank,
        AdviceFormat::Unused,
    ] {
        let mut world = World::new(Set { reading, ..PLAIN });
        world.wake(1.0);
        arrive(&mut world, 40, Time(500));
        let held = world.count(State::Held);
        assert!(
            world.shed.len() + held + world.count(State::OnCore) == 40 && held < 10,
            "{held} held"
        );
        assert!(
            world.shed.iter().all(|s| s.retry_after > Time(0)),
            "{reading:?}: {:?}",
            world.shed
        );
    }
}

#[test]
fn connections_stay_as_long_as_pays_by_the_gaps_seen() {
    // A thousand callers that each came seldom filled the table with idle connections, which took a third of
    // the cores and turned callers away; closing them all at once cost fronts whose callers come back soon.
    // Few callers all stay, and those that do not say who they are: nothing is known of them.
    for (told, named, least, most) in [
        (1000.0, 1000, 0, 1000),
        (1000.0, 4, 5000, IDLE.0),
        (4.0, 4, IDLE.0, IDLE.0),
        (1000.0, 0, IDLE.0, IDLE.0),
    ] {
        let mut world = World::new(Set {
            callers: told,
            ..PLAIN
        });
        in_turn(&mut world, named, 120, Time(1500));
        assert!(
            (least..=most).contains(&world.trim.0),
            "{named} of {told} callers: {:?}",
            world.trim
        );
    }
}
