//! The output of the evaluator: each call of one of the operator's functions, with its arguments as JSON.
use crate::SourceLocation;
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};

/// The key of the function's name in a call that is encoded as a value.
const FUNCTION_KEY: &str = "#made";
/// The key of the location, `[FILE, LINE]`, in a call that is encoded as a value.
const LOCATION_KEY: &str = "#at";

/// A call of one of the operator's functions: the function, the location and the arguments.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Declaration {
    /// The function's name in the script.
    pub function: String,
    /// The location of the call.
    pub at: SourceLocation,
    /// Arguments given by position.
    pub positional: Vec<Value>,
    /// Arguments given by name.
    pub named: Map<String, Value>,
}

impl Declaration {
    /// Encodes the call as a value that a script can pass to a declaration. `part`, `kept` and the other value
    /// functions return it.
    pub fn into_value(self) -> Value {
        json!({
            FUNCTION_KEY: self.function,
            LOCATION_KEY: [self.at.file, self.at.line],
            "args": self.positional,
            "named": self.named,
        })
    }

    /// Decodes a call from what [`Declaration::into_value`] returned; `None` for any other value.
    pub fn from_value(value: &Value) -> Option<Self> {
        let function = value.get(FUNCTION_KEY)?.as_str()?.to_string();
        let location = value.get(LOCATION_KEY)?;
        let at = SourceLocation {
            file: location.get(0)?.as_str()?.to_string(),
            line: location.get(1)?.as_u64()? as usize,
        };
        Some(Declaration {
            function,
            at,
            positional: value.get("args")?.as_array()?.clone(),
            named: value.get("named")?.as_object()?.clone(),
        })
    }
}
