//! Validates clients' requests and converts them to requests for the driver.

use crate::compact_head;
use crate::downstream::client::Client;
use crate::downstream::correlation_ids::{CorrelationIds, ReservedId};
use crate::downstream::request_body::{MAX_REQUEST_BODY_BYTES, ReceivedBody, copy_body, discard};
use crate::downstream::request_error::RequestError;
use crate::driver::IncomingRequest;
use crate::head_length::head_length;
use crate::headers::{self, CLIENT_RETRY, CORRELATION_ID, EXPECTED_WORK, IDEMPOTENCY_KEY, TENANT, TIME_LEFT};
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::upstream::OutgoingRequest;
use balancer_core::{ClassId, RetrySafety, TenantId};
use balancer_settings::Site;
use http_body_util::Limited;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

#[cfg(test)]
mod tests;

/// Maximum length of a request head, which consists of the request line, the headers and the empty line after
/// them.
pub const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// Subtracted from the time that a client has left. Covers the transfer of the request and of the response,
/// and the resolution of the timers.
const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(4);
/// Maximum memory of a request head that needs no reservation. Common heads take less.
const UNRESERVED_HEAD_BYTES: usize = 8 * 1024;
const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;

/// Returns whether requests of a class with this deadline can be served at all. They can if the deadline is
/// longer than the allowance for their transfer.
pub fn can_be_served(deadline: Duration) -> bool {
    deadline > TRANSFER_ALLOWANCE
}

/// The properties of a request class that the validation depends on.
struct Class {
    id: ClassId,
    retry_safety: RetrySafety,
    deadline: Duration,
}

impl Class {
    /// Returns the only method that the class accepts.
    fn method(&self) -> Method {
        match self.retry_safety {
            RetrySafety::Idempotent => Method::GET,
            RetrySafety::Deduplicated { .. } | RetrySafety::AtMostOnce => Method::POST,
        }
    }

    fn requires_idempotency_key(&self) -> bool {
        matches!(self.retry_safety, RetrySafety::Deduplicated { .. })
    }
}

/// A validated request head.
#[derive(Debug)]
pub struct RequestHead {
    class: ClassId,
    tenant: TenantId,
    time_left: Duration,
    expected_work_ms: Option<f64>,
    is_client_retry: bool,
    correlation_id: HeaderValue,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    /// An estimate of the memory that the head occupies, in bytes.
    memory_bytes: usize,
}

impl RequestHead {
    /// Returns the request for the driver. Has to be called as soon as the body is complete, because the time
    /// that the client has left counts from this call.
    fn into_incoming(self, body: ReceivedBody) -> IncomingRequest {
        let mut headers = self.headers;
        headers::strip_hop_by_hop(&mut headers);
        // The time left counts from the last byte of the request, so a slow upload does not shorten it. The
        // last byte may have arrived while the proxy waited for memory.
        let time_left = self.time_left.saturating_sub(TRANSFER_ALLOWANCE + body.waited_for_memory);
        IncomingRequest {
            class: self.class,
            tenant: self.tenant,
            deadline: Instant::now() + time_left,
            expected_work_ms: self.expected_work_ms,
            is_client_retry: self.is_client_retry,
            outgoing: OutgoingRequest {
                method: self.method,
                target: self.target,
                headers,
                body: body.content,
            },
        }
    }
}

/// A validated request with its complete body.
pub struct ValidRequest {
    /// The request for the driver.
    pub incoming: IncomingRequest,
    /// The reservation of the request's correlation id. Has to be released at the final response.
    pub correlation_id: ReservedId,
    /// The memory reserved for the head. Has to be kept until the final response.
    pub head_memory: Option<Reservation>,
}

/// Validates requests against the classes and tenants of the settings.
pub struct RequestValidator {
    classes: FxHashMap<String, Class>,
    tenants: FxHashMap<String, TenantId>,
    correlation_ids: CorrelationIds,
    memory: MemoryBudget,
}

impl RequestValidator {
    /// Returns a validator for the classes and tenants of `site`, which reserves the memory of requests in
    /// `memory`.
    pub fn new(site: &Site, memory: MemoryBudget) -> Self {
        let classes = site.names.classes.iter().cloned().zip(&site.settings.classes).enumerate();
        let classes = classes.map(|(index, (name, class))| {
            let id = ClassId(index as u16);
            (name, Class { id, retry_safety: class.retry_safety, deadline: class.deadline })
        });
        let tenants = site.names.tenants.iter().cloned().enumerate();
        let tenants = tenants.map(|(index, name)| (name, TenantId(index as u32)));
        Self {
            classes: classes.collect(),
            tenants: tenants.collect(),
            correlation_ids: CorrelationIds::default(),
            memory,
        }
    }

