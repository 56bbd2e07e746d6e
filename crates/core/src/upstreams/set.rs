//! The set of all upstreams, and how updates of the endpoint list change it.

use crate::event::{Availability, EndpointEntry, UpdateScope};
use crate::ids::UpstreamId;
use crate::random::Random;
use crate::settings::{Settings, WeightKind};
use crate::time::Timestamp;
use crate::upstreams::load_reports::share_of_other_balancers;
use crate::upstreams::outlier_detection::ProbeSchedule;
use crate::upstreams::process_start::{KnownStart, ListKind, RemovedUpstreamStarts};
use crate::upstreams::slow_start::SlowStart;
use crate::upstreams::subset::min_subset_size;
use crate::upstreams::{AttemptResult, Upstream, UpstreamList, UpstreamPosition};
use rustc_hash::FxHashMap;

/// Weight of an upstream whose listed weight is zero, negative or not finite.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Divisor of the number of upstreams in the set that gives the maximum number of droppable ones: removed
/// upstreams without attempts in flight. They are dropped once there are more, or earlier when upstreams are
/// added.
const MAX_DROPPABLE_DIVISOR: usize = 4;

/// All upstreams that this balancer keeps state for, and the subset of them that takes requests. They
/// include removed upstreams whose state has not been dropped yet.
#[derive(Default)]
pub(crate) struct UpstreamSet {
    pub(super) upstreams: UpstreamList,
    positions: FxHashMap<UpstreamId, UpstreamPosition>,
    /// Positions of the members of the subset, in the order of rotation of this balancer.
    pub(super) subset: Vec<UpstreamPosition>,
    /// Minimum number of upstreams in the subset, if that many are ready.
    pub(super) min_subset_size: usize,
    /// Time at which the subset has to be selected again at the latest.
    pub(super) next_selection_at: Timestamp,
    /// The schedule of the probe requests of each class, indexed by class.
    pub(super) probe_schedules: Vec<ProbeSchedule>,
    removed_starts: RemovedUpstreamStarts,
    /// Time up to which the numbers of abandoned attempts at upstreams outside the subset have decayed.
    pub(super) outside_subset_decayed_at: Timestamp,
    /// Whether discovery has delivered a list.
    has_list_from_discovery: bool,
}

impl UpstreamSet {
    /// Creates an empty set for a balancer that expects `expected_rate` requests per second.
    pub(crate) fn new(settings: &Settings, expected_rate: f64) -> Self {
        Self {
            min_subset_size: min_subset_size(expected_rate),
            probe_schedules: vec![ProbeSchedule::default(); settings.classes.len()],
            ..Self::default()
        }
    }

    /// Returns the total number of entries in the collections whose size depends on the number of upstreams,
    /// removed ones included.
    pub(crate) fn state_entry_count(&self) -> usize {
        self.upstreams.len() + self.positions.len() + self.removed_starts.len()
    }

    /// Returns the number of upstreams in the set.
    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the upstream at a position.
    pub(crate) fn at(&self, position: UpstreamPosition) -> &Upstream {
        &self.upstreams[position]
    }

    /// Returns a mutable reference to the upstream at a position.
    pub(crate) fn at_mut(&mut self, position: UpstreamPosition) -> &mut Upstream {
        &mut self.upstreams[position]
    }

