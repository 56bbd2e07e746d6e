//! `balancer-proxy`: an HTTP load balancer. The proxy does the network I/O. The balancer, which is the
//! [`Balancer`](balancer_core::Balancer) of the `balancer_core` library, makes the load-balancing decisions.

mod compact_head;
mod config;
mod deadline;
mod discovery;
mod downstream;
mod driver;
mod head_length;
mod headers;
mod lifecycle;
mod lifecycle_phase;
mod memory_budget;
mod metrics;
mod rate_limited_log;
mod reload;
mod reserved_buffer;
mod runtime;
mod signals;
mod socket_io;
mod startup;
mod upstream;

use config::Config;
use startup::StartupError;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// The environment variable that sets the log level. The level is `info` if the variable is missing or
/// invalid.
const LOG_LEVEL_VARIABLE: &str = "NODE_LOG";

fn main() -> ExitCode {
    initialize_log();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn initialize_log() {
    let level = std::env::var(LOG_LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
}

fn run() -> Result<(), StartupError> {
    let config = Config::from_env()?;
    let runtime = runtime::build().map_err(StartupError::Runtime)?;
    runtime.block_on(lifecycle::run(config))
}
