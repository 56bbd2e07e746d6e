//! Health checks: a request of the balancer's own, which also fetches the load report if upstreams give one.

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

/// How long a health check may take, the connection included.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The path of a health check where upstreams report their load.
const LOAD_REPORT_PATH: &str = "/stats";
/// The path of a health check where they do not.
const LIVENESS_PATH: &str = "/health/live";
/// The value of the `Host` header of a health check.
const HEALTH_CHECK_HOST: &str = "upstream";

impl Upstreams {
    /// Checks the health of an upstream, and reads the load report from the body if the headers hold none.
    pub async fn check_health(&self, id: UpstreamId) -> AttemptResult {
        let request = self.health_check_request();
        // The senders live until the end of this function: the result is always wanted.
        let (_abandonment_guard, abandonment) = watch::channel(());
        let (_abort_guard, abort) = watch::channel(false);
        let mut interruption = Interruption::new(abandonment, abort);
        let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let mut result = self.attempt(id, &request, deadline, &mut interruption).await;
        if let Some(response) = &result.response
            && self.load_reports.is_enabled()
            && result.load_report.is_empty()
        {
            result.load_report = self.load_reports.read(&response.body);
        }
        result
    }

    fn health_check_request(&self) -> OutgoingRequest {
        let path = if self.load_reports.is_enabled() { LOAD_REPORT_PATH } else { LIVENESS_PATH };
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(HEALTH_CHECK_HOST));
        OutgoingRequest { method: Method::GET, target: Uri::from_static(path), headers, body: Bytes::new() }
    }
}
