//! Updates of the endpoint list. Once a list has arrived completely, an upstream that is draining or removed
//! in it gets no new requests, regardless of how the list is formatted and split into chunks.

mod common;

use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of endpoints in a list of the maximum size.
const MAX_ENDPOINTS: usize = 3200;

/// Returns endpoints named `s-0`, `s-1` and so on, all at the same address.
fn endpoints_at(address: SocketAddr, state: EndpointState, count: usize) -> Vec<String> {
    (0..count).map(|number| endpoint(&format!("s-{number}"), address, state)).collect()
}

/// Sends a request and asserts that it is rejected, because the only upstream accepts no new requests.
fn assert_rejected(client: &mut Client) {
    assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 503);
}

/// Waits until the proxy has closed its idle connection to an upstream, as it does when the upstream accepts
/// no new requests.
fn wait_until_idle_connection_is_closed(upstream: &StubUpstream) {
    wait_until("the idle connection is closed", || upstream.closed_connections() == 1);
}

/// Guards against requests on connections to the upstream that were open before the update.
#[test]
fn a_draining_or_removed_upstream_gets_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut setup = WatchingProxy::start_with(|config| config.discovery_mode(DiscoveryMode::Subscribe));
        let target = &setup.watch_target;
        assert!(target.contains("stream=1") && target.contains("index=1"), "{target}");

        let address = setup.upstream.address;
        setup.watch.send_line(&delta(2, &[endpoint("s-0", address, state)]));

        wait_until_idle_connection_is_closed(&setup.upstream);
        assert_rejected(&mut setup.client);
        assert_eq!(setup.upstream.requests().len(), 1);
    }
}

/// Lists may be indented, cut into chunks at any byte, and sent without a line feed at the end. Each list
/// takes effect when its last byte arrives.
#[test]
fn an_indented_list_takes_effect_when_its_last_byte_arrives() {
    let mut setup = WatchingProxy::start();
    let draining = endpoint("s-0", setup.upstream.address, EndpointState::Draining);
    let lists = format!("{}\n{}", delta(2, &[]), delta(3, &[draining]));
    let indented = lists.replace(',', ",\n  ").replace('{', "{\n    ");
    let (head, last_byte) = indented.split_at(indented.len() - 1);

    for piece in head.as_bytes().chunks(7) {
        setup.watch.send_chunk(std::str::from_utf8(piece).unwrap());
    }
    // No line feed follows.
    setup.watch.send_chunk(last_byte);

    wait_until_idle_connection_is_closed(&setup.upstream);
    assert_rejected(&mut setup.client);
    assert!(setup.discovery.try_next_call().is_none(), "a list was treated as malformed");
}

