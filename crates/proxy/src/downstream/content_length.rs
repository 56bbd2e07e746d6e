//! Counts the `Content-Length` headers that hyper does not show.

#[cfg(test)]
mod tests;

/// The name of the header, in lower case.
const HEADER_NAME: &[u8] = b"content-length";

/// Where the next byte stands in its line.
#[derive(Clone, Copy)]
enum LinePosition {
    /// All bytes of the line so far are the first ones of the header's name.
    InName { matched: usize },
    /// The rest of the line does not matter.
    AfterName,
}

const LINE_START: LinePosition = LinePosition::InName { matched: 0 };

/// Counts the lines of a client's bytes that begin with `content-length`, in any case.
///
/// hyper drops `Content-Length` where a head has `Transfer-Encoding`, too, in either order. The difference
/// between the lines that arrived and the headers that hyper has shown tells whether it did. Lines of a body
/// that look alike count as well, so that in doubt a head is taken for one with a hidden length.
pub struct ContentLengthCounter {
    position: LinePosition,
    lines: u64,
    visible: u64,
}

impl ContentLengthCounter {
    /// A counter at the start of a connection.
    pub fn new() -> Self {
        Self { position: LINE_START, lines: 0, visible: 0 }
    }

    /// Counts the lines in the next bytes of the connection, which may be cut anywhere.
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

    /// Whether more lines have arrived than hyper has shown headers. `visible`: the number of headers in the
    /// current head; has to be called once for each head.
    pub fn has_hidden_header(&mut self, visible: usize) -> bool {
        self.visible += visible as u64;
        self.lines > self.visible
    }

    fn continues_name(&self, byte: u8) -> bool {
        match self.position {
            LinePosition::InName { matched } => HEADER_NAME[matched] == byte.to_ascii_lowercase(),
            LinePosition::AfterName => false,
        }
    }

    fn advance_in_name(&mut self) {
        let LinePosition::InName { matched } = self.position else { return };
        if matched + 1 < HEADER_NAME.len() {
            self.position = LinePosition::InName { matched: matched + 1 };
        } else {
            self.position = LinePosition::AfterName;
            self.lines += 1;
        }
    }

    /// Returns what follows the current line.
    fn skip_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        match bytes.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                self.position = LINE_START;
                &bytes[end + 1..]
            }
            None => {
                self.position = LinePosition::AfterName;
                &[]
            }
        }
    }
}
