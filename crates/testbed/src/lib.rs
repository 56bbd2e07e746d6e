//! Stand-ins for what surrounds a balancer on real sockets: discovery's agent, servers and clients, on
//! loopback, with faults drawn from a seed, and the rules that a balancer has to keep, checked against what
//! the servers saw.
//!
//! A [`soak`] plays a fleet of any number of servers against processes of the balancer:
//!
//! - [`registry`]: the list of servers, its versions and what changed in each;
//! - [`agent`]: discovery, which tells the list in pieces, resets watches and ends them;
//! - [`servers`]: groups of servers that note each request;
//! - [`balancer`]: a process of the balancer, started and killed;
//! - [`client`]: requests, one after another;
//! - [`drain`]: which requests broke the rule on servers that drain;
//! - [`shim`]: system calls of a balancer that fail.

pub mod agent;
pub mod balancer;
pub mod client;
pub mod drain;
pub mod registry;
pub mod servers;
pub mod shim;
pub mod soak;
