//! The signals that end an attempt before its deadline.

use std::future::pending;
use tokio::sync::watch;

/// The reason why an attempt has to end early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InterruptionCause {
    /// Nobody waits for the response any more. If the request was sent completely, the attempt still waits
    /// for the response, to learn its outcome.
    Abandoned,
    /// The process is shutting down. The attempt ends at once.
    Aborted,
}

/// Tells an attempt when and why it has to end early.
pub struct Interruption {
    /// Closed once nobody waits for the response any more. No value is ever sent on it.
    abandonment: watch::Receiver<()>,
    /// Set to `true` when all attempts have to end because the process is shutting down.
    abort: watch::Receiver<bool>,
}

impl Interruption {
    /// Creates an interruption that abandons the attempt when the sender of `abandonment` is dropped, and
    /// aborts it when `abort` becomes `true`.
    pub fn new(abandonment: watch::Receiver<()>, abort: watch::Receiver<bool>) -> Self {
        Self { abandonment, abort }
    }

    /// Waits until the attempt has to end early, and returns the reason.
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
