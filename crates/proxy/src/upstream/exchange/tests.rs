use super::*;
use crate::upstream::test_support::{Fixture, LONG_TIMEOUT, MAX_LENGTH_BODIES_IN_BUDGET, UPSTREAM};
use tokio::time::{Instant, timeout_at};

/// Makes an attempt to which the upstream sends `response` on a new connection that stays open. Returns the
/// outcome of the attempt.
async fn outcome_of(fixture: &Fixture, response: &str) -> Outcome {
    let exchange =
        async { tokio::join!(fixture.attempt(UPSTREAM), fixture.accept_and_respond_until_closed(response)) };
    let (result, _stream) =
        timeout_at(Instant::now() + LONG_TIMEOUT, exchange).await.expect("a new connection is opened");
    result.outcome
}

/// An upstream that occasionally sends a malformed response is alive. The attempt must end at once with an
/// error, not a reset, and the connection must not be reused.
#[tokio::test(flavor = "local")]
async fn a_malformed_response_is_an_error_and_not_a_reset() {
    let fixture = Fixture::with_max_connections(8).await;
    let head_too_long = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(80 * 1024));
    let body_too_long =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n110000\r\n{}", "y".repeat(0x11_0000));
    for response in [
        "\u{1}\u{2} noise \r\n\r\n",
        "HTTP/1.1 2x0 OK\r\n\r\n",
        &head_too_long,
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndone",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        &body_too_long,
    ] {
        let outcome = outcome_of(&fixture, response).await;
        assert_eq!(outcome, Outcome::Error, "{:?}", &response[..response.len().min(80)]);
    }
    // This attempt needs a new connection as well, although the last one is still open.
    let informational_first = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(outcome_of(&fixture, informational_first).await, Outcome::Ok);
}

#[tokio::test(flavor = "local")]
async fn a_connection_that_ends_before_the_response_is_complete_is_a_reset() {
    let fixture = Fixture::with_max_connections(8).await;
    for response in ["", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"] {
        let (result, ()) = tokio::join!(fixture.attempt(UPSTREAM), async {
            drop(fixture.accept_and_respond(response).await);
        });
        assert_eq!(result.outcome, Outcome::Reset, "{response:?}");
    }
}

/// The budget for large bodies belongs to the proxy. An upstream that responds correctly must not be
/// ejected because the budget is exhausted.
#[tokio::test(flavor = "local")]
async fn a_large_body_that_exceeds_the_budget_is_not_an_upstream_failure() {
    let fixture = Fixture::with_max_connections(8).await;
    let whole_budget = MAX_LENGTH_BODIES_IN_BUDGET * MAX_RESPONSE_BODY_BYTES;
    let reservation =
        fixture.upstreams.response_memory.try_reserve(whole_budget).expect("the budget is unused");
    let body = "y".repeat(200_000);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );

    assert_eq!(outcome_of(&fixture, &with_length).await, Outcome::Cancelled);
    assert_eq!(outcome_of(&fixture, &chunked).await, Outcome::Cancelled);

    drop(reservation);
    assert_eq!(outcome_of(&fixture, &with_length).await, Outcome::Ok);
}
