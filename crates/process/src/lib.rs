//! What the entry and the agent share as processes.
//!
//! Invariants: no decision about requests is made here; the configuration in force only moves to
//! higher generations ([`decision::adopt`]); every task that is started here is joined by
//! [`Node::stop`].
//!
//! API boundary: a daemon loads its settings with [`settings::load`], starts a [`Node`], and
//! delegates the `head` and `blob` calls of its peers to it.

pub mod adopter;
pub mod clock;
pub mod config;
pub mod logs;
pub mod node;
pub mod ops;
pub mod settings;
pub mod shutdown;

pub use adopter::Adopter;
pub use clock::Clock;
pub use config::Config;
pub use node::Node;
pub use node::NodeSettings;
