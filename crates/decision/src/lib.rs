//! Every decision of dotterelwheel, free of I/O.
//!
//! Invariants: nothing here opens a socket, reads a clock, spawns a task or keeps global state. The
//! present time is an argument ([`time::Time`]), randomness is a `&mut fastrand::Rng` argument, and
//! a decision returns typed values which the caller turns into I/O.
//!
//! API boundary: the processes, the tests and the measuring tools all drive these modules through
//! the same functions; a new engine protocol or a virtual clock changes nothing in this crate.

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
