//! Process infrastructure of the entry and the agent: configuration, membership, logs and settings.
//!
//! Invariants: this crate makes no decisions about requests; the generation of the configuration in
//! force never decreases ([`decision::adopt`]); [`Node::stop`] joins every task that a node starts.
//!
//! API boundary: a daemon loads its settings with [`settings::load`], starts a [`Node`], and
//! delegates the `exchange_heads` and `blob` calls of its peers to [`Node::adopter`]; servers of callers wrap
//! their connections with [`caller`] and close connections with [`linger`].

pub mod adopter;
pub mod allocator;
pub mod caller;
pub mod clock;
pub mod config;
pub mod linger;
pub mod logs;
pub mod node;
pub mod ops;
pub mod ops_listener;
pub mod settings;
pub mod shutdown;

pub use adopter::Adopter;
pub use clock::Clock;
pub use config::Config;
pub use node::Node;
pub use node::NodeSettings;
