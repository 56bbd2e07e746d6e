//! Detects in endpoint lists that the process of an upstream has started, upon which its slow start begins.
//!
//! An endpoint list may state the time of a process start by a wall clock, which can be stepped by seconds or
//! hours at any time. Such a start is therefore detected by an incarnation that differs from the one listed
//! before, and slow start is measured on the embedder's monotonic clock. The beginning of slow start is the
//! arrival of the list, moved back by the delay of the list. The delay is the age that the process start then
//! has by the wall clock; at most a small share of the duration of slow start counts.
//!
//! The lists that a new balancer begins with are the only exception. The wall clock is then the only means
//! to tell an old start from a recent one, so slow start begins at the stated time.

use crate::event::ProcessStart;
use crate::ids::UpstreamId;
use crate::settings::Settings;
use crate::time::Timestamp;
use rustc_hash::FxHashMap;

/// Maximum number of removed upstreams whose process starts are kept.
const MAX_REMOVED_UPSTREAMS: usize = 4096;
/// Maximum time by which the beginning of slow start is moved back for the delay of a list, as a share of the
/// duration of slow start. The delay is the age of the process start by a wall clock. The limit ensures that
/// a step of that clock moves the beginning by no more than this share, for which the request budget in slow
/// start leaves enough room.
const MAX_DELAY_SHARE: f64 = 0.1;

/// The kind of an endpoint list: one that a new balancer begins with, or a later one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// The cached list, or the first list from discovery. The process starts in it can be of any age.
    Initial,
    /// Any later list from discovery. A process start in it that differs from the one listed before has
    /// happened since the previous list.
    Subsequent,
}

/// The latest process start that a list has stated for an upstream.
#[derive(Clone, Copy, Default)]
pub(crate) struct KnownStart {
    /// The time of the start on the embedder's clock, as stated by a list or assumed; `None` if no list has
    /// stated one and none is assumed.
    started_at: Option<Timestamp>,
    /// The incarnation that lists state for a start by a wall clock; `None` if no list has stated one.
    incarnation: Option<u64>,
}

impl KnownStart {
    /// Returns the process start of an upstream that is added to the set, and the time at which its slow
    /// start begins, which is `None` if the upstream is assumed to have warmed up already. `set_was_empty`
    /// tells whether the set had no upstreams before this list.
    pub(crate) fn for_new_upstream(
        now: Timestamp,
        listed_start: ProcessStart,
        kind: ListKind,
        set_was_empty: bool,
        settings: &Settings,
    ) -> (Self, Option<Timestamp>) {
        let mut known = Self::default();
        let started_at = match listed_start {
            // An upstream that is added to a set that was not empty is assumed to have just started.
            // Upstreams that are added to an empty set are assumed to have warmed up.
            ProcessStart::Unknown => (!set_was_empty).then_some(now),
            ProcessStart::At(time) => Some(Timestamp::from_duration(time)),
            ProcessStart::ByWallClock { incarnation, age } => {
                known.incarnation = Some(incarnation);
                return (known, Some(wall_clock_start(now, age.as_secs_f64(), kind, settings)));
            }
        };
        known.started_at = started_at;
        (known, started_at)
    }

    /// Records the process start that an entry states for a known upstream. Returns the time at which slow
    /// start begins again; `None` if the process has not restarted, or so long ago that slow start would be
    /// over.
    pub(crate) fn detect_recent_restart(
        &mut self,
        now: Timestamp,
        listed_start: ProcessStart,
        kind: ListKind,
        settings: &Settings,
    ) -> Option<Timestamp> {
        let started_at = match listed_start {
            ProcessStart::Unknown => return None,
            ProcessStart::At(time) => {
                let time = Timestamp::from_duration(time);
                if self.started_at.is_some_and(|known| time <= known) {
                    return None;
                }
                self.started_at = Some(time);
                time
            }
            ProcessStart::ByWallClock { incarnation, age } => {
                if self.incarnation.replace(incarnation) == Some(incarnation) {
                    return None;
                }
                wall_clock_start(now, age.as_secs_f64(), kind, settings)
            }
        };
        (now - started_at < settings.slow_start_duration.as_secs_f64()).then_some(started_at)
    }
}

/// Returns the time at which slow start begins for a process start whose age by a wall clock is
/// `age_seconds`. `now` is the time at which the list arrived. Except for initial lists, the age is limited
/// by [`MAX_DELAY_SHARE`].
fn wall_clock_start(now: Timestamp, age_seconds: f64, kind: ListKind, settings: &Settings) -> Timestamp {
    let max_delay_seconds = MAX_DELAY_SHARE * settings.slow_start_duration.as_secs_f64();
    match kind {
        ListKind::Initial => now + -age_seconds,
        ListKind::Subsequent => now + -age_seconds.min(max_delay_seconds),
    }
}

/// The process starts of upstreams whose state was dropped because they were no longer listed. An upstream
/// that is listed again with the same start was only missing from the list and has not been restarted.
#[derive(Default)]
pub(crate) struct RemovedUpstreamStarts {
    by_id: FxHashMap<UpstreamId, RemovedUpstreamStart>,
}

/// The process start of an upstream that is no longer listed.
#[derive(Clone, Copy)]
pub(crate) struct RemovedUpstreamStart {
    incarnation: u64,
    /// Time at which slow start of the upstream began; `None` if the upstream had warmed up before it was
    /// dropped.
    pub(crate) slow_start_began_at: Option<Timestamp>,
}

impl RemovedUpstreamStarts {
    /// Returns the number of upstreams whose process starts are kept.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Keeps the process start of an upstream whose state is dropped. A start on the embedder's clock is not
    /// kept, because a list that names the upstream again states it on the same clock.
    pub(crate) fn insert(
        &mut self,
        id: UpstreamId,
        known: KnownStart,
        slow_start_began_at: Option<Timestamp>,
    ) {
        let Some(incarnation) = known.incarnation else { return };
        if self.by_id.len() >= MAX_REMOVED_UPSTREAMS {
            // Clearing the map does little harm: few removed upstreams are listed again, and those only go
            // through slow start once more.
            self.by_id.clear();
        }
        self.by_id.insert(id, RemovedUpstreamStart { incarnation, slow_start_began_at });
    }

    /// Removes and returns the process start of an upstream that is listed again. Returns `None` if it is
    /// not known or if the upstream has been restarted.
    pub(crate) fn take_if_same_start(
        &mut self,
        id: UpstreamId,
        listed_start: ProcessStart,
    ) -> Option<RemovedUpstreamStart> {
        let removed = self.by_id.remove(&id)?;
        let ProcessStart::ByWallClock { incarnation, .. } = listed_start else { return None };
        (removed.incarnation == incarnation).then_some(removed)
    }
}
