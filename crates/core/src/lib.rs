//! Decision logic of a load balancer for HTTP upstreams: which requests are admitted, which upstream each
//! attempt is sent to, and what happens when an attempt fails.
//!
//! The crate does no I/O and reads no clock. The program that embeds it, the embedder, delivers [`Event`]s
//! and the current time to a [`Balancer`] and carries out the [`Action`]s that the balancer returns. The same
//! settings, seed, events and times always result in the same actions.
//!
//! ```
//! use balancer_core::*;
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//!
//! let settings = Settings {
//!     classes: vec![RequestClass {
//!         latency_objective: ms(200),
//!         deadline: ms(1000),
//!         retry_safety: RetrySafety::Idempotent,
//!         ..RequestClass::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The first event contains the upstreams that were known before the start.
//! let entries = [EndpointEntry {
//!     id: UpstreamId(7),
//!     zone: ZoneId(0),
//!     hardware: HardwareId(0),
//!     cell: CellId(0),
//!     availability: Availability::Ready,
//!     weight: 1.0,
//!     process_start: ProcessStart::Unknown,
//! }];
//! let known = Event::EndpointUpdate { scope: UpdateScope::Cached, entries: &entries };
//! balancer.handle(ms(0), known, &mut actions);
//!
//! // A request arrives. The balancer forwards it, or rejects it at once.
//! actions.clear();
//! let request = Event::RequestArrived {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     time_left: ms(1000),
//!     expected_work_ms: None,
//!     is_client_retry: false,
//! };
//! balancer.handle(ms(5), request, &mut actions);
//! assert!(matches!(actions[..], [Action::SendAttempt { id: RequestId(1), upstream: UpstreamId(7), .. }]));
//!
//! // The upstream has responded. The embedder forwards the response and reports the end of the attempt.
//! actions.clear();
//! let ended = Event::AttemptEnded {
//!     id: RequestId(1),
//!     attempt: AttemptIndex(0),
//!     upstream: UpstreamId(7),
//!     outcome: Outcome::Ok,
//!     latency: ms(30),
//!     request_finished: true,
//!     load_report: &[],
//! };
//! balancer.handle(ms(35), ended, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! The embedder must deliver [`Event::TimerFired`] for each timer that [`Action::SetTimer`] sets. One of them
//! runs the balancer's periodic work, the tick. The embedder must end each attempt as [`Outcome::TimedOut`]
//! at the attempt's timeout or, at the latest, at the client's deadline. Under these conditions, each request
//! ends exactly once: with the response of an attempt that the embedder forwards, with [`Action::Reject`] or
//! [`Action::Fail`], or with the disconnection of its client.

mod action;
mod admission;
mod balancer;
mod capacity;
mod event;
mod idle_connections;
mod ids;
mod latency;
mod random;
mod requests;
mod round_robin;
mod settings;
mod time;
mod token_bucket;
mod upstreams;
mod watch_schedule;

pub use action::{Action, RejectionReason};
pub use balancer::Balancer;
pub use event::{Availability, EndpointEntry, Event, Outcome, ProcessStart, UpdateScope};
pub use ids::*;
pub use settings::{
    AllowedRange, DeduplicationScope, LoadField, LoadReporting, OutOfRange, Prices, RequestClass,
    RetrySafety, Settings, SettingsError, SettingsField, Tenant, WeightKind,
};

/// Runs the example in the README as a test.
#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;
