//! Builds the HTTP responses that are sent to clients.

use crate::downstream::request_error::RequestError;
use crate::driver::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response to a client, with its complete body.
pub type ClientResponse = Response<Full<Bytes>>;

/// Returns a response whose body is `text`.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns the response to a request that was rejected before it reached the balancer.
pub fn render_error(error: RequestError) -> ClientResponse {
    plain_text(error.status(), error.to_string())
}

/// Returns the response to a request that was submitted to the driver.
pub fn render_response(response: FinalResponse) -> ClientResponse {
    match response {
        FinalResponse::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            *response.headers_mut() = served.headers;
            response
        }
        FinalResponse::Rejected { retry_after, .. } => render_rejection(retry_after),
        FinalResponse::Failed => plain_text(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Returns the response to a request that the client can safely send again. `Retry-After` is in seconds with
/// three decimals.
fn render_rejection(retry_after: Option<Duration>) -> ClientResponse {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = retry_after.and_then(|delay| format!("{:.3}", delay.as_secs_f64()).parse().ok());
    if let Some(seconds) = seconds {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
