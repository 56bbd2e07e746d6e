//! Reads response bodies into memory that is reserved in a budget.

use crate::memory_budget::MemoryBudget;
use crate::reserved_buffer::{ExpectedLength, ReservedBuffer};
use crate::upstream::exchange::ExchangeError;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

#[cfg(test)]
mod tests;

/// Maximum length of a response body. Some upstreams send bodies of several hundred KiB.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;

/// Reads a response body to its end. Fails if the body is longer than [`MAX_RESPONSE_BODY_BYTES`], if the
/// budget cannot hold it, if the connection is lost, or if the framing of the body is malformed.
pub async fn read_body(body: Incoming, budget: &MemoryBudget) -> Result<Bytes, ExchangeError> {
    let stated_length = body.size_hint().lower();
    if stated_length > MAX_RESPONSE_BODY_BYTES as u64 {
        return Err(ExchangeError::BodyTooLong { length: stated_length });
    }
    let expected = ExpectedLength::of_body(&body, MAX_RESPONSE_BODY_BYTES);
    let mut body = Limited::new(body, MAX_RESPONSE_BODY_BYTES);
    let mut received = ReservedBuffer::new(budget, expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ExchangeError::from_body_error)?;
        let Ok(data) = frame.into_data() else { continue };
        received.extend_from_slice(&data).await?;
    }
    Ok(received.freeze())
}