/// A list that is cut into two chunks at any byte, even within a number, is read like a list in a single
/// chunk, and the watch continues.
#[test]
fn a_list_may_be_cut_into_chunks_at_any_byte() {
    let mut setup = WatchingProxy::start();
    let address = setup.upstream.address;
    // Brackets and escaped quotes in a string must not be taken for the end of an object, array or string.
    let other = endpoint(r#"서울-\"]}{\\\u00e9\ud83d\ude00"#, unused_address(), EndpointState::Draining);
    let other = other.replace(r#""capacity_hint":1.0"#, r#""capacity_hint":-1.5E+02"#);
    let list = |state| delta(2, &[other.clone(), endpoint("s-0", address, state)]) + "\n";

    let ready = list(EndpointState::Ready);
    for cut in 1..ready.len() {
        let (head, tail) = ready.as_bytes().split_at(cut);
        setup.watch.send_in_chunks(head, head.len());
        setup.watch.send_in_chunks(tail, tail.len());
    }
    setup.watch.send_line(&list(EndpointState::Draining));

    wait_until_idle_connection_is_closed(&setup.upstream);
    assert_rejected(&mut setup.client);
    assert!(setup.discovery.try_next_call().is_none(), "the watch was restarted");
}

/// Guards against a reader whose running time grows with the length of a list times the number of its chunks,
/// instead of with the length only.
#[test]
fn a_list_of_the_maximum_size_takes_effect_when_it_arrives_in_small_chunks() {
    let setup = WatchingProxy::start();
    let address = unused_address();
    let mut endpoints = endpoints_at(address, EndpointState::Ready, MAX_ENDPOINTS);
    endpoints[0] = endpoint("s-0", address, EndpointState::Draining);
    let list = snapshot(2, &endpoints);

    setup.watch.send_in_chunks(list.as_bytes(), 16);

    wait_until_idle_connection_is_closed(&setup.upstream);
    assert!(setup.discovery.try_next_call().is_none(), "the watch was restarted");
}

/// Guards against requests to an upstream whose entry is partly malformed but names its id. The entry may
/// have announced that the upstream is draining.
#[test]
fn an_upstream_whose_entry_is_malformed_gets_no_new_requests() {
    for (from, to) in [
        (r#""pod_group":0"#, r#""pod_group":"none""#),
        (r#""state":"Terminating""#, r#""state":"Stopping""#),
        (r#""boot_ms":0"#, r#""boot_ms":null"#),
        (r#""capacity_hint":1.0"#, r#""capacity_hint":[]"#),
    ] {
        let mut setup = WatchingProxy::start();
        let draining = endpoint("s-0", setup.upstream.address, EndpointState::Draining);

        setup.watch.send_line(&delta(2, &[draining.replace(from, to)]));

        wait_until_idle_connection_is_closed(&setup.upstream);
        assert_rejected(&mut setup.client);
    }
}

/// Upstreams are identified by their id, not by their address.
#[test]
fn requests_follow_an_upstream_to_its_new_address() {
    let mut setup = WatchingProxy::start_with(|config| config.discovery_mode(DiscoveryMode::Subscribe));
    let at_old_address = &setup.upstream;
    let at_new_address = StubUpstream::start(Behavior::Respond(OK_RESPONSE));

    setup.watch.send_line(&delta(2, &[endpoint("s-0", at_new_address.address, EndpointState::Ready)]));

    wait_until("the connection to the old address of the upstream is closed", || {
        at_old_address.closed_connections() == 1
    });
    assert_eq!(setup.client.exchange(&at_most_once_request(5000, "x")).status(), 200);
    assert_eq!((at_old_address.requests().len(), at_new_address.requests().len()), (1, 1));
}

/// A line that cannot be parsed may have announced a draining upstream, so the proxy requests the complete
/// list. A malformed entry of that list affects no other entry.
#[test]
fn a_malformed_line_makes_the_proxy_request_the_complete_list() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let discovery = StubDiscovery::start();
    let mut proxy =
        ProxyConfig::new(&[]).discovery(discovery.address).discovery_mode(DiscoveryMode::Subscribe).start();
    let first_call = discovery.next_call();

    first_call.watch.send_line("");
    first_call.watch.send_line("{\"rev\":5,\"all\":tr");

    let second_call = discovery.next_call();
    assert!(second_call.target.contains("index=0"), "{}", second_call.target);
    let without_valid_uid = r#"{"uid":7,"endpoint":[],"state":"Ready"}"#.to_owned();
    let without_valid_address = r#"{"uid":"s-8","endpoint":"nowhere","state":"Ready"}"#.to_owned();
    let valid = endpoint("s-9", upstream.address, EndpointState::Ready);
    second_call.watch.send_line(&snapshot(9, &[without_valid_uid, without_valid_address, valid]));
    let mut client = proxy.connect();
    wait_until("the complete list takes effect", || {
        client.exchange(&idempotent_request(5000)).status() == 200
    });
    assert!(proxy.is_running());
}

/// Guards against fixed limits on the number of upstreams and balancers, and against a delayed start of many
/// proxies at once while discovery sends no list.
#[test]
fn proxies_with_1500_endpoints_are_ready_within_seconds_and_follow_updates() {
    const ENDPOINTS: usize = 1500;
    const BALANCERS: u32 = 1500;
    const PROXIES: usize = 10;
    let removed = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let remaining = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let discovery = StubDiscovery::start();
    let config = ProxyConfig::new(&[])
        .discovery(discovery.address)
        .balancers(BALANCERS)
        .cached_list(snapshot(1, &endpoints_at(removed.address, EndpointState::Ready, ENDPOINTS)));

    let start = Instant::now();
    let proxies: Vec<_> = (0..PROXIES).map(|_| config.launch()).collect();
    for proxy in &proxies {
        wait_until("the proxy listens", || proxy.is_listening());
        assert_eq!(proxy.connect().exchange(READINESS_CHECK).status(), 200);
        assert_eq!(proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
    }
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    assert_eq!(removed.requests().len(), PROXIES);

    let calls: Vec<_> = proxies.iter().map(|_| discovery.next_call()).collect();
    // The last endpoint moves to another address, and all others are removed.
    let mut changes = endpoints_at(removed.address, EndpointState::Removed, ENDPOINTS);
    changes[ENDPOINTS - 1] =
        endpoint(&format!("s-{}", ENDPOINTS - 1), remaining.address, EndpointState::Ready);
    for call in &calls {
        call.watch.send_line(&delta(2, &changes));
    }
    for proxy in &proxies {
        wait_until("the proxy follows the update", || {
            let requests_before = remaining.requests().len();
            proxy.connect().exchange(&idempotent_request(8000));
            remaining.requests().len() > requests_before
        });
    }
    let requests_before = removed.requests().len();
    for proxy in &proxies {
        assert_eq!(proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
    }
    assert_eq!(removed.requests().len(), requests_before, "removed endpoints should get no new requests");
}
