//! Connections from sidecars: one reader and one writer each, and the table of all of them. Nothing here decides
//! about load.
pub mod reader;
pub mod table;
pub mod writer;
