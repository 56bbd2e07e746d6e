//! The discovery client: fetches and reads endpoint lists and tracks the version of the one in use.

use crate::discovery::call::{DiscoveryCaller, DiscoveryResponse};
use crate::discovery::endpoint_list::{EndpointListError, EndpointListReader, EndpointUpdate};
use crate::discovery::error::DiscoveryError;
use crate::discovery::open_watches::{OpenWatches, WatchState};
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
use tokio::time::{timeout, timeout_at};

/// Path at which discovery serves the endpoint list.
pub(super) const LIST_PATH: &str = "/registry/instances";
/// Maximum length of an endpoint list. A longer response to a fetch is an error, and so is a list on a watch
/// that is still incomplete after this many bytes.
pub(super) const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
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
    pub(super) open_watches: RefCell<OpenWatches>,
    /// What the calls and watches in `open_watches` are doing.
    pub(super) watch_state: watch::Sender<WatchState>,
    /// Whether the balancer decides when to start a watch, and is told of calls that fail or are overdue.
    pub(super) balancer_starts_watches: bool,
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
