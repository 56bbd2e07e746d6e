//! Feeds the [`Balancer`] with events and carries out the actions that it returns, in order. The driver
//! itself decides nothing.
//!
//! Everything that happens (a request, the end of an attempt, a timer) becomes a [`DriverEvent`] in a queue.
//! Events are handled one at a time, so that the balancer is never entered twice; what happens meanwhile
//! waits in the queue.

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
use tokio::task::spawn_local;

/// The balancer and the requests that it decides on. Borrowed only while an event is handled and when a
/// request is added.
struct Core {
    balancer: Balancer,
    requests: InFlightRequests,
    /// The actions that the event being handled has led to; empty between events.
    actions: Vec<Action>,
}

impl Core {
    /// Hands an event to the balancer, which adds to the actions.
    fn handle(&mut self, now: Duration, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
    }
}

/// The driver of one [`Balancer`].
pub struct Driver {
    clock: Clock,
    core: RefCell<Core>,
    queue: EventQueue,
    upstreams: Upstreams,
    discovery: DiscoveryClient,
    /// The balancer decides when a watch is begun, by [`Action::WatchEndpoints`]. Otherwise the driver keeps
    /// a watch open by itself. Nothing is polled at intervals in either case.
    polls_endpoints: bool,
    /// `true` once all attempts have to end.
    abort_all: watch::Sender<bool>,
    metrics: Rc<Metrics>,
}

impl Driver {
    /// Starts a driver with the cached endpoint list from the configuration. `polls_endpoints` is
    /// [`Settings::starts_watches`](balancer_core::Settings::starts_watches).
    pub fn start(
        balancer: Balancer,
        upstreams: Upstreams,
        discovery: DiscoveryClient,
        cached_endpoints: EndpointUpdate,
        polls_endpoints: bool,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let core = Core { balancer, requests: InFlightRequests::default(), actions: Vec::new() };
        let driver = Rc::new(Self {
            clock: Clock::start(),
            core: RefCell::new(core),
            queue: EventQueue::default(),
            upstreams,
            discovery,
            polls_endpoints,
            abort_all: watch::Sender::new(false),
            metrics,
        });
        let sweeper = Rc::clone(&driver);
        spawn_local(async move { sweeper.upstreams.close_expired_periodically().await });
        driver.deliver(DriverEvent::EndpointUpdate { update: cached_endpoints });
        if !polls_endpoints {
            driver.watch_endpoints();
        }
        driver
    }

    /// Submits a request to the balancer. The returned value yields its final response; dropping it earlier
    /// means that the client has disconnected.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> PendingResponse {
        let (response_sender, receiver) = ResponseSender::new();
        let id = self.core.borrow_mut().requests.insert(incoming, response_sender);
        self.deliver(DriverEvent::RequestArrived { id });
        PendingResponse::new(Rc::clone(self), id, receiver)
    }

    /// Ends all attempts in flight, and each that is sent later, so that every request gets its final
    /// response. For the end of the process.
    pub fn abort_all(&self) {
        self.abort_all.send_replace(true);
    }

    /// How far the first list that a watch brings has come.
    pub fn discovery_progress(&self) -> watch::Receiver<FirstListProgress> {
        self.discovery.first_list_progress()
    }

    /// The version of the endpoint list in use; 0 if there is none.
    pub fn list_version(&self) -> u64 {
        self.discovery.version()
    }

    /// Discovery has a new address. A watch that was ever begun is begun anew there at once, even if the
    /// balancer or the backoff would wait: changes must not be missed meanwhile.
    pub fn discovery_moved(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.set_address(address) {
            self.watch_endpoints();
        }
    }

    /// Adds an event and handles all queued ones, unless that is already under way.
    fn deliver(self: &Rc<Self>, event: DriverEvent) {
        self.queue.push(event);
        self.queue.process_all(|event| self.handle_event(&mut self.core.borrow_mut(), event));
    }
}
