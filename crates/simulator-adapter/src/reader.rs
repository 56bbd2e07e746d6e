//! Reads the primitive fields of a frame: big-endian and unpadded.

use crate::error::{WireError, WireProblem};
use balancer_core::UpstreamId;
use balancer_settings::duration_from_ms;
use std::time::Duration;

/// A position in a frame. Each method reads one field and fails if the frame ends within it.
pub struct FieldReader<'a> {
    frame: &'a [u8],
    offset: usize,
}

impl<'a> FieldReader<'a> {
    /// Starts at the first byte of a frame.
    pub fn new(frame: &'a [u8]) -> Self {
        Self { frame, offset: 0 }
    }

    /// The offset of the next field.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Whether the whole frame has been read.
    pub fn is_at_end(&self) -> bool {
        self.left() == 0
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let left = self.left();
        if count > left {
            let problem = WireProblem::TruncatedField { field, needed: count, left };
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

    /// Reads a `u16`.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    /// Reads a `u32`.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    /// Reads a `u64`.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    /// Reads an `f32`.
    pub fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(field)?))
    }

    /// Reads an `f64`.
    pub fn f64(&mut self, field: &'static str) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array(field)?))
    }

    /// Reads a time in milliseconds.
    pub fn duration(&mut self, field: &'static str) -> Result<Duration, WireError> {
        Ok(duration_from_ms(self.f64(field)?))
    }

    /// Reads the address and the port of an upstream, which together are its id.
    pub fn upstream(&mut self) -> Result<UpstreamId, WireError> {
        let [a, b, c, d, port_high, port_low] = self.array("upstream")?;
        Ok(UpstreamId(u64::from_be_bytes([0, 0, a, b, c, d, port_high, port_low])))
    }

    /// Reads a count of items of `item_bytes` each. Fails if the frame cannot hold them, before any memory is
    /// allocated for them.
    pub fn count(&mut self, item_bytes: usize, field: &'static str) -> Result<usize, WireError> {
        let offset = self.offset;
        let count = self.u32(field)? as usize;
        let left = self.left();
        match count.checked_mul(item_bytes) {
            Some(needed) if needed <= left => Ok(count),
            _ => Err(WireProblem::CountTooLarge { field, count, left }.at(offset)),
        }
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let bytes = self.bytes(N, field)?;
        Ok(std::array::from_fn(|i| bytes[i]))
    }

    fn left(&self) -> usize {
        self.frame.len() - self.offset
    }
}
