//! Hedged requests: a second attempt beside one that takes longer than usual.

use crate::balancer::Balancer;
use crate::ids::RequestId;
use crate::requests::retry::HEDGE_COST;

impl Balancer {
    /// Sends a hedged request for one whose attempt has just become overdue. Only where there is spare
    /// capacity: without it, hedged requests make other attempts overdue.
    pub(crate) fn hedge(&mut self, id: RequestId) {
        if self.settings.hedging && self.capacity.spare() > 0.0 {
            // Where no upstream or no budget is left, the attempt is just waited for.
            self.retry(id, HEDGE_COST);
        }
    }
}
