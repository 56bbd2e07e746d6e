//! The result of parsing a settings object.

use crate::warning::SettingsWarning;
use balancer_core::Settings;

/// The typed settings of a site, with the names that their indices stand for.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names of classes, tenants, zones and hardware.
    pub names: SiteNames,
    /// What the author of the settings has to know of.
    pub warnings: Vec<SettingsWarning>,
}

/// Names by index: classes and tenants in the order of [`Settings`], zones and hardware by their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// The request classes.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The failure domains.
    pub zones: Vec<String>,
    /// The kinds of hardware.
    pub hardware: Vec<String>,
}
