//! Builds the admission controller of an instance from its start-up settings. The adapter and the server both use it,
//! so that the same settings lead to the same decisions.
//!
//! The settings are a JSON object whose keys are defined by the platform; they are translated to the terms of
//! [`cottondyke_admission`].
//!
//! ```
//! use cottondyke_settings::{admission_controller, SettingsError};
//! use cottondyke_types::Time;
//!
//! let error = admission_controller(Time(0), 1, &serde_json::json!({})).err();
//! let section = "family_info";
//! assert_eq!(error, Some(SettingsError::MissingSection { section }));
//! ```

mod admission;
mod error;
mod json;
mod wire_names;

pub use admission::{admission_config, admission_controller, idempotencies, read_cache_ttl};
pub use error::SettingsError;
pub use json::{flag, non_null, number, optional_number, string, unsigned};
pub use wire_names::{wire_names, WireNames};
