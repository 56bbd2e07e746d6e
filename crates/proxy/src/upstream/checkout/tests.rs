use super::*;
use crate::upstream::EndpointState;
use crate::upstream::test_support::{
    EMPTY_RESPONSE, Fixture, LONG_TIMEOUT, OTHER_UPSTREAM, UPSTREAM, post_request, read_request, respond,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Repetitions of tests that look for a race between this process and the kernel.
const RACE_REPETITIONS: usize = 20;

/// Starts one attempt that holds the only connection and two more that wait for it, the first of which is
/// then cancelled. Checks that the second one gets the connection, or its slot, as soon as the connection is
/// idle.
async fn check_that_a_waiting_attempt_gets_the_connection(waiting_for: UpstreamId) {
    let fixture = Fixture::with_max_connections(1).await;
    fixture.add_upstream(waiting_for);
    let in_flight = fixture.spawn_attempt(UPSTREAM);
    let mut stream = fixture.accept_request().await;
    let cancelled = fixture.spawn_attempt(waiting_for);
    let next_in_line = fixture.spawn_attempt(waiting_for);
    yield_now().await;
    cancelled.abort();

    respond(&mut stream, EMPTY_RESPONSE).await;
    assert_eq!(in_flight.await.unwrap().outcome, Outcome::Ok);
    let serve_next = async {
        if waiting_for != UPSTREAM {
            stream = fixture.listener.accept().await.unwrap().0;
        }
        read_request(&mut stream).await;
        respond(&mut stream, EMPTY_RESPONSE).await;
        next_in_line.await.unwrap()
    };
    let before_expiry = Instant::now() + LONG_TIMEOUT / 4;
    let result = timeout_at(before_expiry, serve_next).await.expect("before idle connections expire");

    assert_eq!(result.outcome, Outcome::Ok);
}

#[tokio::test(flavor = "local")]
async fn an_idle_connection_goes_to_the_next_attempt_that_waits_for_the_same_upstream() {
    check_that_a_waiting_attempt_gets_the_connection(UPSTREAM).await;
}

#[tokio::test(flavor = "local")]
async fn an_idle_connection_is_closed_for_the_next_attempt_that_waits_for_another_upstream() {
    check_that_a_waiting_attempt_gets_the_connection(OTHER_UPSTREAM).await;
}

/// A timeout that ends beyond the range of the clock must not end the process.
#[tokio::test(flavor = "local")]
async fn the_longest_connect_timeout_that_settings_can_state_is_served() {
    let fixture = Fixture::with_connect_timeout(1, Duration::MAX).await;

    let attempt = fixture.spawn_attempt(UPSTREAM);
    let respond_to_it = async {
        let mut stream = fixture.accept_request().await;
        respond(&mut stream, EMPTY_RESPONSE).await;
        std::future::pending().await
    };
    let result = tokio::select! {
        result = attempt => result,
        () = respond_to_it => unreachable!("it never ends"),
    };

    assert_eq!(result.expect("no panic").outcome, Outcome::Ok);
}

/// The end of a connection to a process that is gone may never be seen.
#[tokio::test(flavor = "local")]
async fn a_connection_is_not_kept_if_the_upstream_restarted_while_it_was_in_use() {
    let mut fixture = Fixture::with_max_connections(8).await;
    for started_at_unix_ms in [0, 5, 5] {
        let started_at_unix_ms_before = fixture.state.started_at_unix_ms;
        let attempt = fixture.spawn_attempt(UPSTREAM);
        let mut stream = fixture.accept_request().await;

        fixture.set_started_at_unix_ms(started_at_unix_ms);
        respond(&mut stream, EMPTY_RESPONSE).await;
        assert_eq!(attempt.await.unwrap().outcome, Outcome::Ok);

        let kept = fixture.upstreams.pool.take(UPSTREAM);
        assert_eq!(
            kept.is_some(),
            started_at_unix_ms == started_at_unix_ms_before,
            "from {started_at_unix_ms_before} to {started_at_unix_ms}"
        );
    }
}

/// Sends a response and a second, unrequested one on the same connection: `at_once` of their bytes together,
/// the rest right before the next attempt. Checks that this attempt gets its own response, on a new
/// connection.
async fn check_that_an_unrequested_response_is_ignored(fixture: &Fixture, at_once: usize, responses: &str) {
    fixture.upstreams.close_idle(UPSTREAM);
    let (now, later) = responses.split_at(at_once);
    let (result, mut old_stream) = tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond(now));
    assert_eq!(result.outcome, Outcome::Ok);
    // No task runs between this and the next attempt, so that the balancer has not polled the stream.
    assert_eq!(old_stream.try_write(later.as_bytes()).unwrap(), later.len());

    let next = async {
        tokio::join!(
            fixture.attempt(UPSTREAM),
            fixture.accept_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
        )
    };
    let (result, _new_stream) =
        timeout_at(Instant::now() + LONG_TIMEOUT, next).await.expect("a new connection");

    assert_eq!(&result.response.expect("a response").body[..], b"new");
    // Waits for the end of the old connection, which may be a reset.
    let _ = old_stream.read(&mut [0; 1]).await;
}

