//! Runs the task that watches the endpoint list for changes.

use crate::discovery::backoff::Backoff;
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::driver::Driver;
use crate::driver::event_queue::DriverEvent;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Minimum backoff after a watch that ended soon after it started, where the driver starts watches by itself.
/// A change that drains an upstream may count as delivered (see [`discovery`](crate::discovery)) although the
/// watch broke. Nothing new may be sent to that upstream later than 250 ms after the delivery, so the next
/// watch has to start well before then.
pub(super) const MIN_WATCH_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff between two watches. The backoff grows up to it so that calls cost little while discovery
/// is down.
pub(super) const MAX_WATCH_BACKOFF: Duration = Duration::from_millis(250);
/// A watch that has lasted at least this long is followed by the next one without a backoff.
pub(super) const STABLE_WATCH_DURATION: Duration = Duration::from_millis(250);

impl Driver {
    /// Starts a watch. Aborts the previous one, if there is one.
    pub(super) fn watch_endpoints(self: &Rc<Self>) {
        let watch = spawn_local(Rc::clone(self).run_watches());
        self.discovery.replace_watch_task(watch.abort_handle());
    }

    /// Runs a watch and delivers each of its updates as an event. If the balancer decides when to start a
    /// watch (`balancer_starts_watches`), the end of the watch is delivered as an event, too, and the
    /// balancer starts the next one by `Action::WatchEndpoints`. Otherwise this function starts the next
    /// watch, after a backoff if the previous one ended soon.
    async fn run_watches(self: Rc<Self>) {
        let mut backoff = Backoff::new(MIN_WATCH_BACKOFF, MAX_WATCH_BACKOFF);
        loop {
            let started_at = Instant::now();
            self.discovery.watch(|update| self.deliver(DriverEvent::EndpointUpdate { update })).await;
            if self.balancer_starts_watches {
                self.deliver(DriverEvent::EndpointUpdate { update: EndpointUpdate::failed() });
                return;
            }
            if started_at.elapsed() >= STABLE_WATCH_DURATION {
                backoff.reset();
            } else {
                sleep(backoff.current()).await;
                backoff.grow();
            }
        }
    }
}
