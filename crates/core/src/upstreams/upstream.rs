//! The state that this balancer keeps for one upstream.

use crate::event::Availability;
use crate::ids::{CellId, UpstreamId, ZoneId};
use crate::time::Timestamp;
use crate::upstreams::load_reports::ReportedLoad;
use crate::upstreams::outlier_detection::OutlierState;
use crate::upstreams::process_start::KnownStart;
use crate::upstreams::slow_start::SlowStart;
use crate::upstreams::weights::{RelativeLatency, RotationState};

/// Load, in requests, that an overdue attempt adds beyond the one request that every attempt in flight
/// counts as. The added load directs requests away from an upstream that may be stuck.
pub(crate) const OVERDUE_ATTEMPT_EXTRA_LOAD: f64 = 4.0;

/// One upstream. The other modules of this folder define the types of its composite fields and update them.
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) availability: Availability,
    /// The full capacity of the upstream once it has warmed up, in the units of the listed weights: the
    /// listed weight itself or, if the list states live weights, the largest weight seen; 1 if the settings
    /// ignore the listed weights.
    pub(crate) size: f64,
    /// This balancer's attempts in flight at the upstream, called q_j in `capacity.rs`.
    pub(crate) in_flight: u32,
    /// The overdue ones among the attempts in flight.
    pub(crate) overdue_attempts: u32,
    /// Overdue attempts that were cancelled or timed out and that the upstream may still be executing. The
    /// number decays exponentially, with the shortest latency objective as its time constant.
    pub(crate) abandoned_attempts: f64,
    /// Time at which an attempt was last sent to the upstream or ended; [`Timestamp::ZERO`] before the first
    /// attempt.
    pub(crate) last_used_at: Timestamp,
    pub(crate) reported_load: ReportedLoad,
    pub(crate) known_start: KnownStart,
    pub(crate) slow_start: SlowStart,
    pub(crate) relative_latency: RelativeLatency,
    pub(crate) outlier: OutlierState,
    pub(crate) rotation: RotationState,
    /// Whether the upstream is a member of the subset that takes requests.
    pub(crate) in_subset: bool,
    /// Whether the upstream is new, has restarted or was ejected for all classes, and still waits for a
    /// selection of the subset that finds it ready and not ejected for all classes. At that selection, it
    /// joins the subset if it is in this balancer's part of the shuffled order that `subset.rs` describes.
    pub(crate) awaits_selection: bool,
}

impl Upstream {
    /// Creates an upstream with an id and a process start; all else is unknown until its list entry is
    /// applied.
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
            rotation: RotationState::default(),
            in_subset: false,
            awaits_selection: false,
        }
    }

    /// Returns whether the endpoint list states that the upstream takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.availability == Availability::Ready
    }

    /// Returns whether the state can be dropped: the upstream is removed and has no attempt in flight.
    pub(crate) fn can_be_dropped(&self) -> bool {
        self.availability == Availability::Removed && self.in_flight == 0
    }

    /// Returns the estimated number of requests in flight, divided by the relative capacity. The number
    /// includes this balancer's attempts, with extra load for overdue ones, its abandoned attempts, and the
    /// reported requests of other balancers.
    pub(crate) fn estimated_load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight) + OVERDUE_ATTEMPT_EXTRA_LOAD * f64::from(self.overdue_attempts);
        let reported = self.reported_load.decayed_in_flight(now);
        (own + self.abandoned_attempts + reported) / self.rotation.relative_capacity
    }

    /// Returns how many seconds the connections to the upstream have been idle: the time since an attempt
    /// was last sent or ended. It is 0 while an attempt is in flight, and before the first attempt.
    pub(crate) fn idle_seconds(&self, now: Timestamp) -> f64 {
        let was_used = self.last_used_at > Timestamp::ZERO;
        if self.in_flight > 0 || !was_used { 0.0 } else { now - self.last_used_at }
    }

    /// Records that an attempt is being sent to the upstream.
    pub(crate) fn record_attempt_sent(&mut self, now: Timestamp) {
        self.last_used_at = now;
        self.in_flight += 1;
    }
}
