//! From the decider's results to the wire's actions, in the results' documented order.
use cottondyke_admission::*;
use serde_json::{json, Value};

/// The wire takes no shorter one.
const SHORTEST_IDLE_MS: f64 = 10.0;

fn ms(time: Time) -> f64 {
    time.0 as f64 / 10.0
}

pub fn results(who: &str, actions: Actions, to: &mut Vec<Value>) {
    let on = |word: &str, id: RequestId| json!({ "cmd": word, "who": who, "msg_id": id.0 });
    to.extend(actions.cancel.iter().map(|id| on("Preempt", *id)));
    to.extend(actions.fail.iter().map(|id| on("ReportFailure", *id)));
    for rejection in &actions.reject {
        let mut action = on("Deny", rejection.id);
        if rejection.retry_after.0 > 0 {
            action["pause_ms"] = json!(ms(rejection.retry_after));
        }
        if rejection.do_not_retry {
            action["terminal"] = json!(true);
        }
        to.push(action);
    }
    for (id, time) in &actions.retain_key {
        let mut action = on("Keep", *id);
        action["hold_for_ms"] = json!(ms(*time));
        to.push(action);
    }
    to.extend(actions.release_key.iter().map(|id| on("ReleaseKey", *id)));
    to.extend(actions.start.iter().map(|id| on("Dispatch", *id)));
    to.extend(actions.coalesce.iter().map(|id| on("Join", *id)));
    for (id, time) in &actions.call {
        let mut action = on("ReachOut", *id);
        action["cap_ms"] = json!(ms(*time));
        to.push(action);
    }
    to.extend(actions.skip_call.iter().map(|id| on("Degrade", *id)));
    if let Some(good) = actions.health {
        to.push(json!({ "cmd": "Health", "who": who, "stored": true, "want": good }));
    }
    if let Some(level) = actions.advice {
        to.push(json!({ "cmd": "HintOut", "who": who, "level": level }));
    }
    if let Some(time) = actions.idle_timeout {
        to.push(json!({ "cmd": "TrimAfter", "who": who, "hold_for_ms": ms(time).max(SHORTEST_IDLE_MS) }));
    }
    if let Some(time) = actions.next_tick {
        to.push(json!({ "cmd": "WakeMe", "who": who, "delay_ms": ms(time), "key_back": "look" }));
    }
}
