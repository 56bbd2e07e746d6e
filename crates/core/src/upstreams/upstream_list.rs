//! The list of all known upstreams, and the positions by which its entries are found.

use crate::upstreams::Upstream;
use std::ops::{Index, IndexMut};

/// The position of an upstream in an [`UpstreamList`]. Valid until upstreams are dropped from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamPosition(usize);

/// Upstreams in the order in which they became known.
#[derive(Default)]
pub(crate) struct UpstreamList {
    upstreams: Vec<Upstream>,
}

impl UpstreamList {
    /// Number of upstreams.
    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there is no upstream.
    pub(crate) fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// All upstreams.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    /// All upstreams, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.iter_mut()
    }

    /// All positions, in order.
    pub(crate) fn positions(&self) -> impl Iterator<Item = UpstreamPosition> + use<> {
        (0..self.upstreams.len()).map(UpstreamPosition)
    }

    /// All positions once, in order from the one that `start` stands for; larger numbers wrap.
    pub(crate) fn positions_from(&self, start: usize) -> impl Iterator<Item = UpstreamPosition> + use<> {
        let count = self.upstreams.len();
        (0..count).map(move |step| UpstreamPosition((step + start % count) % count))
    }

    /// Adds an upstream and returns its position.
    pub(crate) fn push(&mut self, upstream: Upstream) -> UpstreamPosition {
        self.upstreams.push(upstream);
        UpstreamPosition(self.upstreams.len() - 1)
    }

    /// Drops the upstreams for which `keeps` returns `false`. Positions may change.
    pub(crate) fn retain(&mut self, keeps: impl FnMut(&Upstream) -> bool) {
        self.upstreams.retain(keeps);
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
