//! Processes that all restart at once, and a process whose descriptors are all taken by idle clients.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The number of processes that restart at once.
const PROCESSES: usize = 10;
/// The time within which nine in ten must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Runs a fake engine for the links of the killed process and of the new one: it sends `HELLO` on each after `delay`
/// and answers requests for statistics.
fn run_engine(listener: TcpListener, delay: Duration) {
    while let Ok(mut link) = FakeEngine::accept(&listener) {
        std::thread::sleep(delay);
        let _ = link
            .receive_any_command()
            .and_then(|_| link.send_line("HELLO running 5.0"));
        while link.receive_command().is_ok() {}
    }
}

/// Returns when the first `Ready` report arrives, after `lost` connections that are reset or never answered.
fn ready_reported_at(listener: &TcpListener, lost: usize) -> Instant {
    let mut held = Vec::new();
    for n in 0..lost {
        let service = FakeService::accept(listener).unwrap();
        if n % 2 == 1 {
            held.push(service);
        }
    }
    loop {
        let mut service = FakeService::accept(listener).unwrap();
        let Ok(request) = service.receive_request() else {
            continue;
        };
        let _ = service.reply("204 No Content", "", b"");
        if request.body == br#"{"condition":"Ready"}"# {
            return Instant::now();
        }
    }
}

/// Guards against slow startup when all processes of a fleet are killed and started at once, their engines are late by up
/// to 5.4 s and the control plane loses up to three reports of each. A process is ready once its engine is attached, a
/// health check succeeds and a report has arrived: nine in ten must be ready within 10 s.
#[test]
fn is_ready_in_time_after_nine_in_ten_restarts() {
    let mut rigs: Vec<_> = (0..PROCESSES).map(|_| Rig::start()).collect();
    rigs.iter_mut().for_each(Rig::restart_at_same_address);
    let start = Instant::now();
    let processes = rigs.into_iter().enumerate().map(|(n, rig)| {
        std::thread::spawn(move || {
            let listener = rig.engine.try_clone().unwrap();
            std::thread::spawn(move || run_engine(listener, Duration::from_millis(300) * n as u32));
            let control = rig.control.try_clone().unwrap();
            let reporting = std::thread::spawn(move || ready_reported_at(&control, n % 4));
            let mut sidecar = rig.connect_sidecar();
            while check_health(&mut sidecar) != 1 {}
            let healthy_at = Instant::now();
            reporting.join().unwrap().max(healthy_at) - start
        })
    });
    let processes: Vec<_> = processes.collect();
    let mut times: Vec<_> = processes
        .into_iter()
        .map(|process| process.join().unwrap())
        .collect();
    times.sort_unstable();
    println!("ready after {times:?}");
    assert!(times[PROCESSES * 9 / 10 - 1] < READY_WITHIN, "{times:?}");
}

/// Guards against idle clients that use up all descriptors while the control plane accepts no report: the server still
/// reconnects to the engine, makes calls, answers requests on open connections and reports again, and never has more
/// descriptors open than the limit.
#[test]
fn serves_while_idle_clients_fill_the_descriptors() {
    const SOCKETS: usize = 128;
    let rig = Rig::with(|conf| conf["limits"]["sockets"] = json!(SOCKETS));
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, NON_IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    // More than the connection limit: half send a health check and then stay idle, the others never send anything.
    let mut idle: Vec<_> = (0..100).map(|_| rig.connect_sidecar()).collect();
    for sidecar in idle.iter_mut().step_by(2) {
        let _ = sidecar.send(4, 0, &[], b"");
    }
    rig.wait_for_log("connection limit reached");
    assert!(rig.descriptors() <= SOCKETS);
    drop(link);
    let mut link = rig.accept_engine(0);
    link.send_line_with_body(&format!("NEED 1 {run}"), b"body")
        .unwrap();
    let mut service = FakeService::accept(&rig.records).unwrap();
    assert_eq!(service.receive_request().unwrap().body, b"body");
    service.reply("200 OK", "", b"reply").unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"reply");
    // Lowers the limit below the number of open connections.
    let mut conf = rig.conf.clone();
    conf["limits"]["sockets"] = json!(110);
    rig.reload(&conf.to_string(), "configuration reloaded");
    link.send_line_with_body(&format!("DONE 2 {run} fine 1"), b"done")
        .unwrap();
    let response = std::iter::repeat_with(|| sidecar.receive().unwrap())
        .find(|frame| frame.kind == 2)
        .unwrap();
    assert_eq!(response.body, b"done");
    // Reports were sent all the time without being accepted: now they arrive.
    while FakeService::accept(&rig.control)
        .unwrap()
        .receive_request()
        .is_err()
    {}
    // A new connection is accepted as idle ones are evicted.
    let mut new = rig.connect_sidecar();
    send_request(&mut new, 2, IDEMPOTENT, &[], b"");
    assert_eq!(expect_start(&mut link), id(2));
    assert!(rig.descriptors() <= SOCKETS);
}
