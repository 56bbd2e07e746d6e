//! Updates of the endpoint list: from the moment that a list is complete, a draining or removed upstream gets
//! no new requests, in whatever chunks and layout the list came.

mod common;

use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Endpoints in a list of the largest size.
const MAX_ENDPOINTS: usize = 3200;

/// Endpoints named `s-0` and so on, all at one address.
fn endpoints_at(address: SocketAddr, state: EndpointState, count: usize) -> Vec<String> {
    (0..count).map(|number| endpoint(&format!("s-{number}"), address, state)).collect()
}

/// Sends a request that must be rejected, as the only upstream takes none.
fn assert_rejected(client: &mut Client) {
    assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 503);
}

/// Waits until the proxy has closed the idle connection to an upstream, as it does once that takes no more
/// requests.
fn wait_until_idle_connection_is_closed(upstream: &StubUpstream) {
    wait_until("the idle connection is closed", || upstream.closed_connections() == 1);
}

/// That holds for connections that are still open, too.
#[test]
fn a_draining_or_removed_upstream_gets_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut watching =
            WatchingProxy::start_with(|config| config.discovery_mode(DiscoveryMode::Subscribe));
        let target = &watching.target;
        assert!(target.contains("stream=1") && target.contains("index=1"), "{target}");

        let address = watching.upstream.address;
        watching.watch.send_line(&delta(2, &[endpoint("s-0", address, state)]));

        wait_until_idle_connection_is_closed(&watching.upstream);
        assert_rejected(&mut watching.client);
        assert_eq!(watching.upstream.requests().len(), 1);
    }
}

/// Lists may be indented, cut into chunks anywhere, and follow each other without a line end. Each counts
/// with its last byte.
#[test]
fn an_indented_list_takes_effect_with_its_last_byte() {
    let mut watching = WatchingProxy::start();
    let draining = endpoint("s-0", watching.upstream.address, EndpointState::Draining);
    let lists = format!("{}\n{}", delta(2, &[]), delta(3, &[draining]));
    let indented = lists.replace(',', ",\n  ").replace('{', "{\n    ");
    let (head, last_byte) = indented.split_at(indented.len() - 1);

    for piece in head.as_bytes().chunks(7) {
        watching.watch.send_chunk(std::str::from_utf8(piece).unwrap());
    }
    // No line end follows.
    watching.watch.send_chunk(last_byte);

    wait_until_idle_connection_is_closed(&watching.upstream);
    assert_rejected(&mut watching.client);
    assert!(watching.discovery.try_next_call().is_none(), "no list was taken for malformed");
}

/// Wherever a list is cut into two chunks, even inside a number, it is read like one in a single chunk and
/// the watch continues.
#[test]
fn a_list_may_be_cut_into_chunks_at_any_byte() {
    let mut watching = WatchingProxy::start();
    let address = watching.upstream.address;
    // Brackets and quotes in a string don't end anything.
    let other = endpoint(r#"서울-\"]}{\\\u00e9\ud83d\ude00"#, unused_address(), EndpointState::Draining);
    let other = other.replace(r#""capacity_hint":1.0"#, r#""capacity_hint":-1.5E+02"#);
    let list = |state| delta(2, &[other.clone(), endpoint("s-0", address, state)]) + "\n";

    let ready = list(EndpointState::Ready);
    for cut in 1..ready.len() {
        let (head, tail) = ready.as_bytes().split_at(cut);
        watching.watch.send_in_chunks(head, head.len());
        watching.watch.send_in_chunks(tail, tail.len());
    }
    watching.watch.send_line(&list(EndpointState::Draining));

    wait_until_idle_connection_is_closed(&watching.upstream);
    assert_rejected(&mut watching.client);
    assert!(watching.discovery.try_next_call().is_none(), "the watch was begun again");
}

/// The time to read a list must grow with its length, not with its length times the number of chunks.
#[test]
fn a_list_of_the_largest_size_takes_effect_when_it_comes_in_small_chunks() {
    let watching = WatchingProxy::start();
    let address = unused_address();
    let mut endpoints = endpoints_at(address, EndpointState::Ready, MAX_ENDPOINTS);
    endpoints[0] = endpoint("s-0", address, EndpointState::Draining);
    let list = snapshot(2, &endpoints);

    watching.watch.send_in_chunks(list.as_bytes(), 16);

    wait_until_idle_connection_is_closed(&watching.upstream);
    assert!(watching.discovery.try_next_call().is_none(), "the watch was begun again");
}

/// An entry that is partly malformed still says which upstream it is about. It may have announced that this
/// one drains.
#[test]
fn an_upstream_whose_entry_is_malformed_gets_no_new_requests() {
    for (from, to) in [
        (r#""pod_group":0"#, r#""pod_group":"none""#),
        (r#""state":"Terminating""#, r#""state":"Stopping""#),
        (r#""boot_ms":0"#, r#""boot_ms":null"#),
        (r#""capacity_hint":1.0"#, r#""capacity_hint":[]"#),
    ] {
        let mut watching = WatchingProxy::start();
        let draining = endpoint("s-0", watching.upstream.address, EndpointState::Draining);

        watching.watch.send_line(&delta(2, &[draining.replace(from, to)]));

        wait_until_idle_connection_is_closed(&watching.upstream);
        assert_rejected(&mut watching.client);
    }
}

/// An upstream is known by its id, not by its address.
#[test]
fn requests_follow_an_upstream_to_its_new_address() {
    let mut watching = WatchingProxy::start_with(|config| config.discovery_mode(DiscoveryMode::Subscribe));
    let before = &watching.upstream;
    let after = StubUpstream::start(Behavior::Respond(OK_RESPONSE));

    watching.watch.send_line(&delta(2, &[endpoint("s-0", after.address, EndpointState::Ready)]));

    wait_until("the connection to the old address is closed", || before.closed_connections() == 1);
    assert_eq!(watching.client.exchange(&at_most_once_request(5000, "x")).status(), 200);
    assert_eq!((before.requests().len(), after.requests().len()), (1, 1));
}

/// A line that can't be read may have announced a draining upstream, so the complete list is fetched. A
/// malformed entry of that list affects no other.
#[test]
fn a_malformed_line_has_the_complete_list_fetched() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let discovery = StubDiscovery::start();
    let mut proxy =
        ProxyConfig::new(&[]).discovery(discovery.address).discovery_mode(DiscoveryMode::Subscribe).start();
    let first = discovery.next_call();

    first.watch.send_line("");
    first.watch.send_line("{\"rev\":5,\"all\":tr");

    let second = discovery.next_call();
    assert!(second.target.contains("index=0"), "{}", second.target);
    let without_valid_uid = r#"{"uid":7,"endpoint":[],"state":"Ready"}"#.to_owned();
    let without_valid_address = r#"{"uid":"s-8","endpoint":"nowhere","state":"Ready"}"#.to_owned();
    let valid = endpoint("s-9", upstream.address, EndpointState::Ready);
    second.watch.send_line(&snapshot(9, &[without_valid_uid, without_valid_address, valid]));
    let mut client = proxy.connect();
    wait_until("the list takes effect", || client.exchange(&idempotent_request(5000)).status() == 200);
    assert!(proxy.is_running());
}

/// Neither the number of upstreams nor of balancers is limited to some round number, and many proxies that
/// start at once are ready soon though discovery does not send a list.
#[test]
fn proxies_with_thousands_of_endpoints_are_ready_within_seconds_and_follow_updates() {
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
    // The last endpoint moves, all others are removed.
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
    assert_eq!(removed.requests().len(), requests_before, "removed endpoints get no new requests");
}
