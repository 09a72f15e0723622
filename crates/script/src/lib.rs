//! Evaluates the operator's file of cottondyke, a Starlark script, within limits of steps, depth, heap and files, and
//! returns what it declares. It opens only the script and the files that the script loads from its own directory.
//!
//! The interpreter checks the size of its heap only periodically and does not bound single allocations. Therefore the
//! program `cottondyke-script` runs this library in a separate process with resource limits ([`process_limits`]).
//!
//! ```
//! let path = std::env::temp_dir().join(format!("cottondyke-doc-{}.star", std::process::id()));
//! std::fs::write(&path, "fleet(instances = 1 + 2)\n")?;
//! let declarations = cottondyke_script::evaluate(&path)?;
//! std::fs::remove_file(&path)?;
//!
//! assert_eq!(declarations[0].function, "fleet");
//! assert_eq!(declarations[0].named["instances"], 3);
//! assert_eq!(declarations[0].at.line, 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod evaluate;
mod globals;
pub mod limits;
mod loader;
pub mod process_limits;

pub use evaluate::evaluate;
