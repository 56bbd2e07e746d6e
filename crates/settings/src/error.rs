//! The errors of parsing a settings object.

use thiserror::Error;

/// Why a text is not a settings object.
#[derive(Debug, Error)]
pub enum SettingsParseError {
    /// The text is not JSON, or a value has the wrong type. The message names the key.
    #[error("settings: {0}")]
    Json(serde_path_to_error::Error<serde_json::Error>),
    /// The object is followed by something else.
    #[error("settings: {0}")]
    TrailingText(serde_json::Error),
    /// The retry safety of a class has an unknown value.
    #[error("settings: class {class:?}: unknown effect {value:?}")]
    UnknownRetrySafety {
        /// The name of the class; may be empty.
        class: String,
        /// The value found.
        value: String,
    },
    /// The deduplication scope of a deduplicated class is missing.
    #[error("settings: class {class:?}: dedup_scope is missing")]
    MissingDeduplicationScope {
        /// The name of the class; may be empty.
        class: String,
    },
    /// The deduplication scope of a deduplicated class has an unknown value.
    #[error("settings: class {class:?}: unknown dedup_scope {value:?}")]
    UnknownDeduplicationScope {
        /// The name of the class; may be empty.
        class: String,
        /// The value found.
        value: String,
    },
}
