//! The age of requests by their timestamps, while wall clocks are stepped.
use cottondyke::clock::{ClockReading, TimestampClock};
use cottondyke_types::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SECOND: i64 = 1_000;
const HOUR: i64 = 3_600 * SECOND;

/// The wall clock at the start, in milliseconds.
fn start_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as i64
}

/// The computed age of a request that was timestamped `age_ms` ago, ten seconds after the start, where the wall clock
/// of this machine and the clock of the timestamps were stepped by the given numbers of milliseconds.
fn age_after_steps(local_step_ms: i64, timestamp_step_ms: i64, age_ms: i64) -> Time {
    let mut clock = TimestampClock::start();
    let real_ms = start_ms() + 10 * SECOND;
    let reading = ClockReading {
        unix: Duration::from_millis((real_ms + local_step_ms) as u64),
        monotonic: Duration::from_secs(10),
    };
    clock.age_by((real_ms + timestamp_step_ms - age_ms) as u64, reading)
}

/// Guards against a wall clock that is stepped by seconds: every request seemed seconds old, and all were rejected.
#[test]
fn tells_the_age_of_a_request_while_clocks_are_stepped() {
    for step in [0, 5 * SECOND, -5 * SECOND, HOUR, -HOUR] {
        for (local, timestamps) in [(step, 0), (step, step)] {
            let age = age_after_steps(local, timestamps, 40);
            let is_near = (Time(350)..=Time(450)).contains(&age);
            assert!(is_near, "{age:?} where stepped by {local} and {timestamps}");
        }
    }
}

/// Guards against timestamps from a clock that was stepped while this machine's was not: they say nothing about the
/// age, and no request is older than a minute.
#[test]
fn ignores_a_timestamp_from_the_future_or_from_long_ago() {
    for step in [5 * SECOND, HOUR, -HOUR] {
        assert_eq!(age_after_steps(0, step, 40), Time(0), "{step}");
    }
}

/// Guards against drift over days: the age follows a wall clock that is slewed, as time synchronization does.
#[test]
fn follows_a_wall_clock_that_is_slewed() {
    let mut clock = TimestampClock::start();
    let start = start_ms();
    for second in 1..10_000 {
        let unix_ms = start + second * SECOND + second; // too fast by a thousandth
        let reading = ClockReading {
            unix: Duration::from_millis(unix_ms as u64),
            monotonic: Duration::from_secs(second as u64),
        };
        let age = clock.age_by((unix_ms - 40) as u64, reading);
        assert!(
            (Time(380)..=Time(420)).contains(&age),
            "{age:?} at {second}"
        );
    }
}
