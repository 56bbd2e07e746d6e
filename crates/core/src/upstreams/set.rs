//! The set of all upstreams, and updates of the endpoint list.

use crate::event::{Availability, EndpointEntry, UpdateScope};
use crate::ids::UpstreamId;
use crate::random::Random;
use crate::settings::{Settings, WeightKind};
use crate::time::Timestamp;
use crate::upstreams::load_reports::share_of_other_balancers;
use crate::upstreams::outlier_detection::ProbeSchedule;
use crate::upstreams::process_start::{DepartedStarts, KnownStart, ListPosition};
use crate::upstreams::slow_start::SlowStart;
use crate::upstreams::subset::min_subset_size;
use crate::upstreams::{AttemptResult, Upstream, UpstreamList, UpstreamPosition};
use rustc_hash::FxHashMap;

/// The weight of an upstream whose listed weight is not positive and finite.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Gone upstreams are dropped once they exceed one part in so many of the set.
const MAX_GONE_DIVISOR: usize = 4;

/// The listed upstreams, the removed ones whose state has not been dropped yet, and the subset that takes
/// requests.
#[derive(Default)]
pub(crate) struct UpstreamSet {
    pub(super) upstreams: UpstreamList,
    positions: FxHashMap<UpstreamId, UpstreamPosition>,
    /// Positions of the members of the subset, in this balancer's own order.
    pub(super) subset: Vec<UpstreamPosition>,
    pub(super) min_subset_size: usize,
    /// When the subset has to be selected again.
    pub(super) next_selection_at: Timestamp,
    /// By class.
    pub(super) probe_schedules: Vec<ProbeSchedule>,
    departed_starts: DepartedStarts,
    /// When the abandoned attempts of the upstreams outside the subset were last made to decay.
    pub(super) outside_decayed_at: Timestamp,
    /// A list has come from discovery.
    has_list_from_discovery: bool,
}

impl UpstreamSet {
    /// An empty set for a balancer that expects so many requests per second.
    pub(crate) fn new(settings: &Settings, expected_rate: f64) -> Self {
        Self {
            min_subset_size: min_subset_size(expected_rate),
            probe_schedules: vec![ProbeSchedule::default(); settings.classes.len()],
            ..Self::default()
        }
    }

    /// Number of entries of state.
    pub(crate) fn entries(&self) -> usize {
        self.upstreams.len() + self.positions.len() + self.departed_starts.len()
    }

    /// Number of upstreams in the set.
    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// The upstream at a position.
    pub(crate) fn at(&self, position: UpstreamPosition) -> &Upstream {
        &self.upstreams[position]
    }

    /// The upstream at a position, to be changed.
    pub(crate) fn at_mut(&mut self, position: UpstreamPosition) -> &mut Upstream {
        &mut self.upstreams[position]
    }

