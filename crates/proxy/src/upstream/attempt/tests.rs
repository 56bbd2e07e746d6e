use super::*;
use crate::upstream::test_support::{EMPTY_RESPONSE, Fixture, UPSTREAM, post_request, respond};
use balancer_core::Availability;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;

/// An attempt may have been decided on before the list said that the upstream drains.
#[tokio::test(flavor = "local")]
async fn an_attempt_that_waits_for_a_connection_is_not_sent_to_a_draining_upstream() {
    let mut fixture = Fixture::with_max_connections(1).await;
    let in_flight = fixture.spawn_attempt(UPSTREAM);
    let mut stream = fixture.accept_request().await;
    let waiting_for_connection = fixture.spawn_attempt(UPSTREAM);
    yield_now().await;

    fixture.set_availability(Availability::Draining);
    respond(&mut stream, EMPTY_RESPONSE).await;

    assert_eq!(in_flight.await.unwrap().outcome, Outcome::Ok, "a request in flight is completed");
    assert_eq!(waiting_for_connection.await.unwrap().outcome, Outcome::NotSent);
    assert_eq!(stream.read(&mut [0; 1024]).await.unwrap_or(0), 0, "no second request was written");
}

#[tokio::test(flavor = "local")]
async fn an_abandoned_attempt_is_sent_only_if_it_was_completely_written() {
    let fixture = Fixture::with_max_connections(1).await;
    let (abandonment_guard, completely_written) = fixture.spawn_abandonable_attempt(post_request());
    let mut stream = fixture.accept_request().await;
    drop(abandonment_guard);

    // The only connection is in use.
    let (abandonment_guard, waiting_for_connection) = fixture.spawn_abandonable_attempt(post_request());
    yield_now().await;
    drop(abandonment_guard);
    assert_eq!(waiting_for_connection.await.unwrap().outcome, Outcome::NotSent);

    respond(&mut stream, EMPTY_RESPONSE).await;
    assert_eq!(completely_written.await.unwrap().outcome, Outcome::Ok, "it was completely written");

    // Far more than the kernel accepts while nobody reads.
    let large_request = OutgoingRequest { body: Bytes::from(vec![0; 64 << 20]), ..post_request() };
    let (abandonment_guard, partly_written) = fixture.spawn_abandonable_attempt(large_request);
    assert!(stream.read(&mut [0; 1]).await.unwrap() > 0, "the request has begun");
    drop(abandonment_guard);
    assert_eq!(partly_written.await.unwrap().outcome, Outcome::NotSent);
}
