//! Latency statistics for each class of requests.

use crate::settings::{RequestClass, Settings};
use crate::time::{TICK_SECONDS, Timestamp};

/// The latency that a class is assumed to have before it is measured, as a share of its objective.
const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.3;
/// Share of the latency objective that requests may take on average. Beyond it many miss the objective, so no
/// capacity is left.
const ALLOWED_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// The same where upstreams report their utilization, so that latency only backs it up.
const ALLOWED_SHARE_WITH_UTILIZATION: f64 = 0.55;
/// Share of the admitted requests below which a class does not limit the length of queues.
const MIN_ADMITTED_SHARE: f64 = 0.02;
/// Weight of the newest request in the admitted shares.
const ADMITTED_SHARE_WEIGHT: f64 = 0.01;
/// Time without measurements after which the latency of a class decays.
const DECAY_START_SECONDS: f64 = 5.0;
/// Time constant of the decay.
const DECAY_SECONDS: f64 = 5.0;
/// Share of the allowed latency that the decay leads to.
const DECAY_TARGET: f64 = 0.5;
/// The quantile of latency up to which an attempt is not overdue.
const TYPICAL_QUANTILE: f64 = 0.95;
/// Relative step by which the estimate of that quantile follows each attempt.
const QUANTILE_STEP: f64 = 0.05;
/// The least typical latency: two ticks, as overdue attempts are looked for once per tick. A shorter latency
/// objective takes its place.
const MIN_TYPICAL_SECONDS: f64 = 2.0 * TICK_SECONDS;
/// Share of the latency objective after which an attempt is overdue at the latest, so that a hedged request
/// or a retry still has time.
const MAX_TYPICAL_SHARE_OF_OBJECTIVE: f64 = 0.6;
/// Weight of the newest response in the mean latency of the served attempts.
const SERVED_WEIGHT: f64 = 0.1;
/// Factor by which the time spent on an abandoned attempt counts as latency: it would have taken longer.
const ABANDONED_LATENCY_FACTOR: f64 = 1.5;
/// The most that one latency counts, in multiples of the objective.
const MAX_LATENCY_IN_OBJECTIVES: f64 = 2.0;
/// Seconds over which the mean latency is averaged where attempts are rare.
const AVERAGING_SECONDS: f64 = 3.0;
/// Least weight of a new attempt in the mean.
const MIN_ATTEMPT_WEIGHT: f64 = 0.02;
/// Largest weight of a new attempt in the mean.
const MAX_ATTEMPT_WEIGHT: f64 = 0.2;

/// How the latency of the admitted requests compares with their objectives, in seconds.
pub(crate) struct LatencySummary {
    /// The mean over the classes, weighted by what is admitted of them.
    pub(crate) mean: f64,
    /// What the class closest to its allowed latency has left; negative beyond it.
    pub(crate) slack: f64,
}

/// The latency of one class of requests, in seconds.
#[derive(Default)]
pub(crate) struct ClassLatency {
    /// Mean of all attempts, abandoned ones included.
    mean: f64,
    /// Mean of the served attempts.
    served_mean: f64,
    /// When the latest attempt was recorded.
    updated_at: Timestamp,
    /// The quantile [`TYPICAL_QUANTILE`].
    typical: f64,
    /// Share of the admitted requests that are of this class.
    admitted_share: f64,
}

/// How an attempt counts for latency.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum LatencySample {
    /// It was served after this time.
    Served(f64),
    /// It was abandoned as overdue after this time.
    Abandoned(f64),
}

impl ClassLatency {
    fn new(class: &RequestClass) -> Self {
        let objective = class.latency_objective.as_secs_f64();
        Self {
            mean: objective * INITIAL_SHARE_OF_OBJECTIVE,
            typical: objective * MAX_TYPICAL_SHARE_OF_OBJECTIVE,
            admitted_share: 1.0,
            ..Self::default()
        }
    }

    /// Mean of all attempts.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Mean of the served attempts.
    pub(crate) fn served_mean(&self) -> f64 {
        self.served_mean
    }

    /// Time after which an attempt is overdue.
    pub(crate) fn overdue_after(&self, class: &RequestClass) -> f64 {
        self.typical.min(MAX_TYPICAL_SHARE_OF_OBJECTIVE * class.latency_objective.as_secs_f64())
    }

    /// Time after which an attempt that was already overdue is looked at again.
    pub(crate) fn long_overdue_after(&self, class: &RequestClass) -> f64 {
        self.typical.max(MAX_TYPICAL_SHARE_OF_OBJECTIVE * class.latency_objective.as_secs_f64())
    }

