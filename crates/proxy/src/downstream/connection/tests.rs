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

#[tokio::test(flavor = "local")]
async fn a_closing_connection_waits_for_a_response_that_is_being_written() {
    let client = client_with_ready_response();
    let is_written = Cell::new(false);
    let slow_write = pin!(async {
        sleep(3 * CLOSE_CHECK_INTERVAL).await;
        is_written.set(true);
        Ok(())
    });

    wait_for_last_response(&client, slow_write).await.unwrap();

    assert!(is_written.get());
}

#[tokio::test(flavor = "local")]
async fn a_response_that_is_never_written_is_given_up() {
    let client = client_with_ready_response();

    wait_for_last_response(&client, pin!(std::future::pending())).await.unwrap();
}
