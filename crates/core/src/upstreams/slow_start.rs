//! Slow start: limits the requests to an upstream that has just started, until it has warmed up.

use crate::settings::Settings;
use crate::time::Timestamp;

/// Rate at which an upstream in slow start is granted requests, as a share of the rate that would overload
/// it.
const BUDGET_SHARE_OF_OVERLOAD_RATE: f64 = 0.4;
/// Rate, per second, at which the capacity scale of an upstream in slow start is adjusted to its reported
/// utilization. The rate is limited because load reports are one or two seconds old.
const CAPACITY_ADJUSTMENT_PER_SECOND: f64 = 0.8;
/// Maximum number of requests that the budget accumulates.
const MAX_BUDGET_REQUESTS: f64 = 1.5;

/// The state of slow start of one upstream.
pub(crate) struct SlowStart {
    /// Time at which slow start began, or will begin at the end of an ejection; `None` once the upstream has
    /// warmed up.
    began_at: Option<Timestamp>,
    /// Ratio of the capacity of the upstream to the capacity that the settings state for this point of slow
    /// start. It is learned from the reported utilization, may be above or below 1, and is reset to 1 after
    /// slow start.
    capacity_scale: f64,
    /// Number of requests that the upstream may be sent now. It grows with elapsed time, so that the
    /// requests are limited per second and not only by the turns in the rotation.
    budget: f64,
}

impl SlowStart {
    /// Creates the state of an upstream whose slow start began at `began_at`, or which has warmed up if that
    /// is `None`. `budget` is the initial budget in requests.
    pub(crate) fn new(began_at: Option<Timestamp>, budget: f64) -> Self {
        Self { began_at, capacity_scale: 1.0, budget }
    }

    /// Begins slow start again after a restart of the upstream. Discards the learned capacity scale.
    pub(crate) fn restart(&mut self, began_at: Timestamp, budget: f64) {
        *self = Self::new(Some(began_at), budget);
    }

    /// Schedules slow start to begin again at the end of an ejection. Keeps the learned capacity scale.
    pub(crate) fn restart_after_ejection(&mut self, ejected_until: Timestamp, budget: f64) {
        self.began_at = Some(ejected_until);
        self.budget = budget;
    }

    /// Returns the time at which slow start began or will begin, or `None` if the upstream has warmed up.
    pub(crate) fn began_at(&self) -> Option<Timestamp> {
        self.began_at
    }

    /// Returns whether the upstream is warming up at `now`. The result follows from the time alone, so it is
    /// also valid outside the subset.
    pub(crate) fn is_warming_up(&self, now: Timestamp, settings: &Settings) -> bool {
        let duration = settings.slow_start_duration.as_secs_f64();
        self.began_at.is_some_and(|began_at| now - began_at < duration)
    }

    /// Returns whether the upstream was warming up at the latest update of its progress. The progress is
    /// updated only while the upstream is in the subset.
    pub(crate) fn is_active(&self) -> bool {
        self.began_at.is_some()
    }

    /// Adjusts the capacity scale so that the utilization of the upstream approaches the mean utilization.
    /// The capacity that the settings state is the minimum that the upstream has, so the upstream may be used
    /// as much as the others are. Without a reported utilization, the scale does not change. Resets the scale
    /// to 1 if the upstream has warmed up.
    pub(crate) fn adjust_capacity_scale(
        &mut self,
        elapsed_seconds: f64,
        reported_utilization: Option<f64>,
        mean_utilization: f64,
        settings: &Settings,
    ) {
        if !self.is_active() {
            self.capacity_scale = 1.0;
            return;
        }
        let Some(utilization) = reported_utilization else { return };
        // The scale does not exceed the factor at which the upstream is overloaded, because the upstream may
        // be able to do no more than the settings state.
        let max_scale = settings.overload_factor.max(1.0);
        let relative_headroom = (mean_utilization - utilization) / mean_utilization;
        let scale = self.capacity_scale
            * (CAPACITY_ADJUSTMENT_PER_SECOND * elapsed_seconds * relative_headroom).exp();
        self.capacity_scale = scale.clamp(1.0 / max_scale, max_scale);
    }

    /// Returns the share of its full capacity, up to 1, that the upstream has at `now` according to the
    /// settings. Ends slow start once the share is 1.
    pub(crate) fn update_progress(&mut self, now: Timestamp, settings: &Settings) -> f64 {
        let floor = settings.slow_start_floor.min(1.0);
        let duration = settings.slow_start_duration.as_secs_f64().max(1e-6);
        let progress = self.began_at.map_or(1.0, |began_at| {
            let elapsed_share = ((now - began_at) / duration).clamp(0.0, 1.0);
            floor + (1.0 - floor) * elapsed_share
        });
        self.began_at = self.began_at.filter(|_| progress < 1.0);
        progress
    }

    /// Returns the ratio of the capacity of the upstream to the capacity that the settings state. It may be
    /// above or below 1.
    pub(crate) fn capacity_scale(&self) -> f64 {
        self.capacity_scale
    }

    /// Adds to the budget the requests that an upstream with the rotation weight `weight` may be sent in the
    /// elapsed time. `warm_rate` is the rate in requests per second of an upstream that has warmed up.
    pub(crate) fn refill_budget(
        &mut self,
        elapsed_seconds: f64,
        warm_rate: f64,
        weight: f64,
        settings: &Settings,
    ) {
        if self.is_active() {
            let rate_factor = BUDGET_SHARE_OF_OVERLOAD_RATE * settings.overload_factor;
            self.budget =
                (self.budget + elapsed_seconds * warm_rate * rate_factor * weight).min(MAX_BUDGET_REQUESTS);
        }
    }

    /// Returns whether slow start allows a request to be sent to the upstream now.
    pub(crate) fn permits_request(&self) -> bool {
        !self.is_active() || self.budget >= 1.0
    }

    /// Deducts one request from the budget, if the upstream is in slow start.
    pub(crate) fn record_request(&mut self) {
        if self.is_active() {
            self.budget -= 1.0;
        }
    }
}
