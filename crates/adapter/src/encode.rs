//! Encodes the controller's actions as commands of the wire format, in the order of the fields of [`Actions`].

use cottondyke_admission::{Actions, RequestId, Time};
use serde_json::{json, Value};

/// The shortest idle timeout that the wire format allows.
const MIN_IDLE_TIMEOUT_MS: f64 = 10.0;

fn milliseconds(time: Time) -> f64 {
    time.0 as f64 / 10.0
}

/// Appends the commands for the actions of an instance.
pub(crate) fn encode_actions(instance: &str, actions: &Actions, commands: &mut Vec<Value>) {
    let command =
        |name: &str, id: RequestId| json!({ "cmd": name, "who": instance, "msg_id": id.0 });
    let with_time = |name: &str, (id, time): &(RequestId, Time), key: &str| {
        let mut command = command(name, *id);
        command[key] = json!(milliseconds(*time));
        command
    };
    commands.extend(actions.cancel.iter().map(|id| command("Preempt", *id)));
    commands.extend(actions.fail.iter().map(|id| command("ReportFailure", *id)));
    for rejection in &actions.reject {
        let mut deny = command("Deny", rejection.id);
        if rejection.retry_after.0 > 0 {
            deny["pause_ms"] = json!(milliseconds(rejection.retry_after));
        }
        if rejection.do_not_retry {
            deny["terminal"] = json!(true);
        }
        commands.push(deny);
    }
    let keep = |key: &(RequestId, Time)| with_time("Keep", key, "hold_for_ms");
    commands.extend(actions.retain_key.iter().map(keep));
    commands.extend(
        actions
            .release_key
            .iter()
            .map(|id| command("ReleaseKey", *id)),
    );
    commands.extend(actions.start.iter().map(|id| command("Dispatch", *id)));
    commands.extend(actions.coalesce.iter().map(|id| command("Join", *id)));
    let reach_out = |call: &(RequestId, Time)| with_time("ReachOut", call, "cap_ms");
    commands.extend(actions.call.iter().map(reach_out));
    commands.extend(actions.skip_call.iter().map(|id| command("Degrade", *id)));
    encode_server_actions(instance, actions, commands);
}

/// Appends the commands that concern the server as a whole and no single request.
fn encode_server_actions(instance: &str, actions: &Actions, commands: &mut Vec<Value>) {
    if let Some(healthy) = actions.health {
        commands.push(json!({ "cmd": "Health", "who": instance, "stored": true, "want": healthy }));
    }
    if let Some(level) = actions.advice {
        commands.push(json!({ "cmd": "HintOut", "who": instance, "level": level }));
    }
    if let Some(time) = actions.idle_timeout {
        let timeout = milliseconds(time).max(MIN_IDLE_TIMEOUT_MS);
        commands.push(json!({ "cmd": "TrimAfter", "who": instance, "hold_for_ms": timeout }));
    }
    if let Some(time) = actions.next_tick {
        let delay = milliseconds(time);
        commands.push(
            json!({ "cmd": "WakeMe", "who": instance, "delay_ms": delay, "key_back": "look" }),
        );
    }
}
