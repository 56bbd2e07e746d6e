//! The downstream side of the proxy: accepts client connections, reads and validates requests, and writes the
//! final responses.

mod client;
mod client_stream;
mod connection;
mod content_length;
mod correlation_ids;
mod handler;
mod head_memory;
pub mod listener;
mod read_ahead;
mod rejection;
pub mod request;
mod request_body;
mod request_error;
mod response;
