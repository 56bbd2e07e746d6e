//! A stand-in for the discovery agent beside a balancer. It answers each call with a watch on a
//! [`SharedRegistry`], ends watches at random, and can be stalled or closed.

mod watch;

use crate::shared_registry::SharedRegistry;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use watch::Watch;

/// Time between the call of [`Agent::close`] and the moment when the agent closes.
const CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// Faults that an agent injects, with probabilities from 0 to 1, and the chunk size of its updates.
#[derive(Clone, Copy, Debug)]
pub struct AgentFaults {
    /// Probability that the agent sends only part of an update and closes the connection.
    pub truncated_update: f64,
    /// Probability that the agent closes the connection instead of sending an update.
    pub closed_watch: f64,
    /// Probability that the agent answers a call with a snapshot although a delta would be enough.
    pub snapshot: f64,
    /// Maximum length of the chunks in which an update is sent.
    pub max_chunk_bytes: usize,
}

/// State that the owner of an agent sets, and that the threads of the agent read.
#[derive(Default)]
struct AgentControl {
    stalled: AtomicBool,
    closed: AtomicBool,
}

impl AgentControl {
    fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// A running agent. It answers calls until [`Agent::close`] is called or the test process ends.
pub struct Agent {
    address: SocketAddr,
    control: Arc<AgentControl>,
}

impl Agent {
    /// Starts an agent on a free port. `seed` determines its faults.
    ///
    /// Returns an error if the agent cannot listen.
    pub fn start(registry: &Arc<SharedRegistry>, faults: AgentFaults, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let control: Arc<AgentControl> = Arc::default();
        let acceptor = Acceptor {
            registry: Arc::clone(registry),
            control: Arc::clone(&control),
            faults,
            random: fastrand::Rng::with_seed(seed),
        };
        thread::spawn(move || acceptor.accept_calls(&listener));
        Ok(Self { address, control })
    }

    /// Returns the address on which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stalls or resumes the agent. Calls made during a stall are never answered. Watches that were open
    /// before the stall send nothing during it and continue afterwards.
    pub fn set_stalled(&self, stalled: bool) {
        self.control.stalled.store(stalled, Ordering::SeqCst);
    }

    /// Closes the agent after a short delay. A closed agent answers no more calls, and its open watches end
    /// when their next update or heartbeat is due.
    pub fn close(self) {
        let control = self.control;
        thread::spawn(move || {
            thread::sleep(CLOSE_DELAY);
            control.closed.store(true, Ordering::SeqCst);
        });
    }
}

/// Accepts calls from balancers.
struct Acceptor {
    registry: Arc<SharedRegistry>,
    control: Arc<AgentControl>,
    faults: AgentFaults,
    random: fastrand::Rng,
}

impl Acceptor {
    /// Serves each call in its own thread, until the agent is closed.
    fn accept_calls(mut self, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.control.is_closed() {
                return;
            }
            let registry = Arc::clone(&self.registry);
            let mut watch = Watch {
                stream,
                random: self.random.fork(),
                faults: self.faults,
                control: Arc::clone(&self.control),
            };
            thread::spawn(move || {
                // An error ends the watch, usually because the balancer has closed the connection.
                let _ = watch.serve(&registry);
                // The shutdown of the socket fails if the balancer has already closed the connection.
                let _ = watch.stream.shutdown(Shutdown::Both);
            });
        }
    }
}
