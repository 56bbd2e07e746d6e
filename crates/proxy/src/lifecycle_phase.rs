//! The phases in the life of the process, which the clients' side follows.

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// Serving, and ready for new connections.
    Serving,
    /// Reports that it is not ready, but still accepts connections and serves requests on them, because the
    /// balancer that replaces it may have only just started.
    LameDuck,
    /// Accepts no new connections but those that already wait in the backlog; open ones end between two
    /// requests.
    Draining,
}
