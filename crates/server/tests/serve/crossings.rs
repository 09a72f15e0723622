//! Moments where two events cross, forced to come in the bad order each time.
use crate::rig::*;
use cottondyke_standin::peers::*;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

/// A req that came to the machine at `at`.
fn ask_at(sidecar: &mut Sidecar, number: u32, class: &str, mark: &str, at: u64) {
    let (id, at) = (id(number.into()), at.to_string());
    let fields = [("class", class), ("id", &id), ("at", &at), ("from", "1"), ("kb", "1.0"), ("once", mark)];
    sidecar.send(1, number, &fields, b"").unwrap();
}

fn short_window(conf: &mut serde_json::Value, ms: f64) {
    for class in conf["settings"]["classes"].as_array_mut().unwrap() {
        class["dedup_window_ms"] = json!(ms);
    }
}

/// Guards effects: the dedup window goes by when a try reached the machine. Two tries that lay unread past a short
/// window, and are read together, run once.
#[test]
fn two_tries_that_lay_unread_past_the_window_run_once() {
    let rig = Rig::with(|conf| short_window(conf, 100.0));
    let (mut link, mut sidecar) = rig.ready();
    let now = unix_ms();
    ask_at(&mut sidecar, 1, BUY, "basket", now - 300);
    ask_at(&mut sidecar, 2, BUY, "basket", now - 290);
    ask_at(&mut sidecar, 3, BUY, "other", now);
    assert_eq!([started(&mut link), started(&mut link)], [id(1), id(3)], "the second try joins the first");
    link.say_with(&format!("DONE 1 {} fine 1", id(1)), b"bought").unwrap();
    let mut heard = [sidecar.hear().unwrap(), sidecar.hear().unwrap()];
    heard.sort_by_key(|h| h.stream);
    assert_eq!(heard.map(|h| (h.stream, h.code, h.body)), [1, 2].map(|s| (s, 1, b"bought".to_vec())));
}

/// Guards effects: a try that reached the machine within the window, and is read after it, repeats the one that ran,
/// whether that still goes on or is over.
#[test]
fn a_try_within_the_window_that_is_read_after_it_does_not_run() {
    for over in [false, true] {
        let rig = Rig::with(|conf| short_window(conf, 100.0));
        let (mut link, mut sidecar) = rig.ready();
        let start = unix_ms();
        ask_at(&mut sidecar, 1, BUY, "basket", start);
        let run = started(&mut link);
        if over {
            link.say_with(&format!("DONE 1 {run} fine 1"), b"bought").unwrap();
            assert_eq!(sidecar.hear().unwrap().body, b"bought");
        }
        // Past the window and the slack of sockets, by the clock that the stamps go by.
        while unix_ms() < start + 250 {
            assert_eq!(check(&mut sidecar), 1);
        }
        ask_at(&mut sidecar, 2, BUY, "basket", start + 60);
        ask_at(&mut sidecar, 3, BUY, "other", unix_ms());
        assert_eq!(started(&mut link), id(3), "the try that was read late does not run");
        if !over {
            link.say_with(&format!("DONE 1 {run} fine 1"), b"bought").unwrap();
            assert_eq!(sidecar.hear().unwrap().body, b"bought");
        }
        let late = sidecar.hear().unwrap();
        assert_eq!((late.stream, late.code, late.body.as_slice()), (2, 1, &b"bought"[..]));
        // One that came after the window is another req.
        ask_at(&mut sidecar, 4, BUY, "basket", unix_ms());
        assert_eq!(started(&mut link), id(4));
    }
}

/// Guards customers against one another: the same mark of another customer is another req.
#[test]
fn a_mark_belongs_to_its_customer() {
    let rig = Rig::with(|conf| {
        let customer = |name: &str| json!({ "name": name, "quota_per_s": 10.0 });
        conf["settings"]["customers"] = json!([customer("acme"), customer("bolt")]);
    });
    let (mut link, mut sidecar) = rig.ready();
    for (n, customer) in [(1, "acme"), (2, "bolt")] {
        ask(&mut sidecar, n, BUY, &[("once", "basket"), ("tenant", customer)], b"");
        assert_eq!(started(&mut link), id(n.into()));
        link.say_with(&format!("DONE {n} {} fine 1", id(n.into())), customer.as_bytes()).unwrap();
        assert_eq!(sidecar.hear().unwrap().body, customer.as_bytes());
    }
}

