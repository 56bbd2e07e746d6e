//! Settings that are accepted but do not mean what they seem to.

use crate::wire_format::SettingsObject;
use thiserror::Error;

/// Something in a settings object that its author has to know of; the settings can be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsWarning {
    /// A key has a value that this version does not know.
    #[error("{key} is {value:?}, which is unknown; {used:?} is used instead")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// The value that counts.
        used: &'static str,
    },
}

/// A key with a fixed set of values. The first one counts where the value is unknown.
struct EnumeratedKey {
    key: &'static str,
    known: &'static [&'static str],
    value: fn(&SettingsObject) -> Option<&str>,
}

const ENUMERATED_KEYS: [EnumeratedKey; 4] = [
    EnumeratedKey {
        key: "discovery",
        known: &["automatic", "subscribe"],
        value: |object| object.discovery.as_deref(),
    },
    EnumeratedKey {
        key: "worth_by",
        known: &["request", "work"],
        value: |object| object.weight_by.as_deref(),
    },
    EnumeratedKey {
        key: "weight_kind",
        known: &["off", "nominal", "rough", "live"],
        value: |object| object.weight_kind.as_deref(),
    },
    EnumeratedKey {
        key: "telemetry.how",
        known: &["off", "inline", "on_probe"],
        value: |object| object.telemetry.load_reporting.as_deref(),
    },
];

/// The values of a settings object that are unknown and replaced.
pub fn unknown_values(object: &SettingsObject) -> Vec<SettingsWarning> {
    let mut warnings = Vec::new();
    for EnumeratedKey { key, known, value } in ENUMERATED_KEYS {
        if let Some(value) = value(object).filter(|value| !known.contains(value)) {
            warnings.push(SettingsWarning::UnknownValue { key, value: value.to_owned(), used: known[0] });
        }
    }
    warnings
}
