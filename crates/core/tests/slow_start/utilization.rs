//! The utilization that the upstreams of a fleet report.

use balancer_core::UpstreamId;
use std::collections::BTreeMap;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(1000);

/// What each upstream reports: the share of its capacity that was used in the last complete period.
#[derive(Default)]
pub struct UtilizationReports {
    requests: BTreeMap<UpstreamId, u32>,
    utilization: BTreeMap<UpstreamId, f32>,
    period_ends_at: Duration,
}

impl UtilizationReports {
    /// Counts a request that was sent to this upstream.
    pub fn count_request(&mut self, upstream: UpstreamId) {
        *self.requests.entry(upstream).or_default() += 1;
    }

    /// Ends the period if it is over. `capacity_of` is the capacity of an upstream in requests per second.
    pub fn advance_to(&mut self, now: Duration, capacity_of: impl Fn(UpstreamId) -> f64) {
        if now < self.period_ends_at {
            return;
        }
        self.period_ends_at = now + PERIOD;
        for (upstream, requests) in std::mem::take(&mut self.requests) {
            let capacity = capacity_of(upstream) * PERIOD.as_secs_f64();
            let utilization = (f64::from(requests) / capacity).min(1.0) as f32;
            self.utilization.insert(upstream, utilization);
        }
    }

    /// The load report of an upstream.
    pub fn load_report(&self, upstream: UpstreamId) -> [f32; 1] {
        [self.utilization.get(&upstream).copied().unwrap_or(0.0)]
    }
}
