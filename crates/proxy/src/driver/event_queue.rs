//! The queue of events that the driver has yet to handle.

#[cfg(test)]
mod tests;

use crate::discovery::endpoint_list::EndpointUpdate;
use crate::upstream::AttemptResult;
use balancer_core::{AttemptIndex, RequestId, TimerId, UpstreamId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

/// Something that has happened and that the balancer has to be notified of.
pub(super) enum DriverEvent {
    /// Discovery has sent an update of the endpoint list, or a call to discovery has failed.
    EndpointUpdate { update: EndpointUpdate },
    /// A client has sent a request.
    RequestArrived { id: RequestId },
    /// An attempt has ended or has been cancelled.
    AttemptEnded { id: RequestId, attempt: AttemptIndex, result: AttemptResult },
    /// A health check has ended.
    HealthCheckEnded { upstream: UpstreamId, latency: Duration, result: AttemptResult },
    /// A client has disconnected before it got its final response.
    ClientDisconnected { id: RequestId },
    /// A timer has fired.
    TimerFired { timer: TimerId },
}

/// A first-in, first-out queue whose events are processed one at a time.
#[derive(Default)]
pub(super) struct EventQueue {
    events: RefCell<VecDeque<DriverEvent>>,
    is_processing: Cell<bool>,
}

impl EventQueue {
    /// Adds an event without processing it.
    pub(super) fn push(&self, event: DriverEvent) {
        self.events.borrow_mut().push_back(event);
    }

    /// Passes the queued events to `process`, in order, until the queue is empty. Does nothing if called from
    /// within `process`: the outer call processes the events that were added in the meantime.
    pub(super) fn process_all(&self, mut process: impl FnMut(DriverEvent)) {
        if self.is_processing.replace(true) {
            return;
        }
        while let Some(event) = self.pop() {
            process(event);
        }
        self.is_processing.set(false);
    }

    fn pop(&self) -> Option<DriverEvent> {
        self.events.borrow_mut().pop_front()
    }
}
