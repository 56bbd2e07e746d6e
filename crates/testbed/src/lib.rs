//! Stand-ins for what surrounds a balancer on real sockets, on loopback, with faults drawn from a seed, and
//! checks of the rules that a balancer has to keep, by what the servers received.
//!
//! A [`soak`] test runs a fleet of servers of any size against processes of the balancer:
//!
//! - [`registry`]: the list of servers, its versions and the changes of each;
//! - [`shared_registry`]: the list as agents and the test share it;
//! - [`agent`]: a discovery agent that delivers the list in chunks and breaks or stalls watches;
//! - [`servers`]: groups of servers that record each request;
//! - [`balancer_process`]: a process of the balancer, started and killed;
//! - [`client`]: sends requests one after another;
//! - [`drain_rule`]: finds requests that reached a draining server too late;
//! - [`shim`]: makes system calls of a balancer fail, and steps its wall clock.
//!
//! [`shutdown`] is a soak test of the end of a single process.

pub mod agent;
pub mod balancer_process;
pub mod client;
pub mod drain_rule;
mod message;
pub mod registry;
pub mod servers;
pub mod shared_registry;
pub mod shim;
pub mod shutdown;
pub mod soak;
