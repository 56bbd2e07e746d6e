//! Accepts client connections up to a limit. At the limit, a connection that awaits no response is evicted to
//! make room for a new one.

use crate::downstream::client::Client;
use crate::downstream::connection::serve_connection;
use crate::downstream::handler::RequestHandler;
use crate::driver::Driver;
use crate::lifecycle_phase::LifecyclePhase;
use crate::memory_budget::{MemoryBudget, MemoryBudgets, Reservation};
use crate::rate_limited_log::RateLimitedLog;
use balancer_settings::Site;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

#[cfg(test)]
mod tests;

/// Time between two tries to evict a connection while an accepted one waits for a slot.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed accept. While the process has no file descriptors left, the next accept would fail at
/// once.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(10);
/// Time between two evictions while a memory budget is exhausted. An evicted connection releases its memory
/// within this time.
const MEMORY_EVICTION_INTERVAL: Duration = Duration::from_millis(10);

/// Memory of a client connection with a request of common size, in bytes.
pub const CLIENT_CONNECTION_BYTES: usize = 32 * 1024;

/// A permit for one client connection.
struct ClientSlot {
    _permit: OwnedSemaphorePermit,
    _memory: Reservation,
}

/// Accepts client connections and serves them.
pub struct Listener {
    handler: Rc<RequestHandler>,
    phase: watch::Receiver<LifecyclePhase>,
    /// The connections that are being served, by an id that is unique in this listener.
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client_id: Cell<u64>,
    memory: MemoryBudgets,
    driver: Rc<Driver>,
    accept_log: RateLimitedLog,
    eviction_log: RateLimitedLog,
}

impl Listener {
    /// Returns a listener that submits its clients' requests to `driver` and follows the phases of the
    /// process. Evicts clients that hold memory needlessly while one of the budgets is exhausted.
    pub fn new(
        driver: Rc<Driver>,
        site: &Site,
        phase: watch::Receiver<LifecyclePhase>,
        memory: MemoryBudgets,
    ) -> Rc<Self> {
        Rc::new(Self {
            handler: Rc::new(RequestHandler::new(
                Rc::clone(&driver),
                site,
                phase.clone(),
                memory.requests.clone(),
            )),
            phase,
            clients: RefCell::default(),
            next_client_id: Cell::new(0),
            memory,
            driver,
            accept_log: RateLimitedLog::default(),
            eviction_log: RateLimitedLog::default(),
        })
    }

    /// Accepts connections from `socket` until the process drains, and serves at most `max_connections` of
    /// them at a time. Returns when the last connection has ended.
    pub async fn run(self: Rc<Self>, socket: TcpListener, max_connections: usize) {
        tokio::select! {
            () = Rc::clone(&self).accept_and_serve(socket, max_connections) => {}
            () = self.relieve_shortages(&self.memory.requests, Client::stalled_since) => {}
            () = self.relieve_shortages(&self.memory.responses, Client::slow_reader_since) => {}
        }
    }

