//! The correlation ids of the requests that have no final response yet.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Clients choose the ids, so the set uses the standard library's randomly keyed hasher.
type IdSet = Rc<RefCell<HashSet<HeaderValue>>>;

/// Keeps the ids of requests in flight distinct.
#[derive(Default)]
pub struct CorrelationIds {
    in_flight: IdSet,
}

impl CorrelationIds {
    /// Reserves `id` until the reservation is dropped; `None` if another request holds it.
    pub fn reserve(&self, id: HeaderValue) -> Option<ReservedId> {
        let is_new = self.in_flight.borrow_mut().insert(id.clone());
        is_new.then(|| ReservedId { in_flight: Rc::clone(&self.in_flight), id })
    }
}

/// A reserved correlation id; released when dropped.
pub struct ReservedId {
    in_flight: IdSet,
    id: HeaderValue,
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        self.in_flight.borrow_mut().remove(&self.id);
    }
}
