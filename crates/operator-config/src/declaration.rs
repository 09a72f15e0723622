//! What the evaluator hands on: each call of one of the operator's functions, with its arguments as JSON.
use crate::SourceLocation;
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};

/// In the value of a call: the key of the function's name.
const FUNCTION_KEY: &str = "#made";
/// In the value of a call: the key of the place of the call, `[FILE, LINE]`.
const LOCATION_KEY: &str = "#at";

/// One call of an operator's function: which function, where, and with what.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Declaration {
    /// The function's name, a keyword of the operator's file.
    pub function: String,
    /// Where it was called.
    pub at: SourceLocation,
    /// Arguments given by position.
    pub positional: Vec<Value>,
    /// Arguments given by name.
    pub named: Map<String, Value>,
}

impl Declaration {
    /// The call as a value that a script can hand to another declaration: what `part`, `kept` and their like return.
    pub fn into_value(self) -> Value {
        json!({
            FUNCTION_KEY: self.function,
            LOCATION_KEY: [self.at.file, self.at.line],
            "args": self.positional,
            "named": self.named,
        })
    }

    /// The call that such a value stands for; `None` for any other value.
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
