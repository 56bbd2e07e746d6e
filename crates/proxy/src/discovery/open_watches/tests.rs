//! Tests of the rules by which calls and watches are ended.

use super::*;
use tokio::task::spawn_local;

/// Interval at which the driver repeats calls to discovery.
const CALL_INTERVAL_MS: u64 = 200;

/// Open watches, started at times that a test chooses, whose tasks never end by themselves.
struct Setup {
    watches: OpenWatches,
    start: Instant,
}

impl Setup {
    fn new() -> Self {
        Self { watches: OpenWatches::default(), start: Instant::now() }
    }

    /// Gives up calls and adds one, as the client does for each new call.
    fn call_at(&mut self, milliseconds: u64) -> WatchId {
        let now = self.start + Duration::from_millis(milliseconds);
        self.watches.give_up_calls(now);
        let mut added = None;
        self.watches.add(now, |id| {
            added = Some(id);
            spawn_local(std::future::pending::<()>()).abort_handle()
        });
        added.expect("a call is added")
    }

    fn is_open(&self, id: WatchId) -> bool {
        self.watches.watches.iter().any(|watch| watch.id == id)
    }
}

#[tokio::test(flavor = "local")]
async fn a_response_ends_all_other_calls() {
    let mut setup = Setup::new();
    let first = setup.call_at(0);
    let second = setup.call_at(200);
    let third = setup.call_at(400);
    assert_eq!(setup.watches.state(), WatchState::Calling);

    setup.watches.record_response(second);

    assert_eq!(setup.watches.state(), WatchState::Watching);
    assert!(!setup.is_open(first) && setup.is_open(second) && !setup.is_open(third));
}

#[tokio::test(flavor = "local")]
async fn the_task_of_a_call_that_is_ended_is_aborted() {
    let mut setup = Setup::new();
    setup.call_at(0);
    let task = setup.watches.watches[0].task.clone();
    let answered = setup.call_at(200);

    setup.watches.record_response(answered);
    assert_eq!(setup.watches.watches.len(), 1);
    tokio::task::yield_now().await;

    assert!(task.is_finished());
}

/// Guards against a change of the address that ends calls shortly before their answer, and against a late
/// answer of an earlier address that overrides the list of a later one.
#[tokio::test(flavor = "local")]
async fn calls_to_earlier_addresses_stay_open_until_a_later_one_responds() {
    let mut setup = Setup::new();
    let first = setup.call_at(0);
    setup.watches.record_response(first);
    setup.watches.start_epoch();
    assert_eq!(setup.watches.state(), WatchState::Idle);
    let second = setup.call_at(100);
    setup.watches.start_epoch();
    let third = setup.call_at(200);
    assert_eq!(setup.watches.state(), WatchState::Calling);
    assert!(setup.is_open(first) && setup.is_open(second));

    setup.watches.record_response(second);
    setup.watches.record_data(second);
    assert!(!setup.is_open(first) && setup.is_open(second) && setup.is_open(third));

    setup.watches.record_response(third);
    assert_eq!(setup.watches.state(), WatchState::Watching);
    setup.watches.record_data(third);
    assert!(!setup.is_open(second) && setup.is_open(third));
}

/// The head of a response brings no list. Other watches that wait for theirs go on until one of them gets it.
#[tokio::test(flavor = "local")]
async fn a_silent_watch_stays_open_beside_another_call_until_one_gets_data() {
    let mut setup = Setup::new();
    let silent = setup.call_at(0);
    setup.watches.record_response(silent);
    assert!(setup.watches.record_silence(silent));
    assert_eq!(setup.watches.state(), WatchState::Calling);

    let later = setup.call_at(2500);
    setup.watches.record_response(later);
    assert!(setup.is_open(silent) && setup.is_open(later));

    setup.watches.record_data(silent);
    assert!(setup.is_open(silent) && !setup.is_open(later));
    assert!(setup.watches.remove(silent), "the watch has ended");
}

