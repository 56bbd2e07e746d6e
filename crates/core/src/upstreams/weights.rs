//! The weights of the upstreams in the rotation: how much work each upstream can do now, and how many turns
//! it gets.

use crate::capacity::MIN_UTILIZATION;
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::upstreams::ejection_limit::MAX_EJECTED_SHARE;
use crate::upstreams::load_reports::mean_utilization;
use crate::upstreams::{Upstream, UpstreamSet};

/// Cross-zone price from which upstreams in other zones get no turns in the rotation while one in the
/// balancer's own zone can be used. Below it, their weight decreases linearly with the price. The unit is
/// that of [`Settings::prices`].
const MAX_CROSS_ZONE_PRICE: f64 = 0.05;
/// Time constant with which the number of samples behind the relative latency of an upstream decays.
const RELATIVE_LATENCY_DECAY_SECONDS: f64 = 10.0;
/// Number of assumed samples with a relative latency of 1, which keep the estimate close to 1 while there
/// are few real samples.
const PRIOR_SAMPLES: f64 = 4.0;
/// Maximum relative latency of a single sample.
const MAX_RELATIVE_LATENCY_SAMPLE: f64 = 5.0;
/// Minimum relative latency that the capacity is divided by.
const MIN_RELATIVE_LATENCY: f64 = 0.25;
/// Maximum relative latency that the capacity is divided by.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
/// Minimum relative capacity of an upstream, which keeps it above zero.
const MIN_RELATIVE_CAPACITY: f64 = 1e-3;

/// The state of one upstream in the rotation.
pub(crate) struct RotationState {
    /// The work that the upstream can do now, relative to a warm upstream of the largest size in the subset.
    pub(crate) relative_capacity: f64,
    /// The average number of turns that the upstream gets in each round; 0 if it is not in rotation.
    pub(crate) weight: f64,
    /// Turns that the upstream has accumulated and not taken. It takes a turn when this is at least 1.
    pub(crate) turn_credit: f64,
}

impl RotationState {
    /// Returns whether the upstream is in rotation.
    pub(crate) fn takes_turns(&self) -> bool {
        self.weight > 0.0
    }
}

impl Default for RotationState {
    /// Returns the state of an upstream that is not in rotation.
    fn default() -> Self {
        Self { relative_capacity: 1.0, weight: 0.0, turn_credit: 0.0 }
    }
}

/// The mean latency of attempts at one upstream, relative to the mean latency of their classes at all
/// upstreams.
#[derive(Default)]
pub(crate) struct RelativeLatency {
    mean: f64,
    /// Number of samples that the mean stands for. It decays, so that new samples keep their influence.
    effective_samples: f64,
}

impl RelativeLatency {
    /// Records one attempt. `ratio` is its latency divided by the mean latency of its class.
    pub(crate) fn record(&mut self, ratio: f64) {
        let ratio = ratio.min(MAX_RELATIVE_LATENCY_SAMPLE);
        self.effective_samples += 1.0;
        self.mean += (ratio - self.mean) / self.effective_samples;
    }

    /// Returns the mean, pulled towards 1 by [`PRIOR_SAMPLES`] assumed samples.
    fn estimate(&self) -> f64 {
        (self.mean * self.effective_samples + PRIOR_SAMPLES) / (self.effective_samples + PRIOR_SAMPLES)
    }
}

/// The inputs of the weights that are not part of the upstream set.
pub(crate) struct WeightInputs<'a> {
    pub(crate) now: Timestamp,
    /// Time since the last tick, or 0 for an update after a change of the subset or the endpoint list.
    pub(crate) elapsed_seconds: f64,
    pub(crate) settings: &'a Settings,
    /// Estimated service rate C of the upstreams per unit of rotation weight, in requests per second.
    pub(crate) rate_per_weight: f64,
    /// Requests per second that this balancer expects, derived from the tenants' quotas.
    pub(crate) expected_rate: f64,
}

/// Properties of the whole subset that the weights of its members depend on.
struct SubsetSummary {
    /// Largest size of an upstream in the subset.
    largest_size: f64,
    /// Whether so many upstreams are ejected for all classes that the ejections are ignored. See
    /// [`MAX_EJECTED_SHARE`].
    ignores_ejections: bool,
    /// Whether an upstream in this balancer's zone is ready and not ejected for all classes.
    own_zone_is_usable: bool,
    /// Mean of the reported utilizations, at least [`MIN_UTILIZATION`]; 1 if none is reported.
    mean_utilization: f64,
}

