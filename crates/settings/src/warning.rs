//! Warnings about settings that are accepted but do not take effect as written.

use crate::wire_format::SettingsObject;
use thiserror::Error;

/// A flaw in a settings object that its author should know of but that does not prevent its use.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsWarning {
    /// The value of a key is unknown to this version, so the default of the key is used.
    #[error("{key} is {value:?}, which is unknown; {used:?} is used instead")]
    UnknownValue {
        /// The path of the key.
        key: &'static str,
        /// The unknown value.
        value: String,
        /// The default value that is used instead.
        used: &'static str,
    },
}

/// A key with a fixed set of values.
struct EnumeratedKey {
    key: &'static str,
    /// The values that have a meaning; the first one is the default.
    known_values: &'static [&'static str],
    value: fn(&SettingsObject) -> Option<&str>,
}

const ENUMERATED_KEYS: [EnumeratedKey; 4] = [
    EnumeratedKey {
        key: "discovery",
        known_values: &["automatic", "subscribe"],
        value: |object| object.discovery.as_deref(),
    },
    EnumeratedKey {
        key: "worth_by",
        known_values: &["request", "work"],
        value: |object| object.priority_weight_by.as_deref(),
    },
    EnumeratedKey {
        key: "weight_kind",
        known_values: &["off", "nominal", "rough", "live"],
        value: |object| object.weight_kind.as_deref(),
    },
    EnumeratedKey {
        key: "telemetry.how",
        known_values: &["off", "inline", "on_probe"],
        value: |object| object.telemetry.load_reporting.as_deref(),
    },
];

/// Returns a warning for each value of a settings object that is unknown and therefore replaced.
pub fn unknown_value_warnings(object: &SettingsObject) -> Vec<SettingsWarning> {
    let mut warnings = Vec::new();
    for EnumeratedKey { key, known_values, value } in ENUMERATED_KEYS {
        if let Some(value) = value(object).filter(|value| !known_values.contains(value)) {
            warnings.push(SettingsWarning::UnknownValue {
                key,
                value: value.to_owned(),
                used: known_values[0],
            });
        }
    }
    warnings
}
