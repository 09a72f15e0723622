//! The program's configuration, read from the platform's configuration file, the operator's file, or both. The
//! platform's configuration is a JSON document: addresses of the engine, the control plane and the records service,
//! limits, and the settings of the admission controller. The operator's file is a Starlark script that declares
//! dependencies, how handlers call them, and, without the platform's configuration, the server and its handlers.
mod capacity;
pub mod error;
pub mod files;
mod reload;
mod standalone;
mod validate;

pub use error::{ConfigError, EvaluationError};
pub use reload::Reloaded;

use crate::clock::time_from_ms;
use crate::memory_plan::{self, MemoryDemand, MemoryPlan};
use cottondyke_admission::AdmissionController;
use cottondyke_operator_config::{HandlerSpec, OperatorConfig};
use cottondyke_settings::{self as settings, WireNames};
use cottondyke_types::{Idempotency, Time};
use rustix::process::{getrlimit, Resource};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes in a megabyte.
const MB: usize = 1 << 20;

/// The time limits of a handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandlerTimes {
    /// A response later than this is worth less.
    pub response_target: Time,
    /// The longest that clients wait.
    pub client_timeout: Time,
    /// A repeated request within this window gets the response of the original.
    pub dedup_window: Time,
}

/// How the callers are counted among which the admission controller divides the number of requests in flight
/// (`AdviceFormat::Credit`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSource {
    /// By `family_info.upstreams`, as configured (the default).
    Configured,
    /// By open connections, for many sidecars that each connect to this server only rarely.
    Connections,
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Config {
    /// The server's name in the control plane.
    pub name: String,
    /// The address at which sidecars connect.
    pub listen: SocketAddr,
    /// The engine's address; `None` without the platform's configuration.
    pub engine: Option<SocketAddr>,
    /// The control plane's address; `None` without the platform's configuration.
    pub control: Option<SocketAddr>,
    /// The records service's address; `None` where the server calls none.
    pub records: Option<SocketAddr>,
    /// The operator's file, validated against the handlers.
    pub operator: Option<OperatorConfig>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The longest time from the shutdown signal to the exit.
    pub shutdown_timeout: Duration,
    /// The most connections accepted from sidecars.
    pub max_connections: usize,
    /// The maximum number of descriptors that the process may have open.
    pub max_descriptors: u64,
    /// The program's memory limit in bytes.
    pub memory_bytes: usize,
    /// The longest client timeout, in milliseconds.
    pub max_client_timeout_ms: f64,
    /// Whether each handler may run twice for one request, indexed by `HandlerId`.
    pub idempotency: Vec<Idempotency>,
    /// The time limits of each handler, indexed by `HandlerId`.
    pub times: Vec<HandlerTimes>,
    /// How long the response to a read may be reused for other requests.
    pub read_cache_ttl: Time,
    /// The names of handlers and tenants, and the positions of the CPU gauges among the engine's load gauges.
    pub names: WireNames,
    /// How callers are counted.
    pub caller_source: CallerSource,
    settings: Value,
}

