//! Combines deadlines with timeouts of any length.

use std::time::Duration;
use tokio::time::Instant;

/// Returns the earlier of `deadline` and the end of a timeout that starts at `start`. A timeout that would
/// end beyond the range of the clock is ignored.
pub fn earlier_deadline(deadline: Instant, start: Instant, timeout: Duration) -> Instant {
    start.checked_add(timeout).map_or(deadline, |timeout_ends_at| deadline.min(timeout_ends_at))
}
