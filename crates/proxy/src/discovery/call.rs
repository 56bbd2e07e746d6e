//! Calls to discovery, up to the head of the response.

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

/// Bounds of the time that a sequential call may take to the head of its response, its connection included. A
/// busy discovery serves calls in turn, and a call that is given up loses its turn: so the time grows.
const MIN_RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time between two overlapping calls while none has a response. A call made while discovery was down may
/// never have one, and changes count as delivered (see [`discovery`](crate::discovery)) once discovery is
/// back: the next call must follow soon.
const OVERLAPPING_CALL_INTERVAL: Duration = Duration::from_millis(200);
/// How long an overlapping call may take to the head of its response. With [`OVERLAPPING_CALL_INTERVAL`] it
/// bounds the descriptors in use: about ten calls are open at once.
const OVERLAPPING_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Whether another call is made while one has no response yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallStrategy {
    /// Each call ends before the next: calls are work for discovery.
    Sequential,
    /// Calls are repeated until one has a response: calls cost nothing, while changes count as delivered
    /// meanwhile.
    Overlapping,
}

/// The response of discovery to a call, its body still to be read.
pub(super) struct DiscoveryResponse {
    /// The connection of the body. Dropping it ends the body.
    pub(super) connection: Connection,
    /// The body.
    pub(super) body: Incoming,
}

/// Makes calls to discovery.
pub(super) struct DiscoveryCaller {
    address: Cell<SocketAddr>,
    strategy: CallStrategy,
    /// How long a sequential call may take.
    response_head_timeout: Cell<Backoff>,
    log: Rc<RateLimitedLog>,
    metrics: Rc<Metrics>,
}

impl DiscoveryCaller {
    /// Calls to discovery at an address.
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

    /// Makes later calls at this address. Returns whether it is a new one.
    pub(super) fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Requests `target` and waits for the head of a response with status 200.
    pub(super) async fn call(&self, target: &str) -> Result<DiscoveryResponse, DiscoveryError> {
        match self.strategy {
            CallStrategy::Sequential => self.call_once(target).await,
            CallStrategy::Overlapping => self.call_overlapping(target).await,
        }
    }

    /// Makes one call. If it times out, the next one is given more time.
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

    /// Makes a call at each [`OVERLAPPING_CALL_INTERVAL`] until one has a response, which is returned, or
    /// until a call fails while no other is open; a call that times out is dropped and the next one follows.
    /// Nothing tells whether a response is late or will never come.
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
                                tracing::warn!(skipped, %error, "overlapping discovery call failed");
                            });
                        }
                        Err(_) => {
                            self.metrics.discovery_calls_failed.inc();
                            self.log.warn(|skipped| {
                                tracing::warn!(skipped, "overlapping discovery call given up");
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
