//! The signals that interrupt an attempt before its deadline. The attempt is abandoned when nobody waits for
//! its response any more, and aborted when the process shuts down. An attempt that the balancer cancels gets
//! no signal; the driver stops its task instead.

use std::future::pending;
use tokio::sync::watch;

/// The reason why an attempt is interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InterruptionCause {
    /// Nobody waits for the response any more. The attempt ends unless its whole request is written, in which
    /// case it still waits for the response, so that its outcome is known.
    Abandoned,
    /// The process is shutting down. The attempt ends at once, even if its whole request is written.
    Aborted,
}

/// Tells an attempt when and why it is interrupted.
pub struct Interruption {
    /// Closed once nobody waits for the response any more. No value is ever sent on it.
    abandonment: watch::Receiver<()>,
    /// Set to `true` when all attempts are aborted because the process is shutting down.
    abort: watch::Receiver<bool>,
}

impl Interruption {
    /// Creates an interruption that abandons the attempt when the sender of `abandonment` is dropped, and
    /// aborts it when `abort` becomes `true`.
    pub fn new(abandonment: watch::Receiver<()>, abort: watch::Receiver<bool>) -> Self {
        Self { abandonment, abort }
    }

    /// Waits until the attempt is interrupted, and returns the reason.
    pub async fn occurred(&mut self) -> InterruptionCause {
        tokio::select! {
            biased;
            () = aborted(&mut self.abort) => InterruptionCause::Aborted,
            _ = self.abandonment.changed() => InterruptionCause::Abandoned,
        }
    }

    /// Waits until the attempt is aborted.
    pub async fn aborted(&mut self) {
        aborted(&mut self.abort).await;
    }
}

async fn aborted(abort: &mut watch::Receiver<bool>) {
    if abort.wait_for(|is_set| *is_set).await.is_err() {
        // The sender was dropped, so the attempt can no longer be aborted.
        pending::<()>().await;
    }
}
