//! The errors that end the adapter.

use balancer_settings::{InvalidSettings, SettingsParseError};
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A batch is malformed, or refers to something that does not exist.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The input ended within a frame.
    #[error("frame cut short at byte {received}: {expected} expected")]
    TruncatedFrame {
        /// Bytes of the frame that were received.
        received: usize,
        /// Bytes that were due.
        expected: usize,
    },
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What is wrong with a batch, and where.
#[derive(Debug, Error)]
#[error("byte {offset}: {problem}")]
pub struct WireError {
    /// Offset in the frame, the length field included.
    pub offset: usize,
    /// What is wrong there.
    pub problem: WireProblem,
}

/// What can be wrong with a batch.
#[derive(Debug, Error)]
pub enum WireProblem {
    /// The length field is below the size of the clock or above the size limit.
    #[error("length {0} fits no batch")]
    LengthOutOfRange(usize),
    /// The length field differs from the size of the frame.
    #[error("length {stated} for {actual} bytes")]
    LengthMismatch {
        /// The length field.
        stated: usize,
        /// Bytes that follow it.
        actual: usize,
    },
    /// The frame ends within a field.
    #[error("{field} needs {needed} bytes, {left} are left")]
    TruncatedField {
        /// The field.
        field: &'static str,
        /// Its size in bytes.
        needed: usize,
        /// Bytes left in the frame.
        left: usize,
    },
    /// A count announces more content than the frame holds.
    #[error("{field} is {count}, but only {left} bytes are left")]
    CountTooLarge {
        /// The count's field.
        field: &'static str,
        /// Its value.
        count: usize,
        /// Bytes left in the frame.
        left: usize,
    },
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// No outcome has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// No availability has this code.
    #[error("unknown availability {0}")]
    UnknownAvailability(u8),
    /// No scope of an endpoint update has this code.
    #[error("unknown scope {0}")]
    UnknownScope(u8),
    /// The number of an endpoint list is out of range.
    #[error("list number {0} is over {max}", max = crate::codes::MAX_LIST_NUMBER)]
    ListNumberOutOfRange(u32),
    /// An endpoint update refers to a list that was never defined.
    #[error("no list has number {0}")]
    UndefinedList(u32),
    /// An event is addressed to an instance that does not run.
    #[error("instance {0} was never started")]
    UnknownInstance(u32),
    /// The settings are not UTF-8.
    #[error("settings: {0}")]
    SettingsEncoding(Utf8Error),
    /// The settings cannot be parsed.
    #[error(transparent)]
    SettingsParse(#[from] SettingsParseError),
    /// No balancer can run with the settings.
    #[error(transparent)]
    InvalidSettings(#[from] InvalidSettings),
}

impl WireProblem {
    /// Adds where the problem is.
    pub fn at(self, offset: usize) -> WireError {
        WireError { offset, problem: self }
    }
}
