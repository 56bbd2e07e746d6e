//! Health checks: requests that the proxy itself sends to an upstream. They also fetch the load report if
//! upstreams provide one.

use crate::upstream::attempt::AttemptResult;
use crate::upstream::interruption::Interruption;
use crate::upstream::request::OutgoingRequest;
use crate::upstream::set::Upstreams;
use balancer_core::UpstreamId;
use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time limit of a health check, including the time to get a connection.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of a health check if upstreams report their load.
const LOAD_REPORT_PATH: &str = "/stats";
/// Path of a health check if upstreams do not report their load.
const LIVENESS_PATH: &str = "/health/live";
/// Value of the `Host` header of a health check.
const HEALTH_CHECK_HOST: &str = "upstream";

impl Upstreams {
    /// Checks the health of an upstream. If upstreams report their load and the headers of the response yield
    /// no values, reads the load report from the body.
    pub async fn check_health(&self, id: UpstreamId) -> AttemptResult {
        let request = self.health_check_request();
        // Both senders live until the end of this function, so a health check is never interrupted.
        let (_abandonment_guard, abandonment) = watch::channel(());
        let (_abort_guard, abort) = watch::channel(false);
        let mut interruption = Interruption::new(abandonment, abort);
        let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let mut result = self.attempt(id, &request, deadline, &mut interruption).await;
        if let Some(response) = &result.response
            && self.load_report_reader.is_enabled()
            && result.load_report.is_empty()
        {
            result.load_report = self.load_report_reader.read(&response.body);
        }
        result
    }

    fn health_check_request(&self) -> OutgoingRequest {
        let path = if self.load_report_reader.is_enabled() { LOAD_REPORT_PATH } else { LIVENESS_PATH };
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(HEALTH_CHECK_HOST));
        OutgoingRequest { method: Method::GET, target: Uri::from_static(path), headers, body: Bytes::new() }
    }
}