    /// An upstream by its id, to be changed.
    pub(crate) fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        let position = *self.positions.get(&id)?;
        Some(&mut self.upstreams[position])
    }

    /// All positions once, from the one that `start` stands for.
    pub(crate) fn positions_from(&self, start: usize) -> impl Iterator<Item = UpstreamPosition> + use<> {
        self.upstreams.positions_from(start)
    }

    /// Positions of the members of the subset, in the order of the rotation.
    pub(crate) fn subset(&self) -> &[UpstreamPosition] {
        &self.subset
    }

    /// The members of the subset.
    pub(crate) fn subset_members(&self) -> impl Iterator<Item = &Upstream> {
        self.subset.iter().map(|position| &self.upstreams[*position])
    }

    /// Has the subset selected again with the next tick.
    pub(super) fn request_selection(&mut self, now: Timestamp) {
        self.next_selection_at = now;
    }

    /// Whether the subset has to be selected again.
    pub(crate) fn is_selection_due(&self, now: Timestamp) -> bool {
        now >= self.next_selection_at
    }

    /// Takes in a load report.
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

    /// Takes in the end of an attempt. `relative_latency` is its latency in relation to the mean of its
    /// class, where it says something of the upstream.
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

    /// Applies an update of the endpoint list. Returns whether the subset has to be selected again.
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
        let list_position = self.advance_list_position(scope);
        let is_first_list = self.upstreams.is_empty();
        let count_before = self.upstreams.len();
        let mut needs_selection = is_whole_list;
        for entry in entries {
            let position =
                self.position_or_insert(now, entry, list_position, is_first_list, settings, random);
            needs_selection |=
                self.upstreams[position].apply_entry(now, entry, list_position, settings, random);
        }
        let has_grown = self.upstreams.len() > count_before;
        let has_dropped = self.drop_gone_upstreams(has_grown);
        needs_selection || has_dropped
    }

    /// The position of a list among those of this balancer.
    fn advance_list_position(&mut self, scope: UpdateScope) -> ListPosition {
        let had_list_from_discovery = self.has_list_from_discovery;
        self.has_list_from_discovery |= scope != UpdateScope::Cached;
        let follows = had_list_from_discovery && scope != UpdateScope::Cached;
        if follows { ListPosition::Following } else { ListPosition::Initial }
    }

    /// The position of a listed upstream, which is added if it is new.
    fn position_or_insert(
        &mut self,
        now: Timestamp,
        entry: &EndpointEntry,
        list_position: ListPosition,
        is_first_list: bool,
        settings: &Settings,
        random: &mut Random,
    ) -> UpstreamPosition {
        if let Some(&position) = self.positions.get(&entry.id) {
            return position;
        }
        let (known_start, mut started_at) =
            KnownStart::first(now, entry.process_start, list_position, is_first_list, settings);
        if let Some(departed) = self.departed_starts.take_same(entry.id, entry.process_start) {
            started_at = departed.slow_start_began_at;
        }
        let slow_start = SlowStart::new(started_at, random.fraction());
        let mut upstream = Upstream::new(entry.id, known_start, slow_start, self.probe_schedules.len());
        upstream.awaits_selection = !is_first_list;
        let position = self.upstreams.push(upstream);
        self.positions.insert(entry.id, position);
        position
    }

    /// Drops the upstreams that are gone, when others were added or many are gone: otherwise the state of a
    /// balancer would grow as long as upstreams are replaced. Returns whether any may have been dropped;
    /// positions may then have changed.
    fn drop_gone_upstreams(&mut self, has_grown: bool) -> bool {
        let gone_count = self.upstreams.iter().filter(|upstream| upstream.is_gone()).count();
        if !has_grown && gone_count <= self.upstreams.len() / MAX_GONE_DIVISOR {
            return false;
        }
        let departed_starts = &mut self.departed_starts;
        self.upstreams.retain(|upstream| {
            if upstream.is_gone() {
                let began_at = upstream.slow_start.started_at();
                departed_starts.remember(upstream.id, upstream.known_start, began_at);
            }
            !upstream.is_gone()
        });
        let positions = self.upstreams.positions();
        self.positions = positions.map(|position| (self.upstreams[position].id, position)).collect();
        true
    }
}

impl Upstream {
    /// Takes in an entry of the list. Returns whether the subset has to be selected again.
    fn apply_entry(
        &mut self,
        now: Timestamp,
        entry: &EndpointEntry,
        list_position: ListPosition,
        settings: &Settings,
        random: &mut Random,
    ) -> bool {
        let was_ready = self.is_ready();
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.availability = entry.availability;
        self.apply_weight(now, entry.weight, settings);
        let restarted_at = self.known_start.observe(now, entry.process_start, list_position, settings);
        if let Some(restarted_at) = restarted_at {
            self.outlier.reset();
            self.slow_start.restart(restarted_at, random.fraction());
            self.awaits_selection = true;
        }
        was_ready != self.is_ready() || restarted_at.is_some()
    }

    fn apply_weight(&mut self, now: Timestamp, listed: f64, settings: &Settings) {
        let weight = if listed > 0.0 && listed.is_finite() { listed } else { DEFAULT_WEIGHT };
        match settings.weight_kind {
            WeightKind::Ignored => self.size = 1.0,
            WeightKind::Size => self.size = weight,
            WeightKind::Live => {
                self.size = self.size.max(weight);
                let in_flight = self.size / weight - 1.0;
                let of_others = in_flight * share_of_other_balancers(settings.balancers);
                self.reported_load.set_in_flight(now, of_others);
            }
        }
    }
}
