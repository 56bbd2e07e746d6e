//! Defaults for missing keys, `null` and unknown values, and the conversion of durations out of range.

use balancer_core::{RequestClass, Settings, Tenant, WeightKind};
use balancer_settings::{SiteNames, duration_from_ms, parse};
use std::time::Duration;

#[test]
fn an_empty_object_gives_the_default_settings_with_weights_ignored() {
    let site = parse("{}").expect("an empty object is valid");

    assert_eq!(site.settings, Settings { weight_kind: WeightKind::Ignored, ..Settings::default() });
    assert_eq!(site.names, SiteNames::default());
}

#[test]
fn null_counts_as_a_missing_key() {
    let text = r#"{"balancers": null, "over_share_worth": null, "guarantees": {"cold_ms": null},
        "limits": {"try_limit": null, "conn_idle_ms": null}}"#;

    let site = parse(text).expect("null is valid");

    assert_eq!(site, parse("{}").expect("an empty object is valid"));
}

#[test]
fn an_unknown_value_of_an_enumerated_key_counts_as_a_missing_key() {
    for text in [
        r#"{"discovery": "unheard"}"#,
        r#"{"worth_by": "unheard"}"#,
        r#"{"weight_kind": "unheard"}"#,
        r#"{"telemetry": {"how": "unheard"}}"#,
    ] {
        let site = parse(text).expect("an unknown value is valid");

        let defaults = parse("{}").expect("an empty object is valid");
        assert_eq!((site.settings, site.names), (defaults.settings, defaults.names), "{text}");
    }
}

#[test]
fn an_empty_class_has_the_default_values() {
    let site = parse(r#"{"classes": [{}]}"#).expect("an empty class is valid");

    assert_eq!(site.settings.classes, [RequestClass::default()]);
    assert_eq!(site.names.classes, [""]);
}

#[test]
fn an_empty_tenant_has_no_quota() {
    let site = parse(r#"{"parties": [{}]}"#).expect("an empty tenant is valid");

    assert_eq!(site.settings.tenants, [Tenant { quota_per_second: 0.0 }]);
    assert_eq!(site.names.tenants, [""]);
}

#[test]
fn milliseconds_out_of_range_are_clamped_to_the_range_of_a_duration() {
    assert_eq!(duration_from_ms(1.5), Duration::from_micros(1500));
    assert_eq!(duration_from_ms(0.0), Duration::ZERO);
    assert_eq!(duration_from_ms(-1.0), Duration::ZERO);
    assert_eq!(duration_from_ms(f64::NAN), Duration::ZERO);
    assert_eq!(duration_from_ms(f64::INFINITY), Duration::MAX);
    assert_eq!(duration_from_ms(1e300), Duration::MAX);
}

/// A misspelt value that changes the behaviour must not go unreported.
#[test]
fn an_unknown_value_of_an_enumerated_key_is_reported_with_its_replacement() {
    for (text, expected) in [
        (
            r#"{"discovery": "pushed"}"#,
            r#"discovery is "pushed", which is unknown; "automatic" is used instead"#,
        ),
        (r#"{"worth_by": "bytes"}"#, r#"worth_by is "bytes", which is unknown; "request" is used instead"#),
        (r#"{"weight_kind": "exact"}"#, r#"weight_kind is "exact", which is unknown; "off" is used instead"#),
        (
            r#"{"telemetry": {"how": "always"}}"#,
            r#"telemetry.how is "always", which is unknown; "off" is used instead"#,
        ),
    ] {
        let warnings = parse(text).expect("the object is valid").warnings;

        assert_eq!(warnings.iter().map(ToString::to_string).collect::<Vec<_>>(), [expected]);
    }
    let known = r#"{"discovery": "subscribe", "worth_by": "work", "weight_kind": "off", "telemetry": {"how": "on_probe"}}"#;
    assert_eq!(parse(known).expect("the object is valid").warnings, []);
    assert_eq!(parse("{}").expect("an empty object is valid").warnings, []);
}
