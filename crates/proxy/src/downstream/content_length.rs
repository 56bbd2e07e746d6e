//! Detects `Content-Length` headers that hyper has removed from a request head.

#[cfg(test)]
mod tests;

/// The name of the `Content-Length` header in lower case.
const HEADER_NAME: &[u8] = b"content-length";

/// The position of the next byte within its line.
#[derive(Clone, Copy)]
enum LinePosition {
    /// The line so far consists of the first `matched` bytes of the header's name.
    InName { matched: usize },
    /// The rest of the line is skipped, because its beginning is the whole name or differs from the name.
    RestOfLine,
}

const LINE_START: LinePosition = LinePosition::InName { matched: 0 };

/// Counts the lines received from a client that begin with `content-length`, in upper or lower case.
///
/// hyper removes `Content-Length` from a head that also has `Transfer-Encoding`, in either order. It has done
/// so if more of these lines were received than hyper has passed on as headers. Lines of a request body that
/// begin with `content-length` are counted as well, so a hidden header may be reported although there is
/// none.
pub struct ContentLengthCounter {
    position: LinePosition,
    /// Lines received that begin with the name.
    matching_lines: u64,
    /// `Content-Length` headers that hyper has passed on.
    visible_headers: u64,
}

impl ContentLengthCounter {
    /// Returns a counter for a new connection.
    pub fn new() -> Self {
        Self { position: LINE_START, matching_lines: 0, visible_headers: 0 }
    }

    /// Counts the matching lines in the next bytes of the connection. Calls may split the bytes anywhere.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some(byte) = bytes.first() {
            if self.continues_name(*byte) {
                self.advance_in_name();
                bytes = &bytes[1..];
            } else {
                bytes = self.skip_line(bytes);
            }
        }
    }

    /// Returns whether a `Content-Length` header was received that hyper has not passed on. `visible_headers`
    /// is the number of `Content-Length` headers that hyper has passed on in the current head. Has to be
    /// called once for each head.
    pub fn has_hidden_header(&mut self, visible_headers: usize) -> bool {
        self.visible_headers += visible_headers as u64;
        self.matching_lines > self.visible_headers
    }

    /// Returns whether the line, extended by `byte`, is still a prefix of the header's name.
    fn continues_name(&self, byte: u8) -> bool {
        match self.position {
            LinePosition::InName { matched } => HEADER_NAME[matched] == byte.to_ascii_lowercase(),
            LinePosition::RestOfLine => false,
        }
    }

    fn advance_in_name(&mut self) {
        let LinePosition::InName { matched } = self.position else { return };
        if matched + 1 < HEADER_NAME.len() {
            self.position = LinePosition::InName { matched: matched + 1 };
        } else {
            self.position = LinePosition::RestOfLine;
            self.matching_lines += 1;
        }
    }

    /// Skips the rest of the current line and returns the bytes after it.
    fn skip_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        match bytes.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                self.position = LINE_START;
                &bytes[end + 1..]
            }
            None => {
                self.position = LinePosition::RestOfLine;
                &[]
            }
        }
    }
}
