//! Subsetting: a balancer with little traffic sends it to only a part of the upstreams.
//!
//! If a balancer spread little traffic over all upstreams, it could neither keep a connection to each of them
//! in use nor collect enough statistics of each. The balancers are divided into rounds. Those of one round
//! share a shuffled order of the upstreams and take adjacent parts of it, so that all upstreams are in about
//! the same number of subsets. The disadvantage is that a balancer has fewer upstreams to choose from.

use crate::action::Action;
use crate::random::Random;
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::upstreams::{UpstreamPosition, UpstreamSet};

/// Minimum number of upstreams in a subset for each request per second that the balancer expects.
const UPSTREAMS_PER_REQUEST_PER_SECOND: f64 = 0.7;
/// Minimum subset size, regardless of the expected rate.
const MIN_SUBSET_SIZE: f64 = 2.0;
/// Maximum to which the expected rate raises the minimum subset size.
const MAX_SUBSET_SIZE: f64 = 1e6;
/// Average number of subsets that each upstream should be in. The subset size that follows from it is rounded
/// down, and is used if it exceeds the minimum subset size that follows from the expected rate.
const TARGET_SUBSETS_PER_UPSTREAM: usize = 4;
/// Numerator of a fraction of the ready upstreams. A subset of at least that fraction is extended to all of
/// them. A slightly smaller subset would reduce the choice of upstreams and save little.
const FULL_SET_NUMERATOR: usize = 4;
/// Denominator of the fraction that [`FULL_SET_NUMERATOR`] describes.
const FULL_SET_DENOMINATOR: usize = 5;
/// Left shift, in bits, that moves the round to the upper bits of the seed of an upstream's sort key. The
/// seed combines the round with the id of the upstream.
const ROUND_KEY_SHIFT_BITS: u32 = 48;

/// Returns the minimum subset size of a balancer that expects `expected_rate` requests per second.
pub(crate) fn min_subset_size(expected_rate: f64) -> usize {
    (UPSTREAMS_PER_REQUEST_PER_SECOND * expected_rate).clamp(MIN_SUBSET_SIZE, MAX_SUBSET_SIZE) as usize
}

/// The part of the shared order of upstreams that one balancer takes.
struct SubsetPlan {
    /// Number of upstreams in the subset.
    size: usize,
    /// Whether the subset includes all ready upstreams.
    includes_all: bool,
    /// Number of the round that the balancer belongs to. Each round has a shuffled order of its own, of
    /// which its balancers take disjoint parts.
    round: u64,
    /// Index in the shuffled order at which this balancer's part begins.
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
            includes_all: size * FULL_SET_DENOMINATOR >= ready_count * FULL_SET_NUMERATOR,
            round: (index / parts) as u64,
            offset: index % parts * size,
        }
    }
}

impl UpstreamSet {
    /// Selects the subset of upstreams that take requests. Members are kept where possible, so that their
    /// connections stay in use. Unless the subset includes all ready upstreams, members that are ejected for
    /// all classes are replaced by the next upstreams in the selection order, and idle connections to
    /// members that exceed the size of the subset are closed.
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
        if !plan.includes_all {
            self.remove_members(&plan, &order, member_count, actions);
        }
        self.subset = order;
        let upstreams = &self.upstreams;
        self.subset.retain(|position| upstreams[*position].in_subset);
        // Each balancer has a random order of rotation, so that an upstream does not have its turns at all
        // balancers at the same time.
        random.shuffle(&mut self.subset);
    }

    /// Returns the time at which the first of the current ejections for all classes ends, or
    /// [`Timestamp::DISTANT_FUTURE`] if there is none. The subset is selected again at that time, so that the
    /// upstream can rejoin it.
    fn end_of_next_ejection(&self, now: Timestamp) -> Timestamp {
        let ends = self.upstreams.iter().map(|upstream| upstream.outlier.ejected_until());
        ends.filter(|end| *end > now).fold(Timestamp::DISTANT_FUTURE, Timestamp::min)
    }

    /// Returns the positions of the ready upstreams in selection order, in which this balancer's part of the
    /// shuffled order comes first.
    fn selection_order(&self, plan: &SubsetPlan) -> Vec<UpstreamPosition> {
        let positions = self.upstreams.positions();
        let mut order: Vec<UpstreamPosition> =
            positions.filter(|position| self.upstreams[*position].is_ready()).collect();
        if !plan.includes_all {
            let round_key = plan.round << ROUND_KEY_SHIFT_BITS;
            order.sort_by_cached_key(|position| {
                Random::with_seed(self.upstreams[*position].id.0 ^ round_key).any_u64()
            });
            let ready_count = order.len();
            order.rotate_left(plan.offset % ready_count.max(1));
        }
        order
    }

    /// Keeps the members that are not ejected for all classes, and adds those upstreams in this balancer's
    /// part that await selection. If the subset includes all ready upstreams, adds each of them. Returns the
    /// number of members.
    fn keep_members(&mut self, now: Timestamp, plan: &SubsetPlan, order: &[UpstreamPosition]) -> usize {
        let mut member_count = 0;
        for (rank, position) in order.iter().enumerate() {
            let upstream = &mut self.upstreams[*position];
            let is_usable = !upstream.outlier.is_ejected_for_all_classes(now);
            let is_selected = upstream.in_subset || (upstream.awaits_selection && rank < plan.size);
            upstream.in_subset = plan.includes_all || (is_usable && is_selected);
            upstream.awaits_selection &= !is_usable;
            member_count += usize::from(upstream.in_subset);
        }
        member_count
    }

    /// Adds the next upstreams in the selection order until the subset is full. Returns the number of
    /// members.
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
            if member_count < plan.size
                && !upstream.in_subset
                && !upstream.outlier.is_ejected_for_all_classes(now)
            {
                upstream.in_subset = true;
                member_count += 1;
            }
        }
        member_count
    }

    /// Removes the last members in the selection order until the subset has its planned size, and closes the
    /// idle connections to them.
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
