//! Frames: a length field of four bytes, then the number of bytes that it states.

use crate::error::{AdapterError, WireProblem};
use std::io::Read;

/// Size of the length field in bytes.
pub const LENGTH_BYTES: usize = 4;
/// Size of the clock, which every batch holds.
const CLOCK_BYTES: usize = 8;
/// Longer frames are rejected as malformed.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Reads the frames of an input into a buffer that it reuses.
pub struct FrameReader<R> {
    input: R,
    frame: Vec<u8>,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader.
    pub fn new(input: R) -> Self {
        Self { input, frame: Vec::new() }
    }

    /// Reads the next frame, its length field included; `None` at the end of the input between two frames.
    ///
    /// Fails if the input ends within a frame, or if the length field is out of range.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, AdapterError> {
        self.frame.clear();
        self.read(LENGTH_BYTES)?;
        if self.frame.is_empty() {
            return Ok(None);
        }
        let length = self.length()?;
        self.read(length)?;
        self.require(LENGTH_BYTES + length)?;
        Ok(Some(&self.frame))
    }

    /// Appends up to `count` bytes of the input to the frame.
    fn read(&mut self, count: usize) -> Result<(), AdapterError> {
        self.input.by_ref().take(count as u64).read_to_end(&mut self.frame)?;
        Ok(())
    }

    fn length(&self) -> Result<usize, AdapterError> {
        self.require(LENGTH_BYTES)?;
        let field: [u8; LENGTH_BYTES] = std::array::from_fn(|i| self.frame[i]);
        let length = u32::from_be_bytes(field) as usize;
        if (CLOCK_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            Ok(length)
        } else {
            Err(WireProblem::LengthOutOfRange(length).at(0).into())
        }
    }

    fn require(&self, expected: usize) -> Result<(), AdapterError> {
        let received = self.frame.len();
        if received < expected {
            return Err(AdapterError::TruncatedFrame { received, expected });
        }
        Ok(())
    }
}
