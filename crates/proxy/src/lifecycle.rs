//! Runs the process: serves until SIGTERM, then shuts down gracefully within a time budget.

use crate::config::Config;
use crate::lifecycle_phase::LifecyclePhase;
use crate::startup::{RunningProxy, StartupError, start};
use std::time::Duration;
use tokio::time::{sleep, timeout};

#[cfg(test)]
mod tests;

/// Minimum duration of the lame duck phase, unless the deadlines are so short that the process has to end
/// earlier. After SIGTERM, the platform still assigns new connections to this proxy for up to 0.4 s, and
/// clients keep using their open connections. Meanwhile, the proxy that takes over, which may itself have
/// just started, needs time to become ready.
const MIN_LAME_DUCK: Duration = Duration::from_millis(600);
/// Maximum duration of the lame duck phase.
const MAX_LAME_DUCK: Duration = Duration::from_millis(1200);
/// The fraction of the longest request deadline that the lame duck phase takes, limited by [`MIN_LAME_DUCK`]
/// and [`MAX_LAME_DUCK`]. The rest is left for requests that arrive at the end of the phase.
const LAME_DUCK_DEADLINE_FRACTION: f64 = 0.7;
/// Maximum request deadline that the platform takes into account when it decides when to send SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// After SIGTERM, the process has to end within the longest deadline plus this time. SIGKILL may follow 0.1 s
/// later.
const SHUTDOWN_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// Time for writing the final responses of requests whose attempts were aborted at the end of the drain.
const ABORT_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// The time budget of each step of a graceful shutdown.
#[derive(Debug, PartialEq, Eq)]
struct ShutdownBudget {
    lame_duck: Duration,
    drain: Duration,
}

impl ShutdownBudget {
    /// Returns the budget for the longest deadline of any request class.
    fn new(longest_deadline: Duration) -> Self {
        let longest_deadline = longest_deadline.min(MAX_COUNTED_DEADLINE);
        let time_before_abort = longest_deadline + SHUTDOWN_AFTER_DEADLINE - ABORT_GRACE_PERIOD;
        let lame_duck = longest_deadline
            .mul_f64(LAME_DUCK_DEADLINE_FRACTION)
            .clamp(MIN_LAME_DUCK, MAX_LAME_DUCK)
            .min(time_before_abort);
        let drain = time_before_abort - lame_duck;
        Self { lame_duck, drain }
    }
}

/// Starts a proxy, serves until SIGTERM and shuts down gracefully. Fails only if the proxy can't start.
pub async fn run(config: Config) -> Result<(), StartupError> {
    let proxy = start(&config).await?;
    proxy.sigterm.received().await;
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
        proxy.driver.abort_all_attempts();
        // The process ends even if responses are left, since SIGKILL would follow.
        let _ = timeout(ABORT_GRACE_PERIOD, &mut proxy.accept_loop).await;
    }
}
