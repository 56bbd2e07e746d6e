use super::*;
use tokio::time::advance;

/// Length of a list of 3,200 upstreams.
const LONG_LIST_BYTES: usize = 480_000;
const CHUNK_BYTES: usize = 1400;

/// Returns how long a list without an end may arrive in chunks at this mean rate before it is given up.
async fn time_until_given_up(chunk_bytes: usize, bytes_per_second: f64) -> Duration {
    let started_at = Instant::now();
    let chunk_interval = Duration::from_secs_f64(chunk_bytes as f64 / bytes_per_second);
    let mut transfer = Transfer::start(chunk_bytes);
    while Instant::now() + chunk_interval < transfer.deadline() {
        advance(chunk_interval).await;
        transfer.record(chunk_bytes);
    }
    transfer.deadline() - started_at
}

#[tokio::test(start_paused = true)]
async fn a_list_that_keeps_arriving_is_received_up_to_the_maximum_time() {
    for seconds in [1.0, 2.0, 3.0, 4.0, 8.0] {
        let given_up_after = time_until_given_up(CHUNK_BYTES, LONG_LIST_BYTES as f64 / seconds).await;
        assert!(given_up_after > Duration::from_secs_f64(seconds), "{seconds} s: {given_up_after:?}");
        assert!(given_up_after <= MAX_TRANSFER_TIME, "{seconds} s: {given_up_after:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_list_that_stalls_is_given_up_after_the_silence_timeout() {
    let mut transfer = Transfer::start(LONG_LIST_BYTES / 2);
    advance(Duration::from_secs(1)).await;
    transfer.record(CHUNK_BYTES);

    assert_eq!(transfer.deadline(), Instant::now() + SILENCE_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_list_that_trickles_in_is_given_up_only_slightly_later_than_a_silent_one() {
    for bytes_per_second in [10.0, 1000.0] {
        let given_up_after = time_until_given_up(1, bytes_per_second).await;
        assert!(given_up_after < SILENCE_TIMEOUT.mul_f64(1.1), "{bytes_per_second} B/s: {given_up_after:?}");
    }
}
