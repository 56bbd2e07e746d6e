//! Clients: accepts their connections, reads their requests and writes the final responses.

pub mod connection;
mod correlation_ids;
pub mod listener;
mod request;
mod response;
