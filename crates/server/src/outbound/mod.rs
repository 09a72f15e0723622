//! Calls to other services over HTTP/1.1: the client, calls of engine runs to the records service, and calls of
//! aggregations to their dependencies.
pub mod dependency_call;
pub mod http_client;
pub mod records_call;
