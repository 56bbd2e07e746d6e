//! Tests of the rules by which calls and watches are ended.

use super::*;
use tokio::task::spawn_local;

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

    setup.watches.end_all();
    tokio::task::yield_now().await;

    assert!(task.is_finished());
    assert_eq!(setup.watches.state(), WatchState::Idle);
}
