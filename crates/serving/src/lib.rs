//! Decisions of the entry and the agent when entries call runners directly.
//!
//! Invariants: nothing here opens a socket, reads a clock or spawns a task; the present time is an
//! argument. A request that may run once is never sent again after it may have run.
//!
//! API boundary: `platform` decodes the outside world into the types of [`config`], [`runner`] and
//! [`request`]; `gateway` drives [`fleet`], [`attempt`], [`budget`] and [`slots`] and carries out
//! what they return. No type here knows how a message is spelled.

pub mod attempt;
pub mod budget;
pub mod config;
pub mod demand;
pub mod events;
pub mod fleet;
pub mod link;
pub mod members;
pub mod overload;
pub mod place;
pub mod request;
pub mod runner;
pub mod slots;
pub mod usage;
pub mod versions;

use std::sync::Arc;

/// A shared, immutable name.
pub type Name = Arc<str>;
