//! The objects that operators publish.
//!
//! Invariants: an [`ObjectSet`] that passed validation has no dangling, duplicate, contradictory or
//! cyclic object; the same set always has the same snapshot, bucket by bucket. Nothing here does
//! I/O: files come in as text with a name, snapshots as bytes.
//!
//! API boundary: processes read objects through [`ObjectSet`]; the TOML form is known only here.

pub mod kinds;

use std::sync::Arc;

pub use kinds::Adapter;
pub use kinds::AdapterVersion;
pub use kinds::Backend;
pub use kinds::Endpoint;
pub use kinds::Fencing;
pub use kinds::Model;
pub use kinds::ObjectSet;
pub use kinds::Policy;
pub use kinds::Priority;
pub use kinds::Route;
pub use kinds::RouteTarget;
pub use kinds::Service;
pub use kinds::WeightedVersion;
pub use kinds::Workspace;

/// A shared, immutable name of an object.
pub type Name = Arc<str>;
