//! Tests of requests and their attempts.

use super::*;

/// A response of an upstream without a body.
const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn post_request(target: &'static str) -> IncomingRequest {
    IncomingRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        deadline: Instant::now() + LONG_TIMEOUT,
        expected_work_ms: None,
        is_client_retry: false,
        outgoing: OutgoingRequest {
            method: Method::POST,
            target: Uri::from_static(target),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
    }
}

/// Where the settings forbid cancelling, an attempt that waits for a connection is still not sent once its
/// client has disconnected, while an attempt that has been sent goes on.
#[tokio::test(flavor = "local")]
async fn a_request_whose_client_disconnected_while_it_waited_is_not_sent() {
    let upstream = listen().await;
    let driver = driver_with_one_connection(&upstream);
    let first = driver.submit(post_request("/first"));
    let (mut stream, _) = upstream.accept().await.unwrap();
    assert!(read(&mut stream).await.starts_with("POST /first"));
    // The first request uses the only connection, so both of these wait for it.
    let second = driver.submit(post_request("/second"));
    let third = driver.submit(post_request("/third"));
    yield_now().await;

    drop(second);
    drop(first);
    stream.write_all(EMPTY_RESPONSE).await.unwrap();
    let next = read(&mut stream).await;
    stream.write_all(EMPTY_RESPONSE).await.unwrap();

    assert!(next.starts_with("POST /third"), "{next:?}");
    assert!(matches!(third.response().await, FinalResponse::Served(_)));
}

/// At the end of the process, a request fails only if it may have been executed. A client may send a rejected
/// request again, but not one that failed.
#[tokio::test(flavor = "local")]
async fn aborting_all_attempts_rejects_requests_that_were_never_sent() {
    let upstream = listen().await;
    let driver = driver_with_one_connection(&upstream);
    let sent = driver.submit(post_request("/sent"));
    let (mut stream, _) = upstream.accept().await.unwrap();
    assert!(read(&mut stream).await.starts_with("POST /sent"));
    // The only connection is in use, so this request waits for it.
    let waiting = driver.submit(post_request("/waiting"));
    yield_now().await;

    driver.abort_all_attempts();

    assert!(matches!(sent.response().await, FinalResponse::Failed));
    assert!(matches!(waiting.response().await, FinalResponse::Rejected { .. }));
    let later = driver.submit(post_request("/later"));
    assert!(matches!(later.response().await, FinalResponse::Rejected { .. }));
}
