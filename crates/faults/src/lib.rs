//! Fault matrix: every fault at every step, against the decision crate under a virtual clock.
//!
//! Invariants: a case depends on its [`case::Case`] alone; the checks in [`record`] compare what
//! the fakes did with what callers were told and never read a counter of the system under test.
//!
//! API boundary: [`matrix`] lists steps, faults and invariants, and [`case`] runs one case. Nothing
//! here opens a socket or reads a clock.

mod adoption;
mod agents;
pub mod case;
mod engine;
mod entries;
mod inject;
pub mod matrix;
pub mod mutant;
mod outcomes;
pub mod page;
mod platform;
mod publisher;
pub mod record;
mod sample;
pub mod world;
