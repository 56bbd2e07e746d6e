//! Signals to this process.
//!
//! A handler sets a flag, and the flag is looked at again and again. Nothing has to be written between the two:
//! a write can fail, and a signal would be lost with it.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::ffi::c_int;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// How often the flag is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// The flag of one signal. It ends no process from its registration on.
pub struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// That of SIGTERM, a planned end.
    pub fn terminate() -> io::Result<Self> {
        Self::register(SIGTERM)
    }

    /// That of SIGHUP, a new configuration.
    pub fn hangup() -> io::Result<Self> {
        Self::register(SIGHUP)
    }

    fn register(signal: c_int) -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal, Arc::clone(&flag))?;
        Ok(Self(flag))
    }

    /// Waits until the signal has come since the last time; several at once count as one.
    pub async fn raised(&self) {
        while !self.0.swap(false, Ordering::SeqCst) {
            sleep(LOOK_EVERY).await;
        }
    }
}
