//! The entry: the process that accepts requests from callers and dispatches them to agents.
//!
//! Invariants: the `decision` crate makes every decision and this crate executes the resulting
//! steps. A caller receives the complete response to its own request or an error, never a partial
//! response presented as complete. No lock is held across an await, and no storage call is made for
//! a repeatable request. Every task that is started here is joined by [`Entry::stop`].
//!
//! API boundary: a daemon or a test starts an [`Entry`] from [`Settings`] and
//! [`ExternalServices`]; callers reach it over HTTP, peers over `wire`.

mod api;
mod audit_records;
pub mod body;
mod caller;
mod committer;
mod config_sync;
mod driver;
mod dump;
mod entry;
mod finish;
mod handler;
mod metrics;
mod polls;
mod records;
mod relay;
mod reply;
mod response_sender;
mod server;
pub mod settings;
mod shared;
pub mod sse;

pub use caller::key_digest;
pub use entry::Entry;
pub use settings::EntryLimits;
pub use settings::ExternalServices;
pub use settings::Settings;
