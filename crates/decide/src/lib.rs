//! Joins the decision module and the types it speaks in. Nothing is decided here.
pub mod decide;
pub mod types;
