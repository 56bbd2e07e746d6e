//! Errors that occur while a settings object is parsed.

use thiserror::Error;

/// The reason why a text cannot be parsed as a settings object.
#[derive(Debug, Error)]
pub enum SettingsParseError {
    /// The text is not valid JSON, or a value has the wrong type. The message contains the path of the key
    /// where parsing failed, if there is one.
    #[error("settings: {0}")]
    Json(serde_path_to_error::Error<serde_json::Error>),
    /// The text continues after the end of the object.
    #[error("settings: {0}")]
    TrailingText(serde_json::Error),
    /// The `effect` of a class, which states its retry safety, has an unknown value.
    #[error("settings: class {class:?}: unknown effect {value:?}")]
    UnknownRetrySafety {
        /// The name of the class; empty if the class has no name.
        class: String,
        /// The unknown value.
        value: String,
    },
    /// A class with the effect `deduplicated` has no `dedup_scope`.
    #[error("settings: class {class:?}: dedup_scope is missing")]
    MissingDeduplicationScope {
        /// The name of the class; empty if the class has no name.
        class: String,
    },
    /// The `dedup_scope` of a class with the effect `deduplicated` has an unknown value.
    #[error("settings: class {class:?}: unknown dedup_scope {value:?}")]
    UnknownDeduplicationScope {
        /// The name of the class; empty if the class has no name.
        class: String,
        /// The unknown value.
        value: String,
    },
}
