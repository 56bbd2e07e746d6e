//! The discovery client: the version of the endpoint list in use, and how new ones are fetched and read.

use crate::discovery::call::{CallStrategy, DiscoveryCaller, DiscoveryResponse};
use crate::discovery::endpoint_list::{EndpointListError, EndpointListReader, WatchEvent};
use crate::discovery::error::DiscoveryError;
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
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// Where discovery serves the endpoint list.
pub(super) const LIST_PATH: &str = "/registry/instances";
/// A fetched list of more bytes is an error, and so is a list of a watch that is still incomplete after so
/// many.
pub(super) const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// How far the first list that a watch brings since the start has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FirstListProgress {
    /// No watch has had a response.
    Waiting,
    /// A watch has a response, but no complete list has come.
    Receiving,
    /// An endpoint list, or changes of the one in use, have come. Final.
    Received,
}

/// The client of one discovery service.
pub struct Discovery {
    pub(super) caller: DiscoveryCaller,
    reader: EndpointListReader,
    /// The version of the endpoint list in use; 0 if there is none.
    version: Cell<u64>,
    /// The task of the present watch, or of the last one.
    watch_task: RefCell<Option<AbortHandle>>,
    progress: watch::Sender<FirstListProgress>,
    pub(super) log: Rc<RateLimitedLog>,
    pub(super) metrics: Rc<Metrics>,
}

impl Discovery {
    /// A client of discovery at an address. The names of the site turn zones and hardware models into ids.
    pub fn new(address: SocketAddr, site: &Site, metrics: Rc<Metrics>) -> Self {
        let strategy =
            if site.settings.starts_watches { CallStrategy::Sequential } else { CallStrategy::Overlapping };
        let log = Rc::<RateLimitedLog>::default();
        Self {
            caller: DiscoveryCaller::new(address, strategy, Rc::clone(&log), Rc::clone(&metrics)),
            reader: EndpointListReader::new(site.names.clone()),
            version: Cell::new(0),
            watch_task: RefCell::default(),
            progress: watch::Sender::new(FirstListProgress::Waiting),
            log,
            metrics,
        }
    }

    /// How far the first list that a watch brings has come.
    pub fn progress(&self) -> watch::Receiver<FirstListProgress> {
        self.progress.subscribe()
    }

    /// Notifies those who wait for the first list that something has come.
    pub(super) fn advance_progress(&self, to: FirstListProgress) {
        self.progress.send_if_modified(|progress| {
            if *progress == FirstListProgress::Received {
                return false;
            }
            *progress = to;
            true
        });
    }

    /// The version of the endpoint list in use; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Has the next watch begin with the whole list: changes of the one in use may have been missed.
    pub(super) fn discard_version(&self) {
        self.version.set(0);
    }

    /// Reads an endpoint list, or changes of the one in use, and adopts its version.
    pub(super) fn read(&self, text: &[u8]) -> Result<WatchEvent, EndpointListError> {
        let update = self.adopt(text)?;
        self.metrics.endpoint_lists.inc();
        self.metrics.endpoint_list_bytes.inc_by(text.len() as u64);
        Ok(update)
    }

    /// Reads a list and adopts its version.
    fn adopt(&self, text: &[u8]) -> Result<WatchEvent, EndpointListError> {
        let list = self.reader.read(text)?;
        self.version.set(list.version);
        self.metrics.endpoint_list_version.set(list.version as i64);
        self.log_list(&list.update, text.len());
        Ok(list.update)
    }

    /// Reads the cached endpoint list of the configuration, as [`UpdateScope::Cached`]. One that is
    /// unreadable is logged and counts as empty. It does not count as received from discovery.
    pub fn read_cached(&self, text: &str) -> WatchEvent {
        let mut entries = Vec::new();
        if !text.is_empty() {
            match self.adopt(text.as_bytes()) {
                Ok(update) => entries = update.entries,
                Err(e) => tracing::warn!(error = %e, "cached endpoint list is unreadable"),
            }
        }
        WatchEvent { scope: UpdateScope::Cached, entries }
    }

    fn log_list(&self, update: &WatchEvent, bytes: usize) {
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

    /// Fetches the whole endpoint list. A failure is logged and returned as an update of
    /// [`UpdateScope::Failed`].
    pub async fn fetch(&self) -> WatchEvent {
        self.try_fetch().await.unwrap_or_else(|e| {
            self.log.warn(|skipped| tracing::warn!(skipped, error = %e, "endpoint list not fetched"));
            WatchEvent::failed()
        })
    }

    async fn try_fetch(&self) -> Result<WatchEvent, DiscoveryError> {
        let DiscoveryResponse { connection: _connection, body } = self.caller.call(LIST_PATH).await?;
        let text = read_list(body).await?;
        let update = self.read(&text)?;
        Ok(WatchEvent { scope: UpdateScope::Snapshot, ..update })
    }

    /// Makes later calls at another address. The endpoint list in use and its version stay.
    ///
    /// Returns whether a watch has to be begun anew: the address is a new one, and a watch was ever begun.
    /// [`Discovery::replace_watch_task`] then aborts the old watch without an event, so that a planned move
    /// does not count as a failure and nothing that the old address sends later overrides the new one.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.caller.set_address(address) && self.watch_task.borrow().is_some()
    }

    /// Remembers the task of the present watch and aborts the one before.
    pub fn replace_watch_task(&self, task: AbortHandle) {
        if let Some(previous) = self.watch_task.borrow_mut().replace(task) {
            previous.abort();
        }
    }
}

/// Reads the body of a fetched list, as long as it keeps arriving.
async fn read_list(body: Incoming) -> Result<BytesMut, DiscoveryError> {
    let mut body = Limited::new(body, MAX_LIST_BYTES);
    let mut text = BytesMut::new();
    let mut transfer = Transfer::begin(0);
    loop {
        let received = timeout_at(transfer.gives_up_at(), body.frame()).await;
        let Some(frame) = received.map_err(|_| DiscoveryError::BodyTimeout)? else { return Ok(text) };
        let Ok(data) = frame.map_err(DiscoveryError::Body)?.into_data() else { continue };
        transfer.record(data.len());
        text.extend_from_slice(&data);
    }
}
