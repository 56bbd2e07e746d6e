//! Starts the tasks that watch the endpoint list for changes.

use crate::discovery::backoff::Backoff;
use crate::discovery::open_watches::WatchState;
use crate::driver::Driver;
use crate::driver::event_queue::DriverEvent;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

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

/// Time from the start of a call to the start of the next one, as long as none has a response, where the
/// driver starts watches by itself. A call made while discovery was down may never get one. Once discovery is
/// back, changes count as delivered (see [`discovery`](crate::discovery)), so the next call has to follow
/// soon.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

impl Driver {
    /// Starts to watch the endpoint list. If the balancer does not decide when to start a watch
    /// (`balancer_starts_watches`), keeps a watch open from now on.
    pub(super) fn watch_endpoints(self: &Rc<Self>) {
        if self.balancer_starts_watches {
            self.start_watch();
            return;
        }
        let keep_watching = spawn_local(Rc::clone(self).keep_watching());
        if let Some(previous) = self.keep_watching_task.borrow_mut().replace(keep_watching.abort_handle()) {
            previous.abort();
        }
    }

    /// Starts one call to discovery, whose response is a watch. Each of its updates is delivered as an event,
    /// and so is the need for another call if the balancer decides when to start a watch. It starts the next
    /// one by `Action::WatchEndpoints`.
    pub(super) fn start_watch(self: &Rc<Self>) {
        self.discovery.start_watch(|id| {
            let driver = Rc::clone(self);
            let watch = async move {
                let deliver = |update| driver.deliver(DriverEvent::EndpointUpdate { update });
                driver.discovery.watch(id, deliver).await;
            };
            spawn_local(watch).abort_handle()
        });
    }

    /// Keeps a watch open. When it ends, starts the next one, after a backoff if it ended soon. Never
    /// returns.
    async fn keep_watching(self: Rc<Self>) {
        let mut backoff = Backoff::new(MIN_WATCH_BACKOFF, MAX_WATCH_BACKOFF);
        loop {
            let started_at = Instant::now();
            self.watch_until_end().await;
            if started_at.elapsed() >= STABLE_WATCH_DURATION {
                backoff.reset();
            } else {
                sleep(backoff.current()).await;
                backoff.grow();
            }
        }
    }

    /// Starts calls at intervals until discovery responds to one of them. Returns once the watch of that
    /// response has ended, or once a call has failed while no other one is open.
    async fn watch_until_end(self: &Rc<Self>) {
        let mut state = self.discovery.watch_state();
        loop {
            self.start_watch();
            let response_or_failure = state.wait_for(|state| *state != WatchState::Calling);
            if timeout(CALL_INTERVAL, response_or_failure).await.is_ok() {
                break;
            }
        }
        // The sender lives as long as the driver, so this cannot fail.
        let _ = state.wait_for(|state| *state != WatchState::Watching).await;
    }
}
