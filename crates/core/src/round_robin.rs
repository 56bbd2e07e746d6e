//! Weighted round robin with a look-ahead: an upstream that holds clearly more than the next ones in the
//! rotation is skipped.

use crate::time::Timestamp;
use crate::upstreams::UpstreamSet;
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

/// The position in the rotation, and the turns that come next.
#[derive(Default)]
pub(crate) struct RoundRobin {
    /// Index into the subset of the upstream that had the latest turn.
    position: usize,
    /// Positions of the upstreams that have a turn but have not been sent a request for it.
    look_ahead: VecDeque<usize>,
}

impl RoundRobin {
    /// Starts from the beginning, because the subset has changed.
    pub(crate) fn reset(&mut self) {
        self.position = 0;
        self.look_ahead.clear();
    }

    /// Index into the subset of the upstream that had the latest turn.
    pub(crate) fn position(&self) -> usize {
        self.position
    }

    /// Drops the turns of upstreams that no longer take requests.
    pub(crate) fn drop_unusable_turns(&mut self, upstreams: &UpstreamSet) {
        self.look_ahead.retain(|position| {
            let upstream = upstreams.at(*position);
            upstream.rotation.weight > 0.0 && upstream.is_ready()
        });
    }

    /// The upstream that takes the next request of a class: the first in turn that does not hold clearly more
    /// than the least loaded one in the look-ahead. Upstreams that are ejected for the class keep their turns
    /// for other classes.
    pub(crate) fn next_upstream(
        &mut self,
        upstreams: &mut UpstreamSet,
        class: usize,
        now: Timestamp,
    ) -> Option<usize> {
        let all_are_ejected = upstreams.ejected_count(class) >= upstreams.subset().len();
        self.fill_look_ahead(upstreams, class, all_are_ejected);
        let upstreams = &*upstreams;
        let is_eligible =
            |position: usize| all_are_ejected || !upstreams.at(position).outlier.is_ejected_for(class);
        let eligible = self.look_ahead.iter().copied().filter(|position| is_eligible(*position));
        let loads = eligible.take(LOOK_AHEAD).map(|position| upstreams.at(position).estimated_load(now));
        let least_load = loads.fold(f64::INFINITY, f64::min);
        let mut index = 0;
        while let Some(&position) = self.look_ahead.get(index) {
            if !is_eligible(position) {
                index += 1;
                continue;
            }
            self.look_ahead.remove(index);
            let load = upstreams.at(position).estimated_load(now);
            if load <= least_load * SKIP_LOAD_RATIO + SKIP_LOAD_MARGIN {
                return Some(position);
            }
        }
        None
    }

    /// Advances until the look-ahead holds enough upstreams that take requests of the class.
    fn fill_look_ahead(&mut self, upstreams: &mut UpstreamSet, class: usize, all_are_ejected: bool) {
        let is_eligible = |upstreams: &UpstreamSet, position: usize| {
            all_are_ejected || !upstreams.at(position).outlier.is_ejected_for(class)
        };
        let max_length = LOOK_AHEAD + upstreams.subset().len();
        let held = self.look_ahead.iter().filter(|position| is_eligible(upstreams, **position));
        let mut eligible_count = held.count();
        while eligible_count < LOOK_AHEAD && self.look_ahead.len() < max_length {
            let Some(position) = self.advance(upstreams) else { break };
            self.look_ahead.push_back(position);
            eligible_count += usize::from(is_eligible(upstreams, position));
        }
        if self.look_ahead.len() >= max_length {
            self.look_ahead.pop_front();
        }
    }

    /// The next upstream in the rotation that has accumulated a whole turn. An upstream in slow start must
    /// also have budget for a request.
    fn advance(&mut self, upstreams: &mut UpstreamSet) -> Option<usize> {
        let length = upstreams.subset().len();
        for _ in 0..length * MAX_ROUNDS {
            self.position = (self.position + 1) % length;
            let position = upstreams.subset()[self.position];
            let upstream = upstreams.at_mut(position);
            let rotation = &mut upstream.rotation;
            if rotation.weight <= 0.0 {
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
