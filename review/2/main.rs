//! Case 2: a server is told to drain before its engine is up. See `claim.txt`.
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

const STOP_MS: u64 = 3_200;
const GRACE_MS: u64 = 2_500;
/// By this much each time limit is longer on sockets.
const SLACK_MS: u64 = 50;
const REQUEST_INTERVAL_MS: u64 = 15;

/// One start and drain of a server.
struct Round {
    /// The engine comes up this long after the notice to drain; with `TROUBLE=0` it is up before.
    engine_late_ms: u64,
    /// What a run takes.
    run_ms: &'static str,
}

/// In the first round the engine comes up well before the end of the grace, in the second shortly before it.
const ROUNDS: [Round; 2] = [
    Round {
        engine_late_ms: 1_000,
        run_ms: "60",
    },
    Round {
        engine_late_ms: 2_400,
        run_ms: "900",
    },
];

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
    let mut code = RULE_HELD;
    for round in &ROUNDS {
        match run_round(folder, &record, round)? {
            RULE_HELD => {}
            RULE_BROKEN => code = RULE_BROKEN,
            other => return Ok(other),
        }
    }
    Ok(code)
}

fn run_round(folder: &Path, record: &Record, round: &Round) -> io::Result<i32> {
    record.line(format!("round: engine late by {} ms", round.engine_late_ms));
    let temporary = TemporaryFolder::create()?;
    let world = World::default();
    let manner = Manner {
        cores: 6.0,
        piece_pause_ms: 0,
    };
    let (engine, engine_addr) = Engine::start(world.clone(), record.clone(), manner);
    let records = start_records(world.clone(), record.clone(), 15);
    let (control, control_addr) = ControlPlane::start(record.clone());
    let config = Config {
        listen: free_address(),
        engine: engine_addr,
        records,
        control: control_addr,
        stop_ms: STOP_MS,
        drain_grace_ms: GRACE_MS,
        cores: 6,
        overload_factor: 8,
        classes: vec![Class {
            name: "listing-save",
            effect: "repeatable",
            aim_ms: 1_800,
            deadline_ms: 4_500,
            dedup_window_ms: 5_000,
            makes_calls: false,
        }],
    };
    let log = folder.join("server.log");
    let mut server = Server::start(record, &temporary, &log, &config.text())?;
    if !has_trouble() {
        engine.come_up();
    }
    wait_until("the server links to its engine", || engine.has_link())?;
    wait_until("the server reports", || control.reports() > 0)?;
    sleep_ms(500);

    server.signal("TERM")?;
    let notice = Instant::now();
    sleep_ms(round.engine_late_ms);
    if has_trouble() {
        engine.come_up();
    }
    let sent = send_requests(&config.listen, round, notice, &world, record)?;
    let ended = server.wait(Duration::from_millis(STOP_MS));
    record.line(format!("the server's end: {ended:?}"));
    Ok(judge(&world, record, notice, &sent))
}

fn wait_until(what: &str, condition: impl Fn() -> bool) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !condition() {
        if Instant::now() > deadline {
            return Err(io::Error::other(format!("timed out: {what}")));
        }
        sleep_ms(5);
    }
    Ok(())
}

/// Sends requests until the server refuses connections, as a sidecar does that has not yet learned of the drain.
/// Returns the id of each request, and when the sidecar began to write it.
fn send_requests(
    addr: &str,
    round: &Round,
    notice: Instant,
    world: &World,
    record: &Record,
) -> io::Result<Vec<(String, Instant)>> {
    let mut sent = Vec::new();
    let Ok(mut connection) = Connection::open(addr, 1, world, record) else {
        return Err(io::Error::other(
            "the server refused the sidecar's first connection",
        ));
    };
    while notice.elapsed() < Duration::from_millis(STOP_MS) {
        if connection.is_closed() || !connection.is_usable() {
            match Connection::open(addr, 1, world, record) {
                Ok(new) => connection = new,
                Err(error) => {
                    record.line(format!("sidecar: connection refused: {error}"));
                    break;
                }
            }
        }
        let id = format!("{:016x}", sent.len() as u64 + 1);
        let began = Instant::now();
        let request = NewRequest {
            id: &id,
            class: "listing-save",
            key: None,
            body: round.run_ms,
            is_retry: false,
        };
        if connection.send(&request).is_ok() {
            sent.push((id, began));
        }
        sleep_ms(REQUEST_INTERVAL_MS);
    }
    Ok(sent)
}

/// The rule: nothing runs that reached the machine later than the grace, and the slack, after the notice, and all that
/// was read is answered before the process ends.
fn judge(world: &World, record: &Record, notice: Instant, sent: &[(String, Instant)]) -> i32 {
    let requests = world.requests();
    let (mut late, mut late_run, mut latest, mut unanswered) = (0, 0, 0, 0);
    for (id, began) in sent {
        let Some(request) = requests.get(id) else {
            continue;
        };
        let after_ms = (*began - notice).as_millis() as u64;
        let has_run = !request.runs.is_empty();
        let code = request.answers.first().map(|answer| answer.0);
        // What the engine was told to run has been read. A request that never ran on a connection that was closed has
        // failed, and is not lost.
        if has_run && code.is_none() {
            unanswered += 1;
            record.line(format!(
                "judge: {id}, sent {after_ms} ms after the notice, was run and never answered"
            ));
        }
        if after_ms <= GRACE_MS + SLACK_MS {
            continue;
        }
        late += 1;
        if has_run {
            late_run += 1;
            latest = latest.max(after_ms);
            record.line(format!(
                "judge: {id}, sent {after_ms} ms after the notice, was run; answer {code:?}"
            ));
        }
    }
    record.say(format!(
        "requests {}, sent after grace and slack {late}, of those run {late_run}, the latest {latest} ms after the \
         notice; run and never answered {unanswered}",
        sent.len()
    ));
    if late == 0 {
        eprintln!("no request was sent after the grace");
        return COULD_NOT_RUN;
    }
    // Of a thousand requests, three may go without an answer.
    let is_lost = unanswered * 1_000 > 3 * sent.len();
    if late_run > 0 || is_lost {
        RULE_BROKEN
    } else {
        RULE_HELD
    }
}
