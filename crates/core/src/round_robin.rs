//! Weighted round robin with a look-ahead. An upstream whose load is clearly higher than that of the next
//! ones in the rotation is skipped.
//!
//! In each round of the rotation, an upstream accumulates its weight, which is usually a fraction of a turn.
//! Once it has accumulated a whole turn, it takes the turn, for which it may be sent one request.

use crate::time::Timestamp;
use crate::upstreams::{UpstreamPosition, UpstreamSet};
use std::collections::VecDeque;

/// Number of upcoming turns whose upstreams are compared by load.
const LOOK_AHEAD_TURNS: usize = 3;
/// Multiple of the lowest load in the look-ahead, plus [`SKIP_LOAD_MARGIN`], above which an upstream is
/// skipped.
const SKIP_LOAD_RATIO: f64 = 1.5;
/// Load that is added to the limit of [`SKIP_LOAD_RATIO`], in requests divided by the relative capacity of
/// the upstream. Without it, small differences at low load would cause upstreams to be skipped.
const SKIP_LOAD_MARGIN: f64 = 0.5;
/// Maximum number of turns that an upstream accumulates.
const MAX_TURN_CREDIT: f64 = 2.0;
/// Maximum number of rounds of the rotation in one search for an upstream with a whole turn.
const MAX_SEARCH_ROUNDS: usize = 8;

/// The upstreams that may get requests of a class.
struct Eligibility {
    class: usize,
    /// Whether all members of the subset are in rotation and ejected for the class. Then none of them is
    /// excluded.
    all_are_ejected: bool,
}

impl Eligibility {
    fn new(upstreams: &UpstreamSet, class: usize) -> Self {
        let all_are_ejected = upstreams.ejected_count_in_rotation(class) >= upstreams.subset().len();
        Self { class, all_are_ejected }
    }

    fn includes(&self, upstreams: &UpstreamSet, position: UpstreamPosition) -> bool {
        self.all_are_ejected || !upstreams.at(position).outlier.is_ejected_for_class(self.class)
    }
}

/// State of the rotation: the latest turn, and the turns for which no request has been sent yet.
#[derive(Default)]
pub(crate) struct RoundRobin {
    /// Index into the subset of the upstream that got the latest turn.
    last_turn_index: usize,
    /// Positions of the upstreams that have got a turn but no request for it yet, in the order of their
    /// turns.
    look_ahead: VecDeque<UpstreamPosition>,
}

impl RoundRobin {
    /// Restarts the rotation after the subset was selected again.
    pub(crate) fn reset(&mut self) {
        self.last_turn_index = 0;
        self.look_ahead.clear();
    }

    /// Returns the index into the subset of the upstream that got the latest turn.
    pub(crate) fn last_turn_index(&self) -> usize {
        self.last_turn_index
    }

    /// Drops the turns of upstreams that may no longer get requests.
    pub(crate) fn drop_unusable_turns(&mut self, upstreams: &UpstreamSet) {
        self.look_ahead.retain(|position| {
            let upstream = upstreams.at(*position);
            upstream.rotation.takes_turns() && upstream.is_ready()
        });
    }

    /// Returns the position of the upstream for the next request of a class: the first in the look-ahead
    /// whose load is not clearly higher than the lowest one there. Loads are estimated for the time
    /// `loads_at`. An upstream skipped because of its load loses the turn; one that is ejected for the class
    /// keeps its turn for other classes.
    pub(crate) fn next_upstream(
        &mut self,
        upstreams: &mut UpstreamSet,
        class: usize,
        loads_at: Timestamp,
    ) -> Option<UpstreamPosition> {
        let eligibility = Eligibility::new(upstreams, class);
        self.fill_look_ahead(upstreams, &eligibility);
        let lowest_load = self.lowest_load(upstreams, &eligibility, loads_at);
        let mut index = 0;
        while let Some(&position) = self.look_ahead.get(index) {
            if !eligibility.includes(upstreams, position) {
                index += 1;
                continue;
            }
            self.look_ahead.remove(index);
            let load = upstreams.at(position).estimated_load(loads_at);
            if load <= lowest_load * SKIP_LOAD_RATIO + SKIP_LOAD_MARGIN {
                return Some(position);
            }
        }
        None
    }

    /// Advances the rotation until the look-ahead holds enough upstreams that are eligible for the class.
    fn fill_look_ahead(&mut self, upstreams: &mut UpstreamSet, eligibility: &Eligibility) {
        let max_length = LOOK_AHEAD_TURNS + upstreams.subset().len();
        let positions = self.look_ahead.iter();
        let mut eligible_count =
            positions.filter(|position| eligibility.includes(upstreams, **position)).count();
        while eligible_count < LOOK_AHEAD_TURNS && self.look_ahead.len() < max_length {
            let Some(position) = self.advance(upstreams) else { break };
            self.look_ahead.push_back(position);
            eligible_count += usize::from(eligibility.includes(upstreams, position));
        }
        // The look-ahead is full, usually with turns of ineligible upstreams. The oldest turn is dropped so
        // that the next call can advance.
        if self.look_ahead.len() >= max_length {
            self.look_ahead.pop_front();
        }
    }

    /// Returns the lowest load of the first [`LOOK_AHEAD_TURNS`] upstreams in the look-ahead that are
    /// eligible for the class.
    fn lowest_load(&self, upstreams: &UpstreamSet, eligibility: &Eligibility, loads_at: Timestamp) -> f64 {
        let positions = self.look_ahead.iter().copied();
        let eligible = positions.filter(|position| eligibility.includes(upstreams, *position));
        let loads =
            eligible.take(LOOK_AHEAD_TURNS).map(|position| upstreams.at(position).estimated_load(loads_at));
        loads.fold(f64::INFINITY, f64::min)
    }

    /// Advances the rotation to the next upstream that has accumulated a whole turn, takes the turn and
    /// returns the upstream's position. An upstream in slow start must also have budget for a request.
    fn advance(&mut self, upstreams: &mut UpstreamSet) -> Option<UpstreamPosition> {
        let subset_size = upstreams.subset().len();
        for _ in 0..subset_size * MAX_SEARCH_ROUNDS {
            self.last_turn_index = (self.last_turn_index + 1) % subset_size;
            let position = upstreams.subset()[self.last_turn_index];
            let upstream = upstreams.at_mut(position);
            let rotation = &mut upstream.rotation;
            if !rotation.takes_turns() {
                continue;
            }
            rotation.turn_credit = (rotation.turn_credit + rotation.weight).min(MAX_TURN_CREDIT);
            if rotation.turn_credit >= 1.0 && upstream.slow_start.permits_request() {
                rotation.turn_credit -= 1.0;
                upstream.slow_start.record_request();
                return Some(position);
            }
        }
        None
    }
}
