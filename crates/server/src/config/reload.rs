//! Applies a configuration that is read again while the server runs.
use super::{Config, ConfigError};

/// The result of a reload.
pub struct Reloaded {
    /// The configuration now in force.
    pub config: Config,
    /// The keys that changed in the files but keep their old values: learned state depends on the settings, and open
    /// connections on the listen address.
    pub unchangeable: Vec<&'static str>,
}

impl Config {
    /// Applies `new`, which was read while the server runs, to this configuration. An operator's file with an invalid
    /// declaration, or with a changed one that cannot change while the server runs, is rejected as a whole. The
    /// exception is `peers(...)`: it cannot be added or removed, but changed arguments other than `keepers` only keep
    /// their old values, and the rest of the file is applied.
    pub fn reload(&self, new: Config) -> Result<Reloaded, ConfigError> {
        let unchangeable = self.unchangeable_differences(&new);
        if let Some(operator) = &new.operator {
            if operator.serve.is_some() && !unchangeable.is_empty() {
                let file = operator.file.clone();
                return Err(ConfigError::FixedWhileRunning { file });
            }
            operator
                .validate(&self.handler_specs())
                .map_err(ConfigError::Operator)?;
        }
        // With `peers(...)` the quotas of shared budgets are leased, without it they are fixed. The kind cannot change
        // while calls are in flight: they are not counted by the kind under which they were issued.
        if self.has_peers() != new.has_peers() {
            let file = match &new.operator {
                Some(operator) => operator.file.clone(),
                None => "the configuration".to_string(),
            };
            return Err(ConfigError::PeersFixedWhileRunning { file });
        }
        let config = Config {
            engine: new.engine,
            control: new.control,
            records: new.records,
            operator: new.operator,
            shutdown_timeout: new.shutdown_timeout,
            max_connections: new.max_connections,
            memory_bytes: new.memory_bytes,
            ..self.clone()
        };
        Ok(Reloaded {
            config,
            unchangeable,
        })
    }

    fn unchangeable_differences(&self, new: &Config) -> Vec<&'static str> {
        let differences = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("settings", new.settings != self.settings),
            ("front", new.caller_source != self.caller_source),
        ];
        let names = differences.iter().filter(|(_, differs)| *differs);
        names.map(|(name, _)| *name).collect()
    }

    fn has_peers(&self) -> bool {
        let operator = self.operator.as_ref();
        operator.is_some_and(|operator| operator.peers.is_some())
    }
}
