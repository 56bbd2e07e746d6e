//! A discovery agent beside a balancer: it answers calls with a watch on a [`SharedRegistry`], breaks watches
//! off at random, and can be stalled or closed.

mod watch;

use crate::shared_registry::SharedRegistry;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use watch::Watch;

/// How long an agent goes on as before after [`Agent::close`].
const CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// The faults of an agent. Probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug)]
pub struct AgentFaults {
    /// Probability that a watch is broken off within an update.
    pub truncated_update: f64,
    /// Probability that a watch ends instead of delivering an update.
    pub closed_watch: f64,
    /// Probability that a call is answered with a snapshot where a delta would do.
    pub snapshot: f64,
    /// The longest chunk of an update.
    pub max_chunk_bytes: usize,
}

/// The state of an agent that its owner controls and its watches observe.
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

/// A running agent. It answers until the process ends or the agent is closed.
pub struct Agent {
    address: SocketAddr,
    control: Arc<AgentControl>,
}

impl Agent {
    /// Starts an agent on a free port. Fails if it cannot listen.
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

    /// Returns the address of the agent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stalls the agent or resumes it. Calls made while it is stalled are never answered; watches that were
    /// open before continue when it is resumed.
    pub fn set_stalled(&self, stalled: bool) {
        self.control.stalled.store(stalled, Ordering::SeqCst);
    }

    /// Closes the agent a moment later: it then takes no more calls, and a watch that is open ends when its
    /// next update or heartbeat is due.
    pub fn close(self) {
        let control = self.control;
        thread::spawn(move || {
            thread::sleep(CLOSE_DELAY);
            control.closed.store(true, Ordering::SeqCst);
        });
    }
}

/// Accepts the calls of balancers.
struct Acceptor {
    registry: Arc<SharedRegistry>,
    control: Arc<AgentControl>,
    faults: AgentFaults,
    random: fastrand::Rng,
}

impl Acceptor {
    /// Serves each call in a thread of its own, until the agent is closed.
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
                // An error is the end of a watch that the balancer has closed.
                let _ = watch.serve(&registry);
                // The balancer may have closed the connection already.
                let _ = watch.stream.shutdown(Shutdown::Both);
            });
        }
    }
}
