//! The calls that watches begin with: starts and gives up calls, and reports to the balancer when it has to make
//! another one.

use crate::discovery::call::DiscoveryResponse;
use crate::discovery::client::DiscoveryClient;
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::discovery::error::DiscoveryError;
use crate::discovery::open_watches::{CallsGivenUp, OpenWatches, WatchId, WatchState};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Age at which a call without a response is reported to the balancer as failed, where the balancer starts
/// watches. It then makes another call, because this one may never be answered. The call stays open, since a
/// busy discovery service queues calls, and a call that is given up loses its place in the queue.
const OVERDUE_CALL_AGE: Duration = Duration::from_millis(1000);

impl DiscoveryClient {
    /// Directs later calls to `address`. The endpoint list in use and its version are kept. The calls and
    /// watches at the previous address stay open until discovery responds at the new one. Their end is no
    /// failure.
    ///
    /// Returns whether the driver has to start a new watch: the address differs from the previous one, and a
    /// watch has been started before.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        if !self.caller.set_address(address) {
            return false;
        }
        self.update_watches(OpenWatches::start_epoch);
        self.open_watches.borrow().has_started()
    }

    /// Starts a call whose response is a watch, unless discovery has already responded to one: a list that
    /// still arrives would be started from its beginning. `spawn` starts the task that runs
    /// [`DiscoveryClient::watch`] with this id.
    pub fn start_watch(&self, spawn: impl FnOnce(WatchId) -> AbortHandle) {
        let now = Instant::now();
        self.update_watches(|watches| {
            if watches.state() == WatchState::Watching {
                return;
            }
            let given_up = watches.give_up_calls(now);
            self.record_calls_given_up(&given_up);
            watches.add(now, spawn);
        });
    }

    /// Returns a receiver that follows what the open calls and watches at the current address are doing.
    pub fn watch_state(&self) -> watch::Receiver<WatchState> {
        self.watch_state.subscribe()
    }

    /// Changes the open watches and then notifies the receivers of [`DiscoveryClient::watch_state`].
    pub(super) fn update_watches<T>(&self, change: impl FnOnce(&mut OpenWatches) -> T) -> T {
        let mut watches = self.open_watches.borrow_mut();
        let result = change(&mut watches);
        let state = watches.state();
        self.watch_state.send_if_modified(|current| std::mem::replace(current, state) != state);
        result
    }

    fn record_calls_given_up(&self, given_up: &CallsGivenUp) {
        self.metrics.discovery_calls_failed.inc_by(given_up.not_overdue);
        let count = given_up.count;
        if count > 0 {
            self.log.warn(|skipped| {
                tracing::warn!(skipped, count, "calls to discovery given up: no response in time");
            });
        }
    }

    /// Makes the call that a watch begins with. Where the balancer starts watches, a call that is overdue is
    /// passed to `deliver` as failed, so that the balancer makes another one, but the call goes on.
    pub(super) async fn call_for_watch(
        &self,
        id: WatchId,
        target: &str,
        deliver: &mut impl FnMut(EndpointUpdate),
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        let call = self.caller.call(target);
        if !self.balancer_starts_watches {
            return call.await;
        }
        tokio::pin!(call);
        if let Ok(result) = timeout(OVERDUE_CALL_AGE, &mut call).await {
            return result;
        }
        self.metrics.discovery_calls_failed.inc();
        self.log.warn(|skipped| tracing::warn!(skipped, "no response from discovery yet"));
        let needs_another_call = self.update_watches(|watches| watches.record_overdue(id));
        self.report_failure(needs_another_call, deliver);
        call.await
    }

    /// Removes a watch that has ended. Where the balancer starts watches, the end is passed to `deliver`,
    /// unless the balancer knows already that it needs another watch.
    pub(super) fn remove_watch(&self, id: WatchId, deliver: &mut impl FnMut(EndpointUpdate)) {
        let needs_another_call = self.update_watches(|watches| watches.remove(id));
        self.report_failure(needs_another_call, deliver);
    }

    /// Records that a response has brought nothing but its head in time. The watch goes on, but another call
    /// is needed beside it.
    pub(super) fn record_silence(&self, id: WatchId, deliver: &mut impl FnMut(EndpointUpdate)) {
        self.log.warn(|skipped| tracing::warn!(skipped, "no list from discovery since its response"));
        let needs_another_call = self.update_watches(|watches| watches.record_silence(id));
        self.report_failure(needs_another_call, deliver);
    }

    fn report_failure(&self, needs_another_call: bool, deliver: &mut impl FnMut(EndpointUpdate)) {
        if needs_another_call && self.balancer_starts_watches {
            deliver(EndpointUpdate::failed());
        }
    }
}
