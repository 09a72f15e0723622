//! The age of requests by their stamps, while wall clocks are stepped.
use cottondyke::clock::{ClockReading, StampClock};
use cottondyke_types::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SECOND: i64 = 1_000;
const HOUR: i64 = 3_600 * SECOND;

/// The wall clock at the start, in milliseconds.
fn start_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as i64
}

/// The age of a request that was stamped `age_ms` ago, ten seconds after the start, where the wall clock here and the one
/// of the stamps were stepped by so many milliseconds.
fn age_after_steps(here_ms: i64, stamps_ms: i64, age_ms: i64) -> Time {
    let mut clock = StampClock::start();
    let real_ms = start_ms() + 10 * SECOND;
    let reading = ClockReading {
        unix: Duration::from_millis((real_ms + here_ms) as u64),
        monotonic: Duration::from_secs(10),
    };
    clock.age((real_ms + stamps_ms - age_ms) as u64, reading)
}

/// Guards deadlines: a step by seconds made every request seconds old, and all were turned away.
#[test]
fn tells_the_age_of_a_request_while_clocks_are_stepped() {
    for step in [0, 5 * SECOND, -5 * SECOND, HOUR, -HOUR] {
        for (here, stamps) in [(step, 0), (step, step)] {
            let age = age_after_steps(here, stamps, 40);
            let is_near = (Time(350)..=Time(450)).contains(&age);
            assert!(is_near, "{age:?} where stepped by {here} and {stamps}");
        }
    }
}

/// Guards it where only the stamps come from a clock that was stepped: such a stamp says nothing, and no request is older
/// than a minute.
#[test]
fn takes_a_stamp_from_the_future_or_from_long_ago_for_none() {
    for stamps in [5 * SECOND, HOUR, -HOUR] {
        assert_eq!(age_after_steps(0, stamps, 40), Time(0), "{stamps}");
    }
}

/// Guards it over days: a wall clock that is slewed, as time services do, is followed.
#[test]
fn follows_a_wall_clock_that_is_slewed() {
    let mut clock = StampClock::start();
    let start = start_ms();
    for second in 1..10_000 {
        let unix_ms = start + second * SECOND + second; // a thousandth fast
        let reading = ClockReading {
            unix: Duration::from_millis(unix_ms as u64),
            monotonic: Duration::from_secs(second as u64),
        };
        let age = clock.age((unix_ms - 40) as u64, reading);
        assert!(
            (Time(380)..=Time(420)).contains(&age),
            "{age:?} at {second}"
        );
    }
}
