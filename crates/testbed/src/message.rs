//! HTTP messages as stand-ins read them.

use std::io::{self, BufRead};

/// The length of a header line without content.
const EMPTY_LINE_BYTES: usize = 2;

/// A request or a response whose body is as long as `Content-Length` states.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line, without its end.
    pub start_line: String,
    /// The value of `X-Correlation-Id`; empty without one.
    pub correlation_id: String,
    content_length: usize,
}

impl Message {
    /// Reads a message and its body; `None` if the stream ends before it begins.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if reader.read_line(&mut message.start_line)? == 0 {
            return Ok(None);
        }
        message.start_line.truncate(message.start_line.trim_end().len());
        let mut line = String::new();
        while reader.read_line(&mut line)? > EMPTY_LINE_BYTES {
            message.read_header(&line)?;
            line.clear();
        }
        if line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        reader.read_exact(&mut vec![0; message.content_length])?;
        Ok(Some(message))
    }

    /// The status of a response; `None` if this is no response.
    pub fn status(&self) -> Option<u16> {
        self.start_line.split(' ').nth(1)?.parse().ok()
    }

    fn read_header(&mut self, line: &str) -> io::Result<()> {
        let Some((name, value)) = line.split_once(':') else { return Ok(()) };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                self.content_length = value.trim().parse().map_err(|_| io::ErrorKind::InvalidData)?;
            }
            "x-correlation-id" => value.trim().clone_into(&mut self.correlation_id),
            _ => {}
        }
        Ok(())
    }
}
