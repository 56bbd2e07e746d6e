//! Simulation of the utilization that the upstreams of a fleet report.

use balancer_core::UpstreamId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which the utilization of an upstream is measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_millis(1000);

/// The utilization that each upstream reports: the share of its capacity that it used in the last complete
/// measurement period in which it got requests.
#[derive(Default)]
pub struct UtilizationReports {
    /// Requests that each upstream got in the current period.
    requests: BTreeMap<UpstreamId, u32>,
    /// Utilization of each upstream, from 0 to 1.
    utilization: BTreeMap<UpstreamId, f32>,
    period_ends_at: Duration,
}

impl UtilizationReports {
    /// Counts a request that was sent to this upstream.
    pub fn count_request(&mut self, upstream: UpstreamId) {
        *self.requests.entry(upstream).or_default() += 1;
    }

    /// Ends the current period if it is over at `now`. `capacity_of` returns the capacity of an upstream in
    /// requests per second.
    pub fn advance_to(&mut self, now: Duration, capacity_of: impl Fn(UpstreamId) -> f64) {
        if now < self.period_ends_at {
            return;
        }
        self.period_ends_at = now + MEASUREMENT_PERIOD;
        for (upstream, requests) in std::mem::take(&mut self.requests) {
            let capacity = capacity_of(upstream) * MEASUREMENT_PERIOD.as_secs_f64();
            let utilization = (f64::from(requests) / capacity).min(1.0) as f32;
            self.utilization.insert(upstream, utilization);
        }
    }

    /// Returns the load report of an upstream, which consists of its utilization. The utilization is 0 until
    /// it has been measured.
    pub fn load_report(&self, upstream: UpstreamId) -> [f32; 1] {
        [self.utilization.get(&upstream).copied().unwrap_or(0.0)]
    }
}
