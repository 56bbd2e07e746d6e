//! Service discovery: follows the endpoint list by a watch.

pub mod backoff;
pub mod client;
pub mod endpoint_list;
pub mod json_stream;
