//! The configuration of the process, read from the JSON file that the environment variable `NODE_CONFIG`
//! names.

use crate::downstream::listener::CLIENT_CONNECTION_BYTES;
use crate::memory_budget::MemoryPlan;
use crate::upstream::UPSTREAM_CONNECTION_BYTES;
use balancer_settings::{SettingsParseError, Site};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The environment variable that holds the path of the configuration file.
const PATH_VARIABLE: &str = "NODE_CONFIG";
/// File descriptors reserved for the standard streams, the poller, the listening socket and calls to
/// discovery, of which up to 16 may overlap.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum number of file descriptors that the proxy uses. It is the default value of `fs.nr_open`, the Linux
/// limit on the descriptors of one process. An arbitrary larger number could exceed the maximum number of
/// permits of the semaphores that limit connections.
const MAX_DESCRIPTORS: usize = 1 << 20;
/// The fraction of the unreserved file descriptors that connections to upstreams may use. Client connections
/// get the rest.
const UPSTREAM_SOCKET_FRACTION: f64 = 0.45;
/// Memory of the process without connections: the program, its runtime and the endpoint list.
const BASE_MEMORY_BYTES: usize = 4 * BYTES_PER_MEBIBYTE;
/// Maximum fraction of the memory limit for client connections.
const MAX_CLIENT_MEMORY_FRACTION: f64 = 0.4;
/// Maximum fraction of the memory limit for connections to upstreams.
const MAX_UPSTREAM_MEMORY_FRACTION: f64 = 0.28;
/// The fraction of the memory for connections that is never lent to requests and responses.
const CONNECTION_HEADROOM_FRACTION: f64 = 0.25;
/// The fraction of the memory left for requests and responses that their budgets may fill. The rest covers
/// freed memory that is too fragmented to be used again.
const BUDGET_FRACTION: f64 = 0.7;
/// The fraction of the budgets that is for requests, which stay in memory for longer than responses.
const REQUEST_BUDGET_FRACTION: f64 = 0.65;
const BYTES_PER_MEBIBYTE: usize = 1024 * 1024;

/// The configuration of a proxy.
#[derive(Debug)]
pub struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random number generator.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The cached endpoint list in the JSON format of discovery; empty if there is none.
    pub cached_endpoints: String,
    /// The balancer's settings, the names that they define, and the warnings about them.
    pub site: Site,
}

/// An error that keeps the configuration from being loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable that names the configuration file is not set.
    #[error("the environment variable {PATH_VARIABLE} is not set, but has to name the configuration file")]
    PathNotSet,
    /// The configuration file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The configuration file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file holds no valid configuration.
    #[error("invalid configuration in {}: {source}", path.display())]
    Invalid {
        /// The configuration file.
        path: PathBuf,
        /// The invalid field, and what is wrong with it.
        source: InvalidConfig,
    },
}

/// An error in the text of a configuration. The message names the field unless the JSON itself is malformed.
#[derive(Debug, Error)]
pub enum InvalidConfig {
    /// The text is not a JSON object with the required fields, or a value has the wrong type. The message
    /// names the field.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The JSON object is followed by other text.
    #[error("{0}")]
    TrailingText(serde_json::Error),
    /// `seed` is not a hexadecimal number of at most 64 bits.
    #[error("seed: {0}")]
    Seed(#[from] ParseIntError),
    /// `settings` is not a valid settings object.
    #[error("{0}")]
    Settings(#[from] SettingsParseError),
    /// `limits.sockets` leaves too few file descriptors for clients and upstreams.
    #[error("limits.sockets: {0} file descriptors are too few")]
    TooFewSockets(usize),
}

/// The JSON object in the configuration file. Other fields are ignored.
#[derive(Deserialize)]
struct RawConfig<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow, default)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// CPU cores, possibly a fraction. The value is only logged.
    pub cores: f64,
    /// Memory in MiB. Limits the connections and the budgets for requests and responses.
    pub memory_mb: u64,
    /// File descriptors. The proxy uses at most [`MAX_DESCRIPTORS`].
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { cores: 1.0, memory_mb: 192, sockets: 1024 }
    }
}

impl Config {
    /// Reads the configuration file that `NODE_CONFIG` names. Fails if the variable is not set, or if the
    /// file can't be read or holds no valid configuration.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os(PATH_VARIABLE).map(PathBuf::from).ok_or(ConfigError::PathNotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        Self::parse(&text).map_err(|source| ConfigError::Invalid { path, source })
    }

    fn parse(text: &str) -> Result<Self, InvalidConfig> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let raw: RawConfig<'_> = serde_path_to_error::deserialize(&mut deserializer)?;
        deserializer.end().map_err(InvalidConfig::TrailingText)?;
        let seed = u64::from_str_radix(&raw.seed, 16)?;
        let site = balancer_settings::parse(raw.settings.get())?;
        let mut limits = raw.limits;
        if limits.sockets < 2 * RESERVED_DESCRIPTORS {
            return Err(InvalidConfig::TooFewSockets(limits.sockets));
        }
        limits.sockets = limits.sockets.min(MAX_DESCRIPTORS);
        Ok(Self {
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            limits,
            cached_endpoints: raw.known.map_or_else(String::new, |cached| cached.get().to_owned()),
            site,
        })
    }

    /// Returns the number of connections to upstreams that may be open at once.
    pub fn max_upstream_connections(&self) -> usize {
        let in_memory = self.connections_in_memory(MAX_UPSTREAM_MEMORY_FRACTION, UPSTREAM_CONNECTION_BYTES);
        self.upstream_descriptors().min(in_memory)
    }

    /// Returns the number of client connections that may be open at once.
    pub fn max_client_connections(&self) -> usize {
        let in_memory = self.connections_in_memory(MAX_CLIENT_MEMORY_FRACTION, CLIENT_CONNECTION_BYTES);
        let descriptors = self.limits.sockets - RESERVED_DESCRIPTORS - self.upstream_descriptors();
        descriptors.min(in_memory)
    }

    /// Returns how the memory limit is divided. Requests and responses get a part of what connections leave if
    /// all of them are in use.
    pub fn memory_plan(&self) -> MemoryPlan {
        let client_bytes = self.max_client_connections() * CLIENT_CONNECTION_BYTES;
        let upstream_bytes = self.max_upstream_connections() * UPSTREAM_CONNECTION_BYTES;
        let connections = client_bytes + upstream_bytes;
        let left_bytes = self.memory_bytes().saturating_sub(BASE_MEMORY_BYTES + connections);
        let budget_bytes = left_bytes as f64 * BUDGET_FRACTION;
        let request_bytes = budget_bytes * REQUEST_BUDGET_FRACTION;
        MemoryPlan {
            connections,
            connection_headroom: (connections as f64 * CONNECTION_HEADROOM_FRACTION) as usize,
            requests: request_bytes as usize,
            responses: (budget_bytes - request_bytes) as usize,
        }
    }

    fn memory_bytes(&self) -> usize {
        (self.limits.memory_mb as usize).saturating_mul(BYTES_PER_MEBIBYTE)
    }

    /// Returns the number of file descriptors for connections to upstreams.
    fn upstream_descriptors(&self) -> usize {
        ((self.limits.sockets - RESERVED_DESCRIPTORS) as f64 * UPSTREAM_SOCKET_FRACTION) as usize
    }

    /// Returns how many connections fit into a fraction of the memory limit, at least one.
    fn connections_in_memory(&self, fraction: f64, bytes_per_connection: usize) -> usize {
        let bytes = self.memory_bytes() as f64 * fraction;
        (bytes as usize / bytes_per_connection).max(1)
    }
}
