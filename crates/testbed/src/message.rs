//! A minimal reader of HTTP/1.1 messages for the stand-ins.

use std::io::{self, BufRead};

/// Length of the empty line, `\r\n`, that ends the header section.
const EMPTY_LINE_BYTES: usize = 2;

/// A request or a response. Its body has the length in `Content-Length`, and is empty without that header.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line, without its line ending.
    pub start_line: String,
    /// The value of `X-Correlation-Id`; empty if the header is absent.
    pub correlation_id: String,
    content_length: usize,
}

impl Message {
    /// Reads a message and skips its body. Returns `None` if the stream ends before the first byte of a
    /// message.
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

    /// Returns the status code, or `None` if the message is not a response.
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
