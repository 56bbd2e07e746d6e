//! Discovery: the whole list when asked for it, and the watch on its changes.

use crate::discovery::backoff::Backoff;
use crate::discovery::endpoint_list::{EndpointListError, EndpointListReader, WatchEvent};
use crate::discovery::json_stream::{JsonStream, Part, SplitError};
use crate::metrics::Metrics;
use crate::rate_limited_log::RateLimitedLog;
use crate::upstream::connection::Connection;
use balancer_core::{Availability, UpdateScope};
use balancer_settings::Site;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A watch has a line to say every 2 s. Without one for this long, its first included, it is dead, whatever its
/// connection looks like. What it misses counts as told 6 s after it fell silent: there has to be time to find that
/// out, to find the same of the next one, and for a third.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a call may take at first to its answer's head, its connection included, where calls cost discovery work.
const HEAD_WAIT_LEAST: Duration = Duration::from_millis(1000);
/// How long it may take at the most. Where discovery is crowded a call that is given up has lost its turn.
const HEAD_WAIT_MOST: Duration = Duration::from_millis(2500);
/// Time between two calls while none is answered, where they cost nothing. A call made while discovery was down may never
/// be answered, and what it has when it is back counts as told: the next call may not be far.
const CALL_EVERY: Duration = Duration::from_millis(200);
/// How long such a call may take, so that ten are open at the most: descriptors are few.
const OVERLAPPING_CALL_MOST: Duration = Duration::from_millis(2000);
/// The longest list: more is no list.
const LIST_MOST: usize = 8 * 1024 * 1024;

/// How far discovery has come with its first answer since the start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing has come.
    Waiting,
    /// Part of an answer.
    Answering,
    /// A whole list, or changes of the one known.
    Told,
}

/// An answer of discovery, whose body is still to be read, and the connection that it comes on.
type FinalResponse = (Connection, Incoming);

/// How calls that are answered late are made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Calls {
    /// Calls cost discovery work: each is given up before the next.
    OneAtATime,
    /// Calls cost nothing, and what discovery has to tell counts as told.
    Overlapping,
}

/// Where discovery is, and how far this balancer has followed it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    reader: EndpointListReader,
    /// The version of the list in hand; 0: none.
    rev: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
    calls: Calls,
    head_wait: Cell<Backoff>,
    progress: watch::Sender<Progress>,
    odd: RateLimitedLog,
    metrics: Rc<Metrics>,
}

