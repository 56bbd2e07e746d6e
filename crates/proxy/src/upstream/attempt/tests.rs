use super::*;
use crate::upstream::test_support::{EMPTY_RESPONSE, Fixture, UPSTREAM, post_request, respond};
use balancer_core::Availability;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;

/// An upstream may begin to drain after the balancer has decided to send it an attempt, while the attempt
/// still waits for a connection.
#[tokio::test(flavor = "local")]
async fn an_attempt_waiting_for_a_connection_is_not_sent_once_its_upstream_drains() {
    let mut fixture = Fixture::with_max_connections(1).await;
    let in_flight = fixture.spawn_attempt(UPSTREAM);
    let mut stream = fixture.accept_request().await;
    let waiting_for_connection = fixture.spawn_attempt(UPSTREAM);
    yield_now().await;

    fixture.set_availability(Availability::Draining);
    respond(&mut stream, EMPTY_RESPONSE).await;

    assert_eq!(in_flight.await.unwrap().outcome, Outcome::Ok, "the request in flight is completed");
    assert_eq!(waiting_for_connection.await.unwrap().outcome, Outcome::NotSent);
    assert_eq!(stream.read(&mut [0; 1024]).await.unwrap_or(0), 0, "no second request was written");
}

#[tokio::test(flavor = "local")]
async fn an_abandoned_attempt_ends_as_not_sent_unless_its_request_was_completely_written() {
    let fixture = Fixture::with_max_connections(1).await;
    let (abandonment_guard, completely_written) = fixture.spawn_abandonable_attempt(post_request());
    let mut stream = fixture.accept_request().await;
    drop(abandonment_guard);

    // The only connection is still in use.
    let (abandonment_guard, waiting_for_connection) = fixture.spawn_abandonable_attempt(post_request());
    yield_now().await;
    drop(abandonment_guard);
    assert_eq!(waiting_for_connection.await.unwrap().outcome, Outcome::NotSent);

    respond(&mut stream, EMPTY_RESPONSE).await;
    assert_eq!(completely_written.await.unwrap().outcome, Outcome::Ok, "the whole request was written");

    // Much more than the kernel accepts while the peer does not read.
    let large_request = OutgoingRequest { body: Bytes::from(vec![0; 64 << 20]), ..post_request() };
    let (abandonment_guard, partly_written) = fixture.spawn_abandonable_attempt(large_request);
    assert!(stream.read(&mut [0; 1]).await.unwrap() > 0, "a part of the request has arrived");
    drop(abandonment_guard);
    assert_eq!(partly_written.await.unwrap().outcome, Outcome::NotSent);
}
