//! The correlation ids of the requests that have no final response yet.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// A set of correlation ids. Clients choose the ids and could provoke hash collisions, so the set uses the
/// standard library's randomly keyed hasher.
type IdSet = Rc<RefCell<HashSet<HeaderValue>>>;

/// The reserved correlation ids. No two requests without a final response may have the same id.
#[derive(Default)]
pub struct CorrelationIds {
    in_flight: IdSet,
}

impl CorrelationIds {
    /// Reserves `id` until the returned reservation is dropped. Returns `None` if `id` is already reserved.
    pub fn reserve(&self, id: HeaderValue) -> Option<ReservedId> {
        let is_new = self.in_flight.borrow_mut().insert(id.clone());
        is_new.then(|| ReservedId { in_flight: Rc::clone(&self.in_flight), id })
    }
}

/// The reservation of a correlation id, which ends when this value is dropped.
pub struct ReservedId {
    in_flight: IdSet,
    id: HeaderValue,
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        self.in_flight.borrow_mut().remove(&self.id);
    }
}
