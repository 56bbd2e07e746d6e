use super::*;

const ONE_SECOND: Duration = Duration::from_secs(1);
/// Unix times are whole milliseconds, the start of the clock is not.
const ROUNDING: Duration = Duration::from_millis(1);

/// Unix time of the start of a clock, in milliseconds.
fn start_unix_ms(clock: &Clock) -> u64 {
    clock.started_at_unix.as_millis() as u64
}

#[tokio::test(start_paused = true)]
async fn times_before_the_start_are_on_the_clock() {
    let clock = Clock::start();
    let time = clock.at_unix_ms(start_unix_ms(&clock) - 1000).unwrap();
    assert!(time <= TIME_AT_START - ONE_SECOND && time > TIME_AT_START - ONE_SECOND - ROUNDING, "{time:?}");
}

#[tokio::test(start_paused = true)]
async fn times_an_hour_before_the_start_are_not_on_the_clock() {
    let clock = Clock::start();
    let hour_before = start_unix_ms(&clock) - TIME_AT_START.as_millis() as u64;
    assert_eq!(clock.at_unix_ms(hour_before), None);
    assert_eq!(clock.at_unix_ms(0), None);
    assert!(clock.at_unix_ms(hour_before + 1).is_some());
}

#[tokio::test(start_paused = true)]
async fn times_in_the_future_count_as_the_present() {
    let clock = Clock::start();
    let future = start_unix_ms(&clock) + 60_000;
    assert_eq!(clock.at_unix_ms(future), Some(TIME_AT_START));
    tokio::time::advance(ONE_SECOND).await;
    assert_eq!(clock.at_unix_ms(future), Some(TIME_AT_START + ONE_SECOND));
}
