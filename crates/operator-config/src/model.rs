//! The values that a script's declarations stand for. Spans are in tenths of a millisecond, as everywhere in the
//! project; each value carries the place where it was declared.
use crate::arguments::{shown, Arguments};
use crate::{ConfigError, Declaration, SourceLocation, MADE};
use cottondyke_types::{Idempotency, Time};
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use std::net::SocketAddr;

const MS: i64 = 10;
pub const MAX_DEPENDENCIES: usize = 64;
pub const MAX_PARTS: usize = 32;
pub const MAX_FALLBACKS: usize = 8;
/// Bytes of one fixed value.
pub const MAX_FIXED: usize = 65_536;

/// How the program serves without a configuration of the platform's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Serve {
    pub at: SourceLocation,
    pub name: String,
    pub listen: SocketAddr,
    /// Reqs that run beside each other, at the most.
    pub at_once: u64,
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: u64,
    /// From the notice to leave to the end.
    pub stop: i64,
    /// The longest time after which a shed asks to come back.
    pub pause: i64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    Replayable,
    Uniqued,
    NonReplayable,
}

impl Effect {
    pub fn kind(self) -> Idempotency {
        match self {
            Effect::Replayable => Idempotency::Idempotent,
            Effect::Uniqued => Idempotency::Keyed,
            Effect::NonReplayable => Idempotency::NonIdempotent,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handler {
    pub at: SourceLocation,
    pub name: String,
    pub effect: Effect,
    pub response_target: i64,
    pub client_timeout: i64,
    pub value: f64,
    /// The part of the value left after the response target.
    pub late_value: f64,
    /// How long a uniqued req may come back.
    pub window: i64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    pub at: SourceLocation,
    pub name: String,
    /// Reqs a second inside its share, over the fleet.
    pub per_second: f64,
}

/// The other instances of the fleet, and this one among them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peers {
    pub at: SourceLocation,
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    /// Where others reach it, where that is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// How often another member is looked after.
    pub probe: i64,
    /// Those who keep the registry, by name.
    pub keepers: Vec<(String, SocketAddr)>,
    /// Where it keeps what outlives it. A keeper needs it.
    pub data: Option<String>,
    /// How long a share may be used after it was asked for.
    pub lease: i64,
    /// The longest for which a process may be stopped and still go on.
    pub longest_stop: i64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dependency {
    pub at: SourceLocation,
    pub name: String,
    pub addr: SocketAddr,
    pub path: String,
    pub json: bool,
    pub budget: i64,
    /// Calls that it survives, from all instances together.
    pub ceiling: u64,
    /// Calls a second, from whom the ceiling counts for.
    pub rate: Option<u64>,
    /// Whether both count for this instance alone.
    pub own: bool,
    pub floor: u64,
    pub linger: i64,
    pub waiting: Option<u64>,
    pub retries: f64,
    pub hedge: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fallback {
    /// The greatest age.
    Kept(i64),
    Other(String),
    /// Any value; as JSON where the dependency's replies are, else a text as it stands.
    Fixed(Json),
    LeaveOut,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub at: SourceLocation,
    pub name: String,
    pub dependency: String,
    pub required: bool,
    pub fallbacks: Vec<(SourceLocation, Fallback)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    pub at: SourceLocation,
    pub handler: String,
    pub parts: Vec<Part>,
}

/// What the operator's file says.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    pub file: String,
    pub serve: Option<Serve>,
    pub peers: Option<Peers>,
    /// Instances that may run at one time.
    pub instances: Option<u64>,
    /// Megabytes for kept answers.
    pub kept_mb: f64,
    /// Where `fleet` stands.
    pub fleet: SourceLocation,
    pub handlers: Vec<Handler>,
    pub tenants: Vec<Tenant>,
    pub dependencies: Vec<Dependency>,
    pub aggregations: Vec<Page>,
    /// Defences that are switched off, for trials.
    pub disabled_safeguards: Vec<String>,
}

pub const SAFEGUARDS: [&str; 13] = [
    "budget",
    "limit",
    "adapt",
    "breaker",
    "hedge",
    "kept",
    "fallback",
    "restart",
    "lease",
    "fence",
    "linger",
    "need",
    "suspicion",
];
/// Keepers of a registry: a majority of them must be there.
const KEEPERS: [usize; 3] = [1, 3, 5];

fn address(args: &mut Arguments, name: &'static str) -> Result<SocketAddr, ConfigError> {
    const WHAT: &str = "an IP address with a port such as \"127.0.0.1:8080\"";
    args.read(name, WHAT, None, |value| value.as_str()?.parse().ok())
}

fn serve(mut args: Arguments) -> Result<Serve, ConfigError> {
    let serve = Serve {
        name: args.name("name", Some("cottondyke"))?,
        listen: address(&mut args, "listen")?,
        at_once: args.whole("at_once", 1, 65_536, Some(64))?,
        memory_mb: args.whole("memory_mb", 16, 1 << 20, Some(64))?,
        sockets: args.whole("sockets", 128, 1 << 20, Some(1_024))?,
        stop: args.duration("stop", Some(Time(3_000 * MS)))?.0,
        pause: args.duration("longest_pause", Some(Time(1_000 * MS)))?.0,
        seed: args.whole("seed", 0, u64::MAX, Some(1))?,
        at: args.at.clone(),
    };
    args.finish().map(|()| serve)
}

fn peers(mut args: Arguments) -> Result<Peers, ConfigError> {
    const KEPT: &str = "1, 3 or 5 names with an address each such as {\"a\": \"10.0.0.1:7100\"}";
    let fits = |name: &str| {
        !name.is_empty() && name.len() <= 64 && name.chars().all(|c| c.is_ascii_graphic())
    };
    let keepers = args.read("keepers", KEPT, None, |value| {
        let read = |(name, addr): (&String, &Json)| {
            Some((name.clone(), addr.as_str()?.parse().ok()?)).filter(|(name, _)| fits(name))
        };
        let all: Option<Vec<(String, SocketAddr)>> = value.as_object()?.iter().map(read).collect();
        all.filter(|all| KEEPERS.contains(&all.len()))
    })?;
    let what = "None or the path of a folder";
    let data = args.read("data", what, Some(None), |v| {
        v.as_str().filter(|t| !t.is_empty()).map(|t| Some(t.into()))
    })?;
    let name = args.name("name", None)?;
    if data.is_none() && keepers.iter().any(|(keeper, _)| *keeper == name) {
        let what =
            "data is missing: expected a folder that outlives the process, since this instance is a keeper";
        return Err(args.wrong(what));
    }
    let peers = Peers {
        name,
        zone: args.name("zone", Some("here"))?,
        listen: address(&mut args, "listen")?,
        advertise: args.read(
            "advertise",
            "None or an IP address with a port",
            Some(None),
            |value| value.as_str()?.parse().ok().map(Some),
        )?,
        probe: args.duration("probe", Some(Time(1_000 * MS)))?.0,
        keepers,
        data,
        lease: args.duration("lease", Some(Time(3_000 * MS)))?.0,
        longest_stop: args.duration("longest_stop", Some(Time(60_000 * MS)))?.0,
        at: args.at.clone(),
    };
    if !(500 * MS..=600_000 * MS).contains(&peers.lease) {
        let given = Json::from(in_words(Time(peers.lease)));
        return Err(args.expected("lease", &given, "a time from \"500ms\" to \"10m\""));
    }
    if !(50 * MS..=60_000 * MS).contains(&peers.probe) {
        let given = Json::from(in_words(Time(peers.probe)));
        return Err(args.expected("probe", &given, "a time from \"50ms\" to \"1m\""));
    }
    args.finish().map(|()| peers)
}

fn handler(mut args: Arguments) -> Result<Handler, ConfigError> {
    let name = args.name("name", None)?;
    let kinds = ["replayable", "uniqued", "non-replayable"];
    let effect = match args.one_of("effect", &kinds, None)?.as_str() {
        "replayable" => Effect::Replayable,
        "uniqued" => Effect::Uniqued,
        _ => Effect::NonReplayable,
    };
    let response_target = args.duration("response_target", None)?;
    let client_timeout = args.duration("client_timeout", None)?;
    if client_timeout < response_target {
        return Err(args.wrong(format!(
            "client_timeout is {}: expected no less than the response target of {}",
            in_words(client_timeout),
            in_words(response_target)
        )));
    }
    let handler = Handler {
        name,
        effect,
        response_target: response_target.0,
        client_timeout: client_timeout.0,
        value: args.number("value", 0.0, 1e9, Some(1.0))?,
        late_value: args.number("late_value", 0.0, 1.0, Some(0.2))?,
        window: args.duration("window", Some(client_timeout))?.0,
        at: args.at.clone(),
    };
    args.finish().map(|()| handler)
}

fn customer(mut args: Arguments) -> Result<Tenant, ConfigError> {
    let name = args.name("name", None)?;
    let per_second = args.number("per_second", 0.0, 1e9, None)?;
    let at = args.at.clone();
    args.finish().map(|()| Tenant {
        at,
        name,
        per_second,
    })
}

fn dependency(mut args: Arguments) -> Result<Dependency, ConfigError> {
    let name = args.name("name", None)?;
    let addr = address(&mut args, "addr")?;
    const PATH: &str = "a path that starts with a slash, of printable ASCII without spaces";
    let plain =
        |t: &&str| t.starts_with('/') && t.len() <= 512 && t.bytes().all(|b| b.is_ascii_graphic());
    let path = args.read("path", PATH, Some("/".to_string()), |value| {
        value.as_str().filter(plain).map(String::from)
    })?;
    let ceiling = args.whole("ceiling", 1, 1 << 20, None)?;
    let linger = args.duration("linger", Some(Time(1_000 * MS)))?;
    let waiting = args.read(
        "waiting",
        "None or a whole number from 0 to 4096",
        Some(None),
        |value| value.as_u64().filter(|n| *n <= 4_096).map(Some),
    )?;
    let hedge = args.read(
        "hedge",
        "None or a quantile of its latency from 0.5 to 0.999",
        Some(None),
        |value| {
            value
                .as_f64()
                .filter(|q| (0.5..=0.999).contains(q))
                .map(Some)
        },
    )?;
    let dependency = Dependency {
        name,
        addr,
        path,
        json: args.one_of("replies", &["json", "text"], Some("text"))? == "json",
        budget: args.duration("budget", None)?.0,
        ceiling,
        rate: args.read(
            "rate",
            "None or a whole number from 1 to 1000000",
            Some(None),
            |value| {
                value
                    .as_u64()
                    .filter(|n| (1..=1_000_000).contains(n))
                    .map(Some)
            },
        )?,
        own: args.one_of("ceiling_of", &["fleet", "instance"], Some("fleet"))? == "instance",
        floor: args.whole("floor", 1, 1 << 20, Some(1))?,
        linger: linger.0,
        waiting,
        retries: args.number("retries", 0.0, 1.0, Some(0.1))?,
        hedge,
        at: args.at.clone(),
    };
    args.finish().map(|()| dependency)
}

fn fallback(whose: &Arguments, value: &Json) -> Result<(SourceLocation, Fallback), ConfigError> {
    let what = "kept(age), other(dependency), fixed(value) or leave_out()";
    let first: &[&'static str] = match value.get(MADE).and_then(Json::as_str) {
        Some("kept") => &["most"],
        Some("other") => &["dependency"],
        Some("fixed") => &["value"],
        Some("part") => &["name"],
        _ => &[],
    };
    let made =
        Arguments::made(value, first).ok_or_else(|| whose.expected("fallbacks", value, what))?;
    let mut args = made?;
    let fallback = match args.function.as_str() {
        "kept" => Fallback::Kept(args.duration("most", None)?.0),
        "other" => Fallback::Other(args.name("dependency", None)?),
        "fixed" => {
            let value = args.read("value", "any value", None, |value| Some(value.clone()))?;
            let size = value.to_string().len();
            if size > MAX_FIXED {
                return Err(args.expected(
                    "value",
                    &Json::from(size),
                    &format!("at most {MAX_FIXED} bytes"),
                ));
            }
            Fallback::Fixed(value)
        }
        "leave_out" => Fallback::LeaveOut,
        other => return Err(whose.wrong(format!("fallbacks holds {other}(): expected {what}"))),
    };
    let at = args.at.clone();
    args.finish().map(|()| (at, fallback))
}

fn part(page: &Arguments, value: &Json) -> Result<Part, ConfigError> {
    let made = value.get(MADE).and_then(Json::as_str);
    let made = made
        .filter(|function| *function == "part")
        .and_then(|_| Arguments::made(value, &["name"]));
    let mut args = made.ok_or_else(|| page.expected("parts", value, "part(name, ...)"))??;
    let name = args.name("name", None)?;
    let dependency = args.name("dependency", Some(&name))?;
    let required = args.flag("required", false)?;
    let list = args.list("fallbacks", "a list")?;
    if list.len() > MAX_FALLBACKS {
        return Err(args.wrong(format!(
            "{} fall-backs: expected at most {MAX_FALLBACKS}",
            list.len()
        )));
    }
    let fallbacks = list
        .iter()
        .map(|value| fallback(&args, value))
        .collect::<Result<_, _>>()?;
    let at = args.at.clone();
    args.finish().map(|()| Part {
        at,
        name,
        dependency,
        required,
        fallbacks,
    })
}

fn page(mut args: Arguments) -> Result<Page, ConfigError> {
    let handler = args.name("handler", None)?;
    let list = args.list("parts", "a list of part(name, ...)")?;
    if list.is_empty() || list.len() > MAX_PARTS {
        return Err(args.wrong(format!(
            "parts holds {}: expected 1 to {MAX_PARTS}",
            list.len()
        )));
    }
    let parts = list
        .iter()
        .map(|value| part(&args, value))
        .collect::<Result<_, _>>()?;
    let at = args.at.clone();
    args.finish().map(|()| Page { at, handler, parts })
}

pub fn in_words(time: Time) -> String {
    let ms = time.0 as f64 / MS as f64;
    if ms >= 1_000.0 {
        format!("{} s", ms / 1_000.0)
    } else {
        format!("{ms} ms")
    }
}

/// Types what a script declared.
pub fn operator(file: &str, declared: Vec<Declaration>) -> Result<OperatorConfig, ConfigError> {
    let mut all = OperatorConfig {
        file: file.to_string(),
        kept_mb: 4.0,
        ..OperatorConfig::default()
    };
    let mut fleet = false;
    for one in declared {
        let first: &[&'static str] = match one.function.as_str() {
            "handler" | "customer" | "dependency" => &["name"],
            "page" => &["handler"],
            _ => &[],
        };
        let function = one.function.clone();
        let mut args = Arguments::new(one, first)?;
        match function.as_str() {
            "serve" if all.serve.is_some() => {
                return Err(args.wrong("declared twice: expected once"))
            }
            "serve" => all.serve = Some(serve(args)?),
            "peers" if all.peers.is_some() => {
                return Err(args.wrong("declared twice: expected once"))
            }
            "peers" => all.peers = Some(peers(args)?),
            "fleet" if fleet => return Err(args.wrong("declared twice: expected once")),
            "fleet" => {
                (fleet, all.fleet) = (true, args.at.clone());
                let what = "a whole number from 1 to 100000";
                let read = |value: &Json| {
                    value
                        .as_u64()
                        .filter(|n| (1..=100_000).contains(n))
                        .map(Some)
                };
                all.instances = args.read("instances", what, Some(None), read)?;
                all.kept_mb = args.number("kept_mb", 0.0, 65_536.0, Some(4.0))?;
                args.finish()?;
            }
            "handler" => all.handlers.push(handler(args)?),
            "customer" => all.tenants.push(customer(args)?),
            "dependency" => all.dependencies.push(dependency(args)?),
            "page" => all.aggregations.push(page(args)?),
            "defences" => {
                for value in args.list("off", "a list of names")? {
                    let name = value.as_str().filter(|name| SAFEGUARDS.contains(name));
                    let near = crate::arguments::nearest(
                        value.as_str().unwrap_or_default(),
                        SAFEGUARDS.into_iter(),
                    );
                    let what = format!("any of {}{near}", SAFEGUARDS.join(", "));
                    let wrong =
                        || args.wrong(format!("off holds {}: expected {what}", shown(&value)));
                    all.disabled_safeguards
                        .push(name.ok_or_else(wrong)?.to_string());
                }
                args.finish()?;
            }
            _ => return Err(args.wrong("expected a declaration")),
        }
    }
    Ok(all)
}
