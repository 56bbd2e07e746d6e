//! The downstream side of the proxy: accepts client connections, reads and validates requests, and writes the
//! final responses.

mod client;
mod client_stream;
mod connection;
mod content_length;
mod correlation_ids;
mod handler;
pub mod listener;
mod read_ahead;
pub mod request;
mod response;
