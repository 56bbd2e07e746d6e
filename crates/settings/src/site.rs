//! The result of parsing a settings object.

use crate::warning::SettingsWarning;
use balancer_core::Settings;

/// The settings of one balancer, the names in use in its deployment, and warnings about the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names of request classes, tenants, zones and hardware models.
    pub names: SiteNames,
    /// Warnings about values that are unknown and were replaced by their defaults.
    pub warnings: Vec<SettingsWarning>,
}

/// The names of request classes, tenants, zones and hardware models. The index of a name in its list is the
/// id by which `balancer_core` refers to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// Names of the request classes, in the order of [`Settings::classes`]. A class without a name has an
    /// empty one.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`]. A tenant without a name has an empty one.
    pub tenants: Vec<String>,
    /// Names of the zones (failure domains), indexed by `ZoneId`.
    pub zones: Vec<String>,
    /// Names of the hardware models, indexed by `HardwareId`.
    pub hardware: Vec<String>,
}
