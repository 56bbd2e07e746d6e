//! A [`Registry`] that agents and the test share.

use crate::registry::{ListUpdate, Registry, UpdateScope};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The registry, and the signal that it has changed.
pub struct SharedRegistry {
    registry: Mutex<Registry>,
    changed: Condvar,
}

impl SharedRegistry {
    /// Shares a registry.
    pub fn new(registry: Registry) -> Arc<Self> {
        Arc::new(Self { registry: Mutex::new(registry), changed: Condvar::new() })
    }

    /// Changes the registry and wakes the watches.
    pub fn modify(&self, apply: impl FnOnce(&mut Registry)) {
        apply(&mut self.lock());
        self.changed.notify_all();
    }

    /// Returns an update to the current version.
    pub fn update(&self, scope: UpdateScope) -> ListUpdate {
        self.lock().update(scope)
    }

    /// Waits until there is a version after `since` and returns what changed; `None` after the timeout.
    pub fn wait_for_change(&self, since: u64, timeout: Duration) -> Option<ListUpdate> {
        let is_unchanged = |registry: &mut Registry| registry.version() <= since;
        let waited = self.changed.wait_timeout_while(self.lock(), timeout, is_unchanged);
        let (registry, result) = waited.unwrap_or_else(PoisonError::into_inner);
        if result.timed_out() { None } else { Some(registry.update(UpdateScope::Delta { since })) }
    }

    /// Locks the registry. A test thread that panicked meanwhile leaves it as it is.
    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
