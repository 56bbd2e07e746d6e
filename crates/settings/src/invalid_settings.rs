//! Validation errors that name values by their keys in the settings object.

use balancer_core::{OutOfRange, SettingsError, SettingsField};
use thiserror::Error;

/// A [`SettingsError`] whose message names the invalid value by its key in the settings object.
#[derive(Debug, Error)]
#[error("{}", format_message(.0))]
pub struct InvalidSettings(pub SettingsError);

fn format_message(error: &SettingsError) -> String {
    match error {
        SettingsError::OutOfRange(OutOfRange { field, value, allowed }) => {
            format!("settings: {} is {value}, allowed is {allowed}", settings_key(*field))
        }
        SettingsError::NoClasses | SettingsError::NoBalancers => error.to_string(),
    }
}

/// Returns the key of a field in the settings object, as error messages name it.
fn settings_key(field: SettingsField) -> &'static str {
    match field {
        SettingsField::MaxAttempts => "limits.try_limit",
        SettingsField::Index => "me",
        SettingsField::MaxStreams => "limits.max_streams",
        SettingsField::OverQuotaWeight => "over_share_worth",
        SettingsField::SlowStartFloor => "guarantees.cold_from",
        SettingsField::OverloadFactor => "guarantees.fall_multiple",
        SettingsField::ToleratedMissRatio => "goal.tail_miss",
        SettingsField::CrossZonePrice => "prices.cross_zone",
        SettingsField::ConnectionPrice => "prices.connection",
        SettingsField::HandshakePrice => "prices.handshake",
        SettingsField::LateFailurePrice => "prices.late_fail",
        SettingsField::HealthCheckPrice => "prices.probe",
        SettingsField::WastedWorkPrice => "prices.waste",
        SettingsField::LatencyObjective => "class aim_ms",
        SettingsField::PriorityWeight => "class worth",
        SettingsField::LatePriorityWeight => "class late_worth",
        SettingsField::LatencyObjectiveStretch => "class aim_stretch",
        SettingsField::QuotaPerSecond => "allowance_per_s",
    }
}
