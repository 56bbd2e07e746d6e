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

/// A semaphore panics if it gets more permits than it can hold, which would end the process at its start. The
/// memory limit is high enough not to limit the connections.
#[test]
fn connection_limits_do_not_exceed_the_descriptors_that_a_process_can_have() {
    let much_memory = VALID.replace("192", "1000000");
    for sockets in [MAX_DESCRIPTORS + 1, usize::MAX] {
        let config = Config::parse(&much_memory.replace("1024", &sockets.to_string())).unwrap();

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

/// A process that reaches both limits would be killed for its memory otherwise.
#[test]
fn connections_and_budgets_together_stay_within_the_memory_limit() {
    for (memory_mb, sockets) in
        [(32, 256), (32, 1024), (32, 1 << 20), (128, 1024), (192, 1024), (192, 1 << 20)]
    {
        let limits = format!(r#""memory_mb": {memory_mb}, "sockets": {sockets}}}"#);
        let valid = VALID.replace(r#""memory_mb": 192, "sockets": 1024}"#, &limits);
        let config = Config::parse(&valid).unwrap();

        let plan = config.memory_plan();
        let total = BASE_MEMORY_BYTES + plan.connections + plan.requests + plan.responses;
        assert!(total < memory_mb * BYTES_PER_MEBIBYTE, "{memory_mb} MB, {sockets} sockets: {plan:?}");
        assert!(plan.responses >= 1024 * 1024, "{memory_mb} MB, {sockets} sockets: {plan:?}");
    }
}

/// Clients may hold a third of the descriptors for their requests.
#[test]
fn the_smallest_memory_limit_leaves_a_third_of_the_descriptors_to_clients() {
    for sockets in [256, 1024] {
        let limits = format!(r#""memory_mb": 32, "sockets": {sockets}}}"#);
        let valid = VALID.replace(r#""memory_mb": 192, "sockets": 1024}"#, &limits);
        let config = Config::parse(&valid).unwrap();

        assert!(config.max_client_connections() > sockets / 3);
    }
}
