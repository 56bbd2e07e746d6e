//! Start, reload and shutdown of the process: errors in the configuration, SIGHUP and SIGTERM.

mod common;

use common::*;
use std::process::{Command, Stdio};

/// Guards against a proxy that ignores an invalid part of its configuration and starts without it.
#[test]
fn an_invalid_configuration_ends_the_process_with_an_error_that_names_the_cause() {
    let path = std::env::temp_dir().join(format!("balancer-proxy-bad-{}.json", std::process::id()));
    let valid = ProxyConfig::new(&[]).to_json();
    for (from, to, cause) in [
        ("idempotent", "perhaps", "perhaps"),
        ("\"seed\"", "\"seeds\"", "seed"),
        ("\"balancers\":1", "\"balancers\":0", "balancers"),
        ("{", "[", "balancer-proxy:"),
    ] {
        std::fs::write(&path, valid.replacen(from, to, 1)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"));
        let output = command.env("NODE_CONFIG", &path).stderr(Stdio::piped()).output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && error.contains(cause), "{error}");
    }
    std::fs::remove_file(&path).unwrap();

    let mut without_path = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    let output = without_path.env_remove("NODE_CONFIG").output().unwrap();
    assert!(!output.status.success());
}

/// When a reload changes the address of discovery, the proxy starts a watch at the new address from the
/// revision that it has, and ignores the old discovery service. A malformed configuration file changes
/// nothing.
#[test]
fn a_reload_moves_the_watch_to_the_new_address_of_discovery_and_keeps_connections_open() {
    let WatchingProxy {
        upstream: old_upstream,
        discovery: old_discovery,
        config,
        mut proxy,
        mut client,
        watch: old_watch,
        ..
    } = WatchingProxy::start_with(|config| config.discovery_mode(DiscoveryMode::Subscribe));
    let new_upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let new_discovery = StubDiscovery::start();
    old_watch.send_line(&snapshot(7, &[endpoint("s-0", old_upstream.address, EndpointState::Ready)]));

    proxy.reload("{");
    wait_until("the malformed configuration file is rejected", || {
        proxy.has_logged(log_text::CONFIGURATION_REJECTED)
    });
    proxy.reload(&config.to_json());
    wait_until("the valid configuration file is read", || proxy.has_logged(log_text::CONFIGURATION_RELOADED));
    proxy.reload(&config.discovery(new_discovery.address).to_json());

    // The old watch is kept alive, so that only the reload can cause the call.
    let mut call = None;
    wait_until("the watch is started at the new address", || {
        // Fails once the proxy has ended the old watch.
        let _ = old_watch.try_send_chunk("\n");
        call = new_discovery.try_next_call();
        call.is_some()
    });
    let call = call.expect("the proxy calls the new address");
    assert!(call.target.contains("stream=1") && call.target.contains("index=7"), "{}", call.target);
    assert!(
        old_discovery.try_next_call().is_none(),
        "a reload with an unchanged address should cause no call"
    );
    drop(old_watch);
    drop(old_discovery);
    assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);
    assert_eq!(old_upstream.accepted_connections(), 1, "the connection to the upstream should stay open");
    call.watch.send_line(&snapshot(8, &[endpoint("s-1", new_upstream.address, EndpointState::Ready)]));
    wait_until("the list of the new address takes effect", || {
        client.exchange(&at_most_once_request(5000, "x"));
        !new_upstream.requests().is_empty()
    });
    assert!(new_discovery.try_next_call().is_none(), "the proxy should call the new address only once");
    assert!(proxy.is_running());
}

/// After SIGTERM readiness checks fail, each connection is closed after its next response, requests in flight
/// get their final response, and the process ends by itself.
#[test]
fn a_graceful_shutdown_responds_to_all_requests_in_flight() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let mut proxy = ProxyConfig::new(&[upstream.address]).deadline_ms(60_000).start();
    let mut active_client = proxy.connect();
    let mut idle_client = proxy.connect();
    assert_eq!(idle_client.exchange(READINESS_CHECK).status(), 200);
    active_client.send(&at_most_once_request(60_000, "x"));
    wait_until("the upstream has received the request", || upstream.requests().len() == 1);

    proxy.terminate();

    let mut status = 200;
    wait_until("the proxy reports that it is not ready", || {
        status = proxy.connect().exchange(READINESS_CHECK).status();
        status == 503
    });
    let response = active_client
        .response()
        .expect("the request in flight gets a response before its connection is closed");
    assert!(response.reports_possible_execution(), "{response:?}");
    assert!(
        idle_client.closes_without_more_data(),
        "the idle connection should be closed without a response"
    );
    assert!(proxy.wait_for_exit().success());
}

/// Guards against settings that are accepted without notice but cannot take effect as written. The proxy logs
/// them and serves requests.
#[test]
fn unknown_values_and_a_class_that_can_never_be_served_are_logged_at_startup() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let short_class = r#"{"name":"keyed","aim_ms":1,"hard_limit_ms":0.5,"effect":"idempotent"}"#;
    let config = ProxyConfig::new(&[upstream.address]).to_json();
    let keyed_class =
        &config[config.find(r#"{"name":"keyed""#).unwrap()..config.find(r#"],"discovery""#).unwrap()];
    let config = config
        .replace(keyed_class, short_class)
        .replace(r#""discovery":"automatic""#, r#""discovery":"pushed""#);
    let proxy = ProxyProcess::launch(&config, 256);
    wait_until("the proxy listens", || proxy.is_listening());

    assert!(proxy.has_logged(r#"discovery is "pushed", which is unknown; "automatic" is used instead"#));
    assert!(proxy.has_logged("hard_limit_ms is too short") && proxy.has_logged("keyed"));
    assert_eq!(proxy.connect().exchange(&at_most_once_request(5000, "x")).status(), 200);
}
