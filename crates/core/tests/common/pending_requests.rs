//! Requests in flight whose attempts end at a scheduled time with a known outcome.

use super::BalancerHarness;
use balancer_core::*;
use std::time::Duration;

struct PendingRequest {
    id: RequestId,
    ends_at: Duration,
    outcome: Outcome,
}

/// Requests in flight, in the order in which they were added, each with the time at which its attempts end
/// and their outcome.
#[derive(Default)]
pub struct PendingRequests {
    pending: Vec<PendingRequest>,
}

impl PendingRequests {
    /// Schedules the end of a request's attempts.
    pub fn push(&mut self, id: RequestId, ends_at: Duration, outcome: Outcome) {
        self.pending.push(PendingRequest { id, ends_at, outcome });
    }

    /// Ends the attempts of each request whose end is due at the harness's current time or earlier.
    pub fn end_due(&mut self, harness: &mut BalancerHarness) {
        while let Some(position) = self.pending.iter().position(|request| request.ends_at <= harness.now) {
            let request = self.pending.remove(position);
            harness.end_all_attempts(request.id, request.outcome);
        }
    }
}
