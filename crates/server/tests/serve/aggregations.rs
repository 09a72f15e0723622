//! Pages composed from dependencies, by the program on its own.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;

const HEAD: &str = "fleet(instances = 1)\nserve(listen = \"127.0.0.1:0\", stop = \"1s\")\n";

struct Shop {
    rig: Alone,
    catalogue: TcpListener,
    prices: TcpListener,
}

fn dependency(name: &str, listener: &TcpListener, budget: &str, more: &str) -> String {
    let addr = listener.local_addr().unwrap();
    format!("dependency({name:?}, addr = \"{addr}\", budget = {budget:?}, ceiling = 4, linger = \"20ms\"{more})\n")
}

fn script(catalogue: &TcpListener, prices: &TcpListener, effect: &str, parts: &str) -> String {
    format!(
        "{HEAD}handler(\"browse\", effect = {effect:?}, response_target = \"3s\", client_timeout = \"6s\")\n{}{}{}",
        dependency("catalogue", catalogue, "2s", ", retries = 1"),
        dependency("prices", prices, "300ms", ", replies = \"json\""),
        format_args!("page(\"browse\", parts = [{parts}])\n")
    )
}

const PARTS: &str =
    "part(\"catalogue\", required = True), part(\"prices\", fallbacks = [kept(\"1m\"), leave_out()])";

impl Shop {
    fn start(effect: &str, parts: &str) -> Self {
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let (catalogue, prices) = (bind(), bind());
        let rig = Alone::start(&script(&catalogue, &prices, effect, parts));
        Shop {
            rig,
            catalogue,
            prices,
        }
    }

    fn send_request(&self, number: u32) -> FakeSidecar {
        let mut sidecar = FakeSidecar::connect(self.rig.addr).unwrap();
        send_request(&mut sidecar, number, "browse", &[], b"shoes");
        sidecar
    }
}

/// The next call to a dependency.
fn called(listener: &TcpListener) -> (FakeService, ReceivedRequest) {
    let mut service = FakeService::accept(listener).unwrap();
    let asked = service.receive_request().unwrap();
    (service, asked)
}

fn good(listener: &TcpListener, body: &[u8]) -> FakeService {
    let (mut service, _) = called(listener);
    service.reply("200 OK", "", body).unwrap();
    service
}

fn parts(heard: &ReceivedFrame) -> Value {
    serde_json::from_slice::<Value>(&heard.body).unwrap()["parts"].clone()
}

