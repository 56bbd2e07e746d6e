//! The discovery client: fetches and reads endpoint lists and tracks the version of the one in use.

use crate::discovery::call::{DiscoveryCaller, DiscoveryResponse};
use crate::discovery::endpoint_list::{EndpointListError, EndpointListReader, EndpointUpdate};
use crate::discovery::error::DiscoveryError;
use crate::discovery::open_watches::{CallsGivenUp, OpenWatches, WatchId, WatchState};
use crate::discovery::transfer::Transfer;
use crate::metrics::Metrics;
use crate::rate_limited_log::RateLimitedLog;
use balancer_core::{Availability, UpdateScope};
use balancer_settings::Site;
use bytes::BytesMut;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Path at which discovery serves the endpoint list.
pub(super) const LIST_PATH: &str = "/registry/instances";
/// Maximum length of an endpoint list. A longer response to a fetch is an error, and so is a list on a watch
/// that is still incomplete after this many bytes.
pub(super) const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Age at which a call without a response is reported to the balancer as failed, where the balancer starts
/// watches. It then makes another call, because this one may never be answered. The call stays open, since a
/// busy discovery service queues calls, and a call that is given up loses its place in the queue.
const OVERDUE_CALL_AGE: Duration = Duration::from_millis(1000);
/// Timeout for a fetch, from connecting up to the head of the response.
const FETCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(6000);

/// How much of the first endpoint list has arrived over a watch since the process started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FirstListProgress {
    /// No watch has received a response yet.
    Waiting,
    /// A watch has received a response, but no complete list yet.
    Receiving,
    /// A watch has received an endpoint list, or changes to the one in use. This state is final.
    Received,
}

/// A client of the discovery service.
pub struct DiscoveryClient {
    pub(super) caller: DiscoveryCaller,
    reader: EndpointListReader,
    /// Version of the endpoint list in use; 0 if there is none.
    version: Cell<u64>,
    open_watches: RefCell<OpenWatches>,
    /// What the calls and watches in `open_watches` are doing.
    watch_state: watch::Sender<WatchState>,
    /// Whether the balancer decides when to start a watch, and is told of calls that fail or are overdue.
    balancer_starts_watches: bool,
    first_list_progress: watch::Sender<FirstListProgress>,
    pub(super) log: RateLimitedLog,
    pub(super) metrics: Rc<Metrics>,
}

impl DiscoveryClient {
    /// Creates a client of discovery at `address`. The names in `site` map the zones and hardware models of
    /// endpoint lists to ids.
    pub fn new(address: SocketAddr, site: &Site, metrics: Rc<Metrics>) -> Self {
        Self {
            caller: DiscoveryCaller::new(address, Rc::clone(&metrics)),
            reader: EndpointListReader::new(site.names.clone()),
            version: Cell::new(0),
            open_watches: RefCell::default(),
            watch_state: watch::Sender::new(WatchState::Idle),
            balancer_starts_watches: site.settings.starts_watches,
            first_list_progress: watch::Sender::new(FirstListProgress::Waiting),
            log: RateLimitedLog::default(),
            metrics,
        }
    }

    /// Returns a receiver that is notified whenever a watch receives a response or data, up to and including
    /// the first complete list.
    pub fn first_list_progress(&self) -> watch::Receiver<FirstListProgress> {
        self.first_list_progress.subscribe()
    }

    /// Sets the progress of the first list and notifies its receivers, even if the progress is the same as
    /// before. Does nothing once that list has been received.
    pub(super) fn advance_first_list_progress(&self, new_progress: FirstListProgress) {
        self.first_list_progress.send_if_modified(|progress| {
            if *progress == FirstListProgress::Received {
                return false;
            }
            *progress = new_progress;
            true
        });
    }

    /// Returns the version of the endpoint list in use; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Discards the version of the endpoint list in use, because changes to that list may have been missed.
    /// The next watch then begins with the whole list.
    pub(super) fn discard_version(&self) {
        self.version.set(0);
    }

    /// Reads an update that discovery has sent, stores its version as the one in use and counts the update in
    /// the metrics.
    pub(super) fn read_received(&self, json: &[u8]) -> Result<EndpointUpdate, EndpointListError> {
        let update = self.read_update(json)?;
        self.metrics.endpoint_lists.inc();
        self.metrics.endpoint_list_bytes.inc_by(json.len() as u64);
        Ok(update)
    }

    /// Reads an endpoint list, or changes to the one in use, and stores its version as the one in use.
    fn read_update(&self, json: &[u8]) -> Result<EndpointUpdate, EndpointListError> {
        let versioned = self.reader.read(json)?;
        self.version.set(versioned.version);
        self.metrics.endpoint_list_version.set(versioned.version as i64);
        self.log_update(&versioned.update, json.len());
        Ok(versioned.update)
    }

    /// Reads the cached endpoint list of the configuration and returns it with [`UpdateScope::Cached`]. An
    /// unreadable list is logged and counts as empty. A cached list does not count as received from
    /// discovery, neither in the metrics nor in [`DiscoveryClient::first_list_progress`].
    pub fn read_cached(&self, json: &str) -> EndpointUpdate {
        let mut entries = Vec::new();
        if !json.is_empty() {
            match self.read_update(json.as_bytes()) {
                Ok(update) => entries = update.entries,
                Err(e) => tracing::warn!(error = %e, "ignoring the unreadable cached endpoint list"),
            }
        }
        EndpointUpdate { scope: UpdateScope::Cached, entries }
    }

    fn log_update(&self, update: &EndpointUpdate, bytes: usize) {
        let count = |availability| {
            update.entries.iter().filter(|endpoint| endpoint.state.availability == availability).count()
        };
        tracing::info!(
            version = self.version(),
            scope = ?update.scope,
            ready = count(Availability::Ready),
            draining = count(Availability::Draining),
            removed = count(Availability::Removed),
            bytes,
            "endpoint list read"
        );
    }

    /// Fetches the whole endpoint list. A failure is logged and returned as an update with
    /// [`UpdateScope::Failed`].
    pub async fn fetch(&self) -> EndpointUpdate {
        self.try_fetch().await.unwrap_or_else(|e| {
            self.log.warn(|skipped| tracing::warn!(skipped, error = %e, "endpoint list fetch failed"));
            EndpointUpdate::failed()
        })
    }

    async fn try_fetch(&self) -> Result<EndpointUpdate, DiscoveryError> {
        let DiscoveryResponse { connection: _connection, body } =
            timeout(FETCH_RESPONSE_TIMEOUT, self.caller.call(LIST_PATH))
                .await
                .map_err(|_| DiscoveryError::ResponseHeadTimeout)??;
        let json = receive_body(body).await?;
        let update = self.read_received(&json)?;
        Ok(EndpointUpdate { scope: UpdateScope::Snapshot, ..update })
    }

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

/// Receives the response body of a fetch, up to [`MAX_LIST_BYTES`] and within the time that [`Transfer`]
/// allows.
async fn receive_body(body: Incoming) -> Result<BytesMut, DiscoveryError> {
    let mut body = Limited::new(body, MAX_LIST_BYTES);
    let mut received = BytesMut::new();
    let mut transfer = Transfer::start(0);
    loop {
        let frame = timeout_at(transfer.deadline(), body.frame()).await;
        let Some(frame) = frame.map_err(|_| DiscoveryError::BodyTimeout)? else { return Ok(received) };
        let Ok(data) = frame.map_err(DiscoveryError::Body)?.into_data() else { continue };
        transfer.record(data.len());
        received.extend_from_slice(&data);
    }
}
