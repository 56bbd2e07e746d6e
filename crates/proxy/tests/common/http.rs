//! HTTP/1.1 messages, parsed without the HTTP library of the proxy.

use std::io::BufRead;

/// An HTTP request or response. The names of its headers are in lower case.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line, without its line end.
    pub start_line: String,
    /// The body, whose length is the value of `Content-Length`. Empty without this header.
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl Message {
    /// Reads one message. Returns `None` if the connection ends before the message is complete, or if a read
    /// fails.
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

    /// Returns the value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line, which is the target of a request or the status code of a
    /// response.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_else(|_| panic!("{self:?} has no status code"))
    }

    /// Returns whether this response tells the client that the request failed and may have been executed.
    /// Status 200 is a success, and after 429 and 503 the client may safely send the request again.
    pub fn reports_possible_execution(&self) -> bool {
        ![200, 429, 503].contains(&self.status())
    }
}

/// Reads a line, including its line end. Returns `None` if the connection has ended or a read fails.
fn read_line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|length| *length > 0)?;
    Some(line)
}
