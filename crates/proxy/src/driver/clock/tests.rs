use super::*;

const STARTED_AT_UNIX_MS: u64 = 1_700_000_000_000;

fn process_start_at(unix_ms: u64) -> ProcessStart {
    let reading = WallClockReading { unix_time: Duration::from_millis(unix_ms) };
    reading.process_start(STARTED_AT_UNIX_MS)
}

fn process_start_of_age(age_ms: u64) -> ProcessStart {
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
fn a_process_start_is_identified_by_its_time_and_has_an_age_by_the_wall_clock() {
    assert_eq!(process_start_at(STARTED_AT_UNIX_MS + 2500), process_start_of_age(2500));
    assert_eq!(process_start_at(STARTED_AT_UNIX_MS + 3_700_000), process_start_of_age(3_700_000));
}

/// The wall clock may have been stepped back since the upstream's process started.
#[test]
fn a_process_start_in_the_future_has_an_age_of_zero() {
    assert_eq!(process_start_at(STARTED_AT_UNIX_MS - 1), process_start_of_age(0));
    assert_eq!(process_start_at(0), process_start_of_age(0));
}

#[test]
fn a_start_time_of_zero_is_an_unknown_process_start() {
    assert_eq!(WallClockReading::now().process_start(0), ProcessStart::Unknown);
}
