//! Decision logic of entries and agents in the gateway, where entries call runners directly.
//!
//! Invariants: nothing here opens a socket, reads a clock or spawns a task; the current time is an
//! argument. A request that must not run twice is never sent again after it may have run.
//!
//! API boundary: `platform` decodes external data into the types of [`config`], [`runner`] and
//! [`request`]; `gateway` drives [`fleet`], [`attempt`], [`retry_budget`] and [`load_scheduler`]
//! and carries out what they return. No type here depends on the encoding of the platform's
//! messages; only the messages between entries and agents, in [`link`], are defined here.

pub mod admission;
pub mod attempt;
pub mod backpressure;
pub mod caller_memory;
pub mod concurrency;
pub mod config;
mod cost;
pub mod crash_reports;
pub mod crash_watch;
pub mod demand;
pub mod entry_count;
pub mod events;
pub mod fleet;
pub mod idle;
pub mod line_limit;
pub mod link;
pub mod load_estimate;
pub mod load_profile;
pub mod load_scheduler;
pub mod members;
pub mod overload;
pub mod pauses;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod reconnect;
mod replication;
pub mod request;
pub mod retry_budget;
pub mod runner;
pub mod service_queue;
pub mod service_window;
pub mod silence;
pub mod stop;
pub mod store_era;
pub mod table_reads;
pub mod tenants;
pub mod told_runners;
pub mod usage;
pub mod versions;

use std::sync::Arc;

/// A shared, immutable identifier of a runner, model, adapter or other object.
pub type Name = Arc<str>;
