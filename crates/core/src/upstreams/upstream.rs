//! One upstream as this balancer sees it.

use crate::event::Availability;
use crate::ids::{CellId, UpstreamId, ZoneId};
use crate::time::Timestamp;
use crate::upstreams::load_reports::ReportedLoad;
use crate::upstreams::outlier_detection::OutlierState;
use crate::upstreams::process_start::KnownStart;
use crate::upstreams::slow_start::SlowStart;
use crate::upstreams::weights::{RelativeLatency, Rotation};

/// Load that an overdue attempt adds to the one request that it already counts as: its upstream may be stuck.
pub(crate) const OVERDUE_ATTEMPT_EXTRA_LOAD: f64 = 4.0;

/// One upstream and the states that the modules beside this one own.
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) availability: Availability,
    /// The listed size; with live weights, the largest weight seen.
    pub(crate) size: f64,
    /// This balancer's attempts in flight (q_j).
    pub(crate) in_flight: u32,
    /// Those of them that are overdue.
    pub(crate) overdue_attempts: u32,
    /// Attempts given up that the upstream may still be executing, decaying over the shortest latency
    /// objective.
    pub(crate) abandoned_attempts: f64,
    /// When an attempt was last sent to it or ended.
    pub(crate) last_used_at: Timestamp,
    pub(crate) reported_load: ReportedLoad,
    pub(crate) known_start: KnownStart,
    pub(crate) slow_start: SlowStart,
    pub(crate) relative_latency: RelativeLatency,
    pub(crate) outlier: OutlierState,
    pub(crate) rotation: Rotation,
    /// It belongs to the subset that takes requests.
    pub(crate) in_subset: bool,
    /// It is new, restarted or back from an ejection since the subset was last selected.
    pub(crate) awaits_selection: bool,
}

impl Upstream {
    /// An upstream of which only the id and the start are known.
    pub(crate) fn new(
        id: UpstreamId,
        known_start: KnownStart,
        slow_start: SlowStart,
        class_count: usize,
    ) -> Self {
        Self {
            id,
            zone: ZoneId::default(),
            cell: CellId::default(),
            availability: Availability::Removed,
            size: 0.0,
            in_flight: 0,
            overdue_attempts: 0,
            abandoned_attempts: 0.0,
            last_used_at: Timestamp::ZERO,
            reported_load: ReportedLoad::default(),
            known_start,
            slow_start,
            relative_latency: RelativeLatency::default(),
            outlier: OutlierState::new(class_count),
            rotation: Rotation::default(),
            in_subset: false,
            awaits_selection: false,
        }
    }

    /// Whether the endpoint list says that it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.availability == Availability::Ready
    }

    /// Whether nothing more is to be expected of it, so that its state can be dropped.
    pub(crate) fn is_gone(&self) -> bool {
        self.availability == Availability::Removed && self.in_flight == 0
    }

    /// Estimated requests in flight, this balancer's own and reported ones, divided by its present capacity.
    pub(crate) fn estimated_load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight) + OVERDUE_ATTEMPT_EXTRA_LOAD * f64::from(self.overdue_attempts);
        let reported = self.reported_load.decayed_in_flight(now);
        (own + self.abandoned_attempts + reported) / self.rotation.capacity
    }

    /// How long no attempt was sent to it or in flight, which is how long its connections have been idle.
    pub(crate) fn idle_seconds(&self, now: Timestamp) -> f64 {
        let was_used = self.last_used_at > Timestamp::ZERO;
        if self.in_flight > 0 || !was_used { 0.0 } else { now - self.last_used_at }
    }

    /// Counts an attempt that is being sent to it.
    pub(crate) fn record_attempt_sent(&mut self, now: Timestamp) {
        self.last_used_at = now;
        self.in_flight += 1;
    }
}
