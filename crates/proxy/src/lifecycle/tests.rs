use super::*;

/// How long after SIGTERM new connections may still come.
const NEW_CONNECTIONS_COME: Duration = Duration::from_millis(400);

/// SIGKILL follows soon after the limit, however short the deadlines are.
#[test]
fn the_steps_of_a_shutdown_end_within_the_platforms_limit() {
    for deadline_ms in [0, 1, 50, 100, 199, 200, 600, 1000, 2000, 3000, 60_000] {
        let deadline = Duration::from_millis(deadline_ms);
        let budget = ShutdownBudget::new(deadline);

        let limit = deadline.min(MAX_COUNTED_DEADLINE) + SHUTDOWN_AFTER_DEADLINE;
        let total = budget.lame_duck + budget.drain + ABORT_GRACE_PERIOD;
        assert!(total <= limit, "{deadline:?}: {budget:?}");
        assert!(budget.lame_duck >= NEW_CONNECTIONS_COME, "{deadline:?}: {budget:?}");
        let may_be_shorter = deadline < Duration::from_millis(200);
        assert!(budget.lame_duck >= MIN_LAME_DUCK || may_be_shorter, "{deadline:?}: {budget:?}");
        assert!(budget.lame_duck <= MAX_LAME_DUCK, "{deadline:?}: {budget:?}");
    }
}