/// Guards the head of answers: whole ones are never flagged, partial ones always, and kept ones tell their age.
#[test]
fn flags_a_response_when_it_is_partial() {
    let shop = Shop::start("replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let mut catalogue = good(&shop.catalogue, b"a list");
    let (mut prices, asked) = called(&shop.prices);
    assert_eq!(
        (asked.header("Req-Id"), asked.body.as_slice()),
        (Some(id(1).as_str()), &b"shoes"[..])
    );
    let left: u64 = asked.header("Time-Left-Ms").unwrap().parse().unwrap();
    assert!((100..=300).contains(&left), "{left}");
    prices.reply("200 OK", "", b"{\"price\": 3}").unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!((heard.code, heard.field("partial")), (1, None));
    assert_eq!(
        parts(&heard)["prices"],
        json!({ "state": "whole", "body": { "price": 3 } })
    );
    // The same connections serve the next; prices never answers, and its last answer was kept.
    send_request(&mut sidecar, 2, "browse", &[], b"shoes");
    catalogue.receive_request().unwrap();
    catalogue.reply("200 OK", "", b"a list").unwrap();
    prices.receive_request().unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!((heard.code, heard.field("partial")), (1, Some("prices")));
    let kept = &parts(&heard)["prices"];
    assert_eq!(
        (&kept["state"], &kept["body"]["price"]),
        (&json!("kept"), &json!(3))
    );
    assert!(kept["age_ms"].as_u64().unwrap() >= 100, "{kept}");
}

/// Guards tenants: what one asked for is never handed to what another asks.
#[test]
fn serves_cached_responses_for_the_same_request_only() {
    let shop = Shop::start("replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let mut catalogue = good(&shop.catalogue, b"a list");
    drop(good(&shop.prices, b"1"));
    assert_eq!(sidecar.receive().unwrap().field("partial"), None);
    send_request(&mut sidecar, 2, "browse", &[], b"boots");
    catalogue.receive_request().unwrap();
    catalogue.reply("200 OK", "", b"a list").unwrap();
    let _hangs = called(&shop.prices);
    let heard = sidecar.receive().unwrap();
    assert_eq!(parts(&heard)["prices"], json!({ "state": "missing" }));
}

/// Guards against an answer that comes after its budget: it is dropped, and reaches no later request.
#[test]
fn discards_a_response_that_comes_after_its_budget() {
    let shop = Shop::start("replayable", "part(\"prices\", fallbacks = [leave_out()])");
    let mut sidecar = shop.send_request(1);
    let (mut prices, _) = called(&shop.prices);
    let heard = sidecar.receive().unwrap();
    assert_eq!((heard.code, heard.field("partial")), (1, Some("prices")));
    // Within the time for which it is still listened to.
    let _ = prices.reply("200 OK", "", b"\"late\"");
    send_request(&mut sidecar, 2, "browse", &[], b"shoes");
    let again = prices.receive_request();
    let mut other;
    let now = if again.is_ok() {
        &mut prices
    } else {
        other = called(&shop.prices).0;
        &mut other
    };
    now.reply("200 OK", "", b"\"new\"").unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!(
        parts(&heard)["prices"],
        json!({ "state": "whole", "body": "new" })
    );
}

/// Guards aggregations against corrupt replies of every kind: none is taken for an answer.
#[test]
fn refuses_corrupt_responses_of_dependencies() {
    for odd in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "HTTP/1.1 200 OK\r\n\r\n{}",
        "noise\r\n\r\n",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
        "",
    ] {
        let shop = Shop::start(
            "replayable",
            "part(\"prices\", fallbacks = [fixed({\"price\": None})])",
        );
        let mut sidecar = shop.send_request(1);
        let (mut prices, _) = called(&shop.prices);
        prices.0.get_mut().write_all(odd.as_bytes()).unwrap();
        drop(prices);
        let heard = sidecar.receive().unwrap();
        assert_eq!(
            (heard.code, heard.field("partial")),
            (1, Some("prices")),
            "{odd}"
        );
        assert_eq!(
            parts(&heard)["prices"],
            json!({ "state": "fixed", "body": { "price": null } }),
            "{odd}"
        );
    }
}

/// Guards effects: for a handler that must not run twice, a call that may have run is never made again, and goes on
/// a connection of its own; where it is known not to have run, it is.
#[test]
fn never_repeats_a_dependency_call_that_may_have_been_executed() {
    for effect in ["uniqued", "non-replayable"] {
        let shop = Shop::start(effect, "part(\"catalogue\", required = True)");
        let mut sidecar = shop.send_request(1);
        let (catalogue, _) = called(&shop.catalogue);
        drop(catalogue);
        assert_eq!(sidecar.receive().unwrap().code, 9, "{effect}");
        shop.catalogue.set_nonblocking(true).unwrap();
        assert!(
            shop.catalogue.accept().is_err(),
            "{effect}: it was called again"
        );
        shop.catalogue.set_nonblocking(false).unwrap();
        // Turned away unread: that never ran.
        let mut sidecar = shop.send_request(2);
        let (mut catalogue, _) = called(&shop.catalogue);
        catalogue
            .reply("503 Busy", "Op-Not-Begun: 1\r\n", b"")
            .unwrap();
        let (mut again, _) = called(&shop.catalogue);
        again.reply("200 OK", "", b"done").unwrap();
        assert_eq!(sidecar.receive().unwrap().code, 1, "{effect}");
    }
}

/// Guards required parts: without one the answer is failed at once, whatever else is still out.
#[test]
fn fails_when_a_required_part_is_missing() {
    let shop = Shop::start("non-replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let _prices = called(&shop.prices);
    let (mut catalogue, _) = called(&shop.catalogue);
    catalogue.reply("500 No", "", b"").unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!((heard.code, heard.field("partial")), (9, None));
}

/// Guards leaving: aggregations half composed are answered with what there is, and the program ends in its time.
#[test]
fn answers_incomplete_aggregations_when_shutting_down() {
    let mut shop = Shop::start(
        "replayable",
        "part(\"catalogue\", fallbacks = [leave_out()]), part(\"prices\", fallbacks = [leave_out()])",
    );
    let mut sidecar = shop.send_request(1);
    drop(good(&shop.prices, b"7"));
    let (mut hangs, _) = called(&shop.catalogue);
    shop.rig.signal("-TERM");
    let heard = loop {
        let heard = sidecar.receive().unwrap();
        if heard.kind == 2 {
            break heard;
        }
    };
    assert_eq!((heard.code, heard.field("partial")), (1, Some("catalogue")));
    assert_eq!(parts(&heard)["prices"]["body"], json!(7));
    assert_eq!(
        hangs.0.read(&mut [0]).unwrap_or(0),
        0,
        "the call is given up"
    );
    let (status, took) = shop.rig.wait_for_exit();
    assert!(
        status.success() && took.as_millis() < 3_000,
        "{status} {took:?}"
    );
}

/// Guards requests in progress and the file in force: a request ends under the file that it began with, also where that
/// takes its dependency away; a bad file changes nothing.
#[test]
fn applies_a_reloaded_file_to_what_starts_then() {
    let shop = Shop::start("replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let (mut catalogue, _) = called(&shop.catalogue);
    let (mut prices, _) = called(&shop.prices);
    shop.rig
        .reload("page(", "configuration is invalid; keeping the old one");
    let other = script(&shop.catalogue, &shop.prices, "uniqued", PARTS);
    shop.rig.reload(&other, "configuration cannot be applied");
    let fewer = format!(
        "{HEAD}handler(\"browse\", effect = \"replayable\", response_target = \"3s\", client_timeout = \"6s\")\n{}{}",
        dependency("catalogue", &shop.catalogue, "1s", ""),
        "page(\"browse\", parts = [part(\"catalogue\", required = True)])\n"
    );
    shop.rig.reload(&fewer, "configuration reloaded");
    prices.reply("200 OK", "", b"1").unwrap();
    catalogue.reply("200 OK", "", b"old").unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!(
        (heard.code, parts(&heard).as_object().unwrap().len()),
        (1, 2)
    );
    send_request(&mut sidecar, 2, "browse", &[], b"shoes");
    catalogue.receive_request().unwrap();
    catalogue.reply("200 OK", "", b"new").unwrap();
    assert_eq!(
        parts(&sidecar.receive().unwrap()),
        json!({ "catalogue": { "state": "whole", "body": "new" } })
    );
}

/// Guards leaving: a script that takes seconds to read again holds no shutdown signal up.
#[test]
fn shuts_down_while_a_script_is_evaluated() {
    let mut shop = Shop::start("replayable", PARTS);
    let slow = "def busy():\n    for i in range(50000):\n        sorted(range(20000))\nbusy()\n";
    std::fs::write(shop.rig.path(), slow).unwrap();
    shop.rig.signal("-HUP");
    // The evaluation ends at its limit of 5 s; leaving takes 1 s.
    shop.rig.signal("-TERM");
    let (status, took) = shop.rig.wait_for_exit();
    assert!(
        status.success() && took.as_millis() < 3_000,
        "{status} {took:?}"
    );
}

/// Guards start-up: a bad script is one line on standard error, and an exit code that says so.
#[test]
fn prints_one_line_when_the_script_is_invalid() {
    let eats = "x = [\"a\" * 100000000 for i in range(1000)]\n";
    let page = "page(\"browse\", parts = [part(\"stock\")])\n";
    let handler =
        "handler(\"browse\", effect = \"replayable\", response_target = \"1s\", client_timeout = \"1s\")\n";
    let serve = "serve(listen = \"127.0.0.1:0\", memory_mb = 16, sockets = 128)\n";
    let stock = |ceiling: u32| {
        format!("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"9ms\", ceiling = {ceiling})\n")
    };
    let greedy = format!(
        "{serve}fleet(instances = 1, kept_mb = 5)\n{}{handler}{page}",
        stock(1)
    );
    let crowded = format!("{serve}fleet(instances = 1)\n{}{handler}{page}", stock(20));
    for (text, told) in [
        (
            greedy.as_str(),
            "shop.star:2: fleet: kept_mb = 5: expected at most a quarter of the memory, 4",
        ),
        (
            crowded.as_str(),
            "shop.star:3: dependency \"stock\": ceiling = 20",
        ),
        ("page(\"x\")", "shop.star:1:"),
        (eats, "cannot be evaluated"),
        ("serve(", "Parse error"),
    ] {
        let folder = std::env::temp_dir().join(format!("cottondyke-bad-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path: PathBuf = folder.join("shop.star");
        std::fs::write(&path, text).unwrap();
        for command in ["check", "serve"] {
            let (code, said) = run_to_exit(&[command, "--operator", path.to_str().unwrap()]);
            assert_eq!((code, said.lines().count()), (Some(2), 1), "{said}");
            assert!(
                said.contains(told) || told == "cannot be evaluated" && said.contains("limit"),
                "{said}"
            );
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
