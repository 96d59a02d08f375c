//! The first committed policy, frozen as a baseline for measurements.
//!
//! This is a copy of the crate `decision` at the commit that first ran in the measuring tool.
//! It is not changed afterwards, except to keep it compiling.

pub mod agent;
pub mod collections;
pub mod drain;
pub mod hash;
pub mod health;
pub mod ids;
pub mod job;
pub mod lease;
pub mod ledger;
pub mod permit;
pub mod place;
pub mod queue;
pub mod report;
pub mod route;
pub mod slots;
pub mod time;
