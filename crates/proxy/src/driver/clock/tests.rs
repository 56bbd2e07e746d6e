use super::*;

const STARTED_AT_UNIX_MS: u64 = 1_700_000_000_000;

fn start_read_at(unix_ms: u64) -> ProcessStart {
    let reading = WallClockReading { unix_time: Duration::from_millis(unix_ms) };
    reading.process_start(STARTED_AT_UNIX_MS)
}

fn start_of_age(age_ms: u64) -> ProcessStart {
    ProcessStart::ByWallClock { incarnation: STARTED_AT_UNIX_MS, age: Duration::from_millis(age_ms) }
}

#[tokio::test(start_paused = true)]
async fn the_clock_follows_monotonic_time() {
    let clock = Clock::start();
    let before = clock.now();

    tokio::time::advance(Duration::from_secs(1)).await;

    assert_eq!(clock.now() - before, Duration::from_secs(1));
}

#[test]
fn a_start_is_told_apart_by_its_time_and_has_an_age_by_the_wall_clock() {
    assert_eq!(start_read_at(STARTED_AT_UNIX_MS + 2500), start_of_age(2500));
    assert_eq!(start_read_at(STARTED_AT_UNIX_MS + 3_700_000), start_of_age(3_700_000));
}

/// The clock may have been stepped back since the start.
#[test]
fn a_start_that_lies_ahead_is_of_no_age() {
    assert_eq!(start_read_at(STARTED_AT_UNIX_MS - 1), start_of_age(0));
    assert_eq!(start_read_at(0), start_of_age(0));
}

#[test]
fn zero_stands_for_long_ago() {
    assert_eq!(WallClockReading::now().process_start(0), ProcessStart::Unknown);
}