    /// Records a served attempt in the mean of the served ones.
    pub(crate) fn record_served(&mut self, latency: f64) {
        self.served_mean += SERVED_WEIGHT * (latency - self.served_mean);
    }

    /// Records an attempt in the mean and the typical latency.
    pub(crate) fn record(&mut self, now: Timestamp, class: &RequestClass, sample: LatencySample) {
        let objective = class.latency_objective.as_secs_f64();
        // An abandoned attempt counts as long: otherwise abandoning would hide that long latency is now
        // typical.
        let is_long = match sample {
            LatencySample::Served(latency) => latency > self.typical,
            LatencySample::Abandoned(_) => true,
        };
        let factor = if is_long {
            1.0 + QUANTILE_STEP * TYPICAL_QUANTILE
        } else {
            1.0 - QUANTILE_STEP * (1.0 - TYPICAL_QUANTILE)
        };
        self.typical = (self.typical * factor).max(MIN_TYPICAL_SECONDS).min(objective);
        let latency = match sample {
            LatencySample::Served(latency) => latency,
            LatencySample::Abandoned(latency) => ABANDONED_LATENCY_FACTOR * latency,
        };
        let latency = latency.min(MAX_LATENCY_IN_OBJECTIVES * objective);
        let since_last = now - self.updated_at;
        let weight = (since_last / AVERAGING_SECONDS).clamp(MIN_ATTEMPT_WEIGHT, MAX_ATTEMPT_WEIGHT);
        self.updated_at = now;
        self.mean += weight * (latency - self.mean);
    }

    /// Lets the mean decay where nothing was recorded for a while: otherwise a balancer without spare
    /// capacity would admit nothing that could show its return.
    fn decay(&mut self, now: Timestamp, elapsed: f64, class: &RequestClass) {
        if now > self.updated_at + DECAY_START_SECONDS {
            let target = DECAY_TARGET * ALLOWED_SHARE_OF_OBJECTIVE * class.latency_objective.as_secs_f64();
            self.mean -= (elapsed / DECAY_SECONDS).min(1.0) * (self.mean - target).max(0.0);
        }
    }
}

/// The latency statistics of all classes.
#[derive(Default)]
pub(crate) struct LatencyStatistics {
    classes: Vec<ClassLatency>,
}

impl LatencyStatistics {
    /// Statistics without measurements.
    pub(crate) fn new(classes: &[RequestClass]) -> Self {
        Self { classes: classes.iter().map(ClassLatency::new).collect() }
    }

    /// The latency of one class.
    pub(crate) fn class(&self, class: usize) -> &ClassLatency {
        &self.classes[class]
    }

    /// The latency of one class, to record an attempt.
    pub(crate) fn class_mut(&mut self, class: usize) -> &mut ClassLatency {
        &mut self.classes[class]
    }

    /// Counts an admitted request in the admitted shares.
    pub(crate) fn record_admission(&mut self, admitted_class: usize) {
        for (class, latency) in self.classes.iter_mut().enumerate() {
            let admitted = f64::from(u8::from(class == admitted_class));
            latency.admitted_share += ADMITTED_SHARE_WEIGHT * (admitted - latency.admitted_share);
        }
    }

    /// Lets the means decay of the classes that have not been measured for a while.
    pub(crate) fn decay(&mut self, now: Timestamp, elapsed: f64, settings: &Settings) {
        for (class, latency) in settings.classes.iter().zip(&mut self.classes) {
            latency.decay(now, elapsed, class);
        }
    }

    /// Compares the classes with their objectives. Queues are shared, so the class closest to its allowed
    /// latency determines how much they may grow.
    pub(crate) fn summary(&self, settings: &Settings, utilization_is_reported: bool) -> LatencySummary {
        let allowed_share =
            if utilization_is_reported { ALLOWED_SHARE_WITH_UTILIZATION } else { ALLOWED_SHARE_OF_OBJECTIVE };
        let shares: f64 = self.classes.iter().map(|latency| latency.admitted_share).sum();
        let weighted: f64 = self.classes.iter().map(|latency| latency.mean * latency.admitted_share).sum();
        let slack = settings
            .classes
            .iter()
            .zip(&self.classes)
            .filter(|(_, latency)| latency.admitted_share > MIN_ADMITTED_SHARE)
            .map(|(class, latency)| allowed_share * class.latency_objective.as_secs_f64() - latency.mean)
            .fold(f64::INFINITY, f64::min);
        LatencySummary { mean: weighted / shares.max(1e-9), slack }
    }
}
