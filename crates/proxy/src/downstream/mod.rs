//! Clients: accepts their connections, reads their requests and writes the final responses.

mod client;
mod client_stream;
mod connection;
mod content_length;
mod correlation_ids;
mod handler;
pub mod listener;
pub mod request;
mod response;
