//! The asynchronous runtime of the process.

use std::io;
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

#[cfg(test)]
mod tests;

/// Maximum number of tasks that run before the runtime asks the kernel which sockets are ready. A client that
/// sends requests without a pause keeps a task busy, which answers up to 16 of them in a turn.
const TASKS_BETWEEN_SOCKET_CHECKS: u32 = 8;

/// Builds a runtime that runs all tasks on the current thread. Fails if the operating system provides no poller.
pub fn build() -> io::Result<LocalRuntime> {
    Builder::new_current_thread()
        .enable_all()
        .event_interval(TASKS_BETWEEN_SOCKET_CHECKS)
        .build_local(LocalOptions::default())
}
