//! The operator file of each instance.
use super::schedule::{NODES, NODE_NAMES, ZONES};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Ceiling of calls in flight at the shared dependency, over all instances.
pub(super) const CEILING: u64 = 24;
/// Rate limit of the metered dependency in calls per second, over all instances.
pub(super) const METERED_RATE: usize = 60;
pub(super) const RESPONSE_TARGET: Duration = Duration::from_millis(900);
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long calls may continue at a dependency after they were cancelled.
pub(super) const POST_CANCEL_GRACE: Duration = Duration::from_millis(400);
pub(super) const LEASE_DURATION: Duration = Duration::from_secs(2);

/// Handlers of the three pages, each of which uses one dependency.
pub(super) const SHARED_HANDLER: &str = "browse";
pub(super) const UNSHARED_HANDLER: &str = "plain";
pub(super) const METERED_HANDLER: &str = "metered";

/// Safeguards that adapt to the state of a dependency are off, because they would hide the effect of the budgets.
const ALWAYS_DISABLED: [&str; 3] = ["adapt", "breaker", "hedge"];

/// Listen addresses of a fleet's dependencies.
pub(super) struct DependencyAddresses {
    pub(super) shared: SocketAddr,
    pub(super) unshared: SocketAddr,
    pub(super) metered: SocketAddr,
}

/// Returns the text of the operator file of the instance with the given index. Without addresses of replicas, each
/// instance gets a fixed quota of the ceiling.
pub(super) fn operator_text(
    index: usize,
    replica_addrs: &[SocketAddr],
    data_dir: &Path,
    dependencies: &DependencyAddresses,
    disabled: &[String],
) -> String {
    let mut text = String::from("fleet(kept_mb = 1");
    if replica_addrs.is_empty() {
        let _ = writeln!(text, ", instances = {NODES})");
    } else {
        let replicas: Vec<String> = NODE_NAMES
            .iter()
            .zip(replica_addrs)
            .map(|(name, addr)| format!("\"{name}\": \"{addr}\""))
            .collect();
        let _ = write!(
            text,
            ")\npeers(name = \"{}\", zone = \"z{}\", listen = \"127.0.0.1:0\", keepers = {{{}}}, data = {:?}, \
             lease = \"{}ms\", longest_stop = \"7s\")\n",
            NODE_NAMES[index],
            index % ZONES,
            replicas.join(", "),
            data_dir.display().to_string(),
            LEASE_DURATION.as_millis()
        );
    }
    text += &pages_text(dependencies);
    let disabled: Vec<&str> = ALWAYS_DISABLED
        .into_iter()
        .chain(disabled.iter().map(String::as_str))
        .collect();
    let _ = writeln!(text, "defences(off = {disabled:?})");
    text
}

/// Returns the definitions of the pages and their dependencies.
fn pages_text(dependencies: &DependencyAddresses) -> String {
    let (target, timeout) = (RESPONSE_TARGET.as_millis(), CLIENT_TIMEOUT.as_millis());
    format!(
        "serve(listen = \"127.0.0.1:0\", at_once = 64, sockets = 1024, stop = \"2s\")\n\
         browse = handler(\"browse\", effect = \"replayable\", response_target = \"{target}ms\", client_timeout = \"{timeout}ms\")\n\
         plain = handler(\"plain\", effect = \"replayable\", response_target = \"{target}ms\", client_timeout = \"{timeout}ms\")\n\
         dependency(\"shared\", addr = \"{}\", budget = \"600ms\", ceiling = {CEILING}, waiting = 4, linger = \"{}ms\", replies = \"json\")\n\
         dependency(\"local\", addr = \"{}\", budget = \"400ms\", ceiling = 24, ceiling_of = \"instance\", replies = \"json\")\n\
         metered = handler(\"metered\", effect = \"replayable\", response_target = \"{target}ms\", client_timeout = \"{timeout}ms\")\n\
         dependency(\"metered\", addr = \"{}\", budget = \"400ms\", ceiling = 64, rate = {METERED_RATE}, linger = \"{}ms\", replies = \"json\")\n\
         page(metered, parts = [part(\"metered\", required = True)])\n\
         page(browse, parts = [part(\"shared\", required = True)])\n\
         page(plain, parts = [part(\"local\", required = True)])\n",
        dependencies.shared,
        POST_CANCEL_GRACE.as_millis(),
        dependencies.unshared,
        dependencies.metered,
        POST_CANCEL_GRACE.as_millis(),
    )
}
