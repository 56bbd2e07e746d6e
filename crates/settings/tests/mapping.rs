//! Each key of the settings object is mapped to its field in [`Settings`], each known value to its meaning.

use balancer_core::{
    DeduplicationScope, LoadField, LoadReporting, Prices, RequestClass, RetrySafety, Settings, Tenant,
    WeightKind, ZoneId,
};
use balancer_settings::{SiteNames, load_field, parse};
use std::time::Duration;

/// A settings object with every known key. All numbers differ, so that mixed-up fields are noticed.
const OBJECT_WITH_EVERY_KEY: &str = r#"{
    "balancers": 7,
    "me": 3,
    "goal": {"slow_end": 0.41, "tail_miss": 0.42},
    "locality": 2,
    "classes": [
        {"name": "booking", "aim_ms": 101.0, "aim_stretch": 1.5, "hard_limit_ms": 102.0, "worth": 2.5,
         "late_worth": 0.35, "effect": "deduplicated", "dedup_scope": "cell", "key_ttl_ms": 103.0,
         "streamed": true},
        {"name": "deposit", "aim_ms": 104.0, "aim_stretch": 1.75, "hard_limit_ms": 105.0, "worth": 3.5,
         "late_worth": 0.36, "effect": "idempotent", "streamed": false}
    ],
    "parties": [{"name": "acme", "allowance_per_s": 11.5}, {"name": "globex", "allowance_per_s": 12.5}],
    "discovery": "subscribe",
    "failure_domains": ["gasan", "pangyo"],
    "guarantees": {"ask_every_ms": 201.0, "cold_from": 0.21, "cold_ms": 202.0, "fall_multiple": 2.25,
                   "overload_for_ms": 203.0},
    "limits": {"cancelling": false, "conn_idle_ms": 301.0, "connect_timeout_ms": 302.0,
               "cpu_us_per_request": 303.0, "max_streams": 31, "try_limit": 32, "max_retry_after_ms": 304.0,
               "may_probe": true, "second_copies": false},
    "over_share_worth": 0.45,
    "prices": {"connection": 0.51, "cross_zone": 0.52, "handshake": 0.53, "late_fail": 0.54, "probe": 0.55,
               "waste": 0.56},
    "skus": ["std3", "low4"],
    "telemetry": {"how": "inline", "fields": ["load_share", "err_ps"]},
    "weight_kind": "live",
    "worth_by": "work"
}"#;

fn expected_classes() -> Vec<RequestClass> {
    let ms = Duration::from_millis;
    vec![
        RequestClass {
            latency_objective: ms(101),
            latency_objective_stretch: 1.5,
            deadline: ms(102),
            priority_weight: 2.5,
            late_priority_weight: 0.35,
            retry_safety: RetrySafety::Deduplicated { scope: DeduplicationScope::Cell, ttl: ms(103) },
            streamed: true,
        },
        RequestClass {
            latency_objective: ms(104),
            latency_objective_stretch: 1.75,
            deadline: ms(105),
            priority_weight: 3.5,
            late_priority_weight: 0.36,
            retry_safety: RetrySafety::Idempotent,
            streamed: false,
        },
    ]
}

fn expected_settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        balancers: 7,
        index: 3,
        zone: ZoneId(2),
        classes: expected_classes(),
        tenants: vec![Tenant { quota_per_second: 11.5 }, Tenant { quota_per_second: 12.5 }],
        over_quota_weight: 0.45,
        weight_by_work: true,
        starts_watches: true,
        poll_interval: ms(201),
        slow_start_floor: 0.21,
        slow_start_duration: ms(202),
        overload_factor: 2.25,
        overload_duration: ms(203),
        max_attempts: 32,
        hedging: false,
        cancellation: false,
        health_checks: true,
        max_retry_after: ms(304),
        connect_timeout: ms(302),
        connection_idle_timeout: ms(301),
        max_streams: 31,
        tolerated_miss_ratio: Some(0.42),
        cpu_per_request: Duration::from_micros(303),
        weight_kind: WeightKind::Live,
        load_reporting: LoadReporting::Inline,
        load_report_fields: vec![LoadField::Utilization, LoadField::ErrorRate],
        prices: Prices {
            cross_zone: 0.52,
            connection: 0.51,
            handshake: 0.53,
            late_failure: 0.54,
            health_check: 0.55,
            wasted_work: 0.56,
        },
    }
}

fn parsed_settings(text: &str) -> Settings {
    parse(text).expect("the settings object is valid").settings
}

