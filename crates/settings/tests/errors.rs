//! Errors name the invalid value and its key in the settings object.

use balancer_core::{AllowedRange, OutOfRange, SettingsError, SettingsField};
use balancer_settings::{InvalidSettings, SettingsParseError, parse};

fn parse_error(text: &str) -> SettingsParseError {
    parse(text).expect_err("the settings object is malformed")
}

#[test]
fn a_syntax_error_is_reported_with_its_key_and_position() {
    let error = parse_error(r#"{"balancers": "#);

    assert!(matches!(error, SettingsParseError::Json(_)));
    assert_eq!(error.to_string(), "settings: balancers: EOF while parsing a value at line 1 column 14");
}

#[test]
fn a_value_of_the_wrong_type_is_reported_with_its_key_and_position() {
    let error = parse_error(r#"{"balancers": "three"}"#);

    assert_eq!(
        error.to_string(),
        r#"settings: balancers: invalid type: string "three", expected u32 at line 1 column 21"#
    );
    assert_eq!(
        parse_error(r#"{"classes": [{}, {"aim_ms": true}]}"#).to_string(),
        "settings: classes[1].aim_ms: invalid type: boolean `true`, expected f64 at line 1 column 32"
    );
}

#[test]
fn null_is_an_error_in_a_field_that_is_not_optional() {
    for text in [
        r#"{"me": null}"#,
        r#"{"goal": null}"#,
        r#"{"classes": null}"#,
        r#"{"classes": [{"aim_ms": null}]}"#,
        r#"{"parties": [{"allowance_per_s": null}]}"#,
        r#"{"limits": {"cpu_us_per_request": null}}"#,
        r#"{"prices": {"probe": null}}"#,
        r#"{"telemetry": {"fields": null}}"#,
    ] {
        assert!(matches!(parse_error(text), SettingsParseError::Json(_)), "{text}");
    }
}

#[test]
fn an_unknown_effect_is_reported_with_its_class() {
    let error = parse_error(r#"{"classes": [{"name": "booking", "effect": "maybe"}]}"#);

    assert_eq!(error.to_string(), r#"settings: class "booking": unknown effect "maybe""#);
}

#[test]
fn an_unknown_dedup_scope_is_reported_with_its_class() {
    let error =
        parse_error(r#"{"classes": [{"name": "booking", "effect": "deduplicated", "dedup_scope": "rack"}]}"#);

    assert_eq!(error.to_string(), r#"settings: class "booking": unknown dedup_scope "rack""#);
}

#[test]
fn a_missing_dedup_scope_is_reported_with_its_class() {
    let error = parse_error(r#"{"classes": [{"name": "booking", "effect": "deduplicated"}]}"#);

    assert_eq!(error.to_string(), r#"settings: class "booking": dedup_scope is missing"#);
}

#[test]
fn an_unknown_dedup_scope_is_ignored_in_a_class_that_is_not_deduplicated() {
    assert!(parse(r#"{"classes": [{"effect": "idempotent", "dedup_scope": "rack"}]}"#).is_ok());
}

#[test]
fn a_value_out_of_range_is_reported_by_its_key_in_the_settings_object() {
    for (field, key) in [
        (SettingsField::MaxAttempts, "limits.try_limit"),
        (SettingsField::Index, "me"),
        (SettingsField::MaxStreams, "limits.max_streams"),
        (SettingsField::OverQuotaWeight, "over_share_worth"),
        (SettingsField::SlowStartFloor, "guarantees.cold_from"),
        (SettingsField::OverloadFactor, "guarantees.fall_multiple"),
        (SettingsField::ToleratedMissRatio, "goal.tail_miss"),
        (SettingsField::CrossZonePrice, "prices.cross_zone"),
        (SettingsField::ConnectionPrice, "prices.connection"),
        (SettingsField::HandshakePrice, "prices.handshake"),
        (SettingsField::LateFailurePrice, "prices.late_fail"),
        (SettingsField::HealthCheckPrice, "prices.probe"),
        (SettingsField::WastedWorkPrice, "prices.waste"),
        (SettingsField::LatencyObjective, "class aim_ms"),
        (SettingsField::PriorityWeight, "class worth"),
        (SettingsField::LatePriorityWeight, "class late_worth"),
        (SettingsField::LatencyObjectiveStretch, "class aim_stretch"),
        (SettingsField::QuotaPerSecond, "allowance_per_s"),
    ] {
        let out_of_range = OutOfRange { field, value: -1.5, allowed: AllowedRange::FiniteNotNegative };
        let error = InvalidSettings(SettingsError::OutOfRange(out_of_range));

        assert_eq!(error.to_string(), format!("settings: {key} is -1.5, allowed is a finite number from 0"));
    }
}

#[test]
fn other_validation_errors_keep_the_message_of_balancer_core() {
    for error in [SettingsError::NoClasses, SettingsError::NoBalancers] {
        assert_eq!(InvalidSettings(error.clone()).to_string(), error.to_string());
    }
}
