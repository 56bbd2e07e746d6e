//! Splits a stream of bytes into the JSON objects that follow each other in it.
//!
//! Objects may be indented, so that the end of a line is not the end of an object, and they come in pieces
//! that end anywhere, within a number too. An incremental parser follows them: each byte is looked at once,
//! and what can't become an object is told from what is not whole yet.

use actson::feeder::PushJsonFeeder;
use actson::parser::ParserError;
use actson::{JsonEvent, JsonParser};
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Why a stream cannot be split.
#[derive(Debug, Error)]
pub enum SplitError {
    /// Something other than an object or white space.
    #[error("byte {0:#04x} outside of any object")]
    OutsideOfObject(u8),
    /// Not JSON.
    #[error("at byte {at}: {error}")]
    Json {
        /// How much of the object was parsed.
        at: usize,
        /// What is wrong with it.
        error: ParserError,
    },
    /// An object of more bytes than allowed.
    #[error("an object of more than {0} bytes")]
    TooLong(usize),
}

/// What comes next in a stream.
#[derive(Debug, PartialEq)]
pub enum Part {
    /// A whole object.
    Object(Bytes),
    /// The end of a line outside of any object.
    LineEnd,
}

/// An object that is not whole.
struct OpenObject {
    parser: JsonParser<PushJsonFeeder>,
    /// How much of what is pending the parser has been given.
    fed: usize,
    /// Brackets open.
    depth: usize,
}

/// The state of the split.
pub struct JsonStream {
    /// What has not been given out; with an open object it begins with that.
    pending: BytesMut,
    open: Option<OpenObject>,
    longest: usize,
}

impl JsonStream {
    /// For objects of at most `longest` bytes.
    pub fn new(longest: usize) -> Self {
        Self { pending: BytesMut::new(), open: None, longest }
    }

    /// Takes in the next piece.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// Whether an object has begun that is not whole.
    pub fn is_within_object(&self) -> bool {
        self.open.is_some()
    }

    /// The next part that is whole; `None` if the next piece is needed.
    pub fn next_part(&mut self) -> Result<Option<Part>, SplitError> {
        while self.open.is_none() {
            let Some(&first) = self.pending.first() else { return Ok(None) };
            match first {
                b'{' => self.open = Some(OpenObject::new()),
                b'\n' => {
                    self.pending.advance(1);
                    return Ok(Some(Part::LineEnd));
                }
                b' ' | b'\t' | b'\r' => self.pending.advance(1),
                other => return Err(SplitError::OutsideOfObject(other)),
            }
        }
        let Some(open) = &mut self.open else { return Ok(None) };
        let Some(length) = open.parse(&self.pending)? else {
            let too_long = self.pending.len() > self.longest;
            return if too_long { Err(SplitError::TooLong(self.longest)) } else { Ok(None) };
        };
        self.open = None;
        Ok(Some(Part::Object(self.pending.split_to(length).freeze())))
    }
}

impl OpenObject {
    fn new() -> Self {
        Self { parser: JsonParser::new(PushJsonFeeder::new()), fed: 0, depth: 0 }
    }

    /// Parses what has come since; the object's length once it is whole. `pending` begins with the object.
    fn parse(&mut self, pending: &[u8]) -> Result<Option<usize>, SplitError> {
        loop {
            let event = self.parser.next_event();
            let at = self.parser.parsed_bytes();
            match event.map_err(|error| SplitError::Json { at, error })? {
                Some(JsonEvent::NeedMoreInput) if self.fed == pending.len() => return Ok(None),
                Some(JsonEvent::NeedMoreInput) => {
                    self.fed += self.parser.feeder.push_bytes(&pending[self.fed..]);
                }
                Some(JsonEvent::StartObject | JsonEvent::StartArray) => self.depth += 1,
                Some(JsonEvent::EndObject | JsonEvent::EndArray) => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return Ok(Some(at));
                    }
                }
                Some(_) => {}
                None => return Err(SplitError::Json { at, error: ParserError::NoMoreInput }),
            }
        }
    }
}
