use super::*;

const VALID: &str = r#"{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"rev": 4, "targets": []},
    "settings": {"classes": [{"name": "a", "aim_ms": 200, "effect": "idempotent"}]}}"#;

#[test]
fn connection_limits_and_reserved_descriptors_add_up_to_the_configured_number() {
    let config = Config::parse(VALID).unwrap();

    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    let total = config.max_upstream_connections() + config.max_client_connections() + RESERVED_DESCRIPTORS;
    assert_eq!(total, 1024);
    assert!(config.cached_endpoints.contains("targets"));
}

/// A semaphore panics if it gets more permits than it can hold, which would end the process at its start.
#[test]
fn connection_limits_do_not_exceed_the_descriptors_that_a_process_can_have() {
    for sockets in [MAX_DESCRIPTORS + 1, usize::MAX] {
        let config = Config::parse(&VALID.replace("1024", &sockets.to_string())).unwrap();

        let total =
            config.max_upstream_connections() + config.max_client_connections() + RESERVED_DESCRIPTORS;
        assert_eq!(total, MAX_DESCRIPTORS, "with {sockets} configured");
    }
}

#[test]
fn an_error_names_the_invalid_field_or_value() {
    for (valid, invalid, named) in [
        ("127.0.0.1:9", "nowhere", "socket address"),
        ("8c1f", "zzzz", "seed"),
        ("1024", "20", "sockets"),
        ("1024", "1.5", "limits.sockets"),
        ("}}", "}} x", "trailing"),
        ("idempotent", "maybe", "maybe"),
    ] {
        let error = Config::parse(&VALID.replace(valid, invalid)).unwrap_err().to_string();
        assert!(error.contains(named), "{error}");
    }
}
