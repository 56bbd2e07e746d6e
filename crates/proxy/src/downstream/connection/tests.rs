use super::*;
use std::cell::Cell;
use tokio::time::sleep;

/// A client whose last response is ready, but perhaps not written yet.
fn client_with_ready_response() -> Client {
    let client = Client::new();
    client.head_received();
    client.request_received();
    client.response_ready();
    client
}

/// A client whose only request was invalid, and whose response is perhaps not written yet.
fn client_with_ready_error() -> Client {
    let client = Client::new();
    client.head_received();
    client.response_ready();
    client
}

/// Waits for a response that takes several checks to write. Returns whether it was written.
async fn is_slow_response_written(client: &Client) -> bool {
    let is_written = Cell::new(false);
    let slow_write = pin!(async {
        sleep(3 * CLOSE_CHECK_INTERVAL).await;
        is_written.set(true);
        Ok(())
    });
    wait_for_last_response(client, slow_write).await.unwrap();
    is_written.get()
}

/// A peer that sent an invalid request is owed its error, too.
#[tokio::test(flavor = "local")]
async fn a_closing_connection_waits_for_an_error_that_is_being_written() {
    assert!(is_slow_response_written(&client_with_ready_error()).await);
}

#[tokio::test(flavor = "local")]
async fn a_closing_connection_does_not_wait_for_the_rest_of_a_request() {
    let incomplete = Client::new();
    assert!(!is_slow_response_written(&incomplete).await);
    incomplete.head_received();
    assert!(!is_slow_response_written(&incomplete).await);
}

#[tokio::test(flavor = "local")]
async fn a_closing_connection_waits_for_a_response_that_is_being_written() {
    assert!(is_slow_response_written(&client_with_ready_response()).await);
}

#[tokio::test(flavor = "local")]
async fn a_response_that_is_never_written_is_given_up() {
    let client = client_with_ready_response();

    wait_for_last_response(&client, pin!(std::future::pending())).await.unwrap();
}
