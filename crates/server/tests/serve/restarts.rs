//! Processes that restart all at once, and a process whose descriptors are taken by clients that rest.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Processes that restart at once.
const PROCESSES: usize = 10;
/// Nine in ten are ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// The engine's side until its end, for the link of the process that was killed and for the new one: a hello after
/// `late` each, and answers to all questions.
fn engine(listener: TcpListener, late: Duration) {
    while let Ok(mut link) = FakeEngine::accept(&listener) {
        std::thread::sleep(late);
        let _ = link
            .command()
            .and_then(|_| link.send_line("HELLO running 5.0"));
        while link.receive_command().is_ok() {}
    }
}

/// When the first report that it is ready arrives, after `lost` that are reset or never answered.
fn reported(listener: &TcpListener, lost: usize) -> Instant {
    let mut held = Vec::new();
    for n in 0..lost {
        let service = FakeService::accept(listener).unwrap();
        if n % 2 == 1 {
            held.push(service);
        }
    }
    loop {
        let mut service = FakeService::accept(listener).unwrap();
        let Ok(asked) = service.receive_request() else {
            continue;
        };
        let _ = service.reply("204 No Content", "", b"");
        if asked.body == br#"{"condition":"Ready"}"# {
            return Instant::now();
        }
    }
}

/// Guards a fleet whose processes are killed and started all at once, engines late by up to 5.4 s, control plane
/// losing up to three reports: nine in ten are ready, with the engine attached, a check answered well and a report
/// arrived, within 10 s.
#[test]
fn is_ready_in_time_after_nine_in_ten_restarts() {
    let mut rigs: Vec<_> = (0..PROCESSES).map(|_| Rig::start()).collect();
    rigs.iter_mut().for_each(Rig::restart_at_same_address);
    let start = Instant::now();
    let each = rigs.into_iter().enumerate().map(|(n, rig)| {
        std::thread::spawn(move || {
            let listener = rig.engine.try_clone().unwrap();
            std::thread::spawn(move || engine(listener, Duration::from_millis(300) * n as u32));
            let control = rig.control.try_clone().unwrap();
            let reporting = std::thread::spawn(move || reported(&control, n % 4));
            let mut sidecar = rig.sidecar();
            while check_health(&mut sidecar) != 1 {}
            let checked = Instant::now();
            reporting.join().unwrap().max(checked) - start
        })
    });
    let each: Vec<_> = each.collect();
    let mut times: Vec<_> = each.into_iter().map(|one| one.join().unwrap()).collect();
    times.sort_unstable();
    println!("ready after {times:?}");
    assert!(times[PROCESSES * 9 / 10 - 1] < READY_WITHIN, "{times:?}");
}

/// Guards a server whose every place is taken by clients that rest, while the control plane takes no report: its link
/// to the engine is taken up again, calls are made, requests on open connections answered and reports go out again, and
/// it never holds more descriptors than it may.
#[test]
fn serves_while_idle_clients_fill_the_descriptors() {
    const SOCKETS: usize = 128;
    let rig = Rig::with(|conf| conf["limits"]["sockets"] = json!(SOCKETS));
    let (mut link, mut sidecar) = rig.ready();
    send_request(&mut sidecar, 1, PAY, &[], b"");
    let run = expect_start(&mut link);
    // More than there are places: some are served a check and rest, some never send anything.
    let mut resting: Vec<_> = (0..100).map(|_| rig.sidecar()).collect();
    for one in resting.iter_mut().step_by(2) {
        let _ = one.send(4, 0, &[], b"");
    }
    rig.wait_for_log("connection limit reached");
    assert!(rig.descriptors() <= SOCKETS);
    drop(link);
    let mut link = rig.link(0);
    link.send_line_with_body(&format!("NEED 1 {run}"), b"body")
        .unwrap();
    let mut service = FakeService::accept(&rig.records).unwrap();
    assert_eq!(service.receive_request().unwrap().body, b"body");
    service.reply("200 OK", "", b"reply").unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"reply");
    // Fewer places than are taken, in the midst of it.
    let mut conf = rig.conf.clone();
    conf["limits"]["sockets"] = json!(110);
    rig.reload(&conf.to_string(), "configuration reloaded");
    link.send_line_with_body(&format!("DONE 2 {run} fine 1"), b"done")
        .unwrap();
    let heard = std::iter::repeat_with(|| sidecar.receive().unwrap())
        .find(|heard| heard.kind == 2)
        .unwrap();
    assert_eq!(heard.body, b"done");
    // Reports were made all the time, to nobody: now they arrive.
    while FakeService::accept(&rig.control)
        .unwrap()
        .receive_request()
        .is_err()
    {}
    // One that comes new finds a place as those that rest go.
    let mut new = rig.sidecar();
    send_request(&mut new, 2, READ, &[], b"");
    assert_eq!(expect_start(&mut link), id(2));
    assert!(rig.descriptors() <= SOCKETS);
}
