//! Schedules in which the link to the engine breaks, or the engine moves, while runs make calls.
use crate::client::{Client, ClientPlan, Tally};
use crate::records::FakeRecords;
use crate::rig::*;
use crate::{play_seeds, random_duration, KILL_DELAY, MACHINE, MEAN_WORK};
use cottondyke_test_support::fake_machine::{
    CallResults, FakeMachine, MachineConfig, NoticeStyle, StartKind,
};
use fastrand::Rng;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Commands that were sent this long before a break may be lost with it.
const MAX_LOSS: Duration = Duration::from_millis(50);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long links break before the drain, in which they go on breaking.
const SERVING: Duration = Duration::from_secs(4);
/// The longest times between two breaks that schedules draw from.
const MAX_INTERVALS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(250),
    Duration::from_millis(1_000),
];
/// Pauses inside notices that schedules draw from.
const PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(2),
    Duration::from_millis(20),
];
/// The shares of their value that responses without a call keep, from which schedules draw.
const SKIP_VALUES: [f64; 2] = [0.0, 0.5];
const CLIENTS: u64 = 6;
/// Requests per second, of all clients together.
const RATE: f64 = 80.0;
const CALLS: u32 = 2;
/// The longest time that a call takes.
const MAX_CALL_TIME: Duration = Duration::from_millis(20);
const HANDLERS: usize = 4;

/// What a seed draws.
struct Schedule {
    random: Rng,
    max_interval: Duration,
    skip_value: f64,
    notices: NoticeStyle,
}

impl Schedule {
    fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        Schedule {
            max_interval: MAX_INTERVALS[random.usize(..MAX_INTERVALS.len())],
            skip_value: SKIP_VALUES[random.usize(..SKIP_VALUES.len())],
            notices: NoticeStyle {
                pause: PAUSES[random.usize(..PAUSES.len())],
                repeat_one_in: random.usize(..4),
            },
            random,
        }
    }

    fn machine(&self) -> MachineConfig {
        MachineConfig {
            calls: CALLS,
            max_call_wait: CLIENT_TIMEOUT,
            notices: self.notices,
            ..MACHINE
        }
    }

    fn configure(&self, conf: &mut Value, machine: &FakeMachine) {
        conf["engine"] = json!(machine.addr().to_string());
        conf["stop_ms"] = json!((CLIENT_TIMEOUT + KILL_DELAY).as_millis() as u64);
        let settings = &mut conf["settings"];
        for class in settings["classes"].as_array_mut().unwrap() {
            if class["name"] != SHORT_TIMEOUT {
                class["deadline_ms"] = json!(CLIENT_TIMEOUT.as_millis() as f64);
            }
        }
        let info = &mut settings["family_info"];
        info["class_calls"] = json!(vec![true; HANDLERS]);
        info["class_skip_worth"] = json!(vec![self.skip_value; HANDLERS]);
        info["dep_share"] = json!(24.0);
    }

    /// Breaks links and moves the engine until `end`.
    fn disturb(&mut self, rig: &mut Rig, machine: &FakeMachine, end: Instant) -> u64 {
        let mut disturbances = 0;
        while Instant::now() < end {
            std::thread::sleep(random_duration(&mut self.random, self.max_interval));
            disturbances += 1;
            match self.random.u64(0..5) {
                0 | 1 => machine.break_link(),
                2 | 3 => {
                    machine.break_link_losing(random_duration(&mut self.random, MAX_LOSS));
                }
                _ => {
                    let addr = machine.listen_again().unwrap();
                    rig.conf["engine"] = json!(addr.to_string());
                    let conf = rig.conf.to_string();
                    rig.replace_config(&conf);
                    rig.try_signal("-HUP");
                }
            }
        }
        disturbances
    }
}

/// Plays the schedule of a seed; returns what broke a rule.
fn play(seed: u64) -> Result<(), String> {
    let mut schedule = Schedule::draw(seed);
    let machine = FakeMachine::start(schedule.machine(), StartKind::Warm).unwrap();
    let mut rig = Rig::with(|conf| schedule.configure(conf, &machine));
    let records = FakeRecords::start(rig.records.try_clone().unwrap(), seed, MAX_CALL_TIME);
    let plan = ClientPlan {
        addr: rig.addr,
        client_timeout: CLIENT_TIMEOUT,
        interval: Duration::from_secs_f64(CLIENTS as f64 / RATE),
        mean_work: MEAN_WORK,
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| Client::start(seed << 32 | number, plan))
        .collect();
    let mut disturbances = schedule.disturb(&mut rig, &machine, Instant::now() + SERVING);
    rig.signal("-TERM");
    let kill_at = Instant::now() + CLIENT_TIMEOUT + KILL_DELAY;
    disturbances += schedule.disturb(&mut rig, &machine, kill_at);
    let mut tally = Tally {
        processes: 1,
        killed: u64::from(rig.kill()),
        ..Tally::default()
    };
    for client in clients {
        tally.add(client.stop());
    }
    drop(records);
    let results = machine.call_results();
    println!(
        "seed {seed}: {disturbances} breaks and moves within {:?} of each other, skip value {}, {:?}: {results:?}, {tally:?}",
        schedule.max_interval, schedule.skip_value, schedule.notices
    );
    judge(&tally, results).map_err(|fault| format!("seed {seed}: {fault}: {results:?}, {tally:?}"))
}

fn judge(tally: &Tally, results: CallResults) -> Result<(), &'static str> {
    if results.wrong > 0 {
        return Err("a run was given the result of another call");
    }
    if results.right == 0 || tally.completed == 0 {
        return Err("nothing was completed");
    }
    match tally.keeps_rules() {
        true => Ok(()),
        false => Err("a rule of an answer was broken"),
    }
}

/// Guards against a call's result that reaches the run as that of its next call, and against lost, late and repeated
/// responses, while links break with the last commands lost or kept, notices come in pieces and twice, and the engine moves.
#[test]
fn gives_each_call_its_own_result_while_links_break_and_the_engine_moves() {
    play_seeds(play);
}
