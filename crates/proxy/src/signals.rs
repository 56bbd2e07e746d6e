//! Receives the signals that the process handles.
//!
//! A signal handler sets a flag, and [`SignalFlag::received`] polls the flag. The usual alternative, a pipe
//! that the handler writes to, would lose the signal if the write failed.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::ffi::c_int;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Time between two polls of a flag.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A flag that is set when a certain signal arrives. The signal no longer ends the process once its flag is
/// registered.
pub struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// Registers a flag for SIGTERM, which requests a graceful shutdown. Fails if the system refuses the
    /// handler.
    pub fn register_sigterm() -> io::Result<Self> {
        Self::register(SIGTERM)
    }

    /// Registers a flag for SIGHUP, which requests a reload of the configuration. Fails if the system refuses
    /// the handler.
    pub fn register_sighup() -> io::Result<Self> {
        Self::register(SIGHUP)
    }

    fn register(signal: c_int) -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal, Arc::clone(&flag))?;
        Ok(Self(flag))
    }

    /// Waits for the signal. Returns at once if it has arrived since the last call returned; several signals
    /// in between count as one.
    pub async fn received(&self) {
        while !self.0.swap(false, Ordering::SeqCst) {
            sleep(POLL_INTERVAL).await;
        }
    }
}
