//! The set of known upstreams, with the address of each and whether it takes requests.

use crate::memory_budget::{MemoryBudget, MemoryBudgets};
use crate::metrics::Metrics;
use crate::upstream::load_report::LoadReportReader;
use crate::upstream::pool::ConnectionPool;
use balancer_core::{Availability, Settings, UpstreamId};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Fraction of the upstreams' idle timeout after which the proxy closes an idle connection. The proxy has to
/// close it before the upstream does: a request that is sent while the upstream closes the connection ends as
/// a reset, and cannot be retried afterwards unless it is safe to repeat.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The part of an endpoint list entry that concerns the connections to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// The address at which the upstream listens. `None` if the list has no readable address.
    pub address: Option<SocketAddr>,
    /// Whether the upstream takes requests, drains or has been removed.
    pub availability: Availability,
    /// The start time of the upstream's process in milliseconds of Unix time, as stated in the list. 0 if the
    /// process started long ago or the list states no time.
    pub started_at_unix_ms: u64,
}

/// The current state of a known upstream. An attempt shares it while it waits for a connection, so that it
/// sees changes of the endpoint list during the wait.
pub(super) struct Upstream {
    /// The last readable address in the endpoint list. `None` if there was none yet.
    pub(super) address: Cell<Option<SocketAddr>>,
    /// The start time of the upstream's process in milliseconds of Unix time.
    pub(super) started_at_unix_ms: Cell<u64>,
    /// Whether the upstream takes requests. `false` once it drains or has been removed.
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

/// All known upstreams, and the connections to them.
pub struct Upstreams {
    known: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    pub(super) pool: ConnectionPool,
    pub(super) response_memory: MemoryBudget,
    pub(super) connect_timeout: Duration,
    pub(super) load_report_reader: LoadReportReader,
    pub(super) metrics: Rc<Metrics>,
}

impl Upstreams {
    /// Creates an empty set. `max_connections` limits the open connections to all upstreams together.
    /// `memory` limits the memory for the connections and the response bodies of all upstreams together.
    pub fn new(
        settings: &Settings,
        max_connections: usize,
        memory: &MemoryBudgets,
        metrics: Rc<Metrics>,
    ) -> Self {
        let max_idle_time = settings.connection_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        Self {
            known: RefCell::default(),
            pool: ConnectionPool::new(max_connections, max_idle_time, memory.connections.clone()),
            response_memory: memory.responses.clone(),
            connect_timeout: settings.connect_timeout,
            load_report_reader: LoadReportReader::new(settings),
            metrics,
        }
    }

    /// Applies an entry of the endpoint list. Closes the idle connections to the upstream if its address
    /// changed, if it restarted, or if it does not take requests.
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

    /// Removes the upstreams for which `is_listed` returns `false`, and closes the idle connections to them.
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

    /// Closes idle connections that have expired or are known to be closed, at a fixed interval. Never
    /// returns.
    pub async fn close_expired_periodically(&self) {
        self.pool.close_expired_periodically().await;
    }

    /// Returns the state of an upstream, or `None` if the upstream is unknown or has been removed.
    pub(super) fn get(&self, id: UpstreamId) -> Option<Rc<Upstream>> {
        self.known.borrow().get(&id).map(Rc::clone)
    }
}
