//! Hedged requests: a second attempt while the first one is in flight and overdue.

use crate::balancer::Balancer;
use crate::ids::RequestId;
use crate::requests::retry::HEDGE_COST;

impl Balancer {
    /// Sends a hedged request for a request whose attempt has just become overdue, if the settings allow it.
    /// Does nothing without spare capacity, because hedged requests would then make other attempts overdue.
    pub(crate) fn hedge(&mut self, id: RequestId) {
        if self.settings.hedging && self.capacity.spare() > 0.0 {
            // If no upstream or no budget is left, the attempt in flight simply continues.
            self.retry(id, HEDGE_COST);
        }
    }
}
