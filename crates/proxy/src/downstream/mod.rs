//! Clients: accepts their connections, reads their requests and writes the final responses.

pub mod connection;
pub mod listener;
pub mod request;
