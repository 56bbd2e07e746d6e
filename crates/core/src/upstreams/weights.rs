//! The weights of the upstreams in the rotation: how much each can do now, and how many turns it gets for it.

use crate::capacity::MIN_UTILIZATION;
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::upstreams::ejection_limit::MAX_EJECTED_SHARE;
use crate::upstreams::load_reports::mean_utilization;
use crate::upstreams::{Upstream, UpstreamSet};

/// Cross-zone price at which other zones get no ordinary turns; below it they get turns in proportion.
const MAX_CROSS_ZONE_PRICE: f64 = 0.05;
/// Time constant with which the samples of an upstream's relative latency decay.
const SAMPLE_DECAY_SECONDS: f64 = 10.0;
/// Samples at the usual latency that the relative latency starts from.
const PRIOR_SAMPLES: f64 = 4.0;
/// The largest relative latency that one sample counts.
const MAX_RELATIVE_LATENCY_SAMPLE: f64 = 5.0;
/// The least relative latency that changes the capacity.
const MIN_RELATIVE_LATENCY: f64 = 0.25;
/// The largest relative latency that changes the capacity.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
/// The least capacity of an upstream.
const MIN_CAPACITY: f64 = 1e-3;

/// The place of one upstream in the rotation.
pub(crate) struct Rotation {
    /// The work that it can do now, as a share of what the largest upstream can do.
    pub(crate) capacity: f64,
    /// The turns that it gets in each round; 0 if it gets none.
    pub(crate) weight: f64,
    /// Turns that it has accumulated and not taken.
    pub(crate) turn_credit: f64,
}

impl Rotation {
    /// Whether it gets turns.
    pub(crate) fn takes_turns(&self) -> bool {
        self.weight > 0.0
    }
}

impl Default for Rotation {
    /// No turns yet.
    fn default() -> Self {
        Self { capacity: 1.0, weight: 0.0, turn_credit: 0.0 }
    }
}

/// The latency of one upstream in relation to the mean of each class.
#[derive(Default)]
pub(crate) struct RelativeLatency {
    mean: f64,
    /// Samples behind the mean, decaying.
    samples: f64,
}

impl RelativeLatency {
    /// Records the latency of one attempt in relation to the mean of its class.
    pub(crate) fn record(&mut self, ratio: f64) {
        let ratio = ratio.min(MAX_RELATIVE_LATENCY_SAMPLE);
        self.samples += 1.0;
        self.mean += (ratio - self.mean) / self.samples;
    }

    /// The mean, drawn towards 1 while there are few samples.
    fn estimate(&self) -> f64 {
        (self.mean * self.samples + PRIOR_SAMPLES) / (self.samples + PRIOR_SAMPLES)
    }
}

/// What the weights depend on besides the upstreams.
pub(crate) struct WeightInputs<'a> {
    pub(crate) now: Timestamp,
    /// Seconds since the weights were last updated by a tick.
    pub(crate) elapsed: f64,
    pub(crate) settings: &'a Settings,
    /// Completion rate per unit of rotation weight, in requests per second.
    pub(crate) rate: f64,
    /// Requests per second that the quotas let this balancer expect.
    pub(crate) expected_rate: f64,
}

/// What the weight of one upstream depends on in the others.
struct SubsetSummary {
    largest_size: f64,
    /// So many upstreams are ejected that those ejected entirely take requests again.
    ignores_ejections: bool,
    /// An upstream of this balancer's zone takes requests.
    own_zone_is_usable: bool,
    /// Mean of the reported utilizations; 1 where none is reported.
    mean_utilization: f64,
}

impl UpstreamSet {
    /// For each member of the subset, lets the statistics decay, follows the reported utilization and updates
    /// capacity and weight; then refills the budgets of those in slow start.
    pub(crate) fn update_weights(&mut self, inputs: &WeightInputs<'_>) {
        let summary = self.summarize(inputs);
        let sample_decay = (-inputs.elapsed / SAMPLE_DECAY_SECONDS).exp();
        let abandoned_decay = (-inputs.elapsed / shortest_latency_objective(inputs.settings)).exp();
        for position in &self.subset {
            let upstream = &mut self.upstreams[*position];
            let utilization = upstream.reported_load.valid_utilization(inputs.now);
            upstream.slow_start.follow_utilization(
                inputs.elapsed,
                utilization,
                summary.mean_utilization,
                inputs.settings,
            );
            upstream.decay_statistics(sample_decay, abandoned_decay);
            upstream.update_weight(inputs, &summary);
        }
        self.refill_slow_start_budgets(inputs);
    }