/// Guards results against a client that copies a mark it has seen: its connection, of which the engine knows no req,
/// is given no result, open or kept; the sidecar's own repeats are.
#[test]
fn a_copied_mark_is_given_no_result() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    let mut stranger = rig.sidecar();
    let once = [("once", "basket")];
    ask(&mut sidecar, 1, BUY, &once, b"");
    let run = started(&mut link);
    ask(&mut stranger, 2, BUY, &once, b"");
    assert_eq!(stranger.hear().unwrap().code, 9, "while the first is open");
    ask(&mut sidecar, 3, BUY, &once, b"");
    assert_eq!(check(&mut stranger), 1);
    link.say_with(&format!("DONE 1 {run} fine 1"), b"bought").unwrap();
    assert_eq!([sidecar.hear().unwrap().body, sidecar.hear().unwrap().body], [b"bought", b"bought"]);
    ask(&mut stranger, 4, BUY, &once, b"");
    assert_eq!(stranger.hear().unwrap().code, 9, "when it is kept");
    ask(&mut sidecar, 5, BUY, &once, b"");
    assert_eq!(sidecar.hear().unwrap().body, b"bought");
    ask(&mut sidecar, 6, READ, &[], b"");
    assert_eq!(started(&mut link), id(6), "nothing else ran");
}

/// Guards marks against a client that uses them first: what the engine does not know leaves nothing behind, and a
/// repeat that joined it runs itself.
#[test]
fn a_mark_that_a_stranger_used_first_is_free() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    ask(&mut sidecar, 1, READ, &[], b"");
    run_through(&mut link, 1, b"");
    assert_eq!(sidecar.hear().unwrap().code, 1);
    let (mut stranger, once) = (rig.sidecar(), [("once", "basket")]);
    for late in [false, true] {
        let n = if late { 10 } else { 20 };
        ask(&mut stranger, n, BUY, &once, b"");
        assert_eq!(started(&mut link), id(n.into()));
        if !late {
            ask(&mut sidecar, n + 1, BUY, &once, b"");
            assert_eq!(check(&mut sidecar), 1, "it has been taken");
        }
        link.say(&format!("NO RUN {}", id(n.into()))).unwrap();
        assert_eq!(stranger.hear().unwrap().code, 9);
        if late {
            ask(&mut sidecar, n + 1, BUY, &once, b"");
        }
        assert_eq!(started(&mut link), id(u64::from(n) + 1));
        link.say(&format!("NO RUN {}", id(u64::from(n) + 1))).unwrap();
        assert_eq!(sidecar.hear().unwrap().code, 9);
    }
}

/// Guards a sidecar's req against a copy of it that is read first: the copy is errored, the answer is the sidecar's.
#[test]
fn a_copy_that_is_read_first_takes_nothing() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    ask(&mut sidecar, 1, READ, &[], b"");
    run_through(&mut link, 1, b"");
    assert_eq!(sidecar.hear().unwrap().code, 1);
    let mut stranger = rig.sidecar();
    ask(&mut stranger, 2, PAY, &[], b"same");
    let run = started(&mut link);
    ask(&mut sidecar, 2, PAY, &[], b"same");
    assert_eq!(stranger.hear().unwrap().code, 9);
    link.say_with(&format!("DONE 2 {run} fine 1"), b"paid").unwrap();
    assert_eq!(sidecar.hear().unwrap().body, b"paid");
    // The other way round, and between two that the engine does not know, the first stays.
    ask(&mut sidecar, 3, PAY, &[], b"same");
    let run = started(&mut link);
    ask(&mut stranger, 3, PAY, &[], b"same");
    assert_eq!(stranger.hear().unwrap().code, 9);
    link.say_with(&format!("DONE 3 {run} fine 1"), b"paid").unwrap();
    assert_eq!(sidecar.hear().unwrap().body, b"paid");
}

/// Guards connections against a sidecar that gives a req up and says so: the req is answered at once, its run is
/// stopped, and what follows on the connection is served.
#[test]
fn a_cancelled_req_ends_and_its_connection_goes_on() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    ask(&mut sidecar, 1, READ, &[], b"");
    let run = started(&mut link);
    sidecar.0.write_all(&frame(3, 1, b"")).unwrap();
    let heard = sidecar.hear().unwrap();
    assert_eq!((heard.stream, heard.code), (1, 9));
    assert_eq!(link.order().unwrap().0, ["HALT", &run]);
    // One that is answered already, and one that never was.
    sidecar.0.write_all(&[frame(3, 1, b""), frame(3, 77, b"")].concat()).unwrap();
    link.say_with(&format!("DONE 1 {run} broken_off 1"), b"").unwrap();
    ask(&mut sidecar, 2, READ, &[], b"");
    let run = std::iter::repeat_with(|| link.order().unwrap().0).find(|words| words[0] != "HALT").unwrap();
    assert_eq!(run[..2], ["RUN".to_string(), id(2)]);
    link.say_with(&format!("DONE 2 {} fine 1", run[1]), b"next").unwrap();
    assert_eq!(sidecar.hear().unwrap().body, b"next");
}