impl UpstreamSet {
    /// Updates the weights of all members of the subset: adjusts the capacity scales of the members in slow
    /// start to their reported utilization, applies the decay of the statistics, and computes relative
    /// capacity and weight. Then refills the request budgets of the members in slow start.
    pub(crate) fn update_weights(&mut self, inputs: &WeightInputs<'_>) {
        let summary = self.summarize(inputs);
        let sample_factor = (-inputs.elapsed_seconds / RELATIVE_LATENCY_DECAY_SECONDS).exp();
        let abandoned_factor =
            (-inputs.elapsed_seconds / shortest_latency_objective_seconds(inputs.settings)).exp();
        for position in &self.subset {
            let upstream = &mut self.upstreams[*position];
            let utilization = upstream.reported_load.valid_utilization(inputs.now);
            upstream.slow_start.adjust_capacity_scale(
                inputs.elapsed_seconds,
                utilization,
                summary.mean_utilization,
                inputs.settings,
            );
            upstream.decay_statistics(sample_factor, abandoned_factor);
            upstream.update_weight(inputs, &summary);
        }
        self.refill_slow_start_budgets(inputs);
    }

    /// Lets the numbers of abandoned attempts at upstreams outside the subset decay up to `now`. The ticks do
    /// so for members of the subset only.
    pub(crate) fn decay_abandoned_outside_subset(&mut self, now: Timestamp, settings: &Settings) {
        let elapsed_seconds = now - self.outside_subset_decayed_at;
        self.outside_subset_decayed_at = now;
        let factor = (-elapsed_seconds / shortest_latency_objective_seconds(settings)).exp();
        for upstream in self.upstreams.iter_mut().filter(|upstream| !upstream.in_subset) {
            upstream.abandoned_attempts *= factor;
        }
    }

    fn summarize(&self, inputs: &WeightInputs<'_>) -> SubsetSummary {
        let now = inputs.now;
        let ready = || self.subset_members().filter(|upstream| upstream.is_ready());
        let ejected_count =
            ready().filter(|upstream| upstream.outlier.is_ejected_for_all_classes(now)).count() as f64;
        let max_ejected = MAX_EJECTED_SHARE * ready().count() as f64;
        let reported_utilization = mean_utilization(self.subset_members(), now);
        SubsetSummary {
            largest_size: self.subset_members().map(|upstream| upstream.size).fold(1e-9, f64::max),
            ignores_ejections: ejected_count > max_ejected,
            own_zone_is_usable: ready().any(|upstream| {
                upstream.zone == inputs.settings.zone && !upstream.outlier.is_ejected_for_all_classes(now)
            }),
            mean_utilization: reported_utilization
                .map_or(1.0, |utilization| utilization.max(MIN_UTILIZATION)),
        }
    }

    /// Refills the request budgets of the members in slow start in proportion to the rate of a warm
    /// upstream. That rate is at least the rate that this balancer expects, divided by the number of members.
    /// With the observed rate alone, few requests would lead to few responses, and few responses to even
    /// fewer requests.
    fn refill_slow_start_budgets(&mut self, inputs: &WeightInputs<'_>) {
        let mut warm_count = 0.0;
        let mut warm_weight = 0.0;
        for upstream in self.subset_members() {
            if upstream.rotation.takes_turns() && !upstream.slow_start.is_active() {
                warm_weight += upstream.rotation.weight;
                warm_count += 1.0;
            }
        }
        let observed_rate = if warm_count > 0.0 {
            inputs.rate_per_weight * warm_weight / warm_count
        } else {
            inputs.rate_per_weight
        };
        let expected_rate = inputs.expected_rate / f64::max(self.subset.len() as f64, 1.0);
        let warm_rate = observed_rate.max(expected_rate);
        for position in &self.subset {
            let upstream = &mut self.upstreams[*position];
            let weight = upstream.rotation.weight;
            upstream.slow_start.refill_budget(inputs.elapsed_seconds, warm_rate, weight, inputs.settings);
        }
    }
}

impl Upstream {
    /// Multiplies the number of samples behind the relative latency by `sample_factor`, and the number of
    /// abandoned attempts by `abandoned_factor`.
    fn decay_statistics(&mut self, sample_factor: f64, abandoned_factor: f64) {
        self.relative_latency.effective_samples *= sample_factor;
        self.abandoned_attempts *= abandoned_factor;
    }

    fn update_weight(&mut self, inputs: &WeightInputs<'_>, summary: &SubsetSummary) {
        let relative_latency =
            self.relative_latency.estimate().clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        let warm_up_progress = self.slow_start.update_progress(inputs.now, inputs.settings);
        let relative_size = self.size / summary.largest_size;
        let relative_capacity =
            relative_size * warm_up_progress * self.slow_start.capacity_scale() / relative_latency;
        self.rotation.relative_capacity = relative_capacity.max(MIN_RELATIVE_CAPACITY);
        let is_usable = self.is_ready()
            && (!self.outlier.is_ejected_for_all_classes(inputs.now) || summary.ignores_ejections);
        let zone_share = if self.zone == inputs.settings.zone || !summary.own_zone_is_usable {
            1.0
        } else {
            (1.0 - inputs.settings.prices.cross_zone / MAX_CROSS_ZONE_PRICE).max(0.0)
        };
        self.rotation.weight = if is_usable { self.rotation.relative_capacity * zone_share } else { 0.0 };
    }
}

/// Returns the shortest latency objective of all classes, in seconds.
fn shortest_latency_objective_seconds(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective.as_secs_f64());
    objectives.fold(f64::INFINITY, f64::min)
}
