//! The decision logic of dotterelwheel, as state machines and functions without I/O.
//!
//! Invariants: nothing in this crate opens a socket, reads a clock, spawns a task or keeps global
//! state. The current time ([`time::Time`]) and the random number generator
//! (`&mut fastrand::Rng`) are arguments, and every decision is returned as a typed value that the
//! caller carries out.
//!
//! API boundary: the processes, the tests and the benchmarks drive these modules through the same
//! functions. A new engine protocol or a virtual clock requires no change in this crate.

pub mod adopt;
pub mod agent;
pub mod claim;
pub mod collections;
pub mod drain;
pub mod hash;
pub mod health;
pub mod ids;
pub mod job;
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod member;
pub mod permit;
pub mod placement;
pub mod problem;
pub mod publish;
pub mod queue;
pub mod report;
pub mod request;
pub mod retry;
pub mod route;
pub mod slots;
pub mod time;
