//! A [`Registry`] that discovery agents and the test share.

use crate::registry::{ListUpdate, Registry, UpdateScope};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A registry behind a lock, and the notification that it has changed.
pub struct SharedRegistry {
    registry: Mutex<Registry>,
    changed: Condvar,
}

impl SharedRegistry {
    /// Wraps a registry so that threads can share it.
    pub fn new(registry: Registry) -> Arc<Self> {
        Arc::new(Self { registry: Mutex::new(registry), changed: Condvar::new() })
    }

    /// Changes the registry and wakes the threads in [`Self::wait_for_change`].
    pub fn modify(&self, apply: impl FnOnce(&mut Registry)) {
        apply(&mut self.lock());
        self.changed.notify_all();
    }

    /// Returns an update that leads to the current version.
    pub fn update(&self, scope: UpdateScope) -> ListUpdate {
        self.lock().update(scope)
    }

    /// Waits until the version is higher than `since` and returns the changes after `since`, or `None` if the
    /// timeout has passed.
    pub fn wait_for_change(&self, since: u64, timeout: Duration) -> Option<ListUpdate> {
        let is_unchanged = |registry: &mut Registry| registry.version() <= since;
        let waited = self.changed.wait_timeout_while(self.lock(), timeout, is_unchanged);
        let (registry, result) = waited.unwrap_or_else(PoisonError::into_inner);
        if result.timed_out() { None } else { Some(registry.update(UpdateScope::Delta { since })) }
    }

    /// Locks the registry. If a thread has panicked while it held the lock, the registry is used as it is.
    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
