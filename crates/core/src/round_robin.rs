//! Weighted round robin with a look-ahead: an upstream that holds clearly more than the next ones in the
//! rotation is skipped.

use crate::time::Timestamp;
use crate::upstreams::{UpstreamPosition, UpstreamSet};
use std::collections::VecDeque;

/// Turns that are compared before one is taken.
const LOOK_AHEAD: usize = 3;
/// An upstream is skipped if its load exceeds this multiple of the least load in the look-ahead ...
const SKIP_LOAD_RATIO: f64 = 1.5;
/// ... by more than this many requests.
const SKIP_LOAD_MARGIN: f64 = 0.5;
/// The most turns that an upstream accumulates.
const MAX_TURN_CREDIT: f64 = 2.0;
/// Rounds after which the search for an upstream with a whole turn ends.
const MAX_ROUNDS: usize = 8;

/// Which upstreams take requests of a class.
struct Eligibility {
    class: usize,
    /// All upstreams are ejected for the class, so none is excluded.
    all_are_ejected: bool,
}

impl Eligibility {
    fn new(upstreams: &UpstreamSet, class: usize) -> Self {
        let all_are_ejected = upstreams.ejected_count_in_rotation(class) >= upstreams.subset().len();
        Self { class, all_are_ejected }
    }

    fn includes(&self, upstreams: &UpstreamSet, position: UpstreamPosition) -> bool {
        self.all_are_ejected || !upstreams.at(position).outlier.is_ejected_for(self.class)
    }
}

/// The position in the rotation, and the turns that come next.
#[derive(Default)]
pub(crate) struct RoundRobin {
    /// Index into the subset of the upstream that had the latest turn.
    turn: usize,
    /// Positions of the upstreams that have a turn but have not been sent a request for it.
    look_ahead: VecDeque<UpstreamPosition>,
}

impl RoundRobin {
    /// Starts from the beginning, because the subset has changed.
    pub(crate) fn reset(&mut self) {
        self.turn = 0;
        self.look_ahead.clear();
    }

    /// Index into the subset of the upstream that had the latest turn.
    pub(crate) fn turn(&self) -> usize {
        self.turn
    }

    /// Drops the turns of upstreams that no longer take requests.
    pub(crate) fn drop_unusable_turns(&mut self, upstreams: &UpstreamSet) {
        self.look_ahead.retain(|position| {
            let upstream = upstreams.at(*position);
            upstream.rotation.takes_turns() && upstream.is_ready()
        });
    }

    /// The upstream that takes the next request of a class: the first in turn that does not hold clearly more
    /// than the least loaded one in the look-ahead, by the loads at `load_time`. Turns skipped because of
    /// load are lost; upstreams that are ejected for the class keep their turns for other classes.
    pub(crate) fn next_upstream(
        &mut self,
        upstreams: &mut UpstreamSet,
        class: usize,
        load_time: Timestamp,
    ) -> Option<UpstreamPosition> {
        let eligibility = Eligibility::new(upstreams, class);
        self.fill_look_ahead(upstreams, &eligibility);
        let least_load = self.least_load(upstreams, &eligibility, load_time);
        let mut index = 0;
        while let Some(&position) = self.look_ahead.get(index) {
            if !eligibility.includes(upstreams, position) {
                index += 1;
                continue;
            }
            self.look_ahead.remove(index);
            let load = upstreams.at(position).estimated_load(load_time);
            if load <= least_load * SKIP_LOAD_RATIO + SKIP_LOAD_MARGIN {
                return Some(position);
            }
        }
        None
    }

    /// Advances until the look-ahead holds enough upstreams that take requests of the class.
    fn fill_look_ahead(&mut self, upstreams: &mut UpstreamSet, eligibility: &Eligibility) {
        let max_length = LOOK_AHEAD + upstreams.subset().len();
        let positions = self.look_ahead.iter();
        let mut eligible_count =
            positions.filter(|position| eligibility.includes(upstreams, **position)).count();
        while eligible_count < LOOK_AHEAD && self.look_ahead.len() < max_length {
            let Some(position) = self.advance(upstreams) else { break };
            self.look_ahead.push_back(position);
            eligible_count += usize::from(eligibility.includes(upstreams, position));
        }
        // Full, usually of ineligible turns: the oldest is dropped so that the next call can advance.
        if self.look_ahead.len() >= max_length {
            self.look_ahead.pop_front();
        }
    }

    /// The least load of the upstreams in the look-ahead that take requests of the class.
    fn least_load(&self, upstreams: &UpstreamSet, eligibility: &Eligibility, load_time: Timestamp) -> f64 {
        let positions = self.look_ahead.iter().copied();
        let eligible = positions.filter(|position| eligibility.includes(upstreams, *position));
        let loads =
            eligible.take(LOOK_AHEAD).map(|position| upstreams.at(position).estimated_load(load_time));
        loads.fold(f64::INFINITY, f64::min)
    }

    /// The next upstream in the rotation that has accumulated a whole turn. An upstream in slow start must
    /// also have budget for a request.
    fn advance(&mut self, upstreams: &mut UpstreamSet) -> Option<UpstreamPosition> {
        let length = upstreams.subset().len();
        for _ in 0..length * MAX_ROUNDS {
            self.turn = (self.turn + 1) % length;
            let position = upstreams.subset()[self.turn];
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
