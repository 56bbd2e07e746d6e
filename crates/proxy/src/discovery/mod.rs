//! Service discovery: reads the endpoint list and follows its changes by a watch.

pub mod backoff;
mod call;
pub mod client;
pub mod endpoint_list;
mod error;
mod json_stream;
mod watch;