/// Why a call to discovery, or a watch, came to an end.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// Nothing that counts has come for too long.
    #[error("silent for too long")]
    Silent(#[from] Elapsed),
    /// No connection.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The request can't be made.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The exchange failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// An answer other than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer's body failed or is too long.
    #[error("the answer: {0}")]
    Body(Box<dyn StdError + Send + Sync>),
    /// What came is no sequence of objects.
    #[error("unreadable: {0}")]
    Split(#[from] SplitError),
    /// An object is no list.
    #[error("unreadable list: {0}")]
    EndpointList(#[from] EndpointListError),
}

impl Discovery {
    /// Discovery at an address; the site's names turn zones and kinds into numbers.
    pub fn new(address: SocketAddr, site: &Site, metrics: Rc<Metrics>) -> Self {
        let asked = site.settings.poll_endpoints;
        Self {
            address: Cell::new(address),
            reader: EndpointListReader::new(site.names.clone()),
            rev: Cell::new(0),
            watch: RefCell::default(),
            calls: if asked { Calls::OneAtATime } else { Calls::Overlapping },
            head_wait: Cell::new(Backoff::new(HEAD_WAIT_LEAST, HEAD_WAIT_MOST)),
            progress: watch::Sender::new(Progress::Waiting),
            odd: RateLimitedLog::default(),
            metrics,
        }
    }

    /// The metrics that this balancer counts in.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// How far discovery has come with its first answer.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Tells those who wait for the first answer that something has come.
    fn advance(&self, to: Progress) {
        self.progress.send_if_modified(|progress| {
            let waited_for = *progress != Progress::Told;
            if waited_for {
                *progress = to;
            }
            waited_for
        });
    }

    /// The version of the list in hand; 0: none.
    pub fn version(&self) -> u64 {
        self.rev.get()
    }

    /// Reads a list and takes its version for the one in hand.
    fn read(&self, text: &[u8]) -> Result<WatchEvent, EndpointListError> {
        let list = self.reader.read(text)?;
        self.rev.set(list.version);
        self.note_list(&list.news, text.len());
        Ok(list.news)
    }

    /// The list from the configuration, as [`UpdateScope::Cached`].
    pub fn known(&self, text: &str) -> WatchEvent {
        let read = if text.is_empty() { Ok(WatchEvent::failed()) } else { self.read(text.as_bytes()) };
        let entries = read.map_or_else(
            |e| {
                tracing::warn!("the list known before the start is unreadable: {e}");
                Vec::new()
            },
            |news| news.entries,
        );
        WatchEvent { scope: UpdateScope::Cached, entries }
    }

    fn note_list(&self, news: &WatchEvent, bytes: usize) {
        let in_state = |state| news.entries.iter().filter(|e| e.place.availability == state).count();
        tracing::info!(
            version = self.rev.get(),
            scope = ?news.scope,
            ready = in_state(Availability::Ready),
            draining = in_state(Availability::Draining),
            gone = in_state(Availability::Removed),
            bytes,
            "list read"
        );
        self.metrics.endpoint_lists.inc();
        self.metrics.endpoint_list_bytes.inc_by(bytes as u64);
        self.metrics.endpoint_list_version.set(self.rev.get() as i64);
    }

    /// Asks for the whole list.
    pub async fn fetch(&self) -> WatchEvent {
        let read = async {
            let (_connection, body) = self.call("/registry/instances").await?;
            let body = http_body_util::Limited::new(body, LIST_MOST);
            let collected = timeout(WATCH_SILENCE_TIMEOUT, body.collect()).await?;
            let news = self.read(&collected.map_err(DiscoveryError::Body)?.to_bytes())?;
            Ok::<_, DiscoveryError>(WatchEvent { scope: UpdateScope::Snapshot, ..news })
        };
        read.await.unwrap_or_else(|e| {
            self.odd.warn(|| format!("no list: {e}"));
            WatchEvent::failed()
        })
    }

    /// From now on discovery is elsewhere. The list in hand, and how far it was followed, stay as they are.
    /// `true` if that is news and a watch was ever begun: it is to be begun anew, and
    /// [`Discovery::watched_by`] then ends the old one without a word, so that a planned move is no failure
    /// and nothing that the old address does later undoes it.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address && self.watch.borrow().is_some()
    }

    /// Remembers the task that watches, in place of the one before.
    pub fn watched_by(&self, task: AbortHandle) {
        if let Some(before) = self.watch.borrow_mut().replace(task) {
            before.abort();
        }
    }

    /// Watches the list until the watch ends, and tells what comes.
    pub async fn watch(&self, tell: impl FnMut(WatchEvent)) {
        let ended = self.follow(tell).await;
        self.metrics.discovery_failures.inc();
        match ended {
            Ok(()) => tracing::info!(version = self.rev.get(), "watch ended by discovery"),
            Err(e) => self.odd.warn(|| format!("watch ended at version {}: {e}", self.rev.get())),
        }
    }

    async fn follow(&self, mut tell: impl FnMut(WatchEvent)) -> Result<(), DiscoveryError> {
        let target = format!("/registry/instances?stream=1&index={}", self.rev.get());
        let (_connection, mut body) = self.call(&target).await?;
        self.advance(Progress::Answering);
        let mut messages = JsonStream::new(LIST_MOST);
        let mut last_message_at = Instant::now();
        while let Some(frame) = timeout_at(last_message_at + WATCH_SILENCE_TIMEOUT, body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            self.advance(Progress::Answering);
            let began_before = messages.is_within_object();
            messages.push(&data);
            let heard = self.deliver_complete_messages(&mut messages, &mut tell).inspect_err(|_| {
                // What it said is missing now, a drain perhaps: the whole list is asked for again.
                self.rev.set(0);
            })?;
            // The beginning of a list is a word too: a long one takes its time from there.
            if heard || (messages.is_within_object() && !began_before) {
                last_message_at = Instant::now();
            }
        }
        Ok(())
    }

    /// Tells all lists that are whole. Whether anything was heard: a list, or an empty line.
    fn deliver_complete_messages(
        &self,
        messages: &mut JsonStream,
        tell: &mut impl FnMut(WatchEvent),
    ) -> Result<bool, DiscoveryError> {
        let mut heard = false;
        while let Some(part) = messages.next_part()? {
            heard = true;
            if let Part::Object(text) = part {
                tell(self.read(&text)?);
                self.advance(Progress::Told);
            }
        }
        Ok(heard)
    }

    /// Calls and waits for the answer's head.
    async fn call(&self, target: &str) -> Result<FinalResponse, DiscoveryError> {
        match self.calls {
            Calls::OneAtATime => self.call_patiently(target).await,
            Calls::Overlapping => self.call_overlapping(target).await,
        }
    }

    /// Makes one call. After one that was given up for lateness the next is given twice the time.
    async fn call_patiently(&self, target: &str) -> Result<FinalResponse, DiscoveryError> {
        let mut head_wait = self.head_wait.get();
        let answered = timeout(head_wait.current(), self.ask(target)).await;
        match &answered {
            Ok(Ok(_)) => head_wait.reset(),
            Ok(Err(_)) => {}
            Err(_) => head_wait.grow(),
        }
        self.head_wait.set(head_wait);
        answered?
    }

    /// Makes a call, and another while it is late: whether discovery is late or never answers the first one can't be told.
    /// The first head that comes counts.
    async fn call_overlapping(&self, target: &str) -> Result<FinalResponse, DiscoveryError> {
        let mut calls = FuturesUnordered::new();
        loop {
            calls.push(timeout(OVERLAPPING_CALL_MOST, self.ask(target)));
            let next_call = sleep(CALL_EVERY);
            tokio::pin!(next_call);
            loop {
                tokio::select! {
                    Some(answered) = calls.next() => match answered {
                        Ok(Ok(answer)) => return Ok(answer),
                        Ok(Err(e)) if calls.is_empty() => return Err(e),
                        Ok(Err(e)) => self.odd.warn(|| format!("a call failed beside others: {e}")),
                        Err(_) => self.odd.warn(|| "a call was given up for lateness".to_owned()),
                    },
                    () = &mut next_call => break,
                }
            }
        }
    }

    async fn ask(&self, target: &str) -> Result<FinalResponse, DiscoveryError> {
        let address = self.address.get();
        self.metrics.discovery_calls.inc();
        tracing::info!(%address, target, "call to discovery");
        let mut connection = Connection::open(address, ()).await?;
        let request = Request::get(target).header(HOST, address.to_string());
        let response = connection.send(request.body(Full::<Bytes>::default())?).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        Ok((connection, response.into_body()))
    }
}
