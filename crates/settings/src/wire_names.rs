//! The parts of the settings that are needed to decode the wire format.

use crate::json::list;
use serde_json::Value;

/// The names of handlers and tenants in order, and the columns of the load gauges that the controller reads.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// The names of the handlers; a handler's id is its index.
    pub handlers: Vec<String>,
    /// The names of the tenants; a tenant's id is its index.
    pub tenants: Vec<String>,
    /// The column of the gauge of the fraction of the cores in use.
    pub cpu_utilization_column: Option<usize>,
    /// The column of the gauge of the number of tasks that want a core.
    pub runnable_tasks_column: Option<usize>,
}

/// Reads the names and columns from the settings; missing ones are left empty.
pub fn wire_names(settings: &Value) -> WireNames {
    let family_info = settings.get("family_info");
    let columns = family_info.map_or(&[][..], |family_info| list(family_info, "own_stats"));
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
