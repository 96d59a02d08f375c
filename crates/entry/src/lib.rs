//! The entry: the process that callers talk to.
//!
//! Invariants: every decision is made by `decision`; this crate carries its steps out. A caller gets
//! the whole answer to its own request or an error, never a part as the whole. No lock is held
//! across an await, and no storage call is made for a repeatable request. Every task that is started
//! here is joined by [`Entry::stop`].
//!
//! API boundary: a daemon or a test starts an [`Entry`] from [`Settings`] and
//! [`ExternalServices`]; callers reach it over HTTP, peers over `wire`.

mod answer;
mod api;
pub mod body;
mod caller;
mod committer;
mod drive;
mod dump;
mod entry;
mod follow;
mod handler;
mod metrics;
mod outlet;
mod polls;
mod records;
mod relay;
mod reply;
mod server;
pub mod settings;
mod shared;
pub mod sse;
mod trail;

pub use caller::key_digest;
pub use entry::Entry;
pub use settings::EntryLimits;
pub use settings::ExternalServices;
pub use settings::Settings;
