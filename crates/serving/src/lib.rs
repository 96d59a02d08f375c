//! Decisions of the entry and the agent when entries call runners directly.
//!
//! Invariants: nothing here opens a socket, reads a clock or spawns a task; the present time is an
//! argument. A request that may run once is never sent again after it may have run.
//!
//! API boundary: `platform` decodes the outside world into the types of [`config`], [`runner`] and
//! [`request`]; `gateway` drives [`fleet`], [`attempt`], [`retry_budget`] and [`load_scheduler`] and carries out
//! what they return. No type here knows how a message is spelled.

pub mod attempt;
pub mod config;
pub mod demand;
pub mod events;
pub mod fleet;
pub mod link;
pub mod load_scheduler;
pub mod members;
pub mod overload;
pub mod placement;
pub mod request;
pub mod retry_budget;
pub mod runner;
pub mod usage;
pub mod versions;

use std::sync::Arc;

/// A shared, immutable name.
pub type Name = Arc<str>;
