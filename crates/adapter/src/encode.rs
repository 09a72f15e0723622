//! From the decider's results to the wire's actions, in the results' documented order.
use cottondyke_admission::types::*;
use serde_json::{json, Value};

/// The wire takes no shorter one.
const SHORTEST_IDLE_MS: f64 = 10.0;

fn ms(time: Time) -> f64 {
    time.0 as f64 / 10.0
}

pub fn results(who: &str, results: Results, to: &mut Vec<Value>) {
    let on = |word: &str, id: RequestId| json!({ "cmd": word, "who": who, "msg_id": id.0 });
    to.extend(results.stop.iter().map(|id| on("Preempt", *id)));
    to.extend(results.fail.iter().map(|id| on("ReportFailure", *id)));
    for shed in &results.shed {
        let mut action = on("Deny", shed.id);
        if shed.pause.0 > 0 {
            action["pause_ms"] = json!(ms(shed.pause));
        }
        if shed.last {
            action["terminal"] = json!(true);
        }
        to.push(action);
    }
    for (id, time) in &results.keep {
        let mut action = on("Keep", *id);
        action["hold_for_ms"] = json!(ms(*time));
        to.push(action);
    }
    to.extend(results.release.iter().map(|id| on("ReleaseKey", *id)));
    to.extend(results.start.iter().map(|id| on("Dispatch", *id)));
    to.extend(results.join.iter().map(|id| on("Join", *id)));
    for (id, time) in &results.call {
        let mut action = on("ReachOut", *id);
        action["cap_ms"] = json!(ms(*time));
        to.push(action);
    }
    to.extend(results.skip.iter().map(|id| on("Degrade", *id)));
    if let Some(good) = results.health {
        to.push(json!({ "cmd": "Health", "who": who, "stored": true, "want": good }));
    }
    if let Some(level) = results.advice {
        to.push(json!({ "cmd": "HintOut", "who": who, "level": level }));
    }
    if let Some(time) = results.trim {
        to.push(json!({ "cmd": "TrimAfter", "who": who, "hold_for_ms": ms(time).max(SHORTEST_IDLE_MS) }));
    }
    if let Some(time) = results.wake {
        to.push(json!({ "cmd": "WakeMe", "who": who, "delay_ms": ms(time), "key_back": "look" }));
    }
}
