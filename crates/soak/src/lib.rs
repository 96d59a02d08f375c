//! A randomized test of the real programs under faults from outside.
//!
//! Entries and agents run as separate processes on loopback addresses, with stand-ins of the store
//! and of runners in this process. Callers keep sending requests while faults come in series and
//! overlap; then all programs are killed, and service must return.
//!
//! Invariants: the plan of faults follows from the seed alone; the checks read nothing but what
//! callers and stand-ins saw; only processes that were started here are signaled or ended.
//!
//! API boundary: [`world::run`] plays one seed, [`checks::breaches`] judges what was seen.

mod caller;
pub mod checks;
mod faults;
pub mod history;
pub mod plan;
pub mod program;
pub mod proxy;
pub mod report;
pub mod world;
