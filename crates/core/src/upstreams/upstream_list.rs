//! The list of all known upstreams, and the positions that identify its elements.

use crate::upstreams::Upstream;
use std::ops::{Index, IndexMut};

/// The position of an upstream in an [`UpstreamList`]. It becomes invalid when upstreams are dropped from
/// the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamPosition(usize);

/// A list of upstreams in the order in which they were first listed.
#[derive(Default)]
pub(crate) struct UpstreamList {
    upstreams: Vec<Upstream>,
}

impl UpstreamList {
    /// Returns the number of upstreams.
    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the list is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns an iterator over all upstreams.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    /// Returns an iterator over mutable references to all upstreams.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.iter_mut()
    }

    /// Returns all positions in order.
    pub(crate) fn positions(&self) -> impl Iterator<Item = UpstreamPosition> + use<> {
        (0..self.upstreams.len()).map(UpstreamPosition)
    }

    /// Returns every position once, in order, beginning at `start` modulo the number of upstreams.
    pub(crate) fn positions_from(&self, start: usize) -> impl Iterator<Item = UpstreamPosition> + use<> {
        let count = self.upstreams.len();
        (0..count).map(move |step| UpstreamPosition((step + start % count) % count))
    }

    /// Adds an upstream and returns its position.
    pub(crate) fn push(&mut self, upstream: Upstream) -> UpstreamPosition {
        self.upstreams.push(upstream);
        UpstreamPosition(self.upstreams.len() - 1)
    }

    /// Drops the upstreams for which `should_keep` returns `false`. Positions of the remaining upstreams may
    /// change.
    pub(crate) fn retain(&mut self, should_keep: impl FnMut(&Upstream) -> bool) {
        self.upstreams.retain(should_keep);
    }
}

impl Index<UpstreamPosition> for UpstreamList {
    type Output = Upstream;

    fn index(&self, position: UpstreamPosition) -> &Upstream {
        &self.upstreams[position.0]
    }
}

impl IndexMut<UpstreamPosition> for UpstreamList {
    fn index_mut(&mut self, position: UpstreamPosition) -> &mut Upstream {
        &mut self.upstreams[position.0]
    }
}
