use super::*;
use std::cell::Cell;
use tokio::time::sleep;

/// Returns a client whose last response is ready to be written.
fn client_with_ready_response() -> Client {
    let client = Client::new();
    client.on_head_received();
    client.on_request_received();
    client.on_response_ready();
    client
}

/// Returns a client whose only request was invalid, and whose response to it is ready to be written.
fn client_with_ready_error_response() -> Client {
    let client = Client::new();
    client.on_head_received();
    client.on_response_ready();
    client
}

/// Closes a connection whose last response takes several check intervals to write. Returns whether the
/// response was written.
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

/// An invalid request leaves its connection in state `New`, which must not cut off the error response.
#[tokio::test(flavor = "local")]
async fn a_closing_connection_waits_for_an_error_response_that_is_being_written() {
    assert!(is_slow_response_written(&client_with_ready_error_response()).await);
}

#[tokio::test(flavor = "local")]
async fn a_closing_connection_does_not_wait_for_the_rest_of_a_request() {
    let incomplete = Client::new();
    assert!(!is_slow_response_written(&incomplete).await);
    incomplete.on_head_received();
    assert!(!is_slow_response_written(&incomplete).await);
}

#[tokio::test(flavor = "local")]
async fn a_closing_connection_waits_for_a_response_that_is_being_written() {
    assert!(is_slow_response_written(&client_with_ready_response()).await);
}

#[tokio::test(flavor = "local")]
async fn a_closing_connection_ends_if_its_response_is_never_written() {
    let client = client_with_ready_response();

    wait_for_last_response(&client, pin!(std::future::pending())).await.unwrap();
}
