//! Splits a stream of bytes into the JSON objects that follow each other in it.
//!
//! The end of a line is not the end of an object, as objects may be indented, and chunks end anywhere, within
//! a number too. An incremental parser follows the bytes: it sees each of them once, and tells an object that
//! is incomplete from one that is malformed.

#[cfg(test)]
mod tests;

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
    /// Malformed JSON.
    #[error("at byte {offset}: {source}")]
    Json {
        /// How many bytes of the object were parsed.
        offset: usize,
        /// What is wrong.
        source: ParserError,
    },
    /// An object that is incomplete after more bytes than allowed.
    #[error("an object of more than {0} bytes")]
    TooLong(usize),
}

/// An item of a stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// A complete object.
    Object(Bytes),
    /// The end of a line outside of any object.
    LineEnd,
}

/// An object that is incomplete.
struct OpenObject {
    parser: JsonParser<PushJsonFeeder>,
    /// How many bytes of the buffer the parser has been given.
    fed: usize,
    /// How many objects and arrays are open.
    depth: usize,
}

/// Splits one stream.
pub struct JsonStream {
    /// What has not been returned as an item. Where an object is open, it begins with that object.
    buffer: BytesMut,
    open_object: Option<OpenObject>,
    max_object_bytes: usize,
}

impl JsonStream {
    /// A stream in which an object that is incomplete after `max_object_bytes` bytes is an error.
    pub fn new(max_object_bytes: usize) -> Self {
        Self { buffer: BytesMut::new(), open_object: None, max_object_bytes }
    }

    /// Adds the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Whether an object has begun that is incomplete.
    pub fn is_within_object(&self) -> bool {
        self.open_object.is_some()
    }

    /// Returns the next item, or `None` if it takes another chunk. After an error the stream cannot be used
    /// any more.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, SplitError> {
        while self.open_object.is_none() {
            let Some(&first) = self.buffer.first() else { return Ok(None) };
            match first {
                b'{' => self.open_object = Some(OpenObject::new()),
                b'\n' => {
                    self.buffer.advance(1);
                    return Ok(Some(StreamItem::LineEnd));
                }
                b' ' | b'\t' | b'\r' => self.buffer.advance(1),
                other => return Err(SplitError::OutsideOfObject(other)),
            }
        }
        let Some(open_object) = &mut self.open_object else { return Ok(None) };
        let Some(length) = open_object.parse(&self.buffer)? else {
            if self.buffer.len() > self.max_object_bytes {
                return Err(SplitError::TooLong(self.max_object_bytes));
            }
            return Ok(None);
        };
        self.open_object = None;
        Ok(Some(StreamItem::Object(self.buffer.split_to(length).freeze())))
    }
}

impl OpenObject {
    fn new() -> Self {
        Self { parser: JsonParser::new(PushJsonFeeder::new()), fed: 0, depth: 0 }
    }

    /// Parses what has been added to the buffer, which begins with the object. Returns the length of the
    /// object once it is complete.
    fn parse(&mut self, buffer: &[u8]) -> Result<Option<usize>, SplitError> {
        loop {
            let event = self.parser.next_event();
            let offset = self.parser.parsed_bytes();
            match event.map_err(|source| SplitError::Json { offset, source })? {
                Some(JsonEvent::NeedMoreInput) if self.fed == buffer.len() => return Ok(None),
                Some(JsonEvent::NeedMoreInput) => {
                    self.fed += self.parser.feeder.push_bytes(&buffer[self.fed..]);
                }
                Some(JsonEvent::StartObject | JsonEvent::StartArray) => self.depth += 1,
                Some(JsonEvent::EndObject | JsonEvent::EndArray) => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return Ok(Some(offset));
                    }
                }
                Some(_) => {}
                None => return Err(SplitError::Json { offset, source: ParserError::NoMoreInput }),
            }
        }
    }
}
