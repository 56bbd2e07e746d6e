//! The phases of the process's life, which the downstream side follows.

/// The current phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// Reports that it is ready, accepts connections and serves requests.
    Serving,
    /// Reports that it is not ready, but still accepts connections and serves requests on them, because the
    /// balancer that replaces it may have only just started.
    LameDuck,
    /// Accepts only the connections that already wait in the backlog, and closes open connections between two
    /// requests.
    Draining,
}
