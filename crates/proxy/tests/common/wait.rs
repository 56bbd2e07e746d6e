//! Waits for conditions.

use std::time::{Duration, Instant};

/// How long a test waits at the most for what must happen.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds, and panics with its description after [`TIMEOUT`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "waited in vain: {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
