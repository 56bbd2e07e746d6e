//! Subsetting: a balancer that sees little traffic sends it to a part of the upstreams only.
//!
//! With too little traffic for each upstream, a balancer could not keep a connection to each in use nor learn
//! what it needs of each. Balancers that share a shuffled order of the upstreams take neighbouring parts of
//! it, so that each upstream is in about as many subsets as any other. The price is a smaller choice.

use crate::action::Action;
use crate::random::Random;
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::upstreams::{UpstreamPosition, UpstreamSet};

/// Upstreams in a subset for each request per second that the balancer expects.
const UPSTREAMS_PER_REQUEST_RATE: f64 = 0.7;
/// The least number of upstreams in a subset.
const MIN_SUBSET_SIZE: f64 = 2.0;
/// The largest number of upstreams that the expected rate asks for.
const MAX_SUBSET_SIZE: f64 = 1e6;
/// The number of subsets that each upstream is in on average, rounded down.
const TARGET_SUBSETS_PER_UPSTREAM: usize = 4;
/// A subset that would hold this part of the upstreams, or more, holds all of them: a smaller one would
/// reduce the choice and save little. The numerator of the part.
const FULL_SET_NUMERATOR: usize = 4;
/// The denominator of that part.
const FULL_SET_DENOMINATOR: usize = 5;
/// Moves the round to the upper bits of the key that upstreams are sorted by.
const ROUND_KEY_SHIFT: u32 = 48;

/// The least number of upstreams in the subset of a balancer that expects so many requests per second.
pub(crate) fn min_subset_size(expected_rate: f64) -> usize {
    (UPSTREAMS_PER_REQUEST_RATE * expected_rate).clamp(MIN_SUBSET_SIZE, MAX_SUBSET_SIZE) as usize
}

/// Which part of the shared order a balancer takes.
struct SubsetPlan {
    /// Number of upstreams in the subset.
    size: usize,
    /// The subset holds all upstreams that are ready.
    takes_all: bool,
    /// Selects the shuffled order; the balancers of one round take disjoint parts of it.
    round: u64,
    /// Where in that order the part begins.
    offset: usize,
}

impl SubsetPlan {
    fn new(ready_count: usize, min_size: usize, settings: &Settings) -> Self {
        let balancers = (settings.balancers as usize).max(1);
        let size = min_size.max(TARGET_SUBSETS_PER_UPSTREAM * ready_count / balancers);
        let parts = (ready_count / size.max(1)).max(1);
        let index = settings.index as usize;
        Self {
            size,
            takes_all: size * FULL_SET_DENOMINATOR >= ready_count * FULL_SET_NUMERATOR,
            round: (index / parts) as u64,
            offset: index % parts * size,
        }
    }
}

impl UpstreamSet {
    /// Selects the upstreams that take requests. Members stay where possible, so that connections stay warm;
    /// unless all are taken, ejected members are replaced by the next in the order.
    pub(crate) fn select_subset(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) {
        self.decay_abandoned_outside_subset(now, settings);
        let ready_count = self.upstreams.iter().filter(|upstream| upstream.is_ready()).count();
        let plan = SubsetPlan::new(ready_count, self.min_subset_size, settings);
        for upstream in self.upstreams.iter_mut() {
            upstream.in_subset &= upstream.is_ready();
        }
        self.next_selection_at = self.end_of_next_ejection(now);
        let order = self.selection_order(&plan);
        let kept_count = self.keep_members(now, &plan, &order);
        let member_count = self.add_members(now, &plan, &order, kept_count);
        if !plan.takes_all {
            self.remove_members(&plan, &order, member_count, actions);
        }
        self.subset = order;
        let upstreams = &self.upstreams;
        self.subset.retain(|position| upstreams[*position].in_subset);
        // Each balancer rotates in an order of its own, so that their turns do not coincide.
        random.shuffle(&mut self.subset);
    }

    /// When the first of the present ejections ends: its upstream is then selected again.
    fn end_of_next_ejection(&self, now: Timestamp) -> Timestamp {
        let ends = self.upstreams.iter().map(|upstream| upstream.outlier.ejected_until());
        ends.filter(|end| *end > now).fold(Timestamp::DISTANT_FUTURE, Timestamp::min)
    }

    /// The positions of the ready upstreams, this balancer's part first.
    fn selection_order(&self, plan: &SubsetPlan) -> Vec<UpstreamPosition> {
        let positions = self.upstreams.positions();
        let mut order: Vec<UpstreamPosition> =
            positions.filter(|position| self.upstreams[*position].is_ready()).collect();
        if !plan.takes_all {
            let round_key = plan.round << ROUND_KEY_SHIFT;
            order.sort_by_cached_key(|position| {
                Random::with_seed(self.upstreams[*position].id.0 ^ round_key).any_u64()
            });
            let ready_count = order.len();
            order.rotate_left(plan.offset % ready_count.max(1));
        }
        order
    }

    /// Keeps the members that can be used, and takes in the new upstreams of this balancer's part. Returns
    /// the number of members.
    fn keep_members(&mut self, now: Timestamp, plan: &SubsetPlan, order: &[UpstreamPosition]) -> usize {
        let mut member_count = 0;
        for (rank, position) in order.iter().enumerate() {
            let upstream = &mut self.upstreams[*position];
            let is_usable = !upstream.outlier.is_ejected(now);
            let is_selected = upstream.in_subset || (upstream.awaits_selection && rank < plan.size);
            upstream.in_subset = plan.takes_all || (is_usable && is_selected);
            upstream.awaits_selection &= !is_usable;
            member_count += usize::from(upstream.in_subset);
        }
        member_count
    }

    /// Adds the next upstreams in the order until the subset is full. Returns the number of members.
    fn add_members(
        &mut self,
        now: Timestamp,
        plan: &SubsetPlan,
        order: &[UpstreamPosition],
        kept_count: usize,
    ) -> usize {
        let mut member_count = kept_count;
        for position in order {
            let upstream = &mut self.upstreams[*position];
            if member_count < plan.size && !upstream.in_subset && !upstream.outlier.is_ejected(now) {
                upstream.in_subset = true;
                member_count += 1;
            }
        }
        member_count
    }

    /// Removes the last members in the order until the subset has its size.
    fn remove_members(
        &mut self,
        plan: &SubsetPlan,
        order: &[UpstreamPosition],
        mut member_count: usize,
        actions: &mut Vec<Action>,
    ) {
        for position in order.iter().rev() {
            let upstream = &mut self.upstreams[*position];
            if member_count > plan.size && upstream.in_subset {
                upstream.in_subset = false;
                member_count -= 1;
                actions.push(Action::CloseIdleConnections { upstream: upstream.id });
            }
        }
    }
}
