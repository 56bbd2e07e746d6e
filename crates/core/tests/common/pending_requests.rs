//! Requests in flight whose end a test has already planned.

use super::BalancerHarness;
use balancer_core::*;
use std::time::Duration;

struct PendingRequest {
    id: RequestId,
    ends_at: Duration,
    outcome: Outcome,
}

/// Requests in flight, in the order in which they were sent, with the time and the outcome of their attempts.
#[derive(Default)]
pub struct PendingRequests {
    pending: Vec<PendingRequest>,
}

impl PendingRequests {
    /// Plans the end of the attempts of a request.
    pub fn push(&mut self, id: RequestId, ends_at: Duration, outcome: Outcome) {
        self.pending.push(PendingRequest { id, ends_at, outcome });
    }

    /// Ends the attempts of the requests that are due by now.
    pub fn end_due(&mut self, harness: &mut BalancerHarness) {
        while let Some(position) = self.pending.iter().position(|request| request.ends_at <= harness.now) {
            let request = self.pending.remove(position);
            harness.end_all_attempts(request.id, request.outcome);
        }
    }
}
