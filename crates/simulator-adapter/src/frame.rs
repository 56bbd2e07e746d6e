//! Framing of the wire format. A frame is a length field of four bytes, followed by as many bytes as the
//! field states.

use crate::error::{AdapterError, WireProblem};
use std::io::Read;

/// Size of the length field. The length that it states does not include the field itself.
pub const LENGTH_BYTES: usize = 4;
/// Size of the clock at the start of every batch, and therefore the minimum of the length field.
const CLOCK_BYTES: usize = 8;
/// Maximum of the length field. Longer frames are rejected as malformed.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// A reader that splits its input into frames. All frames share one buffer.
pub struct FrameReader<R> {
    input: R,
    frame: Vec<u8>,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader at the start of a frame.
    pub fn new(input: R) -> Self {
        Self { input, frame: Vec::new() }
    }

    /// Reads the next frame and returns it, including its length field. Returns `None` if the input ends
    /// between two frames.
    ///
    /// Returns an error if the input ends within a frame, or if the length field is out of range.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, AdapterError> {
        self.frame.clear();
        self.read_bytes(LENGTH_BYTES)?;
        if self.frame.is_empty() {
            return Ok(None);
        }
        let length = self.parse_length()?;
        self.read_bytes(length)?;
        self.require_bytes(LENGTH_BYTES + length)?;
        Ok(Some(&self.frame))
    }

    /// Appends up to `count` bytes of the input to the frame; fewer if the input ends.
    fn read_bytes(&mut self, count: usize) -> Result<(), AdapterError> {
        self.input.by_ref().take(count as u64).read_to_end(&mut self.frame)?;
        Ok(())
    }

    /// Returns the value of the length field, or an error if it is out of range.
    fn parse_length(&self) -> Result<usize, AdapterError> {
        self.require_bytes(LENGTH_BYTES)?;
        let field: [u8; LENGTH_BYTES] = std::array::from_fn(|i| self.frame[i]);
        let length = u32::from_be_bytes(field) as usize;
        if (CLOCK_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            Ok(length)
        } else {
            Err(WireProblem::LengthOutOfRange(length).at(0).into())
        }
    }

    /// Returns an error if the frame has fewer than `expected` bytes.
    fn require_bytes(&self, expected: usize) -> Result<(), AdapterError> {
        let received = self.frame.len();
        if received < expected {
            return Err(AdapterError::TruncatedFrame { received, expected });
        }
        Ok(())
    }
}
