//! Splits a stream of bytes into the JSON objects that it consists of.
//!
//! A line end does not delimit objects, because an object may span several lines. A chunk of the stream may
//! end anywhere, even within a number. So an incremental parser finds the ends of the objects: it processes
//! each byte only once, and it distinguishes an incomplete object from a malformed one.

#[cfg(test)]
mod tests;

use actson::feeder::PushJsonFeeder;
use actson::parser::ParserError;
use actson::{JsonEvent, JsonParser};
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The reason why a stream cannot be split.
#[derive(Debug, Error)]
pub enum SplitError {
    /// A byte outside of any object is not white space.
    #[error("unexpected byte {0:#04x} outside of any JSON object")]
    OutsideOfObject(u8),
    /// An object is malformed JSON.
    #[error("malformed JSON object at byte {offset}: {source}")]
    Json {
        /// Number of bytes of the object that were parsed.
        offset: usize,
        /// Error of the parser.
        source: ParserError,
    },
    /// An object is still incomplete after this maximum number of bytes.
    #[error("JSON object is longer than {0} bytes")]
    TooLong(usize),
}

/// One item of a stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// The text of a complete object.
    Object(Bytes),
    /// A line end outside of any object.
    LineEnd,
}

/// The parser state of an object that is still incomplete.
struct IncompleteObject {
    parser: JsonParser<PushJsonFeeder>,
    /// Number of bytes at the start of the buffer that the parser has already been given.
    fed_bytes: usize,
    /// Number of nested objects and arrays that are open at the end of the parsed bytes.
    depth: usize,
}

/// A splitter of one stream of JSON objects.
pub struct JsonSplitter {
    /// Bytes that have not been returned as an item yet. If an object is incomplete, they begin with it.
    buffer: BytesMut,
    incomplete_object: Option<IncompleteObject>,
    max_object_bytes: usize,
}

impl JsonSplitter {
    /// Creates a splitter that fails on an object that is still incomplete after `max_object_bytes` bytes.
    pub fn new(max_object_bytes: usize) -> Self {
        Self { buffer: BytesMut::new(), incomplete_object: None, max_object_bytes }
    }

    /// Adds the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns whether an object has begun that is still incomplete.
    pub fn is_within_object(&self) -> bool {
        self.incomplete_object.is_some()
    }

    /// Returns the next item, or `None` if that requires another chunk. After an error, the splitter cannot
    /// be used any more.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, SplitError> {
        while self.incomplete_object.is_none() {
            let Some(&first) = self.buffer.first() else { return Ok(None) };
            match first {
                b'{' => self.incomplete_object = Some(IncompleteObject::new()),
                b'\n' => {
                    self.buffer.advance(1);
                    return Ok(Some(StreamItem::LineEnd));
                }
                b' ' | b'\t' | b'\r' => self.buffer.advance(1),
                other => return Err(SplitError::OutsideOfObject(other)),
            }
        }
        let Some(incomplete_object) = &mut self.incomplete_object else { return Ok(None) };
        let Some(length) = incomplete_object.parse(&self.buffer)? else {
            if self.buffer.len() > self.max_object_bytes {
                return Err(SplitError::TooLong(self.max_object_bytes));
            }
            return Ok(None);
        };
        self.incomplete_object = None;
        Ok(Some(StreamItem::Object(self.buffer.split_to(length).freeze())))
    }
}

impl IncompleteObject {
    fn new() -> Self {
        Self { parser: JsonParser::new(PushJsonFeeder::new()), fed_bytes: 0, depth: 0 }
    }

    /// Parses the bytes that have been added to `buffer` since the last call. The buffer begins with the
    /// object. Returns the length of the object in bytes once it is complete.
    fn parse(&mut self, buffer: &[u8]) -> Result<Option<usize>, SplitError> {
        loop {
            let event = self.parser.next_event();
            let offset = self.parser.parsed_bytes();
            match event.map_err(|source| SplitError::Json { offset, source })? {
                Some(JsonEvent::NeedMoreInput) if self.fed_bytes == buffer.len() => return Ok(None),
                Some(JsonEvent::NeedMoreInput) => {
                    self.fed_bytes += self.parser.feeder.push_bytes(&buffer[self.fed_bytes..]);
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
