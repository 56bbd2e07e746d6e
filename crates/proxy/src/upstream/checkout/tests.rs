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

/// Number of repetitions in tests for races between the proxy and the kernel.
const RACE_REPETITIONS: usize = 20;

/// Starts an attempt that uses the only connection and two attempts that wait for it, and cancels the first
/// of the two. Checks that the second one gets the connection or its slot as soon as the connection becomes
/// idle.
async fn check_that_a_waiting_attempt_gets_the_connection(waiting_for: UpstreamId) {
    let fixture = Fixture::with_max_connections(1).await;
    fixture.add_upstream(waiting_for);
    let in_flight = fixture.spawn_attempt(UPSTREAM);
    let mut stream = fixture.accept_request().await;
    let cancelled = fixture.spawn_attempt(waiting_for);
    let next_waiting = fixture.spawn_attempt(waiting_for);
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
        next_waiting.await.unwrap()
    };
    let before_expiry = Instant::now() + LONG_TIMEOUT / 4;
    let result = timeout_at(before_expiry, serve_next)
        .await
        .expect("the attempt gets a connection before idle connections expire");

    assert_eq!(result.outcome, Outcome::Ok);
}

#[tokio::test(flavor = "local")]
async fn an_idle_connection_goes_to_the_next_attempt_that_waits_for_the_same_upstream() {
    check_that_a_waiting_attempt_gets_the_connection(UPSTREAM).await;
}

#[tokio::test(flavor = "local")]
async fn an_idle_connection_is_closed_for_the_next_attempt_that_waits_for_a_different_upstream() {
    check_that_a_waiting_attempt_gets_the_connection(OTHER_UPSTREAM).await;
}

/// A deadline beyond the range of the clock must not cause a panic.
#[tokio::test(flavor = "local")]
async fn an_attempt_with_the_longest_possible_connect_timeout_succeeds() {
    let fixture = Fixture::with_connect_timeout(1, Duration::MAX).await;

    let attempt = fixture.spawn_attempt(UPSTREAM);
    let respond_to_attempt = async {
        let mut stream = fixture.accept_request().await;
        respond(&mut stream, EMPTY_RESPONSE).await;
        std::future::pending().await
    };
    let result = tokio::select! {
        result = attempt => result,
        () = respond_to_attempt => unreachable!("the responder never ends"),
    };

    assert_eq!(result.expect("the attempt does not panic").outcome, Outcome::Ok);
}

/// If the process of an upstream is gone, the proxy may never notice that a connection to it has ended.
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

/// Makes two attempts, and has the upstream send two responses to the first one. The first
/// `bytes_sent_at_once` bytes of `responses` are sent together, and the rest right before the second attempt.
/// Checks that the second attempt gets its own response on a new connection.
async fn check_that_an_unrequested_response_is_ignored(
    fixture: &Fixture,
    bytes_sent_at_once: usize,
    responses: &str,
) {
    fixture.upstreams.close_idle(UPSTREAM);
    let (now, later) = responses.split_at(bytes_sent_at_once);
    let (result, mut old_stream) = tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond(now));
    assert_eq!(result.outcome, Outcome::Ok);
    // No task runs between this write and the next attempt, so the proxy has not polled the connection since.
    assert_eq!(old_stream.try_write(later.as_bytes()).unwrap(), later.len());

    let next = async {
        tokio::join!(
            fixture.attempt(UPSTREAM),
            fixture.accept_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
        )
    };
    let (result, _new_stream) =
        timeout_at(Instant::now() + LONG_TIMEOUT, next).await.expect("a new connection is opened");

    assert_eq!(&result.response.expect("the attempt has a response").body[..], b"new");
    // Waits until the old connection has ended, which may be by a reset.
    let _ = old_stream.read(&mut [0; 1]).await;
}

/// If the connection were reused, a client would get the response to another client's request.
#[tokio::test(flavor = "local")]
async fn a_connection_with_an_unrequested_response_is_not_reused() {
    let fixture = Fixture::with_max_connections(8).await;
    let old = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    let two_responses = old.repeat(2);
    for bytes_sent_at_once in [two_responses.len(), old.len()] {
        for _ in 0..RACE_REPETITIONS {
            check_that_an_unrequested_response_is_ignored(&fixture, bytes_sent_at_once, &two_responses).await;
        }
    }
}

