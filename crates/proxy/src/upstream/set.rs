//! The set of known upstreams: where each one listens and whether it takes requests.

use crate::metrics::Metrics;
use crate::upstream::load_report::LoadReportReader;
use crate::upstream::pool::Pool;
use crate::upstream::response_body::LargeBodyBudget;
use balancer_core::{Availability, Settings, UpstreamId};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The fraction of the upstreams' idle timeout for which a connection is kept. A request that crosses the
/// upstream's own close ends as a reset, after which an unsafe request cannot be retried.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// What the endpoint list says about an upstream, as far as connections to it are concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// Where it listens. `None` if the list does not say so in a readable form.
    pub address: Option<SocketAddr>,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When its process started, as the list says, in Unix time; 0 if long ago.
    pub started_at_unix_ms: u64,
}

/// The current state of a known upstream. Attempts hold on to it while they wait for a connection, and so see
/// changes that come in meanwhile.
pub(super) struct Upstream {
    pub(super) address: Cell<Option<SocketAddr>>,
    pub(super) started_at_unix_ms: Cell<u64>,
    /// Whether it takes requests. `false` once it drains or has been removed.
    pub(super) ready: Cell<bool>,
}

impl Upstream {
    fn new(started_at_unix_ms: u64) -> Self {
        Self {
            address: Cell::new(None),
            started_at_unix_ms: Cell::new(started_at_unix_ms),
            ready: Cell::new(false),
        }
    }
}

/// All known upstreams and the connections to them.
pub struct Upstreams {
    known: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    pub(super) pool: Pool,
    pub(super) large_body_budget: LargeBodyBudget,
    pub(super) connect_timeout: Duration,
    pub(super) load_reports: LoadReportReader,
    pub(super) metrics: Rc<Metrics>,
}

impl Upstreams {
    /// Creates an empty set. At most `max_connections` to all upstreams together are open at once, and the
    /// large response bodies that are in memory hold at most `large_body_bytes` together.
    pub fn new(
        settings: &Settings,
        max_connections: usize,
        large_body_bytes: usize,
        metrics: Rc<Metrics>,
    ) -> Self {
        let max_idle_time = settings.connection_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        Self {
            known: RefCell::default(),
            pool: Pool::new(max_connections, max_idle_time),
            large_body_budget: LargeBodyBudget::new(large_body_bytes),
            connect_timeout: settings.connect_timeout,
            load_reports: LoadReportReader::new(settings),
            metrics,
        }
    }

    /// Applies an entry of the endpoint list. Closes the idle connections to an upstream that has moved or
    /// restarted, or that takes no requests any more.
    pub fn apply_entry(&self, id: UpstreamId, state: &EndpointState) {
        let mut known = self.known.borrow_mut();
        if state.availability == Availability::Removed {
            if let Some(upstream) = known.remove(&id) {
                upstream.ready.set(false);
            }
            self.pool.close_idle(id);
            return;
        }
        let upstream = known.entry(id).or_insert_with(|| Rc::new(Upstream::new(state.started_at_unix_ms)));
        let moved = state.address.is_some() && upstream.address.get() != state.address;
        if moved {
            upstream.address.set(state.address);
        }
        upstream.ready.set(state.availability == Availability::Ready);
        let restarted =
            upstream.started_at_unix_ms.replace(state.started_at_unix_ms) != state.started_at_unix_ms;
        if restarted || moved || !upstream.ready.get() {
            self.pool.close_idle(id);
        }
    }

    /// Removes all upstreams for which `is_listed` returns `false`, and closes the idle connections to them.
    pub fn retain_listed(&self, is_listed: impl Fn(UpstreamId) -> bool) {
        self.known.borrow_mut().retain(|id, upstream| {
            let retained = is_listed(*id);
            if !retained {
                upstream.ready.set(false);
                self.pool.close_idle(*id);
            }
            retained
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, id: UpstreamId) {
        self.pool.close_idle(id);
    }

    /// Closes connections that have been idle too long, at a fixed interval. Never returns.
    pub async fn close_expired_periodically(&self) {
        self.pool.close_expired_periodically().await;
    }

    /// The state of an upstream. `None` if it is not known or has been removed.
    pub(super) fn get(&self, id: UpstreamId) -> Option<Rc<Upstream>> {
        self.known.borrow().get(&id).map(Rc::clone)
    }
}
