//! A toy for trying the server: `toy` stands in for engine, records service and control plane, `toy send TEXT`
//! sends one req as a sidecar would; addresses are those of `examples/config.json`. `toy shop [FAULT]` stands in for
//! the dependencies of `examples/pages/shop.star`, the prices with a fault, and `toy browse TEXT` asks for its page.
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig, Fault};
use cottondyke_test_support::fakes::*;
use std::io;
use std::net::TcpListener;
use std::thread;

const SERVER: &str = "127.0.0.1:6565";
const ENGINE: &str = "127.0.0.1:7300";
const RECORDS: &str = "127.0.0.1:8900";
const CONTROL: &str = "127.0.0.1:8761";

/// Every run asks for one call, and its result is the req's body and the call's reply.
fn engine(mut link: FakeEngine) -> io::Result<()> {
    link.0.get_ref().set_read_timeout(None)?;
    let mut number = 0;
    let mut bodies = std::collections::BTreeMap::new();
    loop {
        let (words, body) = match link.receive_command() {
            Err(error) if error.kind() == io::ErrorKind::TimedOut => continue,
            order => order?,
        };
        let word = |at: usize| words.get(at).map_or("", String::as_str);
        number += 1;
        match word(0) {
            "ATTACH" => link.send_line("HELLO running 0")?,
            "RUN" => {
                println!("engine: runs {} of {}", word(1), word(2));
                bodies.insert(word(1).to_string(), body);
                link.send_line_with_body(
                    &format!("NEED {number} {}", word(1)),
                    b"stock of everything",
                )?;
            }
            "FEED" => {
                let mut result = bodies.remove(word(1)).unwrap_or_default();
                result.extend(b" - ");
                result.extend(body);
                link.send_line_with_body(&format!("DONE {number} {} fine 1.0", word(1)), &result)?;
            }
            "HALT" => {
                link.send_line_with_body(&format!("DONE {number} {} broken_off 1.0", word(1)), b"")?
            }
            "SKIP" => link.send_line_with_body(
                &format!("DONE {number} {} fine 1.0", word(1)),
                b"without the call",
            )?,
            "TEST" => link.send_line(&format!("TESTED {} fine", word(1)))?,
            _ => {}
        }
    }
}

fn service(name: &'static str, listener: TcpListener, status: &'static str, reply: &'static [u8]) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut service = FakeService(io::BufReader::new(stream));
            while let Ok(asked) = service.receive_request() {
                println!(
                    "{name}: {} {}",
                    asked.line,
                    String::from_utf8_lossy(&asked.body)
                );
                if service.reply(status, "", reply).is_err() {
                    return;
                }
            }
        });
    }
}

fn serve() -> io::Result<()> {
    let (runs, records, control) = (
        TcpListener::bind(ENGINE)?,
        TcpListener::bind(RECORDS)?,
        TcpListener::bind(CONTROL)?,
    );
    println!("engine on {ENGINE}, records on {RECORDS}, control plane on {CONTROL}");
    thread::spawn(move || service("records", records, "200 OK", b"all in stock"));
    thread::spawn(move || service("control", control, "204 No Content", b""));
    for stream in runs.incoming() {
        if let Err(error) = engine(FakeEngine(io::BufReader::new(stream?))) {
            println!("engine: the link ended ({error})");
        }
    }
    Ok(())
}

fn shop(fault: Fault) -> io::Result<()> {
    let shape = |seed| FakeDependencyConfig {
        mean_latency: std::time::Duration::from_millis(40),
        concurrency_limit: 24,
        post_cancel_duration: std::time::Duration::from_millis(300),
        seed,
    };
    let places = [8101, 8102, 8103].into_iter().zip(0..);
    let all: io::Result<Vec<_>> = places
        .map(|(port, seed)| FakeDependency::start_at(([127, 0, 0, 1], port).into(), shape(seed)))
        .collect();
    let all = all?;
    all[1].set_fault(fault);
    println!("catalogue, prices and stock on 127.0.0.1:8101 to 8103; prices: {fault}");
    loop {
        thread::park();
    }
}

fn send(class: &str, text: &str) -> io::Result<()> {
    let mut sidecar = FakeSidecar::connect(SERVER.parse().map_err(io::Error::other)?)?;
    // Several that are started in the same millisecond differ by their process.
    let (id, at) = (
        format!("{:08x}{:08x}", std::process::id(), unix_ms() as u32),
        unix_ms().to_string(),
    );
    let fields = [
        ("class", class),
        ("id", id.as_str()),
        ("at", at.as_str()),
        ("from", "0"),
        ("cost", "5.00"),
        ("kb", "8.0"),
        ("rank", "0.5000"),
    ];
    sidecar.send(1, 1, &fields, text.as_bytes())?;
    let heard = sidecar.receive()?;
    let code = match heard.code {
        1 => "done",
        0 => "shed",
        _ => "errored",
    };
    println!(
        "{code} {:?}: {}",
        heard.fields,
        String::from_utf8_lossy(&heard.body)
    );
    Ok(())
}

fn main() -> io::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        None => serve(),
        Some("send") => send("greet", &words[1..].join(" ")),
        Some("browse") => send("browse", &words[1..].join(" ")),
        Some("shop") => match words.get(1).map(String::as_str) {
            None => shop(Fault::None),
            Some("hang") => shop(Fault::Hang),
            Some("fail") => shop(Fault::Fail),
            Some("reset") => shop(Fault::Reset),
            Some(other) => Err(io::Error::other(format!(
                "{other}: expected hang, fail or reset"
            ))),
        },
        Some(_) => {
            eprintln!("usage: toy [send TEXT | shop [hang|fail|reset] | browse TEXT]");
            std::process::exit(2);
        }
    }
}
