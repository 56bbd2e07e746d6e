//! Admission control with one token bucket per tenant.
//!
//! Every tick refills each bucket at the tenant's guaranteed rate and adds a share of the upstreams' spare
//! capacity in proportion to the tenant's demand.

use crate::capacity::SpareCapacity;
use crate::settings::Settings;
use crate::token_bucket::{RefillInputs, TokenBucket};

/// Minimum time over which demand is averaged.
const MIN_DEMAND_WINDOW_SECONDS: f64 = 1.0;
/// Minimum number of requests of all tenants in the averaging window. It keeps the demand of a tenant that
/// sends nothing for a moment above zero.
const MIN_DEMAND_WINDOW_REQUESTS: f64 = 10.0;
/// Minimum of the total demand from which the averaging window is computed, in requests per second. It limits
/// the length of the window when there is little traffic.
const MIN_TOTAL_DEMAND_PER_SECOND: f64 = 0.1;
/// Maximum burst that a bucket allows, in seconds of the guaranteed rate. Saved tokens admit requests even
/// right after a loss of capacity, so a larger bucket would cause more overload.
const MAX_GUARANTEE_BURST_SECONDS: f64 = 1.0;
/// Factor by which raised guarantees exceed the median tenant's demand.
const GUARANTEE_HEADROOM: f64 = 1.3;
/// Maximum multiple of a tenant's quota to which its guaranteed rate is raised.
const MAX_GUARANTEE_FACTOR: f64 = 4.0;
/// Time constant of the smoothed overload, by which the buckets shrink.
const OVERLOAD_SMOOTHING_SECONDS: f64 = 0.3;
/// Quota that each balancer assumes for a tenant whose quota is not set, in requests per second.
const DEFAULT_QUOTA_PER_BALANCER: f64 = 1.0;

/// The token buckets of all tenants.
#[derive(Default)]
pub(crate) struct Admission {
    buckets: Vec<TokenBucket>,
    /// Burst that a bucket allows, in seconds of the guaranteed rate.
    guarantee_burst_seconds: f64,
    /// Smoothed share of the requests in flight that exceeds the upstreams' capacity.
    smoothed_overload: f64,
}

impl Admission {
    /// Creates a full bucket for each tenant in the settings, or a single bucket if there are no tenants.
    pub(crate) fn new(settings: &Settings) -> Self {
        let guarantee_burst_seconds = guarantee_burst_seconds(settings);
        let tenant_count = settings.tenants.len().max(1);
        let buckets = (0..tenant_count)
            .map(|tenant| TokenBucket::full(quota_per_balancer(settings, tenant), guarantee_burst_seconds))
            .collect();
        Self { buckets, guarantee_burst_seconds, smoothed_overload: 0.0 }
    }

    /// Counts an arriving request and returns whether its tenant has a token for it. Unknown tenants share
    /// the bucket of the last tenant.
    pub(crate) fn record_arrival(&mut self, tenant: usize) -> bool {
        self.bucket_mut(tenant).record_arrival()
    }

    /// Takes the token for an admitted request from its tenant's bucket.
    pub(crate) fn take_token(&mut self, tenant: usize) {
        self.bucket_mut(tenant).take_token();
    }

    fn bucket_mut(&mut self, tenant: usize) -> &mut TokenBucket {
        let last = self.buckets.len() - 1;
        &mut self.buckets[tenant.min(last)]
    }

    /// Refills all buckets for the time since the last refill.
    pub(crate) fn refill(&mut self, elapsed_seconds: f64, capacity: &SpareCapacity) {
        let total_demand: f64 = self.buckets.iter().map(TokenBucket::demand).sum();
        let demand_window_seconds = MIN_DEMAND_WINDOW_SECONDS
            .max(MIN_DEMAND_WINDOW_REQUESTS / total_demand.max(MIN_TOTAL_DEMAND_PER_SECOND));
        let overload = capacity.overload_share();
        self.scale_guarantees(overload);
        self.smoothed_overload += (elapsed_seconds / OVERLOAD_SMOOTHING_SECONDS).min(1.0)
            * (overload.min(1.0) - self.smoothed_overload);
        let excess_demand: f64 = self.buckets.iter().map(TokenBucket::excess_demand).sum();
        let inputs = RefillInputs {
            elapsed_seconds,
            demand_window_seconds,
            total_demand,
            excess_demand_share: excess_demand / total_demand.max(1e-9),
            guarantee_burst_seconds: self.guarantee_burst_seconds,
            spare_capacity: capacity.spare(),
            overload,
            smoothed_overload: self.smoothed_overload,
        };
        for bucket in &mut self.buckets {
            bucket.refill(&inputs);
        }
    }

    /// Raises the guaranteed rates of all tenants if the median tenant demands more than its quota. This
    /// shows that the balancer receives more than its equal part of the traffic, rather than that a single
    /// tenant exceeds its quota. Overload reduces the raise, because retries then increase the demand of all
    /// tenants.
    fn scale_guarantees(&mut self, overload: f64) {
        let mut relative_demands: Vec<f64> = self.buckets.iter().map(TokenBucket::relative_demand).collect();
        relative_demands.sort_by(f64::total_cmp);
        let median = relative_demands.get(relative_demands.len() / 2).unwrap_or(&1.0);
        let target_factor = (median * GUARANTEE_HEADROOM).clamp(1.0, MAX_GUARANTEE_FACTOR);
        let factor = 1.0 + (target_factor - 1.0) * (1.0 - overload).max(0.0);
        for bucket in &mut self.buckets {
            bucket.scale_guarantee(factor);
        }
    }
}

/// Returns the burst that a bucket allows, in seconds of the guaranteed rate: the longest latency objective,
/// but at most [`MAX_GUARANTEE_BURST_SECONDS`].
fn guarantee_burst_seconds(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective.as_secs_f64());
    objectives.fold(0.0, f64::max).min(MAX_GUARANTEE_BURST_SECONDS)
}

/// Returns this balancer's equal part of a tenant's quota, in requests per second.
fn quota_per_balancer(settings: &Settings, tenant: usize) -> f64 {
    let quota = settings.tenants.get(tenant).map_or(0.0, |tenant| tenant.quota_per_second);
    if quota > 0.0 { quota / f64::from(settings.balancers) } else { DEFAULT_QUOTA_PER_BALANCER }
}