impl Config {
    /// Reads the platform's configuration.
    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_string(),
            source,
        })?;
        Self::parse(&text).map_err(|error| error.within(path))
    }

    /// Parses the platform's configuration, a JSON document.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let document: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let conf = object(&document, "settings")?;
        let seed = settings::string(&document, "seed").map_err(ConfigError::Value)?;
        let (sockets, memory_mb) = limits(&document)?;
        let names = settings::wire_names(conf);
        if names.handlers.is_empty() || names.handlers.iter().any(String::is_empty) {
            return Err(ConfigError::UnnamedClass);
        }
        let mut config = Config {
            name: settings::string(&document, "name")
                .map_err(ConfigError::Value)?
                .to_string(),
            listen: address(&document, "listen")?,
            engine: Some(address(&document, "engine")?),
            control: Some(address(&document, "control")?),
            records: records_address(&document, conf)?,
            operator: None,
            seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidSeed)?,
            shutdown_timeout: shutdown_timeout(&document)?,
            max_connections: capacity::max_connections(sockets, cores(conf))?,
            max_descriptors: sockets,
            memory_bytes: (memory_mb as usize).saturating_mul(MB),
            max_client_timeout_ms: max_client_timeout_ms(conf),
            times: classes(conf).map(handler_times).collect(),
            idempotency: settings::idempotencies(conf).map_err(ConfigError::settings)?,
            read_cache_ttl: settings::read_cache_ttl(conf).map_err(ConfigError::settings)?,
            names,
            caller_source: validate::caller_source(&document, conf)?,
            settings: Value::Null,
        };
        config.settings = conf.clone();
        validate::check_name(&config.name)?;
        validate::check_settings(&config).map_err(|error| error.within("settings"))?;
        config.admission_controller(Time(0))?;
        config.check_memory()?;
        Ok(config)
    }

    /// The handlers against which the operator's file is validated.
    pub fn handler_specs(&self) -> Vec<HandlerSpec> {
        let handlers = self.names.handlers.iter().zip(&self.times);
        handlers
            .map(|(name, times)| HandlerSpec {
                name: name.clone(),
                response_target: times.response_target,
            })
            .collect()
    }

    /// Adds the operator's file to the platform's configuration.
    pub fn with_operator(mut self, operator: OperatorConfig) -> Result<Self, ConfigError> {
        let declared_twice = |at: &cottondyke_operator_config::SourceLocation, what| {
            let at = at.clone();
            Err(ConfigError::DeclaredTwice { at, what })
        };
        if let Some(serve) = &operator.serve {
            return declared_twice(&serve.at, "serve(...)");
        }
        if let Some(handler) = operator.handlers.first() {
            return declared_twice(&handler.at, "handler(...)");
        }
        if let Some(tenant) = operator.tenants.first() {
            return declared_twice(&tenant.at, "customer(...)");
        }
        operator
            .validate(&self.handler_specs())
            .map_err(ConfigError::Operator)?;
        self.max_connections =
            capacity::max_caller_connections(self.max_connections, self.memory_bytes, &operator)?;
        self.operator = Some(operator);
        self.check_memory()?;
        Ok(self)
    }

    /// Divides the memory limit, given the memory of the program without callers, in bytes.
    pub fn memory_plan(&self, program_bytes: usize) -> Result<MemoryPlan, ConfigError> {
        let demand = MemoryDemand {
            limit_bytes: self.memory_bytes,
            program_bytes,
            cache_bytes: capacity::cache_bytes(self.operator.as_ref()),
            max_connections: self.max_connections,
        };
        MemoryPlan::new(demand).map_err(|error| ConfigError::TooLittleMemory {
            memory_mb: error.limit_bytes / MB,
            min_mb: error.min_bytes.div_ceil(MB),
        })
    }

    /// Checks that the memory limit holds the program and some callers.
    fn check_memory(&self) -> Result<(), ConfigError> {
        self.memory_plan(memory_plan::program_bytes(None)).map(drop)
    }

    /// Whether the settings say that the server starts cold, below its full speed.
    pub fn starts_cold(&self) -> bool {
        let info = self.settings.get("family_info");
        info.is_some_and(|info| settings::flag(info, "cold"))
    }

    /// Creates the admission controller of a server whose engine started at `started_at`.
    pub fn admission_controller(
        &self,
        started_at: Time,
    ) -> Result<AdmissionController, ConfigError> {
        settings::admission_controller(started_at, self.seed, &self.settings)
            .map_err(ConfigError::settings)
    }
}

fn object<'a>(document: &'a Value, key: &'static str) -> Result<&'a Value, ConfigError> {
    document
        .get(key)
        .filter(|value| value.is_object())
        .ok_or(ConfigError::Missing(key))
}

fn address(document: &Value, key: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = settings::string(document, key).map_err(ConfigError::Value)?;
    text.parse().map_err(|_| ConfigError::InvalidAddress {
        key,
        text: text.to_string(),
    })
}

/// The records service's address. It may be omitted where `below` is `none`: the server then calls no records service.
fn records_address(document: &Value, conf: &Value) -> Result<Option<SocketAddr>, ConfigError> {
    let below = conf
        .get("family_info")
        .and_then(|info| info.get("below")?.as_str());
    if below == Some("none") && settings::non_null(document, "records").is_none() {
        return Ok(None);
    }
    address(document, "records").map(Some)
}

fn shutdown_timeout(document: &Value) -> Result<Duration, ConfigError> {
    let ms = settings::unsigned(document, "stop_ms").map_err(ConfigError::Value)?;
    Ok(Duration::from_millis(ms))
}

/// The limits of descriptors and of memory in megabytes. The descriptors are capped at the system's limit.
fn limits(document: &Value) -> Result<(u64, u64), ConfigError> {
    let limits = object(document, "limits")?;
    let unsigned = |key| {
        settings::unsigned(limits, key).map_err(|error| ConfigError::Value(error).within("limits"))
    };
    let sockets = unsigned("sockets")?;
    let memory_mb = unsigned("memory_mb")?;
    let allowed = getrlimit(Resource::Nofile).current;
    Ok((sockets.min(allowed.unwrap_or(sockets)), memory_mb))
}

fn cores(conf: &Value) -> f64 {
    conf.get("family_info")
        .and_then(|info| info.get("n_cores")?.as_f64())
        .unwrap_or(0.0)
}

fn classes(conf: &Value) -> impl Iterator<Item = &Value> {
    let classes = conf.get("classes").and_then(Value::as_array);
    classes.into_iter().flatten()
}

fn class_ms(class: &Value, key: &str) -> f64 {
    class.get(key).and_then(Value::as_f64).unwrap_or(0.0)
}

fn handler_times(class: &Value) -> HandlerTimes {
    HandlerTimes {
        response_target: time_from_ms(class_ms(class, "aim_ms")),
        client_timeout: time_from_ms(class_ms(class, "deadline_ms")),
        dedup_window: time_from_ms(class_ms(class, "dedup_window_ms")),
    }
}

fn max_client_timeout_ms(conf: &Value) -> f64 {
    classes(conf)
        .map(|class| class_ms(class, "deadline_ms"))
        .fold(0.0, f64::max)
}
