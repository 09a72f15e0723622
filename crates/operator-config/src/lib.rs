//! Typed configuration from the operator's file of cottondyke, a Starlark script. `cottondyke-script` evaluates the
//! script to a list of [`Declaration`]s. This crate parses them into an [`OperatorConfig`], validates it on its own and
//! against the handlers, and builds the plan by which the server calls dependencies. Every error names the file, the
//! line, the value and what was expected.
//!
//! ```
//! use cottondyke_operator_config::{Declaration, OperatorConfig, SourceLocation};
//! use serde_json::json;
//!
//! let declaration = Declaration {
//!     function: "fleet".into(),
//!     at: SourceLocation { file: "shop.star".into(), line: 1 },
//!     positional: vec![],
//!     named: [("instances".to_string(), json!(3))].into_iter().collect(),
//! };
//! let config = OperatorConfig::from_declarations("shop.star", vec![declaration])?;
//! assert_eq!(config.instances, Some(3));
//!
//! let error = config.validate_standalone().unwrap_err();
//! assert_eq!(error.location.line, 0);
//! assert!(error.to_string().starts_with("shop.star: serve(listen = ...) is missing"));
//! # Ok::<(), cottondyke_operator_config::ConfigError>(())
//! ```

mod arguments;
mod declaration;
mod error;
mod format;
mod model;
mod parse;
mod plan;
mod queries;
mod serde_time;
mod suggestion;
mod summary;
mod validate;

pub use declaration::Declaration;
pub use error::{ConfigError, SourceLocation};
pub use model::{
    Aggregation, Dependency, Fallback, Handler, OperatorConfig, Part, Peers, Serve, Tenant,
    MAX_DEFAULT_VALUE_BYTES, MAX_DEPENDENCIES, MAX_FALLBACKS, MAX_PARTS, SAFEGUARDS,
};
pub use plan::HandlerSpec;
pub use queries::{call_budget_name, rate_budget_name};
