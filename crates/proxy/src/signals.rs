//! Process signals.
//!
//! A signal handler sets a flag, and [`SignalFlag::received`] polls it. A pipe between the two could fail to
//! be written, and the signal would be lost.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::ffi::c_int;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// How often a flag is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A flag that one signal sets. Once registered, the signal no longer ends the process.
pub struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// Registers SIGTERM, which requests a graceful shutdown. Fails if the system registers no handler.
    pub fn terminate() -> io::Result<Self> {
        Self::register(SIGTERM)
    }

    /// Registers SIGHUP, which requests a reload of the configuration. Fails if the system registers no
    /// handler.
    pub fn hangup() -> io::Result<Self> {
        Self::register(SIGHUP)
    }

    fn register(signal: c_int) -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal, Arc::clone(&flag))?;
        Ok(Self(flag))
    }

    /// Waits until the signal has arrived since the last call; several signals in between count as one.
    pub async fn received(&self) {
        while !self.0.swap(false, Ordering::SeqCst) {
            sleep(POLL_INTERVAL).await;
        }
    }
}
