//! What ends an attempt before its deadline.

use std::future::pending;
use tokio::sync::watch;

/// Why an attempt is to end early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InterruptionCause {
    /// Nobody wants the response any more. What was sent completely is waited for all the same.
    Abandoned,
    /// The process ends: nothing is waited for.
    Aborted,
}

/// Tells an attempt when it is to end early.
pub struct Interruption {
    /// Closed once nobody wants the response; no value is ever sent.
    abandonment: watch::Receiver<()>,
    /// `true` once the process ends.
    abort: watch::Receiver<bool>,
}

impl Interruption {
    /// An attempt is abandoned once the sender of `abandonment` is dropped, and aborted once `abort` is
    /// `true`.
    pub fn new(abandonment: watch::Receiver<()>, abort: watch::Receiver<bool>) -> Self {
        Self { abandonment, abort }
    }

    /// Waits until the attempt is to end early.
    pub async fn occurred(&mut self) -> InterruptionCause {
        tokio::select! {
            biased;
            () = aborted(&mut self.abort) => InterruptionCause::Aborted,
            _ = self.abandonment.changed() => InterruptionCause::Abandoned,
        }
    }

    /// Waits until the process ends.
    pub async fn aborted(&mut self) {
        aborted(&mut self.abort).await;
    }
}

async fn aborted(abort: &mut watch::Receiver<bool>) {
    if abort.wait_for(|is_set| *is_set).await.is_err() {
        // The sender is gone, so that it can't be set any more.
        pending::<()>().await;
    }
}
