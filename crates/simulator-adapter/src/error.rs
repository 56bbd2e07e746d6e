//! Errors that end the adapter.

use balancer_settings::{InvalidSettings, SettingsParseError};
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// The reason why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A batch is malformed, refers to an instance or an endpoint list that does not exist, or starts an
    /// instance with invalid settings.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The input ended within a frame.
    #[error("frame cut short at byte {received}: {expected} bytes expected")]
    TruncatedFrame {
        /// Number of bytes of the frame that were received, including its length field.
        received: usize,
        /// Number of bytes expected: the length field or, once it is known, the complete frame.
        expected: usize,
    },
    /// Reading from standard input or writing to standard output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A problem with a batch and the offset at which it was found.
#[derive(Debug, Error)]
#[error("byte {offset}: {problem}")]
pub struct WireError {
    /// Offset in bytes from the start of the frame, which begins with its length field.
    pub offset: usize,
    /// The problem at this offset.
    pub problem: WireProblem,
}

/// The reason why a batch is rejected.
#[derive(Debug, Error)]
pub enum WireProblem {
    /// The length field is less than the size of the clock or more than the size limit.
    #[error("length {0} is out of range")]
    LengthOutOfRange(usize),
    /// The length field differs from the number of bytes after it.
    #[error("length is {stated}, but {actual} bytes follow")]
    LengthMismatch {
        /// The value of the length field.
        stated: usize,
        /// Number of bytes after the length field.
        actual: usize,
    },
    /// The frame ends within a field.
    #[error("{field} needs {needed} bytes, {remaining} are left")]
    TruncatedField {
        /// The name of the field.
        field: &'static str,
        /// Size of the field in bytes.
        needed: usize,
        /// Number of bytes left in the frame.
        remaining: usize,
    },
    /// A count is too large for the rest of the frame.
    #[error("{field} is {count}, but only {remaining} bytes are left")]
    CountTooLarge {
        /// The name of the field with the count.
        field: &'static str,
        /// The value of the count.
        count: usize,
        /// Number of bytes left in the frame.
        remaining: usize,
    },
    /// The code of an event is unknown.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// The code of an outcome is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// The code of an availability is unknown.
    #[error("unknown availability {0}")]
    UnknownAvailability(u8),
    /// The code of the scope of an endpoint update is unknown.
    #[error("unknown scope {0}")]
    UnknownScope(u8),
    /// The number of an endpoint list is above [`MAX_LIST_NUMBER`](crate::codes::MAX_LIST_NUMBER).
    #[error("list number {0} is over {max}", max = crate::codes::MAX_LIST_NUMBER)]
    ListNumberOutOfRange(u32),
    /// An endpoint update refers to a list number that has not been defined.
    #[error("endpoint list {0} is not defined")]
    UndefinedList(u32),
    /// An event is addressed to an instance that is not running.
    #[error("instance {0} is not running")]
    InstanceNotRunning(u32),
    /// The settings are not valid UTF-8.
    #[error("settings: {0}")]
    SettingsEncoding(Utf8Error),
    /// The settings cannot be parsed.
    #[error(transparent)]
    SettingsParse(#[from] SettingsParseError),
    /// The settings can be parsed, but no balancer can run with them.
    #[error(transparent)]
    InvalidSettings(#[from] InvalidSettings),
}

impl WireProblem {
    /// Returns an error that states the offset of this problem.
    pub fn at(self, offset: usize) -> WireError {
        WireError { offset, problem: self }
    }
}
