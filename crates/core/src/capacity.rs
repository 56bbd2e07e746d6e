//! The estimate of the spare capacity W that the upstreams have left for this balancer: the sum over the
//! upstreams in rotation of tau * C_j, what one completes in a tick, and Q_j - q_j, the free part of its
//! queue.
//!
//! C_j is learned from completions and, where upstreams report it, from their CPU utilization. Q_j follows
//! from C_j and the time that a request may spend at the upstreams.

use crate::latency::LatencySummary;
use crate::settings::Settings;
use crate::upstreams::Upstream;

/// Seconds over which completions are averaged: a single tick sees too few.
const COMPLETION_SMOOTHING_SECONDS: f64 = 1.0;
/// Seconds over which a higher rate is adopted where utilization is reported.
const RATE_GAIN_SECONDS: f64 = 2.0;
/// Seconds over which a rate once reached is forgotten while latency is within its objective.
const RATE_DECAY_SECONDS: f64 = 30.0;
/// CPU utilization that the upstreams are filled up to.
const TARGET_UTILIZATION: f64 = 0.8;
/// What is added to [`TARGET_UTILIZATION`] for each unit of [`Settings::over_quota_weight`]: where requests
/// over quota are worth little, short queues are worth more.
const TARGET_UTILIZATION_FOR_OVER_QUOTA: f64 = 0.4;
/// The most of [`Settings::over_quota_weight`] that counts.
const MAX_OVER_QUOTA_WEIGHT: f64 = 0.5;
/// The largest multiple of its completion rate that an idle fleet is assumed to be capable of.
const MAX_EXTRAPOLATION: f64 = 2.0;
/// The least utilization from which a rate is extrapolated.
pub(crate) const MIN_UTILIZATION: f64 = 0.1;

/// How many requests the upstreams can take beyond those in flight.
#[derive(Default)]
pub(crate) struct SpareCapacity {
    /// C for each unit of rotation weight, in requests per second.
    rate: f64,
    /// Smoothed completions per second.
    completion_rate: f64,
    /// Completions in the current tick.
    completions: f64,
    /// W by the latest estimate, in requests; negative where the upstreams are overloaded.
    spare: f64,
    /// Requests in flight at the time of the latest estimate, abandoned attempts included.
    in_flight: f64,
}

impl SpareCapacity {
    /// The estimate of a balancer that has seen nothing yet and expects so many requests per second.
    pub(crate) fn new(expected_rate: f64) -> Self {
        Self { completion_rate: expected_rate, ..Self::default() }
    }

    /// An upstream has served a request.
    pub(crate) fn record_completion(&mut self) {
        self.completions += 1.0;
    }

    /// C for each unit of rotation weight, in requests per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// W in requests; negative where the upstreams are overloaded.
    pub(crate) fn spare(&self) -> f64 {
        self.spare
    }

    /// Share of the requests in flight that exceeds the capacity.
    pub(crate) fn overload_share(&self) -> f64 {
        (-self.spare / f64::max(self.in_flight, 1e-9)).max(0.0)
    }

    /// Estimates W again, `elapsed` seconds after the last estimate.
    pub(crate) fn estimate(
        &mut self,
        elapsed: f64,
        settings: &Settings,
        latency: &LatencySummary,
        utilization: Option<f64>,
        upstreams: &[&Upstream],
    ) {
        let total_weight = upstreams.iter().map(|upstream| upstream.rotation.weight).sum::<f64>().max(1e-9);
        let completion_rate = self.completions / elapsed.max(1e-6);
        self.completion_rate +=
            (elapsed / COMPLETION_SMOOTHING_SECONDS).min(1.0) * (completion_rate - self.completion_rate);
        self.completions = 0.0;
        self.update_rate(elapsed, self.completion_rate / total_weight, settings, latency, utilization);
        let mut allowed_latency = (latency.mean + latency.slack).max(0.0);
        // Where utilization is reported, the rate already limits the load, so positive slack adds no queue.
        if utilization.is_some() {
            allowed_latency = allowed_latency.min(latency.mean);
        }
        self.update_spare(elapsed, f64::from(settings.balancers), allowed_latency, upstreams);
    }

    /// Updates C from the observed rate. A lower rate is adopted at once where utilization is reported or
    /// latency exceeds its allowance, because the requests admitted for lost capacity fill the queues;
    /// otherwise it is adopted over [`RATE_DECAY_SECONDS`].
    fn update_rate(
        &mut self,
        elapsed: f64,
        observed: f64,
        settings: &Settings,
        latency: &LatencySummary,
        utilization: Option<f64>,
    ) {
        if let Some(utilization) = utilization {
            let target = TARGET_UTILIZATION
                + TARGET_UTILIZATION_FOR_OVER_QUOTA * settings.over_quota_weight.min(MAX_OVER_QUOTA_WEIGHT);
            let extrapolation = (target / utilization.max(MIN_UTILIZATION)).min(MAX_EXTRAPOLATION);
            let capable = observed * extrapolation;
            // A rate reached under load must not outlast it: it would admit what makes a busy upstream slow.
            self.rate =
                (self.rate + (elapsed / RATE_GAIN_SECONDS).min(1.0) * (capable - self.rate)).min(capable);
        } else if latency.slack < 0.0 {
            self.rate = observed;
        } else {
            let decay = (elapsed / RATE_DECAY_SECONDS).min(1.0);
            self.rate = (self.rate + decay * (observed - self.rate)).max(observed);
        }
    }

    /// Updates W and the requests in flight as sums over the upstreams, each of which may take
    /// `allowed_latency` seconds for a request.
    fn update_spare(&mut self, elapsed: f64, balancers: f64, allowed_latency: f64, upstreams: &[&Upstream]) {
        self.spare = 0.0;
        self.in_flight = 0.0;
        for upstream in upstreams.iter().filter(|upstream| upstream.rotation.takes_turns()) {
            let weight = upstream.rotation.weight;
            let rate = self.rate * weight;
            let in_flight = f64::from(upstream.in_flight) + upstream.abandoned_attempts;
            let stuck_attempts = f64::from(upstream.overdue_attempts) + upstream.abandoned_attempts;
            // An upstream whose attempts are overdue has less capacity, but what it holds still counts as in
            // flight: otherwise W and the overload would both be zero when all are stuck, and no guarantee
            // would be cut.
            let usable_share = 1.0 - stuck_attempts / in_flight.max(1.0);
            // All balancers together allow each upstream a queue of at least its weight times the usable
            // share: upstreams without stated rates would take long to start from nothing.
            let queue_limit = (rate * allowed_latency).max(weight / balancers) * usable_share;
            self.spare += elapsed * rate * usable_share + queue_limit - in_flight;
            self.in_flight += in_flight;
        }
    }
}
