//! Renders the responses that clients get.

use crate::downstream::request::RequestError;
use crate::driver::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response with its complete body.
pub type ClientResponse = Response<Full<Bytes>>;

/// A response with a short text as its body.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// The response to a request that is rejected before it reaches the balancer.
pub fn render_error(error: RequestError) -> ClientResponse {
    plain_text(error.status(), error.to_string())
}

/// The response to a request that the balancer has decided on.
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

fn render_rejection(retry_after: Option<Duration>) -> ClientResponse {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = retry_after.and_then(|delay| format!("{:.3}", delay.as_secs_f64()).parse().ok());
    if let Some(seconds) = seconds {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
