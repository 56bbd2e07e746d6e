//! Estimate of the spare capacity W that the upstreams have for this balancer.
//!
//! W is the sum of tau * C_j + Q_j - q_j over the upstreams j in rotation. The term tau * C_j is the number
//! of requests that upstream j completes in a tick of tau seconds, and Q_j - q_j is the free part of its
//! queue. The symbols are those of the paper that `token_bucket.rs` names.
//!
//! C_j is the rotation weight of upstream j times the service rate C per unit of weight. C is learned from
//! completions and, if upstreams report it, from their CPU utilization. Q_j follows from C_j and from the
//! time that a request may spend at an upstream.

use crate::latency::LatencySummary;
use crate::settings::Settings;
use crate::upstreams::Upstream;

/// Time constant of the smoothed completion rate. A single tick contains too few completions.
const COMPLETION_SMOOTHING_SECONDS: f64 = 1.0;
/// Time constant with which the service rate rises if utilization is reported.
const RATE_GAIN_SECONDS: f64 = 2.0;
/// Time constant with which the service rate falls to a lower observed rate if utilization is not reported
/// and no class exceeds its allowed mean latency.
const RATE_DECAY_SECONDS: f64 = 30.0;
/// CPU utilization up to which the upstreams are loaded if requests over quota have no weight.
const TARGET_UTILIZATION: f64 = 0.8;
/// Increase of the target utilization per unit of [`Settings::over_quota_weight`]. If requests over quota
/// have little weight, short queues matter more than serving them.
const TARGET_UTILIZATION_FOR_OVER_QUOTA: f64 = 0.4;
/// Value of [`Settings::over_quota_weight`] above which the target utilization does not increase.
const MAX_OVER_QUOTA_WEIGHT: f64 = 0.5;
/// Maximum factor by which the completion rate of underutilized upstreams is extrapolated.
const MAX_EXTRAPOLATION: f64 = 2.0;
/// Minimum of the utilization from which a rate is extrapolated. Lower utilizations count as this one.
pub(crate) const MIN_UTILIZATION: f64 = 0.1;

/// Estimator of how many requests the upstreams can take beyond those in flight.
#[derive(Default)]
pub(crate) struct SpareCapacity {
    /// Service rate C per unit of rotation weight, in requests per second.
    service_rate: f64,
    /// Smoothed completions per second at all upstreams.
    completion_rate: f64,
    /// Number of completions since the last estimate.
    completions: f64,
    /// Latest estimate of W, in requests; negative if the upstreams are overloaded.
    spare: f64,
    /// Attempts in flight at the latest estimate, including abandoned ones that upstreams may still execute.
    in_flight: f64,
}

impl SpareCapacity {
    /// Creates the estimator of a balancer that has measured nothing yet and expects `expected_rate` requests
    /// per second.
    pub(crate) fn new(expected_rate: f64) -> Self {
        Self { completion_rate: expected_rate, ..Self::default() }
    }

    /// Counts a request that an upstream has served.
    pub(crate) fn record_completion(&mut self) {
        self.completions += 1.0;
    }

    /// Returns the service rate C per unit of rotation weight, in requests per second.
    pub(crate) fn service_rate(&self) -> f64 {
        self.service_rate
    }

    /// Returns the spare capacity W in requests; negative if the upstreams are overloaded.
    pub(crate) fn spare(&self) -> f64 {
        self.spare
    }

    /// Returns the share of the requests in flight that exceeds the upstreams' capacity.
    pub(crate) fn overload_share(&self) -> f64 {
        (-self.spare / f64::max(self.in_flight, 1e-9)).max(0.0)
    }

