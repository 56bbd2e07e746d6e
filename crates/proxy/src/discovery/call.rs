//! Calls to discovery, from the connection up to the head of the response.

use crate::discovery::backoff::Backoff;
use crate::discovery::error::DiscoveryError;
use crate::metrics::Metrics;
use crate::rate_limited_log::RateLimitedLog;
use crate::upstream::connection::Connection;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Bounds of the timeout for a sequential call, from connecting up to the head of the response. A busy
/// discovery service queues calls, and a call that times out loses its place in the queue. So each call that
/// times out doubles the timeout of the next one.
const MIN_RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from the start of one overlapping call to the start of the next, as long as none has a response. A
/// call made while discovery was down may never get one. Once discovery is back, changes count as delivered
/// (see [`discovery`](crate::discovery)), so the next call has to follow soon.
const OVERLAPPING_CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for an overlapping call, from connecting up to the head of the response. Together with
/// [`OVERLAPPING_CALL_INTERVAL`] it bounds the file descriptors in use: about ten calls are open at once.
const OVERLAPPING_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Whether another call starts while an earlier one has no response yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallStrategy {
    /// Each call ends before the next one starts, since every call costs the discovery service work.
    Sequential,
    /// Further calls start at intervals until one has a response. A call to an agent on this machine costs
    /// nothing, while changes count as delivered (see [`discovery`](crate::discovery)) even without a
    /// response.
    Overlapping,
}

/// A response from discovery with status 200, whose body is still to be read.
pub(super) struct DiscoveryResponse {
    /// Connection that the body arrives on. Dropping it ends the body.
    pub(super) connection: Connection,
    /// Body of the response, of which nothing has been read yet.
    pub(super) body: Incoming,
}

/// The part of the discovery client that makes the calls.
pub(super) struct DiscoveryCaller {
    address: Cell<SocketAddr>,
    strategy: CallStrategy,
    /// Timeout for the next sequential call, up to the head of its response.
    response_head_timeout: Cell<Backoff>,
    log: Rc<RateLimitedLog>,
    metrics: Rc<Metrics>,
}

impl DiscoveryCaller {
    /// Creates a caller of discovery at `address`.
    pub(super) fn new(
        address: SocketAddr,
        strategy: CallStrategy,
        log: Rc<RateLimitedLog>,
        metrics: Rc<Metrics>,
    ) -> Self {
        let response_head_timeout = Backoff::new(MIN_RESPONSE_HEAD_TIMEOUT, MAX_RESPONSE_HEAD_TIMEOUT);
        Self {
            address: Cell::new(address),
            strategy,
            response_head_timeout: Cell::new(response_head_timeout),
            log,
            metrics,
        }
    }

    /// Directs later calls to `address`. Returns whether it differs from the previous one.
    pub(super) fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Requests `target` and returns once the head of a response with status 200 has arrived.
    pub(super) async fn call(&self, target: &str) -> Result<DiscoveryResponse, DiscoveryError> {
        match self.strategy {
            CallStrategy::Sequential => self.call_once(target).await,
            CallStrategy::Overlapping => self.call_overlapping(target).await,
        }
    }

    /// Makes one call. A timeout makes the timeout of the next call longer; a response resets it to the
    /// minimum.
    async fn call_once(&self, target: &str) -> Result<DiscoveryResponse, DiscoveryError> {
        let mut response_head_timeout = self.response_head_timeout.get();
        let result = timeout(response_head_timeout.current(), self.send_request(target)).await;
        match &result {
            Ok(Ok(_)) => response_head_timeout.reset(),
            Ok(Err(_)) => {}
            Err(_) => response_head_timeout.grow(),
        }
        self.response_head_timeout.set(response_head_timeout);
        if !matches!(result, Ok(Ok(_))) {
            self.metrics.discovery_calls_failed.inc();
        }
        result.unwrap_or(Err(DiscoveryError::ResponseHeadTimeout))
    }

    /// Starts a call every [`OVERLAPPING_CALL_INTERVAL`], because a response that is late cannot be told from
    /// one that will never arrive. Returns the first response, or the error of a call that fails while no
    /// other call is open. A call that times out is dropped without ending the series of calls.
    async fn call_overlapping(&self, target: &str) -> Result<DiscoveryResponse, DiscoveryError> {
        let mut calls = FuturesUnordered::new();
        loop {
            calls.push(timeout(OVERLAPPING_CALL_TIMEOUT, self.send_request(target)));
            let next_call = sleep(OVERLAPPING_CALL_INTERVAL);
            tokio::pin!(next_call);
            loop {
                tokio::select! {
                    Some(result) = calls.next() => match result {
                        Ok(Ok(response)) => return Ok(response),
                        Ok(Err(error)) => {
                            self.metrics.discovery_calls_failed.inc();
                            if calls.is_empty() {
                                return Err(error);
                            }
                            self.log.warn(|skipped| {
                                tracing::warn!(skipped, %error, "overlapping call to discovery failed");
                            });
                        }
                        Err(_) => {
                            self.metrics.discovery_calls_failed.inc();
                            self.log.warn(|skipped| {
                                tracing::warn!(skipped, "call to discovery given up: no response in time");
                            });
                        }
                    },
                    () = &mut next_call => break,
                }
            }
        }
    }

    async fn send_request(&self, target: &str) -> Result<DiscoveryResponse, DiscoveryError> {
        let address = self.address.get();
        self.metrics.discovery_calls.inc();
        tracing::info!(%address, target, "call to discovery");
        let mut connection = Connection::open(address, ()).await.map_err(DiscoveryError::Connect)?;
        let request = Request::get(target).header(HOST, address.to_string());
        let response = connection.send(request.body(Full::<Bytes>::default())?).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        Ok(DiscoveryResponse { connection, body: response.into_body() })
    }
}
