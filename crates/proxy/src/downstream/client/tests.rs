use super::*;
use tokio::time::advance;

const ONE_MILLISECOND: Duration = Duration::from_millis(1);

/// Returns a client that has received the response to a valid request.
fn idle_client() -> Client {
    let client = Client::new();
    client.on_head_received();
    client.on_request_received();
    client.on_response_ready();
    client
}

/// Returns a client that has received a response and has started to send its next request.
fn client_with_started_request() -> Client {
    let client = idle_client();
    client.on_bytes_received();
    client
}

/// Returns how long the connection stays open if nothing more arrives.
async fn time_until_closed(client: &Client) -> Duration {
    let start = Instant::now();
    client.evicted_or_timed_out().await;
    start.elapsed()
}

fn rank(client: &Client) -> Option<EvictionRank> {
    client.eviction_priority(Instant::now()).map(|priority| priority.rank)
}

#[tokio::test(start_paused = true)]
async fn a_new_connection_times_out_without_a_request() {
    assert_eq!(time_until_closed(&Client::new()).await, READ_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn an_invalid_request_does_not_extend_the_timeout_of_a_new_connection() {
    let client = Client::new();
    advance(Duration::from_millis(500)).await;
    client.on_head_received();
    client.on_response_ready();

    assert_eq!(client.state(), ClientState::New);
    assert_eq!(time_until_closed(&client).await, READ_TIMEOUT - Duration::from_millis(500));
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_head_times_out_from_its_first_byte() {
    let client = idle_client();
    advance(Duration::from_millis(1500)).await;
    client.on_bytes_received();

    assert_eq!(time_until_closed(&client).await, READ_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_timeout_of_the_body_leaves_time_to_write_the_response() {
    let client = client_with_started_request();
    advance(Duration::from_millis(300)).await;
    let read_deadline = client.on_head_received();

    assert_eq!(read_deadline - Instant::now(), READ_TIMEOUT - Duration::from_millis(300));
    client.evicted_or_timed_out().await;
    assert_eq!(Instant::now() - read_deadline, TIMEOUT_RESPONSE_GRACE);
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_times_out() {
    assert_eq!(time_until_closed(&idle_client()).await, IDLE_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_awaits_its_response_is_not_closed() {
    let client = Client::new();
    client.on_head_received();
    client.on_request_received();

    let closed = tokio::time::timeout(Duration::from_secs(60), client.evicted_or_timed_out()).await;

    assert!(closed.is_err());
    assert_eq!(rank(&client), None, "a waiting connection is not evicted");
}

#[tokio::test(start_paused = true)]
async fn stalled_connections_are_evicted_before_long_idle_and_active_ones() {
    let stalled_new = Client::new();
    let long_idle = idle_client();
    advance(LONG_IDLE_THRESHOLD + ONE_MILLISECOND).await;
    let stalled_request = client_with_started_request();
    advance(STALL_THRESHOLD + ONE_MILLISECOND).await;
    let reading = client_with_started_request();
    let recently_idle = idle_client();

    let now = Instant::now();
    let in_order = [&stalled_new, &stalled_request, &long_idle, &reading, &recently_idle];
    let priorities = in_order.map(|client| client.eviction_priority(now).expect("it can be evicted"));
    assert!(priorities.is_sorted(), "{priorities:?}");
    let ranks = priorities.map(|priority| priority.rank);
    assert_eq!(
        ranks,
        [
            EvictionRank::Stalled,
            EvictionRank::Stalled,
            EvictionRank::LongIdle,
            EvictionRank::Reading,
            EvictionRank::RecentlyIdle
        ]
    );
}

#[tokio::test(start_paused = true)]
async fn an_evicted_connection_closes_at_once_and_is_not_evicted_again() {
    let client = idle_client();

    client.evict();

    assert_eq!(time_until_closed(&client).await, Duration::ZERO);
    assert_eq!(rank(&client), None);
}
