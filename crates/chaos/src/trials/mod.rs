//! The trials, each with its schedule, checks and figures.
pub mod budgets;
pub mod calm;
pub mod dependencies;
pub mod restarts;
pub mod shop;