/// Otherwise a client would get the response to another client's request.
#[tokio::test(flavor = "local")]
async fn a_connection_with_an_unrequested_response_is_not_reused() {
    let fixture = Fixture::with_max_connections(8).await;
    let old = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    let twice = old.repeat(2);
    for at_once in [twice.len(), old.len()] {
        for _ in 0..RACE_REPETITIONS {
            check_that_an_unrequested_response_is_ignored(&fixture, at_once, &twice).await;
        }
    }
}

#[tokio::test(flavor = "local")]
async fn a_connection_that_the_upstream_has_just_closed_is_not_written_to() {
    let fixture = Fixture::with_max_connections(8).await;
    for _ in 0..RACE_REPETITIONS {
        let exchange =
            async { tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond(EMPTY_RESPONSE)) };
        // If the request is written to the old connection, no new one is opened.
        let (result, stream) =
            timeout_at(Instant::now() + LONG_TIMEOUT, exchange).await.expect("a new connection");

        assert_eq!(result.outcome, Outcome::Ok);
        // No task runs between this and the next attempt.
        drop(stream);
    }
}

#[tokio::test(flavor = "local")]
async fn open_connections_stay_within_the_limit() {
    let fixture = Fixture::with_max_connections(1).await;
    fixture.add_upstream(OTHER_UPSTREAM);

    for id in [UPSTREAM, OTHER_UPSTREAM] {
        let (result, _stream) = tokio::join!(fixture.attempt(id), fixture.accept_and_respond(EMPTY_RESPONSE));
        assert_eq!(result.outcome, Outcome::Ok);
        assert_eq!(fixture.upstreams.pool.open_connections(), 1);
    }

    let _only_slot = fixture.upstreams.pool.acquire_slot(UPSTREAM).await;
    let result = fixture.attempt_within(UPSTREAM, Duration::from_millis(50)).await;
    assert_eq!(result.outcome, Outcome::NotSent, "a lack of slots says nothing about the upstream");
}

/// An upstream that accepts no more connections: connects to it neither succeed nor fail.
struct UnresponsiveListener {
    address: SocketAddr,
    _listener: TcpListener,
    _backlog: Vec<TcpStream>,
}

impl UnresponsiveListener {
    async fn start() -> Self {
        const CONNECT_HANGS: Duration = Duration::from_millis(100);
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(connected) = timeout(CONNECT_HANGS, TcpStream::connect(address)).await {
            backlog.push(connected.unwrap());
        }
        Self { address, _listener: listener, _backlog: backlog }
    }
}

/// Upstreams that are merely crowded on this side would be ejected under load.
#[tokio::test(flavor = "local")]
async fn a_connect_that_was_cut_short_by_the_wait_for_a_slot_says_nothing_about_the_upstream() {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
    let unresponsive = UnresponsiveListener::start().await;
    let fixture = Fixture::with_connect_timeout(1, CONNECT_TIMEOUT).await;
    let state = EndpointState { address: Some(unresponsive.address), ..fixture.state.clone() };
    fixture.upstreams.apply_entry(OTHER_UPSTREAM, &state);
    let in_flight = fixture.spawn_attempt(UPSTREAM);
    let mut stream = fixture.accept_request().await;
    let cut_short = fixture.spawn_attempt(OTHER_UPSTREAM);
    sleep(CONNECT_TIMEOUT / 2).await;
    respond(&mut stream, EMPTY_RESPONSE).await;

    assert_eq!(in_flight.await.unwrap().outcome, Outcome::Ok);
    assert_eq!(cut_short.await.unwrap().outcome, Outcome::NotSent);
    // The same connect with all of its time is a failure of the upstream.
    assert_eq!(fixture.attempt(OTHER_UPSTREAM).await.outcome, Outcome::ConnectFailed);
}

/// `is_usable` waits without a deadline. It never has to wait for a peer: a connection whose exchange was given
/// up counts as ended at once, and one whose exchange is complete is ready.
#[tokio::test(flavor = "local")]
async fn whether_a_connection_is_usable_does_not_depend_on_what_its_peer_does_next() {
    const NOT_WAITING: Duration = Duration::from_secs(1);
    let fixture = Fixture::with_max_connections(8).await;
    let address = fixture.listener.local_addr().unwrap();

    let mut given_up = Connection::open(address, ()).await.unwrap();
    let (mut silent_peer, _) = fixture.listener.accept().await.unwrap();
    let request = post_request().to_http(LONG_TIMEOUT);
    let exchange = async {
        tokio::select! {
            _ = given_up.send(request) => panic!("nobody responds"),
            () = read_request(&mut silent_peer) => {}
        }
    };
    exchange.await;
    assert!(!timeout(NOT_WAITING, given_up.is_usable()).await.expect("no wait"));

    let (result, _peer) = tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond(EMPTY_RESPONSE));
    assert_eq!(result.outcome, Outcome::Ok);
    let mut idle = fixture.upstreams.pool.take(UPSTREAM).expect("a kept connection");
    assert!(timeout(NOT_WAITING, idle.is_usable()).await.expect("no wait"));
}
