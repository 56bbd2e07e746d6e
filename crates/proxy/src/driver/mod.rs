//! The driver: delivers events to the [`Balancer`] and carries out, in order, the actions that it returns.
//! The driver makes no load-balancing decisions of its own.
//!
//! Everything that happens (a request arrives, an attempt ends, a timer fires) becomes a [`DriverEvent`] in a
//! queue. The driver handles one event at a time, so that the balancer is never called reentrantly. Events
//! that occur while another one is handled wait in the queue.

mod actions;
mod clock;
mod endpoint_watch;
mod event_queue;
mod events;
mod in_flight;
mod request;
#[cfg(test)]
mod tests;

pub use request::{FinalResponse, IncomingRequest};

use crate::discovery::client::{DiscoveryClient, FirstListProgress};
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::metrics::Metrics;
use crate::upstream::Upstreams;
use balancer_core::{Action, Balancer, Event};
use clock::Clock;
use event_queue::{DriverEvent, EventQueue};
use in_flight::{InFlightRequests, ResponseSender};
use request::PendingResponse;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

/// The balancer and the requests that it decides on. Borrowed only while an event is handled or a request is
/// added.
struct DriverState {
    balancer: Balancer,
    requests: InFlightRequests,
    /// The actions that the balancer has returned for the current event; empty between events.
    actions: Vec<Action>,
}

impl DriverState {
    /// Delivers an event to the balancer, which appends its actions to `actions`.
    fn notify_balancer(&mut self, now: Duration, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
    }
}

/// Connects one [`Balancer`] to its clients, its upstreams and discovery.
pub struct Driver {
    clock: Clock,
    state: RefCell<DriverState>,
    queue: EventQueue,
    upstreams: Upstreams,
    discovery: DiscoveryClient,
    /// Whether the balancer decides when to start a watch, by [`Action::WatchEndpoints`]. If `false`, the
    /// driver keeps a watch open by itself. In both cases, the driver itself never polls discovery.
    balancer_starts_watches: bool,
    /// The task that keeps a watch open. `None` if the balancer decides when to start a watch.
    keep_watching_task: RefCell<Option<AbortHandle>>,
    /// Set to `true` when all attempts have to end.
    abort_attempts: watch::Sender<bool>,
    metrics: Rc<Metrics>,
}

impl Driver {
    /// Starts a driver and delivers the cached endpoint list from the configuration to its balancer as the
    /// first event. `balancer_starts_watches` is the value of
    /// [`Settings::starts_watches`](balancer_core::Settings::starts_watches).
    pub fn start(
        balancer: Balancer,
        upstreams: Upstreams,
        discovery: DiscoveryClient,
        cached_endpoints: EndpointUpdate,
        balancer_starts_watches: bool,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let state = DriverState { balancer, requests: InFlightRequests::default(), actions: Vec::new() };
        let driver = Rc::new(Self {
            clock: Clock::start(),
            state: RefCell::new(state),
            queue: EventQueue::default(),
            upstreams,
            discovery,
            balancer_starts_watches,
            keep_watching_task: RefCell::default(),
            abort_attempts: watch::Sender::new(false),
            metrics,
        });
        let task_driver = Rc::clone(&driver);
        spawn_local(async move { task_driver.upstreams.close_expired_periodically().await });
        driver.deliver(DriverEvent::EndpointUpdate { update: cached_endpoints });
        if !balancer_starts_watches {
            driver.watch_endpoints();
        }
        driver
    }

    /// Submits a request to the balancer. The returned value resolves to the final response. Dropping it
    /// before then tells the driver that the client has disconnected.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> PendingResponse {
        let (response_sender, receiver) = ResponseSender::new();
        let id = self.state.borrow_mut().requests.insert(incoming, response_sender);
        self.deliver(DriverEvent::RequestArrived { id });
        PendingResponse::new(Rc::clone(self), id, receiver)
    }

    /// Aborts all attempts in flight and every attempt that is started later, so that each request gets its
    /// final response before the process ends.
    pub fn abort_all_attempts(&self) {
        self.abort_attempts.send_replace(true);
    }

    /// Returns a receiver that follows the arrival of the first endpoint list from a watch.
    pub fn first_list_progress(&self) -> watch::Receiver<FirstListProgress> {
        self.discovery.first_list_progress()
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the version of the endpoint list in use, or 0 if there is none.
    pub fn endpoint_list_version(&self) -> u64 {
        self.discovery.version()
    }

    /// Sets the address of discovery. If it differs from the previous one and a watch was ever started,
    /// starts a watch at the new address at once: changes could be missed if the balancer or the backoff
    /// delayed the watch.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.set_address(address) {
            self.watch_endpoints();
        }
    }

    /// Queues an event and handles all queued events. Only queues it if the driver is already handling
    /// events.
    fn deliver(self: &Rc<Self>, event: DriverEvent) {
        self.queue.push(event);
        self.queue.process_all(|event| self.handle_event(&mut self.state.borrow_mut(), event));
    }
}
