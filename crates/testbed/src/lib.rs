//! Stand-ins for the environment of a balancer process (discovery, servers and clients), and checks of the
//! behavior of the process. They use real sockets on the loopback interface, and draw their faults from a
//! seed.
//!
//! [`soak`] runs balancer processes in a fleet of servers of any size. It checks, by the requests that the
//! servers received, that draining servers get no requests after a grace period. It uses these modules:
//!
//! - [`registry`]: the endpoint list, with its versions and the changes in each version;
//! - [`shared_registry`]: the registry as discovery agents and the test share it;
//! - [`agent`]: a discovery agent that sends the endpoint list in chunks, and ends or stalls watches;
//! - [`servers`]: groups of servers that record each request;
//! - [`balancer_process`]: starts, signals and kills a balancer process;
//! - [`client`]: sends requests one after another;
//! - [`drain_rule`]: finds requests that reached a draining server too late;
//! - [`shim`]: makes system calls of a balancer process fail, and steps its wall clock.
//!
//! [`shutdown`] tests the shutdown of a single balancer process under traffic. It uses some of the same
//! modules.

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
