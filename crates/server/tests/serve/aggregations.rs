//! Pages that the server composes from dependency calls, without an engine.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;

const HEADER: &str = "fleet(instances = 1)\nserve(listen = \"127.0.0.1:0\", stop = \"1s\")\n";

struct Shop {
    rig: StandaloneServer,
    catalogue: TcpListener,
    prices: TcpListener,
}

fn dependency(name: &str, listener: &TcpListener, budget: &str, extra: &str) -> String {
    let addr = listener.local_addr().unwrap();
    format!("dependency({name:?}, addr = \"{addr}\", budget = {budget:?}, ceiling = 4, linger = \"20ms\"{extra})\n")
}

fn script(catalogue: &TcpListener, prices: &TcpListener, effect: &str, parts: &str) -> String {
    format!(
        "{HEADER}handler(\"browse\", effect = {effect:?}, response_target = \"3s\", client_timeout = \"6s\")\n{}{}{}",
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
        let rig = StandaloneServer::start(&script(&catalogue, &prices, effect, parts));
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

/// Accepts the next call to a dependency.
fn accept_call(listener: &TcpListener) -> (FakeService, ReceivedRequest) {
    let mut service = FakeService::accept(listener).unwrap();
    let request = service.receive_request().unwrap();
    (service, request)
}

/// Accepts the next call to a dependency and answers it with this body.
fn answer_call(listener: &TcpListener, body: &[u8]) -> FakeService {
    let (mut service, _) = accept_call(listener);
    service.reply("200 OK", "", body).unwrap();
    service
}

fn parts(response: &ReceivedFrame) -> Value {
    serde_json::from_slice::<Value>(&response.body).unwrap()["parts"].clone()
}

/// A complete response must not be flagged as partial, a partial one must be, and a cached part must give its age.
#[test]
fn flags_a_response_when_it_is_partial() {
    let shop = Shop::start("replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let mut catalogue = answer_call(&shop.catalogue, b"a list");
    let (mut prices, request) = accept_call(&shop.prices);
    assert_eq!(
        (request.header("Req-Id"), request.body.as_slice()),
        (Some(id(1).as_str()), &b"shoes"[..])
    );
    let left: u64 = request.header("Time-Left-Ms").unwrap().parse().unwrap();
    assert!((100..=300).contains(&left), "{left}");
    prices.reply("200 OK", "", b"{\"price\": 3}").unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!((response.code, response.field("partial")), (1, None));
    assert_eq!(
        parts(&response)["prices"],
        json!({ "state": "whole", "body": { "price": 3 } })
    );
    // The next request uses the same connections. The call to prices is not answered, so its cached response is used.
    send_request(&mut sidecar, 2, "browse", &[], b"shoes");
    catalogue.receive_request().unwrap();
    catalogue.reply("200 OK", "", b"a list").unwrap();
    prices.receive_request().unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!(
        (response.code, response.field("partial")),
        (1, Some("prices"))
    );
    let cached = &parts(&response)["prices"];
    assert_eq!(
        (&cached["state"], &cached["body"]["price"]),
        (&json!("kept"), &json!(3))
    );
    assert!(cached["age_ms"].as_u64().unwrap() >= 100, "{cached}");
}

/// A cached response must only be used for an identical request, so that no tenant gets the data of another one.
#[test]
fn serves_cached_responses_for_the_same_request_only() {
    let shop = Shop::start("replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let mut catalogue = answer_call(&shop.catalogue, b"a list");
    drop(answer_call(&shop.prices, b"1"));
    assert_eq!(sidecar.receive().unwrap().field("partial"), None);
    send_request(&mut sidecar, 2, "browse", &[], b"boots");
    catalogue.receive_request().unwrap();
    catalogue.reply("200 OK", "", b"a list").unwrap();
    let _unanswered = accept_call(&shop.prices);
    let response = sidecar.receive().unwrap();
    assert_eq!(parts(&response)["prices"], json!({ "state": "missing" }));
}

/// A response that arrives after its time budget must be discarded and must not reach a later request.
#[test]
fn discards_a_response_that_comes_after_its_budget() {
    let shop = Shop::start("replayable", "part(\"prices\", fallbacks = [leave_out()])");
    let mut sidecar = shop.send_request(1);
    let (mut prices, _) = accept_call(&shop.prices);
    let response = sidecar.receive().unwrap();
    assert_eq!(
        (response.code, response.field("partial")),
        (1, Some("prices"))
    );
    // This late response arrives while the abandoned call is still read.
    let _ = prices.reply("200 OK", "", b"\"late\"");
    send_request(&mut sidecar, 2, "browse", &[], b"shoes");
    let second_request = prices.receive_request();
    let mut new_connection;
    let service = if second_request.is_ok() {
        &mut prices
    } else {
        new_connection = accept_call(&shop.prices).0;
        &mut new_connection
    };
    service.reply("200 OK", "", b"\"new\"").unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!(
        parts(&response)["prices"],
        json!({ "state": "whole", "body": "new" })
    );
}

/// No corrupt reply of a dependency may be used as a part of a response.
#[test]
fn refuses_corrupt_responses_of_dependencies() {
    for reply in [
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
        let (mut prices, _) = accept_call(&shop.prices);
        prices.0.get_mut().write_all(reply.as_bytes()).unwrap();
        drop(prices);
        let response = sidecar.receive().unwrap();
        assert_eq!(
            (response.code, response.field("partial")),
            (1, Some("prices")),
            "{reply}"
        );
        assert_eq!(
            parts(&response)["prices"],
            json!({ "state": "fixed", "body": { "price": null } }),
            "{reply}"
        );
    }
}

/// Side effects must not be repeated: for a handler that is not idempotent, a call that may have been executed is never
/// made again, and each call has a connection of its own. A call that is known not to have been executed is made again.
#[test]
fn never_repeats_a_dependency_call_that_may_have_been_executed() {
    for effect in ["uniqued", "non-replayable"] {
        let shop = Shop::start(effect, "part(\"catalogue\", required = True)");
        let mut sidecar = shop.send_request(1);
        let (catalogue, _) = accept_call(&shop.catalogue);
        drop(catalogue);
        assert_eq!(sidecar.receive().unwrap().code, 9, "{effect}");
        shop.catalogue.set_nonblocking(true).unwrap();
        assert!(
            shop.catalogue.accept().is_err(),
            "{effect}: it was called again"
        );
        shop.catalogue.set_nonblocking(false).unwrap();
        // The service rejects this call without executing it.
        let mut sidecar = shop.send_request(2);
        let (mut catalogue, _) = accept_call(&shop.catalogue);
        catalogue
            .reply("503 Busy", "Op-Not-Begun: 1\r\n", b"")
            .unwrap();
        let (mut retry, _) = accept_call(&shop.catalogue);
        retry.reply("200 OK", "", b"done").unwrap();
        assert_eq!(sidecar.receive().unwrap().code, 1, "{effect}");
    }
}

/// If a required part is missing, the request must fail at once, even if other calls are still in flight.
#[test]
fn fails_when_a_required_part_is_missing() {
    let shop = Shop::start("non-replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let _prices = accept_call(&shop.prices);
    let (mut catalogue, _) = accept_call(&shop.catalogue);
    catalogue.reply("500 No", "", b"").unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!((response.code, response.field("partial")), (9, None));
}

/// On shutdown, incomplete aggregations must be answered with the parts that are there, and the server must exit in
/// time.
#[test]
fn answers_incomplete_aggregations_when_shutting_down() {
    let mut shop = Shop::start(
        "replayable",
        "part(\"catalogue\", fallbacks = [leave_out()]), part(\"prices\", fallbacks = [leave_out()])",
    );
    let mut sidecar = shop.send_request(1);
    drop(answer_call(&shop.prices, b"7"));
    let (mut unanswered, _) = accept_call(&shop.catalogue);
    shop.rig.signal("-TERM");
    let response = loop {
        let response = sidecar.receive().unwrap();
        if response.kind == 2 {
            break response;
        }
    };
    assert_eq!(
        (response.code, response.field("partial")),
        (1, Some("catalogue"))
    );
    assert_eq!(parts(&response)["prices"]["body"], json!(7));
    assert_eq!(
        unanswered.0.read(&mut [0]).unwrap_or(0),
        0,
        "the connection of the abandoned call is closed"
    );
    let (status, took) = shop.rig.wait_for_exit();
    assert!(
        status.success() && took.as_millis() < 3_000,
        "{status} {took:?}"
    );
}

/// A request must complete under the file with which it started, even if the new file removes its dependency. An
/// invalid file must change nothing.
#[test]
fn applies_a_reloaded_file_to_new_requests_only() {
    let shop = Shop::start("replayable", PARTS);
    let mut sidecar = shop.send_request(1);
    let (mut catalogue, _) = accept_call(&shop.catalogue);
    let (mut prices, _) = accept_call(&shop.prices);
    shop.rig
        .reload("page(", "configuration is invalid; keeping the old one");
    let other_effect = script(&shop.catalogue, &shop.prices, "uniqued", PARTS);
    shop.rig
        .reload(&other_effect, "configuration cannot be applied");
    let without_prices = format!(
        "{HEADER}handler(\"browse\", effect = \"replayable\", response_target = \"3s\", client_timeout = \"6s\")\n{}{}",
        dependency("catalogue", &shop.catalogue, "1s", ""),
        "page(\"browse\", parts = [part(\"catalogue\", required = True)])\n"
    );
    shop.rig.reload(&without_prices, "configuration reloaded");
    prices.reply("200 OK", "", b"1").unwrap();
    catalogue.reply("200 OK", "", b"old").unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!(
        (response.code, parts(&response).as_object().unwrap().len()),
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

/// A script that takes seconds to evaluate on reload must not delay the shutdown.
#[test]
fn shuts_down_while_a_script_is_evaluated() {
    let mut shop = Shop::start("replayable", PARTS);
    let slow = "def busy():\n    for i in range(50000):\n        sorted(range(20000))\nbusy()\n";
    std::fs::write(shop.rig.path(), slow).unwrap();
    shop.rig.signal("-HUP");
    // The evaluation ends at its limit of 5 s; the shutdown takes 1 s.
    shop.rig.signal("-TERM");
    let (status, took) = shop.rig.wait_for_exit();
    assert!(
        status.success() && took.as_millis() < 3_000,
        "{status} {took:?}"
    );
}

/// At startup, an invalid script must produce one line on standard error and the exit code for an invalid
/// configuration.
#[test]
fn prints_one_line_when_the_script_is_invalid() {
    let exhausts_memory = "x = [\"a\" * 100000000 for i in range(1000)]\n";
    let page = "page(\"browse\", parts = [part(\"stock\")])\n";
    let handler =
        "handler(\"browse\", effect = \"replayable\", response_target = \"1s\", client_timeout = \"1s\")\n";
    let serve = "serve(listen = \"127.0.0.1:0\", memory_mb = 16, sockets = 128)\n";
    let stock = |ceiling: u32| {
        format!("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"9ms\", ceiling = {ceiling})\n")
    };
    let oversized_cache = format!(
        "{serve}fleet(instances = 1, kept_mb = 5)\n{}{handler}{page}",
        stock(1)
    );
    let excessive_ceiling = format!("{serve}fleet(instances = 1)\n{}{handler}{page}", stock(20));
    for (text, expected) in [
        (
            oversized_cache.as_str(),
            "shop.star:2: fleet: kept_mb = 5: expected at most a quarter of the memory, 4",
        ),
        (
            excessive_ceiling.as_str(),
            "shop.star:3: dependency \"stock\": ceiling = 20",
        ),
        ("page(\"x\")", "shop.star:1:"),
        (exhausts_memory, "cannot be evaluated"),
        ("serve(", "Parse error"),
    ] {
        let folder = std::env::temp_dir().join(format!("cottondyke-bad-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path: PathBuf = folder.join("shop.star");
        std::fs::write(&path, text).unwrap();
        for command in ["check", "serve"] {
            let (code, output) = run_to_exit(&[command, "--operator", path.to_str().unwrap()]);
            assert_eq!((code, output.lines().count()), (Some(2), 1), "{output}");
            assert!(
                output.contains(expected)
                    || expected == "cannot be evaluated" && output.contains("limit"),
                "{output}"
            );
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
