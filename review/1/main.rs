//! Case 1: the engine's link breaks while runs work between two calls. See `claim.txt`.
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::config::{Class, Config};
use stand_ins::engine::{Engine, Manner};
use stand_ins::server::{free_address, Server, TemporaryFolder};
use stand_ins::services::{start_records, ControlPlane};
use stand_ins::sidecar::{Connection, NewRequest};
use stand_ins::*;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long requests are sent.
const LOAD: Duration = Duration::from_secs(80);
/// The mean interval between two requests.
const REQUEST_INTERVAL_MS: u64 = 20;
/// The link breaks once in this time, at a random moment of it.
const BREAK_INTERVAL_MS: u64 = 2_000;
/// What a call takes at the records service.
const CALL_MS: u64 = 15;
/// The pause between the two pieces of a notice; the same without the disruption.
const PIECE_PAUSE_MS: u64 = 20;
/// Of a thousand requests, so many may be lost before the rule is broken.
const TOLERATED_IN_1000: usize = 3;
const CLASSES: [&str; 2] = ["part-lookup", "member-order"];

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let code = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(code);
}

fn run(folder: &Path) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let world = World::default();
    let manner = Manner {
        cores: 6.0,
        piece_pause_ms: PIECE_PAUSE_MS,
    };
    let (engine, engine_addr) = Engine::start(world.clone(), record.clone(), manner);
    engine.come_up();
    let records = start_records(world.clone(), record.clone(), CALL_MS);
    let (control, control_addr) = ControlPlane::start(record.clone());
    let class = |name, effect| Class {
        name,
        effect,
        aim_ms: 1_900,
        deadline_ms: 4_700,
        dedup_window_ms: 22_548,
        makes_calls: true,
    };
    let config = Config {
        listen: free_address(),
        engine: engine_addr,
        records,
        control: control_addr,
        stop_ms: 3_200,
        drain_grace_ms: 2_000,
        cores: 6,
        overload_factor: 8,
        classes: vec![class(CLASSES[0], "repeatable"), class(CLASSES[1], "by_key")],
    };
    let log = folder.join("server.log");
    let mut server = Server::start(&record, &temporary, &log, &config.text())?;
    let deadline = Instant::now() + Duration::from_secs(15);
    while control.reports() == 0 || !engine.has_link() {
        if Instant::now() > deadline {
            return Err(io::Error::other("the server did not become ready"));
        }
        sleep_ms(10);
    }
    if has_trouble() {
        let (engine, mut random) = (engine.clone(), Random(77));
        std::thread::spawn(move || loop {
            let before = random.between(100, BREAK_INTERVAL_MS);
            sleep_ms(before);
            engine.break_link();
            sleep_ms(BREAK_INTERVAL_MS - before);
        });
    }
    send_requests(&config.listen, &world, &record)?;
    sleep_ms(6_000);
    if !server.is_running() {
        record.say("the server ended");
        return Ok(RULE_BROKEN);
    }
    Ok(judge(&world, &record))
}

/// Sends requests over three connections, each with two calls.
fn send_requests(addr: &str, world: &World, record: &Record) -> io::Result<()> {
    let mut connections = Vec::new();
    for number in 1..=3 {
        connections.push(Connection::open(addr, number, world, record)?);
    }
    let mut random = Random(4242);
    let end = Instant::now() + LOAD;
    let mut number = 0u64;
    while Instant::now() < end {
        sleep_ms(random.between(REQUEST_INTERVAL_MS / 2, REQUEST_INTERVAL_MS * 3 / 2));
        number += 1;
        let index = (number % 3) as usize;
        if connections[index].is_closed() {
            connections[index] = Connection::open(addr, index as u64 + 1, world, record)?;
        }
        if !connections[index].is_usable() {
            continue;
        }
        let (id, key) = (
            format!("{:016x}", number),
            format!("{:016x}", number + (1 << 40)),
        );
        let is_order = random.between(0, 2) == 1;
        let durations: Vec<String> = (0..3).map(|_| random.between(20, 50).to_string()).collect();
        let request = NewRequest {
            id: &id,
            class: CLASSES[usize::from(is_order)],
            key: is_order.then_some(key.as_str()),
            body: &durations.join("+"),
            is_retry: false,
        };
        connections[index].send(&request)?;
    }
    Ok(())
}

/// The rule: every reply reaches the engine as the reply to the call that the run waits for.
fn judge(world: &World, record: &Record) -> i32 {
    let requests = world.requests();
    let served = requests
        .values()
        .filter(|r| r.answers.iter().any(|a| a.0 == 1));
    let count = |code: u8| {
        requests
            .values()
            .filter(|r| r.answers.iter().any(|a| a.0 == code))
            .count()
    };
    let mut wrong = 0;
    let mut wrong_served = 0;
    for (id, request) in requests.iter() {
        for (expected, given) in &request.wrong_replies {
            wrong += 1;
            record.line(format!(
                "judge: {id}: the engine was to be fed {expected:?}, was fed {given:?}"
            ));
        }
    }
    for request in served {
        let body = &request.answers[0].1;
        if !request.wrong_replies.is_empty() {
            wrong_served += 1;
            record.line(format!(
                "judge: class {} served with {body:?}",
                request.class
            ));
        }
    }
    let unanswered = requests.values().filter(|r| r.answers.is_empty()).count();
    let twice = requests.values().filter(|r| r.answers.len() > 1).count();
    let reruns = requests
        .values()
        .filter(|r| r.runs.len() > 1 && r.key.is_some())
        .count();
    record.say(format!(
        "requests {}, served {}, refused {}, failed {}, unanswered {unanswered}, answered twice {twice}, \
         keyed run twice {reruns}, replies fed to another call {wrong}, served with such a reply {wrong_served}",
        requests.len(), count(1), count(0), count(9)
    ));
    let is_broken = wrong_served * 1_000 > TOLERATED_IN_1000 * requests.len();
    if is_broken {
        RULE_BROKEN
    } else {
        RULE_HELD
    }
}
