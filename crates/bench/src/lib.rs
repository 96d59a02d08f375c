//! Simulation that compares the policy of the decision crate with baselines and a lower bound.
//!
//! Invariants: a run depends only on its site, seed, length, load and injected fault, so the same
//! command prints the same figures. Every policy gets the same arrivals, popularity shifts and
//! engine restarts.
//!
//! API boundary: policies implement [`sim::Policy`]; the models of the engine and the weight store
//! do not depend on any policy.

pub mod arrivals;
pub mod baseline;
pub mod bound;
pub mod command;
pub mod decision_policy;
pub mod engine;
pub mod measure;
pub mod sim;
pub mod site;
pub mod store;
