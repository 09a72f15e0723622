//! Fakes of the systems around the server, for a demo. They use the addresses of `examples/config.json`.
//!
//! - `demo_platform` runs the engine, the records service and the control plane.
//! - `demo_platform send TEXT` sends one request as a sidecar does.
//! - `demo_platform shop [FAULT]` runs the dependencies of `examples/pages/shop.star`, with a fault in `prices`.
//! - `demo_platform browse TEXT` requests the shop page.

mod dependencies;
mod engine;
mod services;
mod sidecar;

use cottondyke_test_support::fake_dependency::Fault;
use std::io;
use std::process::ExitCode;

const EXIT_BAD_USAGE: u8 = 2;

fn main() -> io::Result<ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = arguments.first().map(String::as_str);
    let rest = arguments.get(1..).unwrap_or_default();
    match command {
        None => run_platform()?,
        Some("send") => sidecar::send_request("greet", &rest.join(" "))?,
        Some("browse") => sidecar::send_request("browse", &rest.join(" "))?,
        Some("shop") => dependencies::run(parse_fault(rest)?)?,
        Some(_) => {
            eprintln!("usage: demo_platform [send TEXT | shop [hang|fail|reset] | browse TEXT]");
            return Ok(ExitCode::from(EXIT_BAD_USAGE));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_fault(arguments: &[String]) -> io::Result<Fault> {
    match arguments.first().map(String::as_str) {
        None => Ok(Fault::None),
        Some("hang") => Ok(Fault::Hang),
        Some("fail") => Ok(Fault::Fail),
        Some("reset") => Ok(Fault::Reset),
        Some(other) => Err(io::Error::other(format!(
            "unknown fault {other:?}: expected hang, fail or reset"
        ))),
    }
}

/// Runs the engine, the records service and the control plane until the program is interrupted.
fn run_platform() -> io::Result<()> {
    let engine = engine::listen()?;
    let services = services::listen()?;
    println!(
        "engine on {}, records on {}, control plane on {}",
        engine::ADDRESS,
        services::RECORDS_ADDRESS,
        services::CONTROL_PLANE_ADDRESS
    );
    services.start();
    engine::serve(&engine)
}