    /// Updates the estimate of W from the completions since the last estimate. `utilization` is the mean that
    /// the upstreams report, from 0 to 1, or `None` if none reports it.
    pub(crate) fn estimate(
        &mut self,
        elapsed_seconds: f64,
        settings: &Settings,
        latency: &LatencySummary,
        utilization: Option<f64>,
        upstreams: &[&Upstream],
    ) {
        let total_weight = upstreams.iter().map(|upstream| upstream.rotation.weight).sum::<f64>().max(1e-9);
        let completion_rate = self.completions / elapsed_seconds.max(1e-6);
        self.completion_rate += (elapsed_seconds / COMPLETION_SMOOTHING_SECONDS).min(1.0)
            * (completion_rate - self.completion_rate);
        self.completions = 0.0;
        self.update_rate(
            elapsed_seconds,
            self.completion_rate / total_weight,
            settings,
            latency,
            utilization,
        );
        let mut allowed_latency_seconds = (latency.mean_seconds + latency.slack_seconds).max(0.0);
        // If utilization is reported, the service rate already limits the load, so positive slack does not
        // lengthen the queues.
        if utilization.is_some() {
            allowed_latency_seconds = allowed_latency_seconds.min(latency.mean_seconds);
        }
        self.update_spare(elapsed_seconds, f64::from(settings.balancers), allowed_latency_seconds, upstreams);
    }

    /// Updates C from the observed rate, which is per unit of rotation weight. A lower rate is adopted at
    /// once if utilization is reported or a class exceeds its allowed mean latency, because requests that are
    /// admitted for capacity that no longer exists fill the queues. Otherwise, it is adopted over
    /// [`RATE_DECAY_SECONDS`].
    fn update_rate(
        &mut self,
        elapsed_seconds: f64,
        observed_rate: f64,
        settings: &Settings,
        latency: &LatencySummary,
        utilization: Option<f64>,
    ) {
        if let Some(utilization) = utilization {
            let target_utilization = TARGET_UTILIZATION
                + TARGET_UTILIZATION_FOR_OVER_QUOTA * settings.over_quota_weight.min(MAX_OVER_QUOTA_WEIGHT);
            let extrapolation_factor =
                (target_utilization / utilization.max(MIN_UTILIZATION)).min(MAX_EXTRAPOLATION);
            let attainable_rate = observed_rate * extrapolation_factor;
            // A lower rate is adopted at once. A rate that was reached under load must not outlast that load,
            // because it would admit more requests than busy upstreams can serve fast.
            self.service_rate = (self.service_rate
                + (elapsed_seconds / RATE_GAIN_SECONDS).min(1.0) * (attainable_rate - self.service_rate))
                .min(attainable_rate);
        } else if latency.slack_seconds < 0.0 {
            self.service_rate = observed_rate;
        } else {
            let decay = (elapsed_seconds / RATE_DECAY_SECONDS).min(1.0);
            self.service_rate =
                (self.service_rate + decay * (observed_rate - self.service_rate)).max(observed_rate);
        }
    }

    /// Updates W and the attempts in flight as sums over the upstreams in rotation. `allowed_latency_seconds`
    /// is the time that a request may spend at an upstream.
    fn update_spare(
        &mut self,
        elapsed_seconds: f64,
        balancer_count: f64,
        allowed_latency_seconds: f64,
        upstreams: &[&Upstream],
    ) {
        self.spare = 0.0;
        self.in_flight = 0.0;
        for upstream in upstreams.iter().filter(|upstream| upstream.rotation.takes_turns()) {
            let weight = upstream.rotation.weight;
            let upstream_rate = self.service_rate * weight;
            let in_flight = f64::from(upstream.in_flight) + upstream.abandoned_attempts;
            let stuck_attempts = f64::from(upstream.overdue_attempts) + upstream.abandoned_attempts;
            // Overdue and abandoned attempts reduce the usable capacity of their upstream, but still count as
            // in flight. Otherwise W and the overload would both be zero if all upstreams were stuck, and no
            // tenant's guarantee would be reduced.
            let usable_share = 1.0 - stuck_attempts / in_flight.max(1.0);
            // The queue limits of all balancers for one upstream add up to at least its weight times the
            // usable share. Without this minimum, upstreams whose rate is still unknown would take long to
            // get load.
            let queue_limit =
                (upstream_rate * allowed_latency_seconds).max(weight / balancer_count) * usable_share;
            self.spare += elapsed_seconds * upstream_rate * usable_share + queue_limit - in_flight;
            self.in_flight += in_flight;
        }
    }
}
