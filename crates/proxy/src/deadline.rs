//! Deadlines from timeouts of any length.

use std::time::Duration;
use tokio::time::Instant;

/// The earlier of a deadline and the end of a timeout that begins at `start`. A timeout that ends beyond the
/// range of the clock never ends.
pub fn earlier_of(deadline: Instant, start: Instant, timeout: Duration) -> Instant {
    start.checked_add(timeout).map_or(deadline, |timeout_ends_at| deadline.min(timeout_ends_at))
}
