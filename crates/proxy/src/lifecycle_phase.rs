//! The lifecycle phases of the process. They tell the downstream side whether to report readiness and which
//! connections to accept and keep.

/// The current phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// The process reports that it is ready, accepts connections and serves requests.
    Serving,
    /// The process reports that it is not ready, but still accepts connections and serves requests, because
    /// the proxy that replaces it may have only just started.
    LameDuck,
    /// The process accepts only the connections that already wait in the backlog, and closes open connections
    /// between two requests.
    Draining,
}