    /// Returns a mutable reference to the upstream with an id, if it is in the set.
    pub(crate) fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        let position = *self.positions.get(&id)?;
        Some(&mut self.upstreams[position])
    }

    /// Returns every position once, in order, beginning at `start` modulo the number of upstreams.
    pub(crate) fn positions_from(&self, start: usize) -> impl Iterator<Item = UpstreamPosition> + use<> {
        self.upstreams.positions_from(start)
    }

    /// Returns the positions of the members of the subset, in the order of rotation.
    pub(crate) fn subset(&self) -> &[UpstreamPosition] {
        &self.subset
    }

    /// Returns an iterator over the members of the subset.
    pub(crate) fn subset_members(&self) -> impl Iterator<Item = &Upstream> {
        self.subset.iter().map(|position| &self.upstreams[*position])
    }

    /// Requests that the next tick selects the subset again.
    pub(super) fn request_selection(&mut self, now: Timestamp) {
        self.next_selection_at = now;
    }

    /// Returns whether the subset has to be selected again.
    pub(crate) fn is_selection_due(&self, now: Timestamp) -> bool {
        now >= self.next_selection_at
    }

    /// Records a load report of an upstream. Ignores a report of an unknown upstream.
    pub(crate) fn record_load_report(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        values: &[f32],
        settings: &Settings,
    ) {
        let share_of_others = share_of_other_balancers(settings.balancers);
        if let Some(upstream) = self.get_mut(id) {
            upstream.reported_load.record(now, &settings.load_report_fields, values, share_of_others);
        }
    }

    /// Records the end of an attempt. `relative_latency` is its latency divided by the mean latency of its
    /// class, or `None` if the attempt tells nothing about the latency of the upstream.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        result: AttemptResult,
        relative_latency: Option<f64>,
        random: &mut Random,
    ) {
        let Some(&position) = self.positions.get(&id) else { return };
        let upstream = &mut self.upstreams[position];
        upstream.last_used_at = now;
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if result.was_overdue {
            upstream.overdue_attempts = upstream.overdue_attempts.saturating_sub(1);
        }
        if let Some(ratio) = relative_latency {
            upstream.relative_latency.record(ratio);
        }
        self.detect_outlier(now, position, result, random);
    }

    /// Applies an update of the endpoint list. Returns whether the subset has to be selected again, because
    /// upstreams or their positions may have changed.
    pub(crate) fn apply_update(
        &mut self,
        now: Timestamp,
        scope: UpdateScope,
        entries: &[EndpointEntry],
        settings: &Settings,
        random: &mut Random,
    ) -> bool {
        let is_whole_list = scope != UpdateScope::Delta;
        if is_whole_list {
            for upstream in self.upstreams.iter_mut() {
                upstream.availability = Availability::Removed;
            }
        }
        let list_kind = self.classify_list(scope);
        let set_was_empty = self.upstreams.is_empty();
        let count_before = self.upstreams.len();
        let mut needs_selection = is_whole_list;
        for entry in entries {
            let position = self.position_or_insert(now, entry, list_kind, set_was_empty, settings, random);
            needs_selection |= self.upstreams[position].apply_entry(now, entry, list_kind, settings, random);
        }
        let has_grown = self.upstreams.len() > count_before;
        let has_dropped = self.drop_removed_upstreams(has_grown);
        needs_selection || has_dropped
    }

    /// Records that a list with this scope has arrived, and returns its kind.
    fn classify_list(&mut self, scope: UpdateScope) -> ListKind {
        let had_list_from_discovery = self.has_list_from_discovery;
        self.has_list_from_discovery |= scope != UpdateScope::Cached;
        let is_subsequent = had_list_from_discovery && scope != UpdateScope::Cached;
        if is_subsequent { ListKind::Subsequent } else { ListKind::Initial }
    }

    /// Returns the position of a listed upstream, and adds the upstream if it is not in the set.
    fn position_or_insert(
        &mut self,
        now: Timestamp,
        entry: &EndpointEntry,
        list_kind: ListKind,
        set_was_empty: bool,
        settings: &Settings,
        random: &mut Random,
    ) -> UpstreamPosition {
        if let Some(&position) = self.positions.get(&entry.id) {
            return position;
        }
        let (known_start, mut slow_start_began_at) =
            KnownStart::for_new_upstream(now, entry.process_start, list_kind, set_was_empty, settings);
        if let Some(removed) = self.removed_starts.take_if_same_start(entry.id, entry.process_start) {
            slow_start_began_at = removed.slow_start_began_at;
        }
        let slow_start = SlowStart::new(slow_start_began_at, random.fraction());
        let mut upstream = Upstream::new(entry.id, known_start, slow_start, self.probe_schedules.len());
        upstream.awaits_selection = !set_was_empty;
        let position = self.upstreams.push(upstream);
        self.positions.insert(entry.id, position);
        position
    }

    /// Drops the removed upstreams without attempts in flight, if the set has grown or many can be dropped.
    /// Without this, the state of a balancer would grow with every upstream that is replaced. Returns
    /// whether upstreams may have been dropped, after which positions may have changed.
    fn drop_removed_upstreams(&mut self, has_grown: bool) -> bool {
        let droppable_count = self.upstreams.iter().filter(|upstream| upstream.can_be_dropped()).count();
        if !has_grown && droppable_count <= self.upstreams.len() / MAX_DROPPABLE_DIVISOR {
            return false;
        }
        let removed_starts = &mut self.removed_starts;
        self.upstreams.retain(|upstream| {
            if upstream.can_be_dropped() {
                let began_at = upstream.slow_start.began_at();
                removed_starts.insert(upstream.id, upstream.known_start, began_at);
            }
            !upstream.can_be_dropped()
        });
        let positions = self.upstreams.positions();
        self.positions = positions.map(|position| (self.upstreams[position].id, position)).collect();
        true
    }
}

impl Upstream {
    /// Applies an entry of the endpoint list. Returns whether the subset has to be selected again, because
    /// the upstream was restarted, became ready or is no longer ready.
    fn apply_entry(
        &mut self,
        now: Timestamp,
        entry: &EndpointEntry,
        list_kind: ListKind,
        settings: &Settings,
        random: &mut Random,
    ) -> bool {
        let was_ready = self.is_ready();
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.availability = entry.availability;
        self.apply_weight(now, entry.weight, settings);
        let restarted_at =
            self.known_start.detect_recent_restart(now, entry.process_start, list_kind, settings);
        if let Some(restarted_at) = restarted_at {
            self.outlier.clear_after_restart();
            self.slow_start.restart(restarted_at, random.fraction());
            self.awaits_selection = true;
        }
        was_ready != self.is_ready() || restarted_at.is_some()
    }

    /// Derives the size of the upstream from the listed weight, and from a live weight also its reported
    /// load.
    fn apply_weight(&mut self, now: Timestamp, listed_weight: f64, settings: &Settings) {
        let weight =
            if listed_weight > 0.0 && listed_weight.is_finite() { listed_weight } else { DEFAULT_WEIGHT };
        match settings.weight_kind {
            WeightKind::Ignored => self.size = 1.0,
            WeightKind::Size => self.size = weight,
            WeightKind::Live => {
                self.size = self.size.max(weight);
                let in_flight = self.size / weight - 1.0;
                let in_flight_from_others = in_flight * share_of_other_balancers(settings.balancers);
                self.reported_load.set_in_flight(now, in_flight_from_others);
            }
        }
    }
}
