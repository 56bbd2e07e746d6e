//! The life of the process: serves until SIGTERM, then shuts down gracefully within a time budget.

use crate::config::Config;
use crate::lifecycle_phase::LifecyclePhase;
use crate::startup::{RunningProxy, StartupError, start};
use std::time::Duration;
use tokio::time::{sleep, timeout};

#[cfg(test)]
mod tests;

/// Shortest lame duck phase, unless the deadlines are so short that the process has to end before. After
/// SIGTERM the platform goes on assigning new connections to this balancer for up to 0.4 s, and clients keep
/// using those that they have. Both need time until a neighbour that may have just started itself is ready.
const MIN_LAME_DUCK: Duration = Duration::from_millis(600);
/// Longest lame duck phase.
const MAX_LAME_DUCK: Duration = Duration::from_millis(1200);
/// Fraction of the longest deadline that the lame duck phase may take, within the two bounds above, so that
/// requests that arrive at its end still have time.
const LAME_DUCK_DEADLINE_FRACTION: f64 = 0.7;
/// The platform counts deadlines up to this one before it sends SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline by which the process has to end. SIGKILL may come 0.1 s later.
const SHUTDOWN_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// Time to write the final responses of requests that were aborted at the end of the drain.
const ABORT_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// How long each step of the graceful shutdown may take.
#[derive(Debug, PartialEq, Eq)]
struct ShutdownBudget {
    lame_duck: Duration,
    drain: Duration,
}

impl ShutdownBudget {
    /// The budget where the longest deadline of a request class is `longest_deadline`.
    fn new(longest_deadline: Duration) -> Self {
        let longest_deadline = longest_deadline.min(MAX_COUNTED_DEADLINE);
        let before_abort = longest_deadline + SHUTDOWN_AFTER_DEADLINE - ABORT_GRACE_PERIOD;
        let lame_duck = longest_deadline
            .mul_f64(LAME_DUCK_DEADLINE_FRACTION)
            .clamp(MIN_LAME_DUCK, MAX_LAME_DUCK)
            .min(before_abort);
        let drain = before_abort - lame_duck;
        Self { lame_duck, drain }
    }
}

/// Starts a proxy, serves until SIGTERM and shuts down. Fails only if it can't start.
pub async fn run(config: Config) -> Result<(), StartupError> {
    let proxy = start(&config).await?;
    proxy.terminate.received().await;
    let deadlines = config.site.settings.classes.iter().map(|class| class.deadline);
    let budget = ShutdownBudget::new(deadlines.max().unwrap_or_default());
    shut_down(proxy, &budget).await;
    Ok(())
}

async fn shut_down(mut proxy: RunningProxy, budget: &ShutdownBudget) {
    tracing::info!(lame_duck = ?budget.lame_duck, drain = ?budget.drain, "shutting down");
    proxy.phase.send_replace(LifecyclePhase::LameDuck);
    sleep(budget.lame_duck).await;
    proxy.phase.send_replace(LifecyclePhase::Draining);
    if timeout(budget.drain, &mut proxy.accept_loop).await.is_err() {
        proxy.driver.abort_all();
        // The process ends either way: SIGKILL would follow.
        let _ = timeout(ABORT_GRACE_PERIOD, &mut proxy.accept_loop).await;
    }
}
