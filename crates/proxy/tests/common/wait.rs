//! Waiting for conditions.

use std::time::{Duration, Instant};

/// The longest time that a test waits for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `holds` returns true. Panics with the description of the condition after [`TIMEOUT`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
