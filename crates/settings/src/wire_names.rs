//! What decoding the wire needs of the settings.

use crate::json::list;
use serde_json::Value;

/// The names of handlers and tenants in their order, and where the gauges that the controller reads stand in each row.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// The handlers; a handler's id is its index.
    pub handlers: Vec<String>,
    /// The tenants; a tenant's id is its index.
    pub tenants: Vec<String>,
    /// The column of the fraction of the cores in use.
    pub cpu_utilization_column: Option<usize>,
    /// The column of the number of tasks that want a core.
    pub runnable_tasks_column: Option<usize>,
}

/// Reads the names from the settings; what is missing is left empty.
pub fn wire_names(settings: &Value) -> WireNames {
    let info = settings.get("family_info");
    let columns = info.map_or(&[][..], |info| list(info, "own_stats"));
    let column = |name: &str| columns.iter().position(|c| c.as_str() == Some(name));
    WireNames {
        handlers: names(settings, "classes"),
        tenants: names(settings, "customers"),
        cpu_utilization_column: column("cpu_busy"),
        runnable_tasks_column: column("runnable"),
    }
}

fn names(settings: &Value, key: &str) -> Vec<String> {
    let name = |item: &Value| {
        let name = item.get("name").and_then(Value::as_str);
        name.unwrap_or_default().to_string()
    };
    list(settings, key).iter().map(name).collect()
}
