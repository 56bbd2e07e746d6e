//! Parses the settings object that the simulator's wire and the platform's configuration share, a JSON
//! object, into the typed [`balancer_core::Settings`].
//!
//! Unknown keys are ignored. A missing key takes the value of `Settings::default()`, except for
//! `weight_kind`: without it weights are ignored. `null` stands for a missing key where the field is
//! optional; in any other field it is an error. An unknown value of `discovery`, `worth_by`, `weight_kind` or
//! `telemetry.how` counts as absent, and a [`SettingsWarning`] says so; an unknown load report field becomes `LoadField::Other`.

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

/// Parses a settings object.
///
/// Fails if the text is not such an object, if a class names an unknown retry safety, or if a deduplicated
/// class names no or an unknown deduplication scope. Ranges are not checked here:
/// [`balancer_core::Balancer::new`] does that.
pub fn parse(text: &str) -> Result<Site, SettingsParseError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let object: wire_format::SettingsObject =
        serde_path_to_error::deserialize(&mut deserializer).map_err(SettingsParseError::Json)?;
    deserializer.end().map_err(SettingsParseError::TrailingText)?;
    Site::try_from(object)
}
