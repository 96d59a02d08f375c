//! The objects that operators publish.
//!
//! Invariants: an [`ObjectSet`] that passed validation has no dangling, duplicate, contradictory or
//! cyclic object; the same set always has the same snapshot, bucket by bucket. Nothing here does
//! I/O: files come in as text with a name, snapshots as bytes.
//!
//! API boundary: processes read objects through [`ObjectSet`]; the TOML form is known only here.

pub mod diff;
mod fields;
pub mod finding;
pub mod ident;
pub mod kinds;
pub mod names;
pub mod parse;
pub mod resolve;
mod share;
pub mod snapshot;
pub mod validate;

use std::sync::Arc;

pub use diff::Diff;
pub use diff::diff;
pub use diff::rebase;
pub use finding::Finding;
pub use finding::FindingCode;
pub use finding::ObjectSource;
pub use finding::Severity;
pub use finding::SourceLocation;
pub use finding::SourceMap;
pub use finding::has_errors;
pub use ident::Object;
pub use ident::ObjectKey;
pub use ident::ObjectKind;
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
pub use parse::LoadedSet;
pub use parse::load;
pub use parse::parse;
pub use resolve::ResolvedRoute;
pub use resolve::resolve_route;
pub use snapshot::Digest;
pub use snapshot::Manifest;
pub use snapshot::Snapshot;
pub use snapshot::SnapshotError;
pub use snapshot::apply_buckets;
pub use snapshot::changed_buckets;
pub use validate::validate;
pub use validate::validate_change;

/// A shared, immutable name of an object.
pub type Name = Arc<str>;
