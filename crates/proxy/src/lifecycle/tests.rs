use super::*;

/// With deadlines under 0.2 s the shortest lame duck phase and the abort take longer than the limit.
#[test]
fn the_steps_of_a_shutdown_end_within_the_platforms_limit() {
    for deadline_ms in [0, 100, 600, 1000, 2000, 3000, 60_000] {
        let deadline = Duration::from_millis(deadline_ms);
        let budget = ShutdownBudget::new(deadline);

        let limit = deadline.min(MAX_COUNTED_DEADLINE) + SHUTDOWN_AFTER_DEADLINE;
        let total = budget.lame_duck + budget.drain + ABORT_GRACE_PERIOD;
        assert!(budget.lame_duck >= MIN_LAME_DUCK && budget.lame_duck <= MAX_LAME_DUCK, "{budget:?}");
        assert!(total <= limit.max(MIN_LAME_DUCK + ABORT_GRACE_PERIOD), "{deadline:?}: {budget:?}");
    }
}
