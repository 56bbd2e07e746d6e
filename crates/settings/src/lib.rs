//! Parser for the settings object, a JSON object that is part of both the simulator's wire format and the
//! proxy's configuration file. The result contains the typed [`balancer_core::Settings`].
//!
//! - Unknown keys are ignored.
//! - A missing key takes its value from `Settings::default()`, and a missing key of a class from
//!   `RequestClass::default()`. The exception is `weight_kind`: without it, endpoint weights are ignored.
//! - `null` counts as a missing key where the field is optional. In any other field it is an error.
//! - An unknown value of `discovery`, `worth_by`, `weight_kind` or `telemetry.how` counts as a missing key,
//!   and a [`SettingsWarning`] reports it.
//! - An unknown name in `telemetry.fields` becomes `LoadField::Other`.

mod conversion;
mod duration;
mod error;
mod invalid_settings;
mod site;
mod warning;
mod wire_format;

pub use conversion::load_field;
pub use duration::duration_from_ms;
pub use error::SettingsParseError;
pub use invalid_settings::InvalidSettings;
pub use site::{Site, SiteNames};
pub use warning::SettingsWarning;

/// Parses a settings object from its JSON text.
///
/// Returns an error if the text is not exactly one settings object, if the `effect` of a class is unknown,
/// or if the `dedup_scope` of a class with the effect `deduplicated` is missing or unknown. The ranges of
/// values are not checked here but by [`balancer_core::Balancer::new`].
pub fn parse(text: &str) -> Result<Site, SettingsParseError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let object: wire_format::SettingsObject =
        serde_path_to_error::deserialize(&mut deserializer).map_err(SettingsParseError::Json)?;
    deserializer.end().map_err(SettingsParseError::TrailingText)?;
    Site::try_from(object)
}