    /// Lets the abandoned attempts of the upstreams outside the subset decay up to now. The ticks do that for
    /// the members only.
    pub(crate) fn decay_abandoned_outside_subset(&mut self, now: Timestamp, settings: &Settings) {
        let elapsed = now - self.outside_decayed_at;
        self.outside_decayed_at = now;
        let factor = (-elapsed / shortest_latency_objective(settings)).exp();
        for upstream in self.upstreams.iter_mut().filter(|upstream| !upstream.in_subset) {
            upstream.abandoned_attempts *= factor;
        }
    }

    fn summarize(&self, inputs: &WeightInputs<'_>) -> SubsetSummary {
        let now = inputs.now;
        let ready = || self.subset_members().filter(|upstream| upstream.is_ready());
        let ejected = ready().filter(|upstream| upstream.outlier.is_ejected(now)).count() as f64;
        let max_ejected = MAX_EJECTED_SHARE * ready().count() as f64;
        let reported_utilization = mean_utilization(self.subset_members(), now);
        SubsetSummary {
            largest_size: self.subset_members().map(|upstream| upstream.size).fold(1e-9, f64::max),
            ignores_ejections: ejected > max_ejected,
            own_zone_is_usable: ready()
                .any(|upstream| upstream.zone == inputs.settings.zone && !upstream.outlier.is_ejected(now)),
            mean_utilization: reported_utilization
                .map_or(1.0, |utilization| utilization.max(MIN_UTILIZATION)),
        }
    }

    /// Where few requests are served, the rate that the quotas promise counts: otherwise few turns would lead
    /// to few responses, and these to fewer turns.
    fn refill_slow_start_budgets(&mut self, inputs: &WeightInputs<'_>) {
        let mut warm_count = 0.0;
        let mut warm_weight = 0.0;
        for upstream in self.subset_members() {
            if upstream.rotation.takes_turns() && !upstream.slow_start.is_active() {
                warm_weight += upstream.rotation.weight;
                warm_count += 1.0;
            }
        }
        let observed_rate =
            if warm_count > 0.0 { inputs.rate * warm_weight / warm_count } else { inputs.rate };
        let expected_rate = inputs.expected_rate / f64::max(self.subset.len() as f64, 1.0);
        let warm_rate = observed_rate.max(expected_rate);
        for position in &self.subset {
            let upstream = &mut self.upstreams[*position];
            let weight = upstream.rotation.weight;
            upstream.slow_start.refill_budget(inputs.elapsed, warm_rate, weight, inputs.settings);
        }
    }
}

impl Upstream {
    /// Lets the samples of the relative latency and the abandoned attempts decay by these factors.
    fn decay_statistics(&mut self, sample_factor: f64, abandoned_factor: f64) {
        self.relative_latency.samples *= sample_factor;
        self.abandoned_attempts *= abandoned_factor;
    }

    fn update_weight(&mut self, inputs: &WeightInputs<'_>, summary: &SubsetSummary) {
        let relative_latency =
            self.relative_latency.estimate().clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        let warm_up_progress = self.slow_start.update_progress(inputs.now, inputs.settings);
        let relative_size = self.size / summary.largest_size;
        let capacity = relative_size * warm_up_progress * self.slow_start.capacity_scale() / relative_latency;
        self.rotation.capacity = capacity.max(MIN_CAPACITY);
        let is_usable =
            self.is_ready() && (!self.outlier.is_ejected(inputs.now) || summary.ignores_ejections);
        let zone_share = if self.zone == inputs.settings.zone || !summary.own_zone_is_usable {
            1.0
        } else {
            (1.0 - inputs.settings.prices.cross_zone / MAX_CROSS_ZONE_PRICE).max(0.0)
        };
        self.rotation.weight = if is_usable { self.rotation.capacity * zone_share } else { 0.0 };
    }
}

/// The shortest latency objective of all classes, in seconds.
fn shortest_latency_objective(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective.as_secs_f64());
    objectives.fold(f64::INFINITY, f64::min)
}
