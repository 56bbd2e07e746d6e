//! Accepts client connections within their limit, and evicts idle ones for those that wait.

use crate::downstream::client::Client;
use crate::downstream::connection::serve_connection;
use crate::downstream::handler::RequestHandler;
use crate::driver::Driver;
use crate::lifecycle_phase::LifecyclePhase;
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

/// How long an accepted connection waits for the evicted one to end before another is evicted.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed accept: while no descriptors are left, each further one would fail at once.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts and serves clients.
pub struct Listener {
    handler: Rc<RequestHandler>,
    phase: watch::Receiver<LifecyclePhase>,
    /// The clients that are being served.
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client_id: Cell<u64>,
    log: RateLimitedLog,
}

impl Listener {
    /// A listener that submits its clients' requests to `driver` and follows the phases of the process.
    pub fn new(driver: Rc<Driver>, site: &Site, phase: watch::Receiver<LifecyclePhase>) -> Rc<Self> {
        Rc::new(Self {
            handler: Rc::new(RequestHandler::new(driver, site, phase.clone())),
            phase,
            clients: RefCell::default(),
            next_client_id: Cell::new(0),
            log: RateLimitedLog::default(),
        })
    }

    /// Accepts clients, at most `max_connections` at a time, until the process drains; returns when the last
    /// of them has gone.
    pub async fn run(self: Rc<Self>, socket: TcpListener, max_connections: usize) {
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
                // Connections in the backlog are still accepted, as their requests may have arrived. This
                // branch is reached when there are no more of them.
                () = yield_now(), if is_draining => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.log.warn(|skipped| tracing::warn!(skipped, %error, "accept failed"));
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
        // All slots are free once the last client has gone; the semaphore is never closed.
        let _ = slots.acquire_many(max_connections as u32).await;
    }

    /// Waits for a free slot. Evicts again and again: all clients may be busy now and idle later.
    async fn acquire_slot(&self, slots: &Arc<Semaphore>) -> OwnedSemaphorePermit {
        loop {
            if let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
                return slot;
            }
            self.evict_idle_client();
            if let Ok(Ok(slot)) = timeout(EVICTION_RETRY_INTERVAL, Arc::clone(slots).acquire_owned()).await {
                return slot;
            }
        }
    }

    /// Closes the connection with the lowest
    /// [`EvictionPriority`](crate::downstream::client::EvictionPriority), if any may be closed.
    fn evict_idle_client(&self) {
        let now = Instant::now();
        let clients = self.clients.borrow();
        let candidates = clients.values().filter_map(|client| Some((client.eviction_priority(now)?, client)));
        if let Some((_, client)) = candidates.min_by_key(|(priority, _)| *priority) {
            client.evict();
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let id = self.next_client_id.replace(self.next_client_id.get() + 1);
        let client = Rc::new(Client::new());
        self.clients.borrow_mut().insert(id, Rc::clone(&client));
        serve_connection(stream, &client, Rc::clone(&self.handler), self.phase.clone()).await;
        self.clients.borrow_mut().remove(&id);
    }
}
