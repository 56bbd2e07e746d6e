//! Upstreams: connections to them, attempts and health checks.

pub mod attempt;
pub mod connection;
mod counting_stream;
mod load_report;
pub mod pool;
