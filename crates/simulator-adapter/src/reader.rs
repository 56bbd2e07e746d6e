//! Reader for the fields of a frame. Numbers are big-endian, and there is no padding.

use crate::error::{WireError, WireProblem};
use balancer_core::UpstreamId;
use balancer_settings::duration_from_ms;
use std::time::Duration;

/// A reader at a position in a frame. Each reading method advances past one field, and fails if the frame
/// ends within it. The argument `field` is the name of the field in the error message.
pub struct FieldReader<'a> {
    frame: &'a [u8],
    offset: usize,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the first byte of a frame.
    pub fn new(frame: &'a [u8]) -> Self {
        Self { frame, offset: 0 }
    }

    /// Returns the offset of the next field in the frame, in bytes.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns whether the whole frame has been read.
    pub fn is_at_end(&self) -> bool {
        self.remaining() == 0
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let remaining = self.remaining();
        if count > remaining {
            let problem = WireProblem::TruncatedField { field, needed: count, remaining };
            return Err(problem.at(self.offset));
        }
        let bytes = &self.frame[self.offset..self.offset + count];
        self.offset += count;
        Ok(bytes)
    }

    /// Reads a `u8`.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array(field)?))
    }

    /// Reads a big-endian `u16`.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    /// Reads a big-endian `u32`.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    /// Reads a big-endian `u64`.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    /// Reads a big-endian `f32`.
    pub fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(field)?))
    }

    /// Reads a big-endian `f64`.
    pub fn f64(&mut self, field: &'static str) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array(field)?))
    }

    /// Reads a duration, an `f64` in milliseconds.
    pub fn duration(&mut self, field: &'static str) -> Result<Duration, WireError> {
        Ok(duration_from_ms(self.f64(field)?))
    }

    /// Reads the id of an upstream, which consists of its IPv4 address and its port.
    pub fn upstream_id(&mut self) -> Result<UpstreamId, WireError> {
        let [a, b, c, d, port_high, port_low] = self.array("upstream")?;
        Ok(UpstreamId(u64::from_be_bytes([0, 0, a, b, c, d, port_high, port_low])))
    }

    /// Reads the number of items, of `item_bytes` each, that follow. Fails if the rest of the frame is too
    /// short for them, so that no memory is allocated for more items than the frame contains.
    pub fn count(&mut self, item_bytes: usize, field: &'static str) -> Result<usize, WireError> {
        let offset = self.offset;
        let count = self.u32(field)? as usize;
        let remaining = self.remaining();
        match count.checked_mul(item_bytes) {
            Some(needed) if needed <= remaining => Ok(count),
            _ => Err(WireProblem::CountTooLarge { field, count, remaining }.at(offset)),
        }
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let bytes = self.bytes(N, field)?;
        Ok(std::array::from_fn(|i| bytes[i]))
    }

    fn remaining(&self) -> usize {
        self.frame.len() - self.offset
    }
}
