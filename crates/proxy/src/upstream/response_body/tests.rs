use super::*;
use crate::upstream::test_support::{Fixture, LONG_TIMEOUT, MAX_LENGTH_BODIES_IN_BUDGET, UPSTREAM, respond};
use balancer_core::Outcome;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Maximum length of a body that does not reserve the maximum.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;

fn chunk(length: usize) -> String {
    format!("{length:x}\r\n{}\r\n", "y".repeat(length))
}

/// The budget is large enough for four of the ten bodies, so the next two are refused. Then all bodies are
/// dropped. Responses with and without `Content-Length` alternate.
#[tokio::test(flavor = "local")]
async fn large_bodies_are_accepted_while_the_budget_lasts_and_release_their_bytes_when_dropped() {
    let fixture = Fixture::with_max_connections(8).await;
    let body = "y".repeat(MAX_RESPONSE_BODY_BYTES);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let chunked = format!("{CHUNKED_HEAD}{}{LAST_CHUNK}", chunk(MAX_RESPONSE_BODY_BYTES));
    let mut held_responses = Vec::new();
    for n in 0..10 {
        fixture.upstreams.close_idle(UPSTREAM);
        let response = if n % 2 == 0 { &with_length } else { &chunked };
        let (result, ()) = tokio::join!(fixture.attempt(UPSTREAM), async {
            drop(fixture.accept_and_respond_until_closed(response).await);
        });

        let budget_exhausted = (4..=5).contains(&n);
        if budget_exhausted {
            assert_eq!(result.outcome, Outcome::Cancelled, "{n}");
        } else {
            let response = result.response.expect("the budget suffices");
            assert_eq!(response.body.len(), MAX_RESPONSE_BODY_BYTES);
            held_responses.push(response);
        }
        if n == 5 {
            held_responses.clear();
        }
    }
}

#[tokio::test(flavor = "local")]
async fn a_large_body_without_a_stated_length_reserves_the_maximum_while_it_is_received() {
    let fixture = Fixture::with_max_connections(8).await;
    let budget = &fixture.upstreams.response_memory;
    let all_but_one_body = (MAX_LENGTH_BODIES_IN_BUDGET - 1) * MAX_RESPONSE_BODY_BYTES;
    let _other_bodies = budget.try_reserve(all_but_one_body).expect("the budget is unused");
    let body_length = 2 * MAX_SMALL_BODY_BYTES;
    let unfinished_response = format!("{CHUNKED_HEAD}{}", chunk(body_length));

    let first = fixture.spawn_attempt(UPSTREAM);
    let mut first_stream = fixture.accept_request().await;
    respond(&mut first_stream, &unfinished_response).await;
    let budget_exhausted = async {
        while budget.try_reserve(1).is_ok() {
            yield_now().await;
        }
    };
    timeout_at(Instant::now() + LONG_TIMEOUT, budget_exhausted).await.expect("the maximum is reserved");

    let whole_response = format!("{unfinished_response}{LAST_CHUNK}");
    let (second, ()) = tokio::join!(fixture.attempt(UPSTREAM), async {
        drop(fixture.accept_and_respond_until_closed(&whole_response).await);
    });
    assert_eq!(second.outcome, Outcome::Cancelled, "the budget is exhausted");

    respond(&mut first_stream, LAST_CHUNK).await;
    let response = first.await.unwrap().response.expect("the first response keeps its reservation");
    assert_eq!(response.body.len(), body_length);
    let released_bytes = budget.try_reserve(MAX_RESPONSE_BODY_BYTES - body_length);
    assert!(released_bytes.is_ok(), "the first response has released the bytes that it does not need");
}
