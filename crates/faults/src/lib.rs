//! Fault injection tests of the decision crate: a deterministic simulation of a site, into which
//! every fault is injected at every step to which it applies.
//!
//! Invariants: the result of a case depends on its [`case::Case`] alone. The checks in [`history`]
//! compare what the fake engines and storage did with what callers were told, and never read a
//! counter of the code under test.
//!
//! API boundary: [`matrix`] lists steps, faults and invariants, and [`case`] runs one case. Nothing
//! here opens a socket or reads the system clock.

mod adoption;
mod agents;
pub mod case;
mod engine;
mod entries;
pub mod history;
mod inject;
pub mod matrix;
pub mod mutant;
mod outcomes;
pub mod page;
mod publisher;
mod sample;
pub mod simulation;
mod storage;