#[test]
fn every_key_is_mapped_to_its_field() {
    let site = parse(OBJECT_WITH_EVERY_KEY).expect("the settings object is valid");

    assert_eq!(site.settings, expected_settings());
}

#[test]
fn names_keep_their_order() {
    let site = parse(OBJECT_WITH_EVERY_KEY).expect("the settings object is valid");

    let expected = SiteNames {
        classes: vec!["booking".into(), "deposit".into()],
        tenants: vec!["acme".into(), "globex".into()],
        zones: vec!["gasan".into(), "pangyo".into()],
        hardware: vec!["std3".into(), "low4".into()],
    };
    assert_eq!(site.names, expected);
}

#[test]
fn unknown_keys_are_ignored() {
    let settings =
        parsed_settings(r#"{"extra": {"warm_keys": true}, "clients": {"marks_retry": false}, "tier": 4}"#);

    assert_eq!(settings, parsed_settings("{}"));
}

#[test]
fn each_effect_and_dedup_scope_is_known() {
    let deduplicated = |scope| RetrySafety::Deduplicated { scope, ttl: Duration::from_millis(5) };
    for (class, expected) in [
        (r#""effect": "idempotent""#, RetrySafety::Idempotent),
        (r#""effect": "at_most_once""#, RetrySafety::AtMostOnce),
        (r#""effect": "deduplicated", "dedup_scope": "all""#, deduplicated(DeduplicationScope::All)),
        (r#""effect": "deduplicated", "dedup_scope": "zone""#, deduplicated(DeduplicationScope::Zone)),
        (r#""effect": "deduplicated", "dedup_scope": "cell""#, deduplicated(DeduplicationScope::Cell)),
    ] {
        let settings = parsed_settings(&format!(r#"{{"classes": [{{"key_ttl_ms": 5, {class}}}]}}"#));

        assert_eq!(settings.classes[0].retry_safety, expected, "{class}");
    }
}

#[test]
fn each_weight_kind_is_known() {
    for (name, expected) in [
        ("off", WeightKind::Ignored),
        ("nominal", WeightKind::Size),
        ("rough", WeightKind::Size),
        ("live", WeightKind::Live),
    ] {
        let settings = parsed_settings(&format!(r#"{{"weight_kind": "{name}"}}"#));

        assert_eq!(settings.weight_kind, expected, "{name}");
    }
}

#[test]
fn each_kind_of_load_reporting_is_known() {
    for (name, expected) in [
        ("off", LoadReporting::Off),
        ("inline", LoadReporting::Inline),
        ("on_probe", LoadReporting::OnHealthCheck),
    ] {
        let settings = parsed_settings(&format!(r#"{{"telemetry": {{"how": "{name}"}}}}"#));

        assert_eq!(settings.load_reporting, expected, "{name}");
    }
}

#[test]
fn each_load_field_has_a_name_in_the_settings_and_another_in_load_reports() {
    for (settings_name, report_name, expected) in [
        ("concurrent", "inflight", LoadField::InFlight),
        ("depth", "queue", LoadField::Queue),
        ("load_share", "util", LoadField::Utilization),
        ("mean_ms", "latency_ms", LoadField::ServiceTimeMs),
        ("tps", "qps", LoadField::RequestRate),
        ("err_ps", "eps", LoadField::ErrorRate),
    ] {
        assert_eq!(load_field(settings_name), expected, "{settings_name}");
        assert_eq!(load_field(report_name), expected, "{report_name}");
    }
    assert_eq!(load_field("temperature"), LoadField::Other);
}

#[test]
fn an_attempt_limit_above_250_is_capped() {
    let settings = parsed_settings(r#"{"limits": {"try_limit": 1000}}"#);

    assert_eq!(settings.max_attempts, 250);
}

#[test]
fn a_tolerated_miss_ratio_applies_only_if_tail_latency_has_a_weight() {
    for (goal, expected) in [
        (r#"{"slow_end": 0.1, "tail_miss": 0.02}"#, Some(0.02)),
        (r#"{"slow_end": 0.0, "tail_miss": 0.02}"#, None),
        (r#"{"tail_miss": 0.02}"#, None),
        (r#"{"slow_end": 0.1}"#, None),
    ] {
        let settings = parsed_settings(&format!(r#"{{"goal": {goal}}}"#));

        assert_eq!(settings.tolerated_miss_ratio, expected, "{goal}");
    }
}
