//! Latency statistics per request class.

use crate::settings::{RequestClass, Settings};
use crate::time::{TICK_SECONDS, Timestamp};

/// Mean latency that is assumed for a class before any measurement, as a share of its latency objective.
const INITIAL_MEAN_SHARE_OF_OBJECTIVE: f64 = 0.3;
/// Share of the latency objective that the mean latency may reach. If the mean is higher, many requests miss
/// the objective, so the upstreams have no spare capacity.
const ALLOWED_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// Share of the latency objective that the mean latency may reach if upstreams report their utilization. It
/// is higher than [`ALLOWED_SHARE_OF_OBJECTIVE`], because latency is then only the second limit on the load.
const ALLOWED_SHARE_WITH_UTILIZATION: f64 = 0.55;
/// Share of the admitted requests up to which the latency of a class does not limit the queues.
const MIN_ADMITTED_SHARE: f64 = 0.02;
/// Weight of the newest admitted request in the moving averages of the admitted shares.
const NEWEST_ADMISSION_WEIGHT: f64 = 0.01;
/// Time without measurements after which the mean latency of a class starts to decay.
const DECAY_START_SECONDS: f64 = 5.0;
/// Time constant of the decay of the mean latency.
const DECAY_SECONDS: f64 = 5.0;
/// Share of the allowed mean latency to which the mean latency decays.
const DECAY_TARGET_SHARE: f64 = 0.5;
/// Quantile of the latency of a class above which an attempt counts as overdue.
const OVERDUE_QUANTILE: f64 = 0.95;
/// Relative step by which each attempt moves the estimate of [`OVERDUE_QUANTILE`].
const QUANTILE_STEP: f64 = 0.05;
/// Minimum of the estimated quantile, unless the latency objective is shorter. It is two ticks, because
/// overdue attempts are detected once per tick.
const MIN_QUANTILE_SECONDS: f64 = 2.0 * TICK_SECONDS;
/// Share of the latency objective after which an attempt counts as overdue even if the estimated quantile is
/// higher, so that a hedged request or a retry still has time.
const OVERDUE_SHARE_OF_OBJECTIVE: f64 = 0.6;
/// Weight of the newest served attempt in the mean latency of served attempts.
const NEWEST_SERVED_WEIGHT: f64 = 0.1;
/// Factor that turns the duration of an abandoned attempt into its assumed latency. The response would have
/// taken longer than the balancer waited for it.
const ABANDONED_LATENCY_FACTOR: f64 = 1.5;
/// Maximum of a single latency in the mean, in multiples of the latency objective.
const MAX_LATENCY_IN_OBJECTIVES: f64 = 2.0;
/// Time constant of the mean latency, as far as the limits of the weight of a new attempt allow.
const AVERAGING_SECONDS: f64 = 3.0;
/// Minimum weight of a new attempt in the mean latency.
const MIN_ATTEMPT_WEIGHT: f64 = 0.02;
/// Maximum weight of a new attempt in the mean latency.
const MAX_ATTEMPT_WEIGHT: f64 = 0.2;

/// Comparison of the latencies of all classes with their objectives.
pub(crate) struct LatencySummary {
    /// Mean latency over all classes, weighted by their shares of the admitted requests.
    pub(crate) mean_seconds: f64,
    /// Smallest difference between the allowed and the measured mean latency of a class; negative if a class
    /// exceeds its allowed latency.
    pub(crate) slack_seconds: f64,
}

/// Latency statistics of one request class.
#[derive(Default)]
pub(crate) struct ClassLatency {
    /// Mean latency of all recorded attempts, abandoned ones included.
    mean_seconds: f64,
    /// Mean latency of the served attempts; starts at zero.
    served_mean_seconds: f64,
    /// Time at which the latest attempt was recorded.
    updated_at: Timestamp,
    /// Estimate of the quantile [`OVERDUE_QUANTILE`] of the latency.
    quantile_seconds: f64,
    /// Smoothed share of this class among the admitted requests.
    admitted_share: f64,
}

/// The time that an attempt took, in seconds, and how the attempt ended.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum LatencySample {
    /// The upstream served the request after this time.
    Served(f64),
    /// The balancer abandoned the attempt as overdue after this time.
    Abandoned(f64),
}

impl ClassLatency {
    fn new(class: &RequestClass) -> Self {
        let objective_seconds = class.latency_objective.as_secs_f64();
        Self {
            mean_seconds: objective_seconds * INITIAL_MEAN_SHARE_OF_OBJECTIVE,
            quantile_seconds: objective_seconds * OVERDUE_SHARE_OF_OBJECTIVE,
            admitted_share: 1.0,
            ..Self::default()
        }
    }

    /// Returns the mean latency of all recorded attempts, abandoned ones included.
    pub(crate) fn mean_seconds(&self) -> f64 {
        self.mean_seconds
    }

    /// Returns the mean latency of the served attempts, which starts at zero.
    pub(crate) fn served_mean_seconds(&self) -> f64 {
        self.served_mean_seconds
    }

    /// Returns the time after which an attempt counts as overdue.
    pub(crate) fn overdue_after_seconds(&self, class: &RequestClass) -> f64 {
        self.quantile_seconds.min(OVERDUE_SHARE_OF_OBJECTIVE * class.latency_objective.as_secs_f64())
    }

