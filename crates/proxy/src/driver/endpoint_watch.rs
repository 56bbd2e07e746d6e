//! Keeps a watch on the endpoint list open.

use crate::discovery::backoff::Backoff;
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::driver::Driver;
use crate::driver::event_queue::DriverEvent;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Backoff after a watch that ended soon after it began, where the driver begins watches by itself. It begins
/// well below the 250 ms after which nothing new may be sent to a draining upstream: a change may count as
/// delivered (see [`discovery`](crate::discovery)) although the watch broke. It grows so that calls to a
/// discovery that is down cost little.
pub(super) const MIN_WATCH_BACKOFF: Duration = Duration::from_millis(20);
pub(super) const MAX_WATCH_BACKOFF: Duration = Duration::from_millis(250);
/// A watch that has lasted this long is begun anew without backoff.
pub(super) const STABLE_WATCH_DURATION: Duration = Duration::from_millis(250);

impl Driver {
    /// Begins a watch, in place of the present one if there is one.
    pub(super) fn watch_endpoints(self: &Rc<Self>) {
        let watch = spawn_local(Rc::clone(self).run_watches());
        self.discovery.replace_watch_task(watch.abort_handle());
    }

    /// Delivers each update of a watch. Where the balancer decides when a watch is begun (`polls_endpoints`),
    /// the end of the watch is an event too, and the balancer begins the next one by
    /// `Action::WatchEndpoints`; otherwise the next one begins here, after a backoff if this one ended soon.
    async fn run_watches(self: Rc<Self>) {
        let mut backoff = Backoff::new(MIN_WATCH_BACKOFF, MAX_WATCH_BACKOFF);
        loop {
            let begun_at = Instant::now();
            self.discovery.watch(|update| self.deliver(DriverEvent::EndpointUpdate { update })).await;
            if self.polls_endpoints {
                self.deliver(DriverEvent::EndpointUpdate { update: EndpointUpdate::failed() });
                return;
            }
            if begun_at.elapsed() >= STABLE_WATCH_DURATION {
                backoff.reset();
            } else {
                sleep(backoff.current()).await;
                backoff.grow();
            }
        }
    }
}