/// Guards the due time where callers tell how long they wait: it goes before the client timeout.
#[test]
fn a_req_falls_due_when_its_caller_says() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    ask(&mut sidecar, 1, BRIEF, &[], b"");
    ask(&mut sidecar, 2, READ, &[("wait", "300")], b"");
    let _hang = (started(&mut link), started(&mut link));
    let heard = [sidecar.hear().unwrap(), sidecar.hear().unwrap()];
    assert_eq!(
        heard.map(|h| (h.stream, h.code)),
        [(2, 9), (1, 9)],
        "the client timeout of the first is 600 ms"
    );
    ask(&mut sidecar, 3, READ, &[("wait", "1e9")], b"");
    ask(&mut sidecar, 4, READ, &[("wait", "soon")], b"");
    assert_eq!([sidecar.hear().unwrap().code, sidecar.hear().unwrap().code], [9, 9], "no caller means that");
}

/// Guards value: a repeat that joined a try which fell due before the engine was there runs itself, since nothing ran.
#[test]
fn a_repeat_of_a_try_that_never_ran_runs_itself() {
    let rig = Rig::start();
    let mut sidecar = rig.sidecar();
    let now = unix_ms();
    ask_at(&mut sidecar, 1, BUY, "basket", now - 1_800);
    ask_at(&mut sidecar, 2, BUY, "basket", now);
    let heard = sidecar.hear().unwrap();
    assert_eq!((heard.stream, heard.code != 1), (1, true), "the first fell due");
    let mut link = rig.link(0);
    assert_eq!(started(&mut link), id(2));
    link.say_with(&format!("DONE 1 {} fine 1", id(2)), b"bought").unwrap();
    assert_eq!(sidecar.hear().unwrap().body, b"bought");
}

/// Guards a start against a SIGHUP that comes while the files are read: it ends nothing, and the files are read anew.
#[test]
fn a_hangup_while_the_files_are_read_ends_nothing() {
    let (conf, _peers) = with_peers();
    let path = std::env::temp_dir().join(format!("cottondyke-{}-fifo", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let made = std::process::Command::new("mkfifo").arg(&path).status().unwrap();
    assert!(made.success());
    let child = Started::new(&path);
    // Opening ends once the program opens the file to read it.
    let open = || std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let mut file = open();
    child.signal("-HUP");
    file.write_all(conf.to_string().as_bytes()).unwrap();
    drop(file);
    child.logged("serving");
    // The signal was kept: the files are read anew.
    open().write_all(conf.to_string().as_bytes()).unwrap();
    child.logged("the configuration was read anew");
    std::fs::remove_file(&path).unwrap();
}

/// Guards the time from the notice to the end: a short one that comes just after the start, far from the next look at
/// the connections, is kept.
#[test]
fn a_short_notice_is_kept() {
    let mut rig = Rig::with(|conf| conf["stop_ms"] = json!(200));
    let start = Instant::now();
    rig.signal("-TERM");
    let (status, _) = rig.ended();
    let time = start.elapsed();
    assert!(status.code() == Some(0) && time < Duration::from_millis(350), "{time:?}");
}

/// Guards sidecars that rest on a connection until the server ends it: they see its end in order, and a req that
/// comes after the server's half-close runs nowhere.
#[test]
fn a_resting_connection_ends_in_order() {
    let mut rig = Rig::with(|conf| conf["stop_ms"] = json!(2_000));
    let (mut link, mut resting) = rig.ready();
    ask(&mut resting, 1, PAY, &[], b"");
    run_through(&mut link, 1, b"done");
    assert_eq!(resting.hear().unwrap().body, b"done");
    rig.signal("-TERM");
    assert_eq!(resting.hear().unwrap().kind, 6);
    assert_eq!(resting.hear().unwrap_err().kind(), std::io::ErrorKind::UnexpectedEof);
    // After the end of the server's half: read by nobody.
    ask(&mut resting, 2, PAY, &[], b"");
    assert_eq!(resting.hear().unwrap_err().kind(), std::io::ErrorKind::UnexpectedEof, "not reset");
    drop(resting);
    assert_eq!(rig.ended().0.code(), Some(0));
    let orders = std::iter::from_fn(|| link.order().ok()).map(|(words, _)| words[0].clone());
    assert!(orders.filter(|order| order == "RUN").count() == 0, "it never ran");
}