    /// Validates a request head. Does not detect [`RequestError::ConflictingLengths`], because hyper removes
    /// `Content-Length` from such a head; `ClientSocket::has_conflicting_lengths` does.
    pub fn validate_head(&self, parts: Parts) -> Result<RequestHead, RequestError> {
        let headers = &parts.headers;
        let target_length = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
        let length = head_length(&parts.method, target_length, headers);
        if length > MAX_REQUEST_HEAD_BYTES {
            return Err(RequestError::HeadTooLong);
        }
        if headers.get_all(HOST).iter().count() != 1 {
            return Err(RequestError::MissingOrRepeatedHost);
        }
        let class = self.class(parts.uri.path())?;
        if parts.method != class.method() {
            return Err(RequestError::MethodNotAllowed);
        }
        // The values that are kept must not keep the read buffer of the connection.
        let headers = compact_head::copy_headers(headers);
        let correlation_id = correlation_id(&headers)?;
        let idempotency_key = single_value(&headers, &IDEMPOTENCY_KEY)?;
        if class.requires_idempotency_key() && idempotency_key.is_none() {
            return Err(RequestError::MissingIdempotencyKey);
        }
        Ok(RequestHead {
            class: class.id,
            tenant: self.tenant(&headers)?,
            // A client never waits longer than the deadline of the class, even with its own retries included.
            time_left: time_left(&headers)?.min(class.deadline),
            expected_work_ms: expected_work_ms(&headers)?,
            is_client_retry: headers.get(CLIENT_RETRY).is_some_and(|value| value.as_bytes() == b"1"),
            correlation_id,
            target: compact_head::copy_target(&parts.uri),
            memory_bytes: compact_head::estimated_bytes(length, &headers),
            headers,
            method: parts.method,
        })
    }

    /// Reads the body, which has to be complete by `read_deadline`, validates it and reserves the request's
    /// correlation id. If the budget for requests cannot hold the request, reads it to its end nevertheless, so
    /// that the client can read the response.
    pub async fn read_and_validate_body(
        &self,
        head: RequestHead,
        body: Incoming,
        read_deadline: Instant,
        client: &Client,
    ) -> Result<ValidRequest, RequestError> {
        let stated_length = body.size_hint().lower();
        if stated_length > MAX_REQUEST_BODY_BYTES as u64 {
            return Err(RequestError::BodyTooLong);
        }
        let mut body = Limited::new(body, MAX_REQUEST_BODY_BYTES);
        let reading = async {
            let result = self.read_within_budget(&head, &mut body, client).await;
            if matches!(result, Err(RequestError::OutOfMemory)) {
                discard(&mut body).await?;
            }
            result
        };
        let read = timeout_at(read_deadline, reading).await;
        let (body, head_memory) = read.unwrap_or(Err(RequestError::BodyTimeout))?;
        if head.method == Method::GET && !body.content.is_empty() {
            return Err(RequestError::UnexpectedBody);
        }
        let correlation_id =
            self.correlation_ids.reserve(&head.correlation_id).ok_or(RequestError::DuplicateCorrelationId)?;
        Ok(ValidRequest { incoming: head.into_incoming(body), correlation_id, head_memory })
    }

    /// Reserves the memory of a head, and reads the body into reserved memory.
    async fn read_within_budget(
        &self,
        head: &RequestHead,
        body: &mut Limited<Incoming>,
        client: &Client,
    ) -> Result<(ReceivedBody, Option<Reservation>), RequestError> {
        let started_at = Instant::now();
        let head_memory = match head.memory_bytes.checked_sub(UNRESERVED_HEAD_BYTES) {
            Some(bytes) => Some(client.wait_for_memory(self.memory.reserve(bytes)).await?),
            None => None,
        };
        let waited_for_head = started_at.elapsed();
        let mut body = copy_body(body, &self.memory, client).await?;
        body.waited_for_memory += waited_for_head;
        Ok((body, head_memory))
    }

    /// Returns the class whose name is the first segment of `path`.
    fn class(&self, path: &str) -> Result<&Class, RequestError> {
        let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        self.classes.get(name).ok_or(RequestError::UnknownClass)
    }

    /// Returns the tenant that `X-Account` names. If the settings list no tenants, all requests belong to
    /// `TenantId(0)`.
    fn tenant(&self, headers: &HeaderMap) -> Result<TenantId, RequestError> {
        let name = single_value(headers, &TENANT)?.and_then(|name| name.to_str().ok());
        match name.and_then(|name| self.tenants.get(name)) {
            Some(tenant) => Ok(*tenant),
            None if self.tenants.is_empty() => Ok(TenantId(0)),
            None => Err(RequestError::UnknownTenant),
        }
    }
}

/// Returns the value of `X-Correlation-Id`.
fn correlation_id(headers: &HeaderMap) -> Result<HeaderValue, RequestError> {
    let id = single_value(headers, &CORRELATION_ID)?;
    let id = id.filter(|id| id.to_str().is_ok_and(|text| !text.is_empty()));
    id.cloned().ok_or(RequestError::InvalidCorrelationId)
}

/// Returns how long the client will still wait for the response, from `X-Time-Left-Ms`.
fn time_left(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let text = single_value(headers, &TIME_LEFT)?.and_then(|value| value.to_str().ok());
    // Only digits are allowed, but `parse` would accept a leading plus sign.
    let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let milliseconds = digits.and_then(|digits| digits.parse().ok());
    milliseconds.map(Duration::from_millis).ok_or(RequestError::InvalidTimeLeft)
}

/// Returns the client's estimate of the request's work from `X-Weight-Hint`, which is in microseconds. `None`
/// if the client sent none.
fn expected_work_ms(headers: &HeaderMap) -> Result<Option<f64>, RequestError> {
    let Some(value) = single_value(headers, &EXPECTED_WORK)? else { return Ok(None) };
    match value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok()) {
        Some(microseconds) if microseconds.is_finite() && microseconds >= 0.0 => {
            Ok(Some(microseconds / MICROSECONDS_PER_MILLISECOND))
        }
        _ => Err(RequestError::InvalidExpectedWork),
    }
}

/// Returns the value of a header, or `None` if it is absent. Fails if it is repeated.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(first)
}
