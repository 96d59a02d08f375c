//! Publishing an object set: reading the head row, storing the snapshot and swapping the head.
//!
//! The table service is the source of truth: a generation is published once its row
//! `config/generation/{n}` holds its digest. That row and the head row are written in one
//! transaction, conditional on the version of the head row (compare-and-swap). At most one
//! publisher therefore gets a given generation, and a swap that is retried after a lost response
//! cannot take effect twice.

mod state;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use objects::Digest;
use objects::Finding;
use objects::Manifest;
use objects::ObjectKey;
use objects::ObjectSet;
use objects::SourceMap;
use serde::Deserialize;
use serde::Serialize;
pub use state::Publisher;

use crate::ids::Head;
use crate::ids::Name;

/// Key of the row that holds the head.
pub const HEAD_KEY: &str = "config/head";

/// Time after which a publisher gives up, unless it has an unverified swap.
pub const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a publisher tries to verify a swap whose response was lost.
pub const VERIFY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the key of the row that records `generation`.
pub fn generation_key(generation: u64) -> String {
    format!("config/generation/{generation}")
}

/// The head row as read from the table.
///
/// Version 0 with the default head represents a row that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// Version that the table assigned to the row; every write changes it.
    pub version: u64,
    /// Generation in force, with its digest.
    pub head: Head,
}

/// The row that records one generation, written in the same transaction as the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRow {
    /// Number of the generation and digest of its manifest.
    #[serde(flatten)]
    pub head: Head,
    /// Publisher, as named by the operator or taken from the environment.
    pub publisher: Name,
    /// Time of publication, in seconds since the Unix epoch.
    pub unix_time: u64,
    /// Number of objects added since the previous generation.
    pub added: usize,
    /// Number of objects removed since the previous generation.
    pub removed: usize,
    /// Number of objects changed since the previous generation.
    pub changed: usize,
    /// For a rollback, the generation whose set was restored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<u64>,
}

/// A request to publish an edited object set.
#[derive(Clone, Debug)]
pub struct Request {
    /// Head that the edits are based on.
    pub base: Head,
    /// Set before the edits.
    pub base_set: Arc<ObjectSet>,
    /// Set after the edits.
    pub set: Arc<ObjectSet>,
    /// Source locations of the objects in `set`, for findings.
    pub sources: Arc<SourceMap>,
    /// Whether the edits may be rebased onto a head newer than `base`.
    pub rebase: bool,
    /// Name of the publisher, recorded in the manifest and in the generation row.
    pub publisher: Name,
    /// Current time, in seconds since the Unix epoch.
    pub unix_time: u64,
    /// For a rollback, the generation whose set is restored.
    pub restores: Option<u64>,
}

/// A content-addressed blob for the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob {
    /// Digest of `bytes`, under which the blob is stored.
    pub digest: Digest,
    /// Encoded bucket or manifest.
    pub bytes: Arc<[u8]>,
}

/// Blobs that must be in the object store before the head is swapped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    /// Buckets, which may be stored in any order.
    pub buckets: Vec<Blob>,
    /// Manifests, which must be stored after all buckets.
    pub manifests: Vec<Blob>,
}

/// The next action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head row, then report [`Event::Head`] or [`Event::Failed`].
    ReadHead,
    /// Fetch the manifest and the set of this head, then report [`Event::Fetched`] or
    /// [`Event::Failed`].
    Fetch(Head),
    /// Store the blobs, then report [`Event::Stored`] or [`Event::Failed`].
    Store(Arc<Upload>),
    /// In one transaction, write the head row if its version is `expected`, and the generation row
    /// if it does not exist. Then report [`Event::Swapped`], [`Event::Conflict`],
    /// [`Event::Unknown`] or [`Event::Failed`].
    Swap {
        /// Version that the head row must have.
        expected: u64,
        /// Generation row to write; it contains the new head.
        row: Box<GenerationRow>,
    },
    /// Read the head row and, after its response, the row of this generation. Then report
    /// [`Event::ReadBack`] or [`Event::Failed`].
    ///
    /// In the opposite order, a generation published between the two reads would appear in the head
    /// row but have no row of its own.
    ReadBack(u64),
    /// Wait for this time, then report [`Event::Waited`].
    Wait(Duration),
    /// Publishing has ended.
    Finish(Box<Outcome>),
}

/// The result of an [`Action`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The head row was read.
    Head(HeadRow),
    /// The snapshot of a head was fetched.
    Fetched {
        /// Manifest of the requested head.
        manifest: Box<Manifest>,
        /// Objects of the requested head.
        set: Arc<ObjectSet>,
    },
    /// All blobs are stored.
    Stored,
    /// The swap took effect.
    Swapped,
    /// A condition of the swap did not hold; nothing was written.
    Conflict,
    /// The swap was sent but no response arrived: it may have taken effect or may still do so.
    /// Contains the error.
    Unknown(String),
    /// The rows were read back.
    ReadBack {
        /// Head row, read first.
        row: HeadRow,
        /// Row of the requested generation, if it exists.
        generation: Option<Box<GenerationRow>>,
    },
    /// The action failed without effect. Contains the error.
    Failed(String),
    /// The wait is over.
    Waited,
}

/// A step of publishing; its text appears in error messages.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// [`Action::ReadHead`].
    #[display("read head")]
    ReadHead,
    /// [`Action::Fetch`].
    #[display("fetch the set of the head")]
    Fetch,
    /// [`Action::Store`].
    #[display("store the snapshot")]
    Store,
    /// [`Action::Swap`].
    #[display("swap the head")]
    Swap,
    /// [`Action::ReadBack`].
    #[display("read the head back")]
    ReadBack,
}

/// The result of publishing.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The set is published.
    Published {
        /// Row of the new generation.
        row: Box<GenerationRow>,
        /// Digest of the manifest of the requested set. It differs from the digest of the
        /// generation if changes by other publishers were merged in.
        own_digest: Digest,
        /// Validation warnings about the published set.
        warnings: Vec<Finding>,
    },
    /// The head already contains all edits; nothing was published.
    Unchanged(Head),
    /// The merged set has validation errors; nothing was published.
    Invalid(Vec<Finding>),
    /// The head is newer than the base; nothing was published.
    Conflict {
        /// Head in force.
        head: Head,
        /// Objects that both sides changed; if empty, a rebase can succeed.
        overlap: Vec<ObjectKey>,
    },
    /// The head is older than the base, or has the same generation with another digest, so the
    /// edits are based on a different table; nothing was published.
    BaseMismatch(Head),
    /// The platform did not respond in time; nothing was published.
    Unreachable {
        /// Step that failed.
        step: Step,
        /// Error of the last try.
        reason: String,
    },
    /// A swap was sent but could not be verified: the set may be published now or later.
    Unknown {
        /// Head that the swap would put in force.
        head: Head,
        /// Error of the last try.
        reason: String,
    },
}