/// Each change of the address starts a long call.
#[tokio::test(flavor = "local")]
async fn the_number_of_calls_is_bounded_although_the_address_changes_often() {
    let mut setup = Setup::new();
    for milliseconds in (0..5000).step_by(50) {
        setup.watches.start_epoch();
        let latest = setup.call_at(milliseconds);
        assert!(setup.is_open(latest) && setup.watches.watches.len() <= MAX_OPEN_CALLS);
    }
}

/// Guards against a balancer that takes a watch for established that is about to end, and is never told.
#[tokio::test(flavor = "local")]
async fn a_call_that_was_overdue_is_reported_again_if_an_update_came_in_the_meantime() {
    let mut setup = Setup::new();
    let earlier = setup.call_at(0);
    setup.watches.record_response(earlier);
    setup.watches.start_epoch();
    let latest = setup.call_at(100);
    assert!(setup.watches.record_overdue(latest));
    setup.watches.record_update();

    assert!(!setup.watches.remove(earlier));
    assert!(setup.watches.remove(latest));
}

/// Guards against calls that are all given up before a slow discovery answers one of them. Whenever discovery
/// begins to answer calls, and however long it takes for each, a call that was made at most 1 s later has to
/// be open for as long as that. This holds for calls at any interval.
#[tokio::test(flavor = "local")]
async fn a_call_from_any_second_stays_open_until_a_late_answer() {
    for interval_ms in [40, CALL_INTERVAL_MS, 1000] {
        calls_from_any_second_stay_open(interval_ms);
    }
}

fn calls_from_any_second_stay_open(interval_ms: u64) {
    for answers_from_ms in [0, 200, 700, 1200, 3400] {
        for answer_time_ms in [1500, 2500, 4000, 5000] {
            let mut setup = Setup::new();
            let calls: Vec<_> = (0..=answers_from_ms + 1000 + answer_time_ms)
                .step_by(interval_ms as usize)
                .map(|milliseconds| (setup.call_at(milliseconds), milliseconds))
                .collect();

            let is_answered = calls.iter().any(|(id, started_at_ms)| {
                (answers_from_ms..=answers_from_ms + 1000).contains(started_at_ms) && setup.is_open(*id)
            });
            assert!(
                is_answered,
                "each {interval_ms} ms: calls from {answers_from_ms} ms on, answered after {answer_time_ms} ms"
            );
        }
    }
}

#[tokio::test(flavor = "local")]
async fn the_oldest_call_stays_open_for_a_minute_and_the_number_of_calls_is_bounded() {
    for interval_ms in [40, CALL_INTERVAL_MS, 1000] {
        let mut setup = Setup::new();
        let oldest = setup.call_at(0);
        for milliseconds in (interval_ms..60_000).step_by(interval_ms as usize) {
            setup.call_at(milliseconds);
            assert!(setup.watches.watches.len() <= MAX_OPEN_CALLS, "{}", setup.watches.watches.len());
        }
        assert!(setup.is_open(oldest));

        setup.call_at(60_000);

        assert!(!setup.is_open(oldest));
    }
}

/// Guards against a balancer that is told twice that a call failed, or never that it needs another one.
#[tokio::test(flavor = "local")]
async fn another_call_is_needed_once_after_the_latest_call_is_overdue_or_has_ended() {
    let mut setup = Setup::new();
    let overdue = setup.call_at(0);
    assert!(setup.watches.record_overdue(overdue));
    assert!(!setup.watches.remove(overdue), "the call was overdue before it failed");

    let earlier = setup.call_at(1000);
    let latest = setup.call_at(2000);
    assert!(!setup.watches.record_overdue(earlier), "a later call is open");
    assert!(!setup.watches.remove(earlier), "a later call is open");
    assert!(setup.watches.remove(latest));

    let answered_late = setup.call_at(3000);
    setup.watches.record_overdue(answered_late);
    setup.watches.record_response(answered_late);
    assert!(setup.watches.remove(answered_late), "the watch has ended");
}
