//! Parses the declarations of a script into typed values, one module for each kind of declaration.
//!
//! Errors list the known arguments of a declaration in the order in which its parser reads them.
mod aggregation;
mod dependency;
mod error;
mod fleet;
mod handler;
mod peers;
mod safeguards;
mod serve;

use crate::arguments::Arguments;
use crate::{ConfigError, Declaration, OperatorConfig};
use error::DeclarationError;
use fleet::DEFAULT_STALE_CACHE_MB;

impl OperatorConfig {
    /// Parses the declarations of the script `file`. They are checked one by one; [`OperatorConfig::validate`] checks
    /// them against each other.
    pub fn from_declarations(
        file: &str,
        declarations: Vec<Declaration>,
    ) -> Result<Self, ConfigError> {
        let mut parser = Parser {
            config: OperatorConfig {
                file: file.to_string(),
                stale_cache_mb: DEFAULT_STALE_CACHE_MB,
                ..OperatorConfig::default()
            },
            has_fleet: false,
        };
        for declaration in declarations {
            parser.add(declaration)?;
        }
        Ok(parser.config)
    }
}

/// The configuration parsed so far.
struct Parser {
    config: OperatorConfig,
    has_fleet: bool,
}

impl Parser {
    fn add(&mut self, declaration: Declaration) -> Result<(), ConfigError> {
        let positional: &[&'static str] = match declaration.function.as_str() {
            "handler" | "customer" | "dependency" => &["name"],
            "page" => &["handler"],
            _ => &[],
        };
        let function = declaration.function.clone();
        let arguments = Arguments::new(declaration, positional)?;
        let config = &mut self.config;
        match function.as_str() {
            "serve" => set_once(&mut config.serve, arguments, serve::parse_serve)?,
            "peers" => set_once(&mut config.peers, arguments, peers::parse_peers)?,
            "fleet" => self.add_fleet(arguments)?,
            "handler" => config.handlers.push(handler::parse_handler(arguments)?),
            "customer" => config.tenants.push(handler::parse_tenant(arguments)?),
            "dependency" => config
                .dependencies
                .push(dependency::parse_dependency(arguments)?),
            "page" => config
                .aggregations
                .push(aggregation::parse_aggregation(arguments)?),
            "defences" => config
                .disabled_safeguards
                .extend(safeguards::parse_disabled_safeguards(arguments)?),
            _ => return Err(arguments.error(DeclarationError::NotADeclaration)),
        }
        Ok(())
    }

    fn add_fleet(&mut self, arguments: Arguments) -> Result<(), ConfigError> {
        if self.has_fleet {
            return Err(arguments.error(DeclarationError::DeclaredTwice));
        }
        self.has_fleet = true;
        let fleet = fleet::parse_fleet(arguments)?;
        self.config.fleet_location = fleet.at;
        self.config.instances = fleet.instances;
        self.config.stale_cache_mb = fleet.stale_cache_mb;
        Ok(())
    }
}

/// Parses a declaration that may be given only once into `slot`.
fn set_once<T>(
    slot: &mut Option<T>,
    arguments: Arguments,
    parse: impl FnOnce(Arguments) -> Result<T, ConfigError>,
) -> Result<(), ConfigError> {
    if slot.is_some() {
        return Err(arguments.error(DeclarationError::DeclaredTwice));
    }
    *slot = Some(parse(arguments)?);
    Ok(())
}
