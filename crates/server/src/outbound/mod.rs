//! Calls to other services over HTTP/1.1: the HTTP client, calls from engine runs to the records service, and calls
//! from aggregations to their dependencies.
pub mod dependency_call;
pub mod http_client;
pub mod records_call;