#[tokio::test(flavor = "local")]
async fn no_request_is_written_to_a_connection_that_the_upstream_has_just_closed() {
    let fixture = Fixture::with_max_connections(8).await;
    for _ in 0..RACE_REPETITIONS {
        let exchange =
            async { tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond(EMPTY_RESPONSE)) };
        // This times out if the request is written to the old connection, because no new one is opened then.
        let (result, stream) =
            timeout_at(Instant::now() + LONG_TIMEOUT, exchange).await.expect("a new connection is opened");

        assert_eq!(result.outcome, Outcome::Ok);
        // No task runs between the close of the connection and the next attempt.
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
    assert_eq!(result.outcome, Outcome::NotSent, "a lack of slots is not a failure of the upstream");
}

/// A listener whose accept queue is full, so that further connects to it neither succeed nor fail.
struct UnresponsiveListener {
    address: SocketAddr,
    _listener: TcpListener,
    _queued_connections: Vec<TcpStream>,
}

impl UnresponsiveListener {
    async fn start() -> Self {
        const CONNECT_HANGS_AFTER: Duration = Duration::from_millis(100);
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued_connections = Vec::new();
        while let Ok(connected) = timeout(CONNECT_HANGS_AFTER, TcpStream::connect(address)).await {
            queued_connections.push(connected.unwrap());
        }
        Self { address, _listener: listener, _queued_connections: queued_connections }
    }
}

/// The connect timeout includes the wait for a slot. If a connect that times out in the short remaining time
/// counted as a failure, upstreams without a fault would be ejected under load.
#[tokio::test(flavor = "local")]
async fn a_connect_timeout_shortened_by_the_wait_for_a_slot_is_not_an_upstream_failure() {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
    let unresponsive_listener = UnresponsiveListener::start().await;
    let fixture = Fixture::with_connect_timeout(1, CONNECT_TIMEOUT).await;
    let state = EndpointState { address: Some(unresponsive_listener.address), ..fixture.state.clone() };
    fixture.upstreams.apply_entry(OTHER_UPSTREAM, &state);
    let in_flight = fixture.spawn_attempt(UPSTREAM);
    let mut stream = fixture.accept_request().await;
    let shortened_connect = fixture.spawn_attempt(OTHER_UPSTREAM);
    sleep(CONNECT_TIMEOUT / 2).await;
    respond(&mut stream, EMPTY_RESPONSE).await;

    assert_eq!(in_flight.await.unwrap().outcome, Outcome::Ok);
    assert_eq!(shortened_connect.await.unwrap().outcome, Outcome::NotSent);
    // The same connect counts as a failure of the upstream if it has the whole connect timeout.
    assert_eq!(fixture.attempt(OTHER_UPSTREAM).await.outcome, Outcome::ConnectFailed);
}

/// `is_usable` has no deadline, so it must not depend on what the peer does. A connection whose exchange was
/// cancelled counts as ended at once, and a connection whose exchange is complete is ready at once.
#[tokio::test(flavor = "local")]
async fn is_usable_does_not_wait_for_the_peer() {
    const MAX_WAIT: Duration = Duration::from_secs(1);
    let fixture = Fixture::with_max_connections(8).await;
    let address = fixture.listener.local_addr().unwrap();

    let mut cancelled_connection = Connection::open(address, ()).await.unwrap();
    let (mut silent_peer, _) = fixture.listener.accept().await.unwrap();
    let request = post_request().to_http(LONG_TIMEOUT);
    let exchange = async {
        tokio::select! {
            _ = cancelled_connection.send(request) => panic!("the peer does not respond"),
            () = read_request(&mut silent_peer) => {}
        }
    };
    exchange.await;
    assert!(!timeout(MAX_WAIT, cancelled_connection.is_usable()).await.expect("is_usable does not wait"));

    let (result, _peer) = tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond(EMPTY_RESPONSE));
    assert_eq!(result.outcome, Outcome::Ok);
    let mut idle_connection = fixture.upstreams.pool.take(UPSTREAM).expect("the connection was kept");
    assert!(timeout(MAX_WAIT, idle_connection.is_usable()).await.expect("is_usable does not wait"));
}
