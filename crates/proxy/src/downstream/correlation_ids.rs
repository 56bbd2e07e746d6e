//! The correlation ids of the requests that have no final response.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// How long the id of a request stays reserved after its client has left without a response. An upstream may
/// execute the request meanwhile, or may have executed it.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids that are retained. The oldest one is given up if there are more.
const MAX_RETAINED_IDS: usize = 8192;

/// A hash that stands for an id, because clients choose the length of ids. They cannot provoke collisions,
/// because the hash is keyed randomly.
type IdHash = u64;

/// The reserved correlation ids. No two requests without a final response may have the same id.
#[derive(Default)]
pub struct CorrelationIds {
    hasher: RandomState,
    reserved: Rc<RefCell<ReservedIds>>,
}

#[derive(Default)]
struct ReservedIds {
    ids: HashSet<IdHash>,
    /// The ids whose client has left, and until when each of them is retained, in this order.
    retained: VecDeque<(Instant, IdHash)>,
}

impl CorrelationIds {
    /// Reserves `id` until the returned reservation is released. Returns `None` if `id` is already reserved.
    pub fn reserve(&self, id: &HeaderValue) -> Option<ReservedId> {
        let id = self.hasher.hash_one(id.as_bytes());
        let mut reserved = self.reserved.borrow_mut();
        reserved.remove_expired(Instant::now());
        reserved.ids.insert(id).then(|| ReservedId {
            id,
            is_released: false,
            reserved: Rc::clone(&self.reserved),
        })
    }
}

impl ReservedIds {
    fn remove_expired(&mut self, now: Instant) {
        while self.retained.front().is_some_and(|(retained_until, _)| *retained_until <= now) {
            self.remove_oldest();
        }
    }

    fn retain_for_some_time(&mut self, id: IdHash) {
        if self.retained.len() == MAX_RETAINED_IDS {
            self.remove_oldest();
        }
        self.retained.push_back((Instant::now() + RETENTION, id));
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.retained.pop_front() {
            self.ids.remove(&id);
        }
    }
}

/// The reservation of a correlation id. If it is dropped without being released, because the client has left,
/// the id stays reserved for [`RETENTION`].
pub struct ReservedId {
    id: IdHash,
    is_released: bool,
    reserved: Rc<RefCell<ReservedIds>>,
}

impl ReservedId {
    /// Ends the reservation, because the request has its final response.
    pub fn release(mut self) {
        self.is_released = true;
    }
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        let mut reserved = self.reserved.borrow_mut();
        if self.is_released {
            reserved.ids.remove(&self.id);
        } else {
            reserved.retain_for_some_time(self.id);
        }
    }
}
