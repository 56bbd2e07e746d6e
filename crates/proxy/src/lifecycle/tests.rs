use super::*;

/// How long after SIGTERM the platform may still assign new connections to this proxy.
const MAX_ASSIGNMENT_DELAY: Duration = Duration::from_millis(400);

/// The platform sends SIGKILL soon after its time limit, however short the deadlines are.
#[test]
fn a_shutdown_ends_within_the_time_limit_of_the_platform() {
    for deadline_ms in [0, 1, 50, 100, 199, 200, 600, 1000, 2000, 3000, 60_000] {
        let deadline = Duration::from_millis(deadline_ms);
        let budget = ShutdownBudget::new(deadline);

        let limit = deadline.min(MAX_COUNTED_DEADLINE) + SHUTDOWN_AFTER_DEADLINE;
        let total = budget.lame_duck + budget.drain + ABORT_GRACE_PERIOD;
        assert!(total <= limit, "{deadline:?}: {budget:?}");
        assert!(budget.lame_duck >= MAX_ASSIGNMENT_DELAY, "{deadline:?}: {budget:?}");
        let may_be_shorter = deadline < Duration::from_millis(200);
        assert!(budget.lame_duck >= MIN_LAME_DUCK || may_be_shorter, "{deadline:?}: {budget:?}");
        assert!(budget.lame_duck <= MAX_LAME_DUCK, "{deadline:?}: {budget:?}");
    }
}
