//! The shop that the trials of dependencies share: its script, its stand-ins, and what an answer of it is worth.
use crate::load::Sent;
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig};
use std::fmt::Write;
use std::io;
use std::time::Duration;

pub const TARGET: Duration = Duration::from_millis(420);
pub const TIMEOUT: Duration = Duration::from_millis(1_500);
pub const CEILING: u64 = 24;
pub const RETRIES: f64 = 0.1;
pub const LINGER: Duration = Duration::from_millis(300);
/// What a part is worth beside a whole one; an answer is worth the mean of its parts.
fn part_worth(state: &str) -> f64 {
    match state {
        "whole" => 1.0,
        "other" => 0.9,
        "kept" => 0.8,
        "fixed" => 0.3,
        _ => 0.0,
    }
}
/// What an answer after the response target is worth beside one in time.
const LATE: f64 = 0.2;

/// The dependencies of one fleet: catalogue, prices, stock, and what stands in for prices.
pub const NAMES: [&str; 4] = ["catalogue", "prices", "stock", "backup"];

pub fn dependencies(seed: u64) -> io::Result<Vec<FakeDependency>> {
    let shape = |place: u64| FakeDependencyConfig {
        mean_latency: Duration::from_millis(if place == 3 { 30 } else { 60 }),
        concurrency_limit: CEILING,
        post_cancel_duration: LINGER,
        seed: seed.wrapping_mul(31).wrapping_add(place),
    };
    (0..4)
        .map(|place| FakeDependency::start(shape(place)))
        .collect()
}

pub fn script(dependencies: &[FakeDependency], instances: usize, off: &[&str]) -> String {
    let mut text = format!(
        "fleet(instances = {instances}, kept_mb = 1)\n\
         serve(listen = \"127.0.0.1:0\", at_once = 14, sockets = 512, stop = \"2s\")\n\
         browse = handler(\"browse\", effect = \"replayable\", response_target = \"{}ms\", \
         client_timeout = \"{}ms\")\n",
        TARGET.as_millis(),
        TIMEOUT.as_millis(),
    );
    for (name, dependency) in NAMES.iter().zip(dependencies) {
        let budget = if *name == "backup" { 130 } else { 260 };
        let _ = writeln!(
            text,
            "dependency({name:?}, addr = \"{}\", budget = \"{budget}ms\", ceiling = {CEILING}, floor = 1, \
             linger = \"{}ms\", retries = {RETRIES}, hedge = 0.95, replies = \"json\")",
            dependency.addr,
            LINGER.as_millis(),
        );
    }
    text += "page(browse, parts = [\n\
             part(\"catalogue\", fallbacks = [kept(\"60s\"), leave_out()]),\n\
             part(\"prices\", fallbacks = [other(\"backup\"), fixed({\"price\": None})]),\n\
             part(\"stock\", fallbacks = [kept(\"60s\"), leave_out()]),\n])\n";
    let _ = writeln!(text, "defences(off = {off:?})");
    text
}

/// What a req came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    pub answers: usize,
    pub done: bool,
    pub partial: bool,
    /// Answered after its due time, or never.
    pub lost: bool,
    /// Done after its response target.
    pub late: bool,
    /// The head says another thing than the body, or the body another than what the dependency sends.
    pub lied: bool,
    pub value: f64,
}

pub fn worth(sent: &Sent) -> Worth {
    let mut worth = Worth {
        answers: sent.heard.len(),
        ..Worth::default()
    };
    let Some((at, heard)) = sent.heard.first() else {
        worth.lost = true;
        return worth;
    };
    let took = at.saturating_duration_since(sent.due);
    worth.lost = took > TIMEOUT;
    worth.done = heard.code == 1;
    if !worth.done {
        worth.lied = heard.field("partial").is_some();
        return worth;
    }
    worth.late = took > TARGET;
    let told = heard
        .field("partial")
        .map(|names| names.split(',').collect::<Vec<_>>())
        .unwrap_or_default();
    worth.partial = !told.is_empty();
    let (lies, parts) = read(&heard.body, &told, sent.size).unwrap_or((true, 0.0));
    worth.lied = lies;
    worth.value = parts * if worth.late { LATE } else { 1.0 };
    worth
}

/// Whether the answer is not what its head says, and what its parts are worth; none where it cannot be read.
fn read(body: &[u8], told: &[&str], size: usize) -> Option<(bool, f64)> {
    let read: serde_json::Value = serde_json::from_slice(body).ok()?;
    let parts = read.get("parts")?.as_object()?;
    let (mut wrong, mut value) = (parts.len() != 3, 0.0);
    for (name, part) in parts {
        let state = part.get("state")?.as_str()?;
        value += part_worth(state) / 3.0;
        let of = part
            .get("body")
            .and_then(|b| b.get("of"))
            .and_then(serde_json::Value::as_u64);
        wrong |= (state == "whole") == told.contains(&name.as_str());
        // What came from a dependency is what it sent for this req's body.
        wrong |= matches!(state, "whole" | "kept" | "other") && of != Some(size as u64);
        wrong |= !matches!(state, "whole" | "kept" | "other" | "fixed" | "missing");
    }
    Some((wrong, value))
}
