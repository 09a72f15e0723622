//! Connections from sidecars: a reader and a writer for each, and the table of all connections. No load decisions are
//! made here.
pub mod reader;
pub mod table;
pub mod writer;
