//! Configuration objects that operators publish: models, adapters and their versions, routes,
//! endpoints, services, workspaces and the policy.
//!
//! Invariants: a valid [`ObjectSet`] has no dangling references, duplicate objects, contradictory
//! settings or alias cycles. Equal sets have identical buckets in their snapshots. This crate does
//! no I/O: it takes the names and contents of files, and snapshots as bytes.
//!
//! API boundary: processes read objects through [`ObjectSet`]; only this crate knows the TOML
//! format.

pub mod diff;
pub mod finding;
pub mod ident;
mod intern;
pub mod kinds;
pub mod names;
pub mod parse;
pub mod resolve;
pub mod snapshot;
mod table;
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

/// The name of an object or another short text, shared without copying.
pub type Name = Arc<str>;
