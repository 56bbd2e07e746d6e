//! Admission control: a token bucket for each tenant, refilled every tick by a guaranteed rate and by a share
//! of the upstreams' spare capacity in proportion to demand.

use crate::capacity::SpareCapacity;
use crate::settings::Settings;
use crate::token_bucket::{Refill, TokenBucket};

/// Seconds over which demand is averaged at least.
const MIN_DEMAND_WINDOW_SECONDS: f64 = 1.0;
/// Requests of all tenants that the averaging window holds at least, so that a tenant which happens to be
/// silent for a moment is not without demand.
const MIN_DEMAND_WINDOW_REQUESTS: f64 = 10.0;
/// Least demand of all tenants that the averaging window is computed for, in requests per second: it limits
/// the window.
const MIN_TOTAL_DEMAND: f64 = 0.1;
/// Seconds of the guaranteed rate that a bucket holds at most: what was saved is admitted even when capacity
/// has just been lost.
const MAX_GUARANTEE_SECONDS: f64 = 1.0;
/// Headroom over the median tenant's demand to which the guarantees grow.
const GUARANTEE_HEADROOM: f64 = 1.3;
/// The largest multiple of its quota that a guarantee grows to.
const MAX_GUARANTEE_FACTOR: f64 = 4.0;
/// Seconds over which overload is averaged before the buckets shrink.
const OVERLOAD_SMOOTHING_SECONDS: f64 = 0.3;
/// Quota at each balancer of a tenant without a stated quota, in requests per second.
const DEFAULT_QUOTA_PER_BALANCER: f64 = 1.0;

/// The token buckets of all tenants.
#[derive(Default)]
pub(crate) struct Admission {
    buckets: Vec<TokenBucket>,
    /// Seconds of the guaranteed rate that a bucket holds at most.
    guarantee_seconds: f64,
    /// Share of the requests in flight that exceeds the upstreams' capacity, smoothed.
    smoothed_overload: f64,
}

impl Admission {
    /// Full buckets for the tenants of the settings, or one bucket where there are no tenants.
    pub(crate) fn new(settings: &Settings) -> Self {
        let guarantee_seconds = guarantee_seconds(settings);
        let tenant_count = settings.tenants.len().max(1);
        let buckets = (0..tenant_count)
            .map(|tenant| TokenBucket::full(quota_per_balancer(settings, tenant), guarantee_seconds))
            .collect();
        Self { buckets, guarantee_seconds, smoothed_overload: 0.0 }
    }

    /// Counts an arriving request and returns whether its tenant has a token. Unknown tenants share the
    /// bucket of the last tenant.
    pub(crate) fn record_arrival(&mut self, tenant: usize) -> bool {
        self.bucket(tenant).record_arrival()
    }

    /// Takes the token of an admitted request.
    pub(crate) fn take_token(&mut self, tenant: usize) {
        self.bucket(tenant).take_token();
    }

    fn bucket(&mut self, tenant: usize) -> &mut TokenBucket {
        let last = self.buckets.len() - 1;
        &mut self.buckets[tenant.min(last)]
    }

    /// Refills all buckets, `elapsed` seconds after the last refill.
    pub(crate) fn refill(&mut self, elapsed: f64, capacity: &SpareCapacity) {
        let total_demand: f64 = self.buckets.iter().map(TokenBucket::demand).sum();
        let demand_window =
            MIN_DEMAND_WINDOW_SECONDS.max(MIN_DEMAND_WINDOW_REQUESTS / total_demand.max(MIN_TOTAL_DEMAND));
        let overload = capacity.overload_share();
        self.scale_guarantees(overload);
        self.smoothed_overload +=
            (elapsed / OVERLOAD_SMOOTHING_SECONDS).min(1.0) * (overload.min(1.0) - self.smoothed_overload);
        let surge: f64 = self.buckets.iter().map(TokenBucket::surge).sum();
        let refill = Refill {
            elapsed,
            demand_window,
            total_demand,
            surge_share: surge / total_demand.max(1e-9),
            guarantee_seconds: self.guarantee_seconds,
            spare_capacity: capacity.spare(),
            overload,
            smoothed_overload: self.smoothed_overload,
        };
        for bucket in &mut self.buckets {
            bucket.refill(&refill);
        }
    }

    /// Raises all guarantees where the median tenant demands more than its quota: this balancer then carries
    /// more than its equal part of the traffic, and no tenant surges. Not under overload, when retries raise
    /// the demand of all.
    fn scale_guarantees(&mut self, overload: f64) {
        let mut relative_demands: Vec<f64> = self.buckets.iter().map(TokenBucket::relative_demand).collect();
        relative_demands.sort_by(f64::total_cmp);
        let median = relative_demands.get(relative_demands.len() / 2).unwrap_or(&1.0);
        let wanted = (median * GUARANTEE_HEADROOM).clamp(1.0, MAX_GUARANTEE_FACTOR);
        let factor = 1.0 + (wanted - 1.0) * (1.0 - overload).max(0.0);
        for bucket in &mut self.buckets {
            bucket.scale_guarantee(factor);
        }
    }
}

/// Seconds of a tenant's guaranteed rate that its bucket holds: the longest latency objective, within a
/// limit.
fn guarantee_seconds(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective.as_secs_f64());
    objectives.fold(0.0, f64::max).min(MAX_GUARANTEE_SECONDS)
}

/// This balancer's equal part of a tenant's quota, in requests per second.
fn quota_per_balancer(settings: &Settings, tenant: usize) -> f64 {
    let quota = settings.tenants.get(tenant).map_or(0.0, |tenant| tenant.quota_per_second);
    if quota > 0.0 { quota / f64::from(settings.balancers) } else { DEFAULT_QUOTA_PER_BALANCER }
}