    async fn accept_and_serve(self: Rc<Self>, socket: TcpListener, max_connections: usize) {
        let slots = Arc::new(Semaphore::new(max_connections));
        let mut phase = self.phase.clone();
        let mut is_draining = false;
        loop {
            let accepted = tokio::select! {
                biased;
                _ = phase.wait_for(|phase| *phase == LifecyclePhase::Draining), if !is_draining => {
                    is_draining = true;
                    continue;
                }
                accepted = socket.accept() => accepted,
                // A draining process still accepts the connections in the backlog, because their requests may
                // have arrived. This branch is reached when the backlog is empty.
                () = yield_now(), if is_draining => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.accept_log.warn(
                        |skipped| tracing::warn!(skipped, %error, "failed to accept a client connection"),
                    );
                    sleep(ACCEPT_ERROR_BACKOFF).await;
                    continue;
                }
            };
            let slot = self.acquire_slot(&slots).await;
            let listener = Rc::clone(&self);
            spawn_local(async move {
                listener.serve(stream).await;
                drop(slot);
            });
        }
        drop(socket);
        // All slots are free once the last connection has ended. Acquiring them can't fail, because the
        // semaphore is never closed.
        let _ = slots.acquire_many(max_connections as u32).await;
    }

    /// Waits for a free slot; each connection that is being served holds one. Tries to evict a connection
    /// every [`EVICTION_RETRY_INTERVAL`], because one that must not be evicted now may be idle later.
    async fn acquire_slot(&self, slots: &Arc<Semaphore>) -> ClientSlot {
        loop {
            if let Some(slot) = self.try_acquire_slot(slots) {
                return slot;
            }
            // Lent memory is soon returned, so no request is given up for it.
            let may_evict_reading = slots.available_permits() == 0;
            self.evict_client(may_evict_reading);
            if let Ok(Some(slot)) = timeout(EVICTION_RETRY_INTERVAL, self.wait_for_slot(slots)).await {
                return slot;
            }
        }
    }

    fn try_acquire_slot(&self, slots: &Arc<Semaphore>) -> Option<ClientSlot> {
        let permit = Arc::clone(slots).try_acquire_owned().ok()?;
        let memory = self.memory.connections.try_reserve(CLIENT_CONNECTION_BYTES).ok()?;
        Some(ClientSlot { _permit: permit, _memory: memory })
    }

    async fn wait_for_slot(&self, slots: &Arc<Semaphore>) -> Option<ClientSlot> {
        let permit = Arc::clone(slots).acquire_owned().await.ok()?;
        let memory = self.memory.connections.reserve(CLIENT_CONNECTION_BYTES).await.ok()?;
        Some(ClientSlot { _permit: permit, _memory: memory })
    }

    /// Evicts the connection with the smallest
    /// [`EvictionPriority`](crate::downstream::client::EvictionPriority), if any may be evicted.
    fn evict_client(&self, may_evict_reading: bool) {
        let now = Instant::now();
        let clients = self.clients.borrow();
        let candidates = clients
            .values()
            .filter_map(|client| Some((client.eviction_priority(now)?, client)))
            .filter(|(priority, _)| may_evict_reading || !priority.is_reading());
        if let Some((_, client)) = candidates.min_by_key(|(priority, _)| *priority) {
            client.evict();
        }
    }

    /// Evicts clients while reservations in `budget` wait, one for each of them. `held_since` returns since when
    /// a client has held memory needlessly, or `None` if it does not. The first to do so is evicted first. Never
    /// returns.
    async fn relieve_shortages(
        &self,
        budget: &MemoryBudget,
        held_since: impl Fn(&Client, Instant) -> Option<Instant>,
    ) {
        loop {
            budget.shortage().await;
            let now = Instant::now();
            let mut holders: Vec<_> = self
                .clients
                .borrow()
                .values()
                .filter_map(|client| Some((held_since(client, now)?, Rc::clone(client))))
                .collect();
            holders.sort_by_key(|(since, _)| *since);
            for (_, client) in holders.iter().take(budget.waiting()) {
                client.evict_at_once();
                self.driver.metrics().clients_evicted_for_memory.inc();
            }
            if !holders.is_empty() {
                let waiting = budget.waiting();
                self.eviction_log.warn(|skipped| {
                    tracing::warn!(skipped, waiting, "memory is short; evicting clients that hold it")
                });
            }
            sleep(MEMORY_EVICTION_INTERVAL).await;
        }
    }

    /// Serves an accepted connection until it has ended.
    async fn serve(&self, stream: TcpStream) {
        let id = self.next_client_id.replace(self.next_client_id.get() + 1);
        let client = Rc::new(Client::new());
        self.clients.borrow_mut().insert(id, Rc::clone(&client));
        let handler = Rc::clone(&self.handler);
        serve_connection(stream, &client, handler, &self.memory.requests, self.phase.clone()).await;
        self.clients.borrow_mut().remove(&id);
    }
}
