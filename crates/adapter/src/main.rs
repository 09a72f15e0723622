//! The bench's wire on standard input and output: decodes events into calls on the decider of their instance
//! and encodes what it returns. One decider for each instance, nothing shared, nothing decided here.
#![expect(unreachable_pub, reason = "not yet read through; see docs/ROADMAP.md")]

mod decode;
mod encode;

use cottondyke_admission::{Actions, AdmissionController, Time};
use cottondyke_settings::{self as settings, WireNames, Wrong};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

type Instances = BTreeMap<String, (AdmissionController, WireNames)>;

fn event(
    instances: &mut Instances,
    now: Time,
    event: &Value,
) -> Result<Option<(String, Actions)>, Wrong> {
    let who = settings::text(event, "who")?;
    let word = settings::text(event, "cmd")?;
    let results = match word {
        "Create" => {
            let conf = event
                .get("conf")
                .filter(|c| c.is_object())
                .ok_or("Create without its settings (conf)")?;
            let mut controller =
                settings::admission_controller(now, settings::whole(event, "salt")?, conf)?;
            let results = controller.tick(now, Default::default());
            instances.insert(who.to_string(), (controller, settings::wire_names(conf)));
            results
        }
        "Destroy" => {
            instances.remove(who);
            return Ok(None);
        }
        _ => {
            let running = instances.get_mut(who);
            let (controller, wire_names) =
                running.ok_or_else(|| format!("{word} for {who}, which is not running"))?;
            match word {
                "Incoming" => {
                    controller.arrival(now, decode::arrival(event, wire_names.handlers.len())?)
                }
                "Ended" => controller.run_ended(now, decode::req(event)?, decode::run_end(event)?),
                "NeedsDep" => controller.call_wanted(now, decode::req(event)?),
                "CallResult" => {
                    controller.call_ended(now, decode::req(event)?, decode::call_end(event)?)
                }
                "Abandoned" => controller.caller_gone(now, decode::req(event)?),
                "Leaving" => controller.drain(now, decode::span(event, "grace_ms")?),
                "Wake" => controller.tick(now, decode::gauges(event, wire_names)?),
                _ => return Err(format!("unknown event {word}")),
            }
        }
    };
    Ok(Some((who.to_string(), results)))
}

fn batch(instances: &mut Instances, line: &str) -> Result<Value, Wrong> {
    let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let now = decode::clock(&batch)?;
    let events = batch
        .get("arrivals")
        .and_then(Value::as_array)
        .ok_or("a batch without its list of arrivals")?;
    let mut actions = Vec::new();
    for one in events {
        if let Some((who, results)) = event(instances, now, one)? {
            encode::results(&who, results, &mut actions);
        }
    }
    Ok(json!({ "cmds": actions }))
}

fn run() -> Result<(), Wrong> {
    let mut instances = BTreeMap::new();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("standard input: {e}"))?;
        let reply = batch(&mut instances, &line)
            .map_err(|wrong| format!("line {}: {wrong}", number + 1))?;
        serde_json::to_writer(&mut out, &reply).map_err(|e| format!("standard output: {e}"))?;
        writeln!(out)
            .and_then(|_| out.flush())
            .map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(())
}

fn main() {
    if let Err(wrong) = run() {
        eprintln!("cottondyke-adapter: {wrong}");
        std::process::exit(1);
    }
}
