//! The soak test: a randomized test of the real programs under external faults.
//!
//! Entries and agents run as separate processes on loopback addresses; the stand-ins for the store
//! and the runners run in this process. Callers send requests while faults follow and overlap each
//! other. At the end all programs are killed, and requests must be served again.
//!
//! Invariants: the fault schedule depends on nothing but the seed, the length and the size; the
//! checks read only what callers, stand-ins and the harness recorded; only processes that the
//! harness started are signaled or killed.
//!
//! API boundary: [`harness::run`] runs one seed, [`checks::violations`] checks its history.

mod caller;
pub mod checks;
mod deployment;
mod faults;
pub mod harness;
pub mod held;
pub mod history;
pub mod plan;
pub mod program;
pub mod proxy;
pub mod report;
pub mod tenants;
