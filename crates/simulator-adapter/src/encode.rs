//! Encoder for replies, which consist of action records.

use crate::codes::{self, ActionCode};
use crate::frame::LENGTH_BYTES;
use balancer_core::{Action, RequestId, UpstreamId};
use std::time::Duration;

#[cfg(test)]
mod tests;

const MS_PER_SECOND: f64 = 1e3;
/// The encoding of an absent duration. A duration of zero has the same encoding and thus also counts as
/// absent.
const ABSENT_MS: f64 = 0.0;

/// A reply frame whose buffer is reused. For each batch, call [`clear`](Self::clear), then
/// [`push`](Self::push) for each action, then [`finish`](Self::finish).
#[derive(Default)]
pub struct Reply {
    frame: Vec<u8>,
}

impl Reply {
    /// Resets the reply to a frame without actions.
    pub fn clear(&mut self) {
        self.frame.clear();
        self.frame.extend([0; LENGTH_BYTES]);
    }

    /// Appends an action that an instance asks for.
    pub fn push(&mut self, instance: u32, action: &Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => {
                self.push_header(ActionCode::SendAttempt, instance);
                self.push_request_id(*id);
                self.push_upstream_id(*upstream);
                self.push_optional_duration(*timeout);
            }
            Action::CancelAttempt { id, attempt } => {
                self.push_header(ActionCode::CancelAttempt, instance);
                self.push_request_id(*id);
                self.frame.push(attempt.0);
            }
            Action::Reject { id, retry_after, .. } => {
                self.push_header(ActionCode::Reject, instance);
                self.push_request_id(*id);
                self.push_optional_duration(*retry_after);
            }
            Action::Fail { id } => {
                self.push_header(ActionCode::Fail, instance);
                self.push_request_id(*id);
            }
            Action::SetTimer { after, timer } => {
                self.push_header(ActionCode::SetTimer, instance);
                self.push_duration(*after);
                self.frame.extend(timer.0.to_be_bytes());
            }
            Action::WatchEndpoints => {
                self.push_header(ActionCode::WatchEndpoints, instance);
                self.frame.push(codes::SUBSCRIPTION_ON);
            }
            Action::FetchEndpoints => self.push_header(ActionCode::FetchEndpoints, instance),
            Action::CloseIdleConnections { upstream } => {
                self.push_header(ActionCode::CloseIdleConnections, instance);
                self.push_upstream_id(*upstream);
            }
            Action::CheckHealth { upstream } => {
                self.push_header(ActionCode::CheckHealth, instance);
                self.push_upstream_id(*upstream);
            }
            Action::Log { line } => {
                self.push_header(ActionCode::Log, instance);
                self.push_text(line);
            }
        }
    }

    /// Fills in the length field and returns the frame.
    pub fn finish(&mut self) -> &[u8] {
        let length = (self.frame.len() - LENGTH_BYTES) as u32;
        self.frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        &self.frame
    }

    fn push_header(&mut self, code: ActionCode, instance: u32) {
        self.frame.push(code as u8);
        self.frame.extend(instance.to_be_bytes());
    }

    fn push_request_id(&mut self, id: RequestId) {
        self.frame.extend(id.0.to_be_bytes());
    }

    /// Appends the id of an upstream, whose lower six bytes are its IPv4 address and its port.
    fn push_upstream_id(&mut self, upstream: UpstreamId) {
        let [_, _, address_and_port @ ..] = upstream.0.to_be_bytes();
        self.frame.extend(address_and_port);
    }

    fn push_duration(&mut self, duration: Duration) {
        self.push_ms(duration.as_secs_f64() * MS_PER_SECOND);
    }

    fn push_optional_duration(&mut self, duration: Option<Duration>) {
        match duration {
            Some(duration) => self.push_duration(duration),
            None => self.push_ms(ABSENT_MS),
        }
    }

    fn push_ms(&mut self, ms: f64) {
        self.frame.extend(ms.to_be_bytes());
    }

    /// Appends a text after a length field of two bytes, truncated to the maximum length that the field can
    /// state.
    fn push_text(&mut self, text: &str) {
        let length = text.len().min(usize::from(u16::MAX));
        self.frame.extend((length as u16).to_be_bytes());
        self.frame.extend(&text.as_bytes()[..length]);
    }
}
