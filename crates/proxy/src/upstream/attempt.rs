//! Sends a request to one upstream and turns the result into an [`Outcome`].
//!
//! An outcome states that the upstream did not execute the request only if this is certain. It is certain if
//! no connection was established, if the kernel had not accepted the last byte of the request when the
//! attempt ended, or if the response says so.

use crate::compact_head;
use crate::headers::{self, NOT_EXECUTED};
use crate::upstream::connection::Connection;
use crate::upstream::exchange::{ExchangeError, exchange};
use crate::upstream::interruption::{Interruption, InterruptionCause};
use crate::upstream::request::{OutgoingRequest, RequestProgress};
use crate::upstream::set::{Upstream, Upstreams};
use balancer_core::{Outcome, UpstreamId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, timeout_at};

#[cfg(test)]
mod tests;

/// A response with status 200 from an upstream.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The headers of the response without the hop-by-hop headers and the load report.
    pub headers: HeaderMap,
    /// The complete body. It counts against the budget for responses until it is dropped.
    pub body: Bytes,
}

/// The result of an attempt or a health check.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the balancer.
    pub outcome: Outcome,
    /// The response. Present only if the outcome is [`Outcome::Ok`].
    pub response: Option<UpstreamResponse>,
    /// The values of the load report, in the order in which the settings list its fields. Empty if the
    /// response had no readable report.
    pub load_report: Vec<f32>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, load_report: Vec::new() }
    }
}

/// How the HTTP exchange of an attempt ended.
enum ExchangeEnd {
    Completed(Response<Bytes>),
    Failed(ExchangeError),
    /// The deadline passed, or the attempt was aborted after the whole request had been written.
    TimedOut,
    /// The attempt was abandoned or aborted before the whole request was written.
    InterruptedBeforeWritten,
}

impl Upstreams {
    /// Sends a request to an upstream and waits for the response until `deadline`. `interruption` can abandon
    /// or abort the attempt earlier.
    ///
    /// The attempt ends with [`Outcome::NotSent`] if the upstream is unknown or no longer takes requests, or
    /// if the attempt is interrupted or the deadline passes before the whole request is written. Once the
    /// whole request is written, the attempt ends with [`Outcome::TimedOut`] at the deadline or when it is
    /// aborted, and still waits for the response when it is abandoned.
    pub async fn attempt(
        &self,
        id: UpstreamId,
        request: &OutgoingRequest,
        deadline: Instant,
        interruption: &mut Interruption,
    ) -> AttemptResult {
        let Some(upstream) = self.get(id) else { return Outcome::NotSent.into() };
        loop {
            let result = self.attempt_on_one_connection(id, &upstream, request, deadline, interruption).await;
            if let Some(result) = result {
                return result;
            }
        }
    }

    /// Makes an attempt on a single connection. Returns `None` if the connection was a reused one that failed
    /// before any byte of the request was written, in which case the caller may try another connection.
    async fn attempt_on_one_connection(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        request: &OutgoingRequest,
        deadline: Instant,
        interruption: &mut Interruption,
    ) -> Option<AttemptResult> {
        let checked_out = tokio::select! {
            biased;
            _ = interruption.occurred() => Err(Outcome::NotSent),
            checked_out = self.check_out(id, upstream, deadline) => checked_out,
        };
        let mut checked_out = match checked_out {
            Ok(checked_out) => checked_out,
            Err(outcome) => return Some(outcome.into()),
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        // The upstream may have begun to drain while the attempt waited for the connection.
        let ready = upstream.ready.get();
        if !ready {
            self.record_withheld_attempt(id);
        }
        if !ready || time_left.is_zero() {
            self.check_in(id, upstream, checked_out);
            return Some(Outcome::NotSent.into());
        }
        let request = request.to_http(time_left);
        let has_small_request_head = compact_head::is_small(request.headers());
        let progress = RequestProgress::new(&checked_out.connection, &request);
        let connection = &mut checked_out.connection;
        match self.exchange_unless_interrupted(connection, request, &progress, deadline, interruption).await {
            ExchangeEnd::Completed(response) => {
                // If the response arrived before the whole request was written, the connection cannot be
                // reused: the rest of this request would be written ahead of the next one. The buffers of a
                // connection that has carried a large head are freed with the connection.
                if progress.is_complete()
                    && has_small_request_head
                    && compact_head::is_small(response.headers())
                {
                    self.check_in(id, upstream, checked_out);
                }
                Some(self.result_of_response(response))
            }
            ExchangeEnd::Failed(_) if checked_out.reused && progress.bytes_written() == 0 => None,
            ExchangeEnd::Failed(error) => {
                log_exchange_failure(id, &progress, &error);
                Some(error.outcome(progress.is_complete()).into())
            }
            ExchangeEnd::TimedOut if progress.is_complete() => Some(Outcome::TimedOut.into()),
            ExchangeEnd::TimedOut | ExchangeEnd::InterruptedBeforeWritten => Some(Outcome::NotSent.into()),
        }
    }

    /// Logs and counts an attempt that is not sent because its upstream no longer takes requests.
    fn record_withheld_attempt(&self, id: UpstreamId) {
        tracing::debug!(upstream = id.0, "attempt withheld: upstream is draining or removed");
        self.metrics.withheld_attempts.inc();
    }

    /// Sends a request and waits for the response. Stops waiting at `deadline`, when the attempt is aborted,
    /// or when it is abandoned before the whole request is written.
    async fn exchange_unless_interrupted(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        progress: &RequestProgress,
        deadline: Instant,
        interruption: &mut Interruption,
    ) -> ExchangeEnd {
        let exchange = timeout_at(deadline, exchange(connection, request, &self.response_memory));
        tokio::pin!(exchange);
        let result = tokio::select! {
            biased;
            result = exchange.as_mut() => result,
            cause = interruption.occurred() => {
                if !progress.is_complete() {
                    return ExchangeEnd::InterruptedBeforeWritten;
                }
                if cause == InterruptionCause::Aborted {
                    return ExchangeEnd::TimedOut;
                }
                tokio::select! {
                    result = exchange => result,
                    () = interruption.aborted() => return ExchangeEnd::TimedOut,
                }
            }
        };
        match result {
            Ok(Ok(response)) => ExchangeEnd::Completed(response),
            Ok(Err(error)) => ExchangeEnd::Failed(error),
            Err(_) => ExchangeEnd::TimedOut,
        }
    }

    /// Returns the result of an attempt that received a complete response.
    fn result_of_response(&self, http_response: Response<Bytes>) -> AttemptResult {
        let (head, body) = http_response.into_parts();
        let mut headers = head.headers;
        let load_report = self.load_report_reader.take_from_headers(&mut headers);
        let outcome = outcome_of_response(head.status, &headers);
        headers::strip_hop_by_hop(&mut headers);
        // The values must not keep the read buffer of the connection.
        let headers = compact_head::copy_headers(&headers);
        let response = (outcome == Outcome::Ok).then_some(UpstreamResponse { headers, body });
        AttemptResult { outcome, response, load_report }
    }
}

fn outcome_of_response(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_executed = headers.get(NOT_EXECUTED).is_some_and(|value| value.as_bytes() == b"1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

fn log_exchange_failure(id: UpstreamId, progress: &RequestProgress, error: &ExchangeError) {
    let bytes_written = progress.bytes_written();
    let request_length = progress.request_length();
    tracing::debug!(upstream = id.0, bytes_written, request_length, %error, "exchange with upstream failed");
}
