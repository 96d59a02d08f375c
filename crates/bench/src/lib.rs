//! Measuring tools: the policy under a virtual clock against baselines and a bound.
//!
//! Invariants: a run depends only on its site, seed, length and load, so the same command prints
//! the same figures; every policy sees the same arrivals, shifts and restarts.
//!
//! API boundary: [`sim::Policy`] is what a policy implements; the models of engines and of the
//! weight store know nothing of the policies.

pub mod arrivals;
pub mod baseline;
pub mod bound;
pub mod command;
pub mod engine;
pub mod measure;
pub mod ours;
pub mod sim;
pub mod site;
pub mod store;
