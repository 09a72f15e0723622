//! What the program is told at its start.
use crate::time::span_of_ms;
use cottondyke_decide::decide::Decider;
use cottondyke_decide::types::{Kind, Time};
use cottondyke_settings::{self as settings, Places, Wrong};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors kept for engine, calls, control plane, listener, timers and log.
const KEPT_BACK: u64 = 96;

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    pub control: SocketAddr,
    pub records: SocketAddr,
    pub seed: u64,
    /// From the notice to leave to the end.
    pub stop: Duration,
    /// Connections taken from sidecars.
    pub connections: usize,
    /// Bytes that the program may take.
    pub memory: usize,
    /// The longest client timeout, in milliseconds.
    pub longest: f64,
    pub kinds: Vec<Kind>,
    /// Response target and client timeout by handler.
    pub times: Vec<(Time, Time)>,
    /// How long the answer of a read may be handed to others.
    pub fresh: Time,
    pub places: Places,
    settings: Value,
}

impl Config {
    pub fn read(path: &str) -> Result<Self, Wrong> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        Self::parse(&text).map_err(|wrong| format!("{path}: {wrong}"))
    }

    pub fn parse(text: &str) -> Result<Self, Wrong> {
        let all: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let address = |key: &str| {
            let text = settings::text(&all, key)?;
            text.parse().map_err(|_| format!("{key} is not an address with a port: {text}"))
        };
        let conf = all.get("settings").filter(|s| s.is_object()).ok_or("settings is missing")?;
        let seed = settings::text(&all, "seed")?;
        let limits = all.get("limits").filter(|l| l.is_object()).ok_or("limits is missing")?;
        let sockets = settings::whole(limits, "sockets").map_err(|wrong| format!("limits: {wrong}"))?;
        let memory = settings::whole(limits, "memory_mb").map_err(|wrong| format!("limits: {wrong}"))?;
        let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let connections = sockets.min(allowed.unwrap_or(sockets)).checked_sub(KEPT_BACK).filter(|n| *n > 0);
        let classes = conf.get("classes").and_then(Value::as_array).into_iter().flatten();
        let ms = |class: &Value, key: &str| class.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        let times = classes.map(|class| (ms(class, "aim_ms"), ms(class, "deadline_ms"))).collect::<Vec<_>>();
        let places = settings::places(conf);
        if places.handlers.is_empty() || places.handlers.iter().any(String::is_empty) {
            return Err("settings: classes is empty or lacks a name".to_string());
        }
        let config = Config {
            name: settings::text(&all, "name")?.to_string(),
            listen: address("listen")?,
            engine: address("engine")?,
            control: address("control")?,
            records: address("records")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| "seed is not a hexadecimal number")?,
            stop: Duration::from_millis(settings::whole(&all, "stop_ms")?),
            connections: connections.ok_or(format!("limits: sockets must be over {KEPT_BACK}"))? as usize,
            memory: (memory as usize).saturating_mul(1 << 20),
            longest: times.iter().map(|(_, timeout)| *timeout).fold(0.0, f64::max),
            times: times.iter().map(|(aim, timeout)| (span_of_ms(*aim), span_of_ms(*timeout))).collect(),
            kinds: settings::kinds(conf).map_err(|wrong| format!("settings: {wrong}"))?,
            fresh: settings::fresh(conf).map_err(|wrong| format!("settings: {wrong}"))?,
            places,
            settings: conf.clone(),
        };
        if config.name.is_empty()
            || !config.name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        {
            return Err("name may hold letters, digits, dots and dashes".to_string());
        }
        config.plausible().map_err(|wrong| format!("settings: {wrong}"))?;
        config.decider(Time(0)).map(|_| config)
    }

    /// What is in force once `new` was read while the server runs, and what of it cannot be obeyed: what was
    /// learned belongs to the settings, what is connected to the address.
    pub fn renewed(&self, new: Config) -> (Config, Vec<&'static str>) {
        let told = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("settings", new.settings != self.settings),
        ];
        let in_vain = told.into_iter().filter(|(_, differs)| *differs).map(|(what, _)| what).collect();
        let Config { engine, control, records, stop, connections, memory, .. } = new;
        (Config { engine, control, records, stop, connections, memory, ..self.clone() }, in_vain)
    }

    /// Settings that no server can have.
    fn plausible(&self) -> Result<(), Wrong> {
        let part =
            |key: &str| self.settings.get(key).filter(|p| p.is_object()).ok_or(format!("{key} is missing"));
        let (info, rules) = (part("family_info")?, part("obligations")?);
        let within = |of: &Value, key: &str, least: f64, most: f64| {
            let number = settings::number(of, key)?;
            let fits = (least..=most).contains(&number);
            fits.then_some(()).ok_or(format!("{key} is {number}, which no server can have"))
        };
        within(info, "n_cores", 1.0, 65_536.0)?;
        within(info, "mem_limit_kb", 1.0, 1e15)?;
        within(rules, "overload_factor", 1.0, 1e9)?;
        let classes = self.settings.get("classes").and_then(Value::as_array);
        classes.into_iter().flatten().try_for_each(|class| {
            within(class, "deadline_ms", 0.1, 1e12)?;
            within(class, "aim_ms", 0.1, 1e12)
        })
    }

    /// The decider of a server whose engine started at `born`.
    pub fn decider(&self, born: Time) -> Result<Decider, Wrong> {
        settings::decider(born, self.seed, &self.settings).map_err(|wrong| format!("settings: {wrong}"))
    }
}
