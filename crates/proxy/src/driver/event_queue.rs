//! The queue of events for the balancer.

#[cfg(test)]
mod tests;

use crate::discovery::endpoint_list::EndpointUpdate;
use crate::upstream::AttemptResult;
use balancer_core::{AttemptIndex, RequestId, TimerId, UpstreamId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

/// Something that has happened and that the balancer is to be told of.
pub(super) enum DriverEvent {
    /// Discovery has sent an update, or a call to it failed.
    EndpointUpdate { update: EndpointUpdate },
    /// A client has sent a request.
    RequestArrived { id: RequestId },
    /// An attempt has ended or was cancelled.
    AttemptEnded { id: RequestId, attempt: AttemptIndex, result: AttemptResult },
    /// A health check has ended.
    HealthCheckEnded { upstream: UpstreamId, latency: Duration, result: AttemptResult },
    /// A client has disconnected before its final response.
    ClientDisconnected { id: RequestId },
    /// A timer has fired.
    TimerFired { timer: TimerId },
}

/// Events in the order in which they happened, processed one at a time.
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

    /// Hands all queued events to `process`, in order, until none is left. Does nothing within a call of
    /// `process`: the outer call gets to the events that were added meanwhile.
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