    /// Returns the time after which an overdue attempt counts as long overdue and is checked again.
    pub(crate) fn long_overdue_after_seconds(&self, class: &RequestClass) -> f64 {
        self.quantile_seconds.max(OVERDUE_SHARE_OF_OBJECTIVE * class.latency_objective.as_secs_f64())
    }

    /// Adds the latency of a served attempt to the mean of the served attempts.
    pub(crate) fn record_served(&mut self, latency_seconds: f64) {
        self.served_mean_seconds += NEWEST_SERVED_WEIGHT * (latency_seconds - self.served_mean_seconds);
    }

    /// Adds an attempt to the mean latency and to the estimated quantile.
    pub(crate) fn record(&mut self, now: Timestamp, class: &RequestClass, sample: LatencySample) {
        let objective_seconds = class.latency_objective.as_secs_f64();
        // An abandoned attempt counts as exceeding the quantile. Otherwise, abandoned attempts would hide a
        // general rise of the latency.
        let exceeds_quantile = match sample {
            LatencySample::Served(seconds) => seconds > self.quantile_seconds,
            LatencySample::Abandoned(_) => true,
        };
        let factor = if exceeds_quantile {
            1.0 + QUANTILE_STEP * OVERDUE_QUANTILE
        } else {
            1.0 - QUANTILE_STEP * (1.0 - OVERDUE_QUANTILE)
        };
        self.quantile_seconds =
            (self.quantile_seconds * factor).max(MIN_QUANTILE_SECONDS).min(objective_seconds);
        let latency = match sample {
            LatencySample::Served(seconds) => seconds,
            LatencySample::Abandoned(seconds) => ABANDONED_LATENCY_FACTOR * seconds,
        };
        let latency = latency.min(MAX_LATENCY_IN_OBJECTIVES * objective_seconds);
        let since_last_seconds = now - self.updated_at;
        let weight = (since_last_seconds / AVERAGING_SECONDS).clamp(MIN_ATTEMPT_WEIGHT, MAX_ATTEMPT_WEIGHT);
        self.updated_at = now;
        self.mean_seconds += weight * (latency - self.mean_seconds);
    }

    /// Lets the mean latency decay if no attempt was recorded for some time. Otherwise, a balancer that sees
    /// no spare capacity would admit no requests, and so would never measure that capacity is available
    /// again.
    fn decay(&mut self, now: Timestamp, elapsed_seconds: f64, class: &RequestClass) {
        if now > self.updated_at + DECAY_START_SECONDS {
            let target_seconds =
                DECAY_TARGET_SHARE * ALLOWED_SHARE_OF_OBJECTIVE * class.latency_objective.as_secs_f64();
            self.mean_seconds -=
                (elapsed_seconds / DECAY_SECONDS).min(1.0) * (self.mean_seconds - target_seconds).max(0.0);
        }
    }
}

/// Latency statistics of all request classes.
#[derive(Default)]
pub(crate) struct LatencyStatistics {
    classes: Vec<ClassLatency>,
}

impl LatencyStatistics {
    /// Creates the statistics of these classes, without measurements.
    pub(crate) fn new(classes: &[RequestClass]) -> Self {
        Self { classes: classes.iter().map(ClassLatency::new).collect() }
    }

    /// Returns the statistics of one class.
    pub(crate) fn class(&self, class: usize) -> &ClassLatency {
        &self.classes[class]
    }

    /// Returns the statistics of one class for recording an attempt.
    pub(crate) fn class_mut(&mut self, class: usize) -> &mut ClassLatency {
        &mut self.classes[class]
    }

    /// Counts an admitted request in the admitted shares of all classes.
    pub(crate) fn record_admission(&mut self, admitted_class: usize) {
        for (class, latency) in self.classes.iter_mut().enumerate() {
            let admitted = f64::from(u8::from(class == admitted_class));
            latency.admitted_share += NEWEST_ADMISSION_WEIGHT * (admitted - latency.admitted_share);
        }
    }

    /// Lets the mean latency decay for classes without recent measurements. `elapsed_seconds` is the time
    /// since the last call.
    pub(crate) fn decay(&mut self, now: Timestamp, elapsed_seconds: f64, settings: &Settings) {
        for (class, latency) in settings.classes.iter().zip(&mut self.classes) {
            latency.decay(now, elapsed_seconds, class);
        }
    }

    /// Compares the mean latencies with the latency objectives. All classes share the upstreams' queues, so
    /// the class with the least slack determines how much the queues may grow.
    pub(crate) fn summary(&self, settings: &Settings, utilization_is_reported: bool) -> LatencySummary {
        let allowed_share =
            if utilization_is_reported { ALLOWED_SHARE_WITH_UTILIZATION } else { ALLOWED_SHARE_OF_OBJECTIVE };
        let share_sum: f64 = self.classes.iter().map(|latency| latency.admitted_share).sum();
        let weighted_sum: f64 =
            self.classes.iter().map(|latency| latency.mean_seconds * latency.admitted_share).sum();
        let slack_seconds = settings
            .classes
            .iter()
            .zip(&self.classes)
            .filter(|(_, latency)| latency.admitted_share > MIN_ADMITTED_SHARE)
            .map(|(class, latency)| {
                allowed_share * class.latency_objective.as_secs_f64() - latency.mean_seconds
            })
            .fold(f64::INFINITY, f64::min);
        LatencySummary { mean_seconds: weighted_sum / share_sum.max(1e-9), slack_seconds }
    }
}
