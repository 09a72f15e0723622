//! Soaks: servers are drained, killed and started again under clients that use their connections until the kill, and
//! links to the engine break. Each seed is one schedule of each soak. By default a few seeds run; `SOAK_SEEDS=1-50` names
//! others, and `--nocapture` prints each.
mod client;
mod links;
#[path = "../serve/process.rs"]
#[expect(
    dead_code,
    reason = "shared with the tests of `serve`, which use all of it"
)]
mod process;
mod records;
#[path = "../serve/rig.rs"]
#[expect(
    dead_code,
    reason = "shared with the tests of `serve`, which use all of it"
)]
mod rig;

use crate::client::{Client, ClientPlan, Tally};
use crate::rig::*;
use cottondyke_test_support::fake_machine::{FakeMachine, MachineConfig, NoticeStyle, StartKind};
use cottondyke_test_support::fakes::FakeSidecar;
use fastrand::Rng;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The seeds that run by default, and how many run at the same time.
const DEFAULT_SEEDS: (u64, u64) = (1, 12);
const PARALLEL: usize = 4;
/// How often each schedule drains, kills and restarts its server.
const ROUNDS: usize = 2;
/// The kill may come this much after the longest client timeout, counted from the first SIGTERM.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest client timeouts that schedules draw from.
const CLIENT_TIMEOUTS_MS: [u64; 4] = [800, 1_500, 2_200, 3_000];
/// How long a server serves before its first signal, at most.
const MAX_SERVING: Duration = Duration::from_millis(1_500);
/// The mean work of a request.
const MEAN_WORK: Duration = Duration::from_millis(10);
/// The clients of most schedules, and those of one in `CROWD_IN` schedules, with as many idle clients on top.
const CLIENTS: u64 = 6;
const CROWD: u64 = 40;
const CROWD_IN: u64 = 3;
/// Requests per second, of all clients together: the machine completes 200, so some schedules are a flood.
const RATES: [f64; 3] = [60.0, 150.0, 500.0];
/// The signals that come in series, before and after the first SIGTERM.
const SIGNALS_BEFORE: [&str; 2] = ["-HUP", "-HUP"];
const SIGNALS_AFTER: [&str; 3] = ["-TERM", "-HUP", "-INT"];

/// A random duration below `bound`, in whole milliseconds.
fn random_duration(random: &mut Rng, bound: Duration) -> Duration {
    Duration::from_millis(random.u64(0..bound.as_millis() as u64))
}

/// What a seed draws.
struct Schedule {
    random: Rng,
    client_timeout: Duration,
    rate: f64,
    clients: u64,
    idle_clients: u64,
}

impl Schedule {
    fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let is_crowd = random.u64(0..CROWD_IN) == 0;
        let timeout_ms = CLIENT_TIMEOUTS_MS[random.usize(..CLIENT_TIMEOUTS_MS.len())];
        Schedule {
            client_timeout: Duration::from_millis(timeout_ms),
            rate: RATES[random.usize(..RATES.len())],
            clients: if is_crowd { CROWD } else { CLIENTS },
            idle_clients: if is_crowd { CROWD } else { 0 },
            random,
        }
    }
}

fn configure(conf: &mut Value, schedule: &Schedule, machine: &FakeMachine) {
    let timeout = schedule.client_timeout.as_secs_f64() * 1e3;
    conf["engine"] = json!(machine.addr().to_string());
    conf["stop_ms"] = json!((schedule.client_timeout + KILL_DELAY).as_millis() as u64);
    conf["limits"]["sockets"] = json!(256);
    for class in conf["settings"]["classes"].as_array_mut().unwrap() {
        if class["name"] != SHORT_TIMEOUT {
            class["deadline_ms"] = json!(timeout);
            class["aim_ms"] = json!(timeout / 2.0);
        }
    }
}

