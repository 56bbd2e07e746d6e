//! HTTP messages as they are on the wire.

use std::io::BufRead;

/// An HTTP request or response: its start line, its headers with lower-case names, its body.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    /// The body, as long as `Content-Length` says.
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl Message {
    /// Reads one message; `None` if the connection ends instead.
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let start_line = read_line(stream)?.trim_end().to_owned();
        let mut headers = Vec::new();
        while let Some((name, value)) = read_line(stream)?.trim_end().split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { start_line, headers, body: Vec::new() };
        let body_length = message.header("content-length").map_or(0, |length| length.parse().unwrap());
        message.body.resize(body_length, 0);
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the start line: the target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_else(|_| panic!("{self:?} has no status"))
    }

    /// Whether this response says that the request failed and may have been executed: it is neither a success
    /// nor a rejection after which the client may send the request again.
    pub fn says_possibly_executed(&self) -> bool {
        ![200, 429, 503].contains(&self.status())
    }
}

/// Reads a line with its end; `None` if the connection has ended.
fn read_line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|length| *length > 0)?;
    Some(line)
}
