//! Reads the bodies of clients' requests into memory that is reserved in a budget.

use crate::downstream::client::Client;
use crate::downstream::request_error::RequestError;
use crate::memory_budget::MemoryBudget;
use crate::reserved_buffer::{ExpectedLength, ReservedBuffer};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Duration;

/// Maximum length of a request body.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;

/// A complete request body.
pub struct ReceivedBody {
    /// The body, whose memory stays reserved until it is dropped.
    pub content: Bytes,
    /// How long reading the request was interrupted because the budget for requests was exhausted.
    pub waited_for_memory: Duration,
}

/// Copies a body into one buffer. The pieces of the body are not kept: each of them, however short, keeps the
/// whole read buffer that it arrived in.
pub async fn copy_body(
    body: &mut Limited<Incoming>,
    memory: &MemoryBudget,
    client: &Client,
) -> Result<ReceivedBody, RequestError> {
    let expected = ExpectedLength::of_body(body, MAX_REQUEST_BODY_BYTES);
    let mut received = ReservedBuffer::new(memory, expected);
    while let Some(data) = next_data(body).await? {
        client.wait_for_memory(received.extend_from_slice(&data)).await?;
    }
    let waited_for_memory = received.waited();
    Ok(ReceivedBody { content: received.freeze(), waited_for_memory })
}

/// Reads a body to its end without keeping it.
pub async fn discard(body: &mut Limited<Incoming>) -> Result<(), RequestError> {
    while next_data(body).await?.is_some() {}
    Ok(())
}

/// Returns the next piece of a body, or `None` at its end.
async fn next_data(body: &mut Limited<Incoming>) -> Result<Option<Bytes>, RequestError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => RequestError::BodyTooLong,
            false => RequestError::IncompleteBody,
        })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
