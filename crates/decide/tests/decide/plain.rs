//! Plain cases: boundary values, and one small case for each failure found.
use crate::world::*;
use cottondyke_decide::decide::threshold;
use cottondyke_decide::types::*;

#[test]
fn threshold_slides_from_the_upper_bound_to_the_floor() {
    let (floor, upper) = (Time(1000), Time(9000));
    for loss in [0.0, 0.05] {
        assert_eq!(threshold(floor, upper, loss), upper);
    }
    for loss in [0.15, 0.5, 2.0] {
        assert_eq!(threshold(floor, upper, loss), floor);
    }
    assert_eq!(threshold(floor, upper, 0.10), Time(1500));
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
