//! Slow start: an upstream that has just started gets fewer requests until it has warmed up.

use crate::settings::Settings;
use crate::time::Timestamp;

/// The rate of requests granted in slow start, as a share of the rate that would overload the upstream.
const BUDGET_SHARE_OF_OVERLOAD: f64 = 0.4;
/// How fast the capacity of an upstream in slow start follows its reported utilization, per second. Reports
/// are a second or two old.
const CAPACITY_FOLLOW_RATE: f64 = 0.8;
/// The most requests that the budget accumulates.
const MAX_BUDGET: f64 = 1.5;

/// The slow start of one upstream.
pub(crate) struct SlowStart {
    /// When warming up began; `None` once the upstream has warmed up.
    started_at: Option<Timestamp>,
    /// Factor on the stated capacity while the upstream warms up, learned from its reported utilization; may
    /// be below 1.
    capacity_scale: f64,
    /// Requests that the upstream may get now. Caps the requests by elapsed time, not only by turns in the
    /// rotation.
    budget: f64,
}

impl SlowStart {
    /// The state of an upstream that started at this time, or long ago for `None`.
    pub(crate) fn new(started_at: Option<Timestamp>, budget: f64) -> Self {
        Self { started_at, capacity_scale: 1.0, budget }
    }

    /// Begins again at a restart of the upstream.
    pub(crate) fn restart(&mut self, started_at: Timestamp, budget: f64) {
        *self = Self::new(Some(started_at), budget);
    }

    /// Begins again at the end of an ejection. What was learned of the capacity is kept.
    pub(crate) fn restart_after_ejection(&mut self, ejected_until: Timestamp, budget: f64) {
        self.started_at = Some(ejected_until);
        self.budget = budget;
    }

    /// When it began; `None` once the upstream has warmed up.
    pub(crate) fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// Whether the upstream is warming up at this time, whether or not it is in the subset.
    pub(crate) fn is_warming_up(&self, now: Timestamp, settings: &Settings) -> bool {
        let duration = settings.slow_start_duration.as_secs_f64();
        self.started_at.is_some_and(|started_at| now - started_at < duration)
    }

    /// Whether the upstream counts as warming up. Updated only while it is in the subset.
    pub(crate) fn is_active(&self) -> bool {
        self.started_at.is_some()
    }

    /// Adapts the capacity to a reported utilization. The stated capacity is the least that the upstream has,
    /// so it may be used as much as the others are.
    pub(crate) fn follow_utilization(
        &mut self,
        elapsed: f64,
        reported: Option<f64>,
        mean_utilization: f64,
        settings: &Settings,
    ) {
        if !self.is_active() {
            self.capacity_scale = 1.0;
            return;
        }
        let Some(utilization) = reported else { return };
        // Not beyond the factor at which it is overloaded: it may be able to do no more than what is stated.
        let max_scale = settings.overload_factor.max(1.0);
        let spare = (mean_utilization - utilization) / mean_utilization;
        let scale = self.capacity_scale * (CAPACITY_FOLLOW_RATE * elapsed * spare).exp();
        self.capacity_scale = scale.clamp(1.0 / max_scale, max_scale);
    }

    /// The share of its full capacity that the upstream is stated to have now. Ends slow start once it has
    /// all of it.
    pub(crate) fn update_progress(&mut self, now: Timestamp, settings: &Settings) -> f64 {
        let floor = settings.slow_start_floor.min(1.0);
        let duration = settings.slow_start_duration.as_secs_f64().max(1e-6);
        let progress = self.started_at.map_or(1.0, |started_at| {
            let elapsed_share = ((now - started_at) / duration).clamp(0.0, 1.0);
            floor + (1.0 - floor) * elapsed_share
        });
        self.started_at = self.started_at.filter(|_| progress < 1.0);
        progress
    }

    /// Factor on the stated capacity; may be below 1.
    pub(crate) fn capacity_scale(&self) -> f64 {
        self.capacity_scale
    }

    /// Adds to the budget what an upstream of this weight may get in `elapsed` seconds, where a warm upstream
    /// gets `warm_rate` requests per second.
    pub(crate) fn refill_budget(&mut self, elapsed: f64, warm_rate: f64, weight: f64, settings: &Settings) {
        if self.is_active() {
            let rate_factor = BUDGET_SHARE_OF_OVERLOAD * settings.overload_factor;
            self.budget = (self.budget + elapsed * warm_rate * rate_factor * weight).min(MAX_BUDGET);
        }
    }

    /// Whether the upstream may get a request now.
    pub(crate) fn permits_request(&self) -> bool {
        !self.is_active() || self.budget >= 1.0
    }

    /// Takes one request off the budget.
    pub(crate) fn record_request(&mut self) {
        if self.is_active() {
            self.budget -= 1.0;
        }
    }
}
