//! Errors name the key and the value at fault, as the settings object does.

use balancer_core::{AllowedRange, OutOfRange, SettingsError, SettingsField};
use balancer_settings::{InvalidSettings, SettingsParseError, parse};

fn error_of(text: &str) -> SettingsParseError {
    parse(text).expect_err("the settings object is malformed")
}

#[test]
fn text_that_is_not_json_is_named_with_its_position() {
    let error = error_of(r#"{"balancers": "#);

    assert!(matches!(error, SettingsParseError::Json(_)));
    assert_eq!(error.to_string(), "settings: balancers: EOF while parsing a value at line 1 column 14");
}

#[test]
fn a_value_of_the_wrong_type_is_named() {
    let error = error_of(r#"{"balancers": "three"}"#);

    assert_eq!(
        error.to_string(),
        r#"settings: balancers: invalid type: string "three", expected u32 at line 1 column 21"#
    );
    assert_eq!(
        error_of(r#"{"classes": [{}, {"aim_ms": true}]}"#).to_string(),
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
        assert!(matches!(error_of(text), SettingsParseError::Json(_)), "{text}");
    }
}

#[test]
fn an_unknown_retry_safety_is_named_with_its_class() {
    let error = error_of(r#"{"classes": [{"name": "booking", "effect": "maybe"}]}"#);

    assert_eq!(error.to_string(), r#"settings: class "booking": unknown effect "maybe""#);
}

#[test]
fn an_unknown_deduplication_scope_is_named_with_its_class() {
    let error =
        error_of(r#"{"classes": [{"name": "booking", "effect": "deduplicated", "dedup_scope": "rack"}]}"#);

    assert_eq!(error.to_string(), r#"settings: class "booking": unknown dedup_scope "rack""#);
}

#[test]
fn a_missing_deduplication_scope_is_named_with_its_class() {
    let error = error_of(r#"{"classes": [{"name": "booking", "effect": "deduplicated"}]}"#);

    assert_eq!(error.to_string(), r#"settings: class "booking": dedup_scope is missing"#);
}

#[test]
fn an_unknown_scope_is_no_error_where_nothing_is_deduplicated() {
    assert!(parse(r#"{"classes": [{"effect": "idempotent", "dedup_scope": "rack"}]}"#).is_ok());
}

#[test]
fn a_value_out_of_range_goes_by_its_name_in_the_settings_object() {
    for (field, name) in [
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

        assert_eq!(error.to_string(), format!("settings: {name} is -1.5, allowed is a finite number from 0"));
    }
}

#[test]
fn other_invalid_settings_keep_the_message_of_the_core() {
    for error in [SettingsError::NoClasses, SettingsError::NoBalancers] {
        assert_eq!(InvalidSettings(error.clone()).to_string(), error.to_string());
    }
}