/// Sends signals in series, the last of them a SIGTERM, and then others until shortly before the kill; returns when the
/// SIGTERM was sent.
fn send_signals(rig: &Rig, random: &mut Rng) -> Instant {
    for signal in &SIGNALS_BEFORE[..random.usize(..=SIGNALS_BEFORE.len())] {
        rig.signal(signal);
        std::thread::sleep(random_duration(random, Duration::from_millis(60)));
    }
    rig.signal("-TERM");
    let terminated_at = Instant::now();
    for signal in &SIGNALS_AFTER[..random.usize(..=SIGNALS_AFTER.len())] {
        std::thread::sleep(random_duration(random, Duration::from_millis(200)));
        rig.try_signal(signal);
    }
    terminated_at
}

/// Plays the schedule of a seed.
fn play(seed: u64) -> Tally {
    let mut schedule = Schedule::draw(seed);
    let machine = FakeMachine::start(MACHINE, StartKind::Warm).unwrap();
    let mut rig = Rig::with(|conf| configure(conf, &schedule, &machine));
    let mut tally = Tally::default();
    for round in 0..ROUNDS {
        let until = Instant::now() + random_duration(&mut schedule.random, MAX_SERVING);
        let plan = ClientPlan {
            addr: rig.addr,
            client_timeout: schedule.client_timeout,
            interval: Duration::from_secs_f64(schedule.clients as f64 / schedule.rate),
            mean_work: MEAN_WORK,
        };
        let idle: Vec<_> = (0..schedule.idle_clients)
            .map(|_| FakeSidecar::connect(rig.addr))
            .collect();
        let first = (round as u64) << 16 | seed << 32;
        let clients: Vec<_> = (0..schedule.clients)
            .map(|number| Client::start(first | number, plan))
            .collect();
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        let terminated_at = send_signals(&rig, &mut schedule.random);
        let kill_at = terminated_at + schedule.client_timeout + KILL_DELAY;
        std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        tally.processes += 1;
        tally.killed += u64::from(rig.kill());
        for client in clients {
            tally.add(client.stop());
        }
        drop(idle);
        machine.restart(StartKind::Warm);
        rig.restart_at_same_address();
    }
    println!(
        "seed {seed}: timeout {:?}, {} requests/s, {} clients: {tally:?}",
        schedule.client_timeout, schedule.rate, schedule.clients
    );
    tally
}

/// Cores that complete 200 requests of `MEAN_WORK` a second.
const MACHINE: MachineConfig = MachineConfig {
    cores: 2.0,
    cold_speed: 1.0,
    warm_after: Duration::from_secs(1),
    configured_cold_speed: 1.0,
    configured_warm_within: Duration::from_secs(1),
    overload_factor: 8.0,
    calls: 0,
    max_call_wait: Duration::MAX,
    notices: NoticeStyle {
        pause: Duration::ZERO,
        repeat_one_in: 0,
    },
};

/// The first and the last seed to run.
fn seeds() -> (u64, u64) {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    (first.parse().unwrap(), last.parse().unwrap())
}

/// Held by the soak that runs: each keeps the cores busy by itself.
static RUNNING: Mutex<()> = Mutex::new(());

/// Plays all seeds, some of them at the same time, and fails if one of them breaks a rule.
fn play_seeds(play: impl Fn(u64) -> Result<(), String> + Sync) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (first, last) = seeds();
    let next = AtomicU64::new(first);
    let failed: Vec<String> = std::thread::scope(|scope| {
        let play_some = || {
            let seeds = std::iter::repeat_with(|| next.fetch_add(1, Ordering::Relaxed));
            let seeds = seeds.take_while(|seed| *seed <= last);
            seeds
                .filter_map(|seed| play(seed).err())
                .collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..PARALLEL).map(|_| scope.spawn(play_some)).collect();
        let results = threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap());
        results.collect()
    });
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards the rules of an answer over drains, kills, restarts, floods and crowds: each request that was sent in time
/// gets one final answer before its deadline, and each process has ended by itself before it may be killed.
#[test]
fn loses_nothing_over_drains_restarts_and_floods() {
    play_seeds(|seed| {
        let tally = play(seed);
        match tally.keeps_rules() {
            true => Ok(()),
            false => Err(format!("seed {seed}: {tally:?}")),
        }
    });
}
