//! Calls to discovery, from the connection up to the head of the response.

use crate::discovery::error::DiscoveryError;
use crate::metrics::Metrics;
use crate::upstream::connection::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

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
    metrics: Rc<Metrics>,
}

impl DiscoveryCaller {
    /// Creates a caller of discovery at `address`.
    pub(super) fn new(address: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self { address: Cell::new(address), metrics }
    }

    /// Directs later calls to `address`. Returns whether it differs from the previous one.
    pub(super) fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Requests `target` and returns once the head of a response with status 200 has arrived. There is no
    /// time limit.
    pub(super) async fn call(&self, target: &str) -> Result<DiscoveryResponse, DiscoveryError> {
        let started_at = Instant::now();
        let address = self.address.get();
        self.metrics.discovery_calls.inc();
        tracing::info!(%address, target, "call to discovery");
        let mut connection = Connection::open(address, ()).await.map_err(DiscoveryError::Connect)?;
        let request = Request::get(target).header(HOST, address.to_string());
        let response = connection.send(request.body(Full::<Bytes>::default())?).await?;
        tracing::info!(%address, status = %response.status(), waited = ?started_at.elapsed(), "discovery responded");
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        Ok(DiscoveryResponse { connection, body: response.into_body() })
    }
}
