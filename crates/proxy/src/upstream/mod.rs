//! Upstreams: connections to them, attempts and health checks.

pub mod attempt;
pub mod connection;
pub mod pool;
