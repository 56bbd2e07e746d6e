//! Recognizes the starts of upstreams' processes, which begin slow start, by what endpoint lists say of them.
//!
//! A list may state starts by a wall clock, which can be stepped by seconds or hours at any time. Such a
//! start is recognized because it differs from the one told before, and slow start is counted on the
//! embedder's monotonic clock from the list that told it, less a small part for the delay of the list. Only
//! the lists that a new balancer begins with are an exception: nothing but the wall clock tells it an old
//! start from a recent one.

use crate::event::ProcessStart;
use crate::ids::UpstreamId;
use crate::settings::Settings;
use crate::time::Timestamp;
use rustc_hash::FxHashMap;

/// How many upstreams that are no longer listed are remembered.
const MAX_DEPARTED: usize = 4096;
/// The delay of a list, by the wall clock, counts up to this share of slow start. A step of the clock moves
/// its beginning by no more, which the budget of requests in slow start covers.
const MAX_DELAY_SHARE: f64 = 0.1;

/// Whether a list tells what has changed while this balancer was following the lists.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListPosition {
    /// The cached list, or the first one from discovery: its starts may be of any age.
    Initial,
    /// A later list: a start that differs has happened since the list before.
    Following,
}

/// The latest start that was told of an upstream.
#[derive(Clone, Copy, Default)]
pub(crate) struct KnownStart {
    /// On the embedder's clock.
    at: Option<Timestamp>,
    /// By a wall clock.
    incarnation: Option<u64>,
}

impl KnownStart {
    /// An upstream that is listed for the first time, and when its slow start begins; `None` if it started
    /// long ago.
    pub(crate) fn first(
        now: Timestamp,
        told: ProcessStart,
        position: ListPosition,
        is_first_list: bool,
        settings: &Settings,
    ) -> (Self, Option<Timestamp>) {
        let mut known = Self::default();
        let started_at = match told {
            // An upstream that appears after the first list is assumed to have just started.
            ProcessStart::Unknown => (!is_first_list).then_some(now),
            ProcessStart::At(time) => Some(Timestamp::from_duration(time)),
            ProcessStart::ByWallClock { incarnation, age } => {
                known.incarnation = Some(incarnation);
                return (known, Some(wall_clock_start(now, age.as_secs_f64(), position, settings)));
            }
        };
        known.at = started_at;
        (known, started_at)
    }

    /// Takes in the start that an entry tells of a known upstream. Returns when slow start begins anew if it
    /// is a new and recent one.
    pub(crate) fn observe(
        &mut self,
        now: Timestamp,
        told: ProcessStart,
        position: ListPosition,
        settings: &Settings,
    ) -> Option<Timestamp> {
        let started_at = match told {
            ProcessStart::Unknown => return None,
            ProcessStart::At(time) => {
                let time = Timestamp::from_duration(time);
                if self.at.is_some_and(|known| time <= known) {
                    return None;
                }
                self.at = Some(time);
                time
            }
            ProcessStart::ByWallClock { incarnation, age } => {
                if self.incarnation.replace(incarnation) == Some(incarnation) {
                    return None;
                }
                wall_clock_start(now, age.as_secs_f64(), position, settings)
            }
        };
        (now - started_at < settings.slow_start_duration.as_secs_f64()).then_some(started_at)
    }
}

/// When slow start begins for a start told by a wall clock, `age` seconds ago by that clock.
fn wall_clock_start(now: Timestamp, age: f64, position: ListPosition, settings: &Settings) -> Timestamp {
    let max_delay = MAX_DELAY_SHARE * settings.slow_start_duration.as_secs_f64();
    match position {
        ListPosition::Initial => now + -age,
        ListPosition::Following => now + -age.min(max_delay),
    }
}

/// The starts of upstreams whose state was dropped because they were no longer listed. One that comes back
/// with the same start was cut off and not restarted.
#[derive(Default)]
pub(crate) struct DepartedStarts {
    by_id: FxHashMap<UpstreamId, DepartedStart>,
}

/// What is remembered of an upstream that is no longer listed.
#[derive(Clone, Copy)]
pub(crate) struct DepartedStart {
    incarnation: u64,
    /// When its slow start began; `None` once it had warmed up.
    pub(crate) slow_start_began_at: Option<Timestamp>,
}

impl DepartedStarts {
    /// Number of entries of state.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Remembers an upstream whose state is dropped. Starts on the embedder's clock need no memory.
    pub(crate) fn remember(
        &mut self,
        id: UpstreamId,
        known: KnownStart,
        slow_start_began_at: Option<Timestamp>,
    ) {
        let Some(incarnation) = known.incarnation else { return };
        if self.by_id.len() >= MAX_DEPARTED {
            // Few come back, and those that do are only warmed up once more.
            self.by_id.clear();
        }
        self.by_id.insert(id, DepartedStart { incarnation, slow_start_began_at });
    }

    /// Forgets an upstream that is listed again. Returns what is known of it if it has not been restarted.
    pub(crate) fn take_same(&mut self, id: UpstreamId, told: ProcessStart) -> Option<DepartedStart> {
        let departed = self.by_id.remove(&id)?;
        let ProcessStart::ByWallClock { incarnation, .. } = told else { return None };
        (departed.incarnation == incarnation).then_some(departed)
    }
}
