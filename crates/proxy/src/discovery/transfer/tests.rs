use super::*;
use tokio::time::advance;

/// The length of a list of 3,200 upstreams.
const LONG_LIST_BYTES: usize = 480_000;
const PIECE_BYTES: usize = 1400;

/// How long a list is followed that arrives in pieces at this rate and never ends.
async fn followed_for(piece_bytes: usize, bytes_per_second: f64) -> Duration {
    let began_at = Instant::now();
    let pause = Duration::from_secs_f64(piece_bytes as f64 / bytes_per_second);
    let mut transfer = Transfer::begin(piece_bytes);
    while Instant::now() + pause < transfer.gives_up_at() {
        advance(pause).await;
        transfer.record(piece_bytes);
    }
    transfer.gives_up_at() - began_at
}

#[tokio::test(start_paused = true)]
async fn a_list_that_keeps_arriving_is_followed_up_to_the_longest_time() {
    for seconds in [1.0, 2.0, 3.0, 4.0, 8.0] {
        let followed_for = followed_for(PIECE_BYTES, LONG_LIST_BYTES as f64 / seconds).await;
        assert!(followed_for > Duration::from_secs_f64(seconds), "{seconds} s: {followed_for:?}");
        assert!(followed_for <= MAX_TRANSFER_TIME, "{seconds} s: {followed_for:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_list_that_stalls_is_given_up_after_the_silence_timeout() {
    let mut transfer = Transfer::begin(LONG_LIST_BYTES / 2);
    advance(Duration::from_secs(1)).await;
    transfer.record(PIECE_BYTES);

    assert_eq!(transfer.gives_up_at(), Instant::now() + SILENCE_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_list_that_trickles_in_is_given_up_hardly_later_than_a_silent_one() {
    for bytes_per_second in [10.0, 1000.0] {
        let followed_for = followed_for(1, bytes_per_second).await;
        assert!(followed_for < SILENCE_TIMEOUT.mul_f64(1.1), "{bytes_per_second} B/s: {followed_for:?}");
    }
}
