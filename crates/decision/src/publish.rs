//! Publishing of an object set: which row to read, what to store and when the set is in force.
//!
//! The table decides: a generation is published when its row `config/generation/{n}`, written in
//! one transaction with the head, holds the digest. The transaction is conditional on the version
//! of the head row, so at most one publisher gets a generation, and a swap that is sent again after
//! a lost response cannot take effect twice.

mod state;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use objects::Digest;
use objects::Finding;
use objects::Manifest;
use objects::ObjectKey;
use objects::ObjectSet;
use objects::Sources;
use serde::Deserialize;
use serde::Serialize;
pub use state::Publisher;

use crate::ids::Head;
use crate::ids::Name;

/// The row that holds the head.
pub const HEAD_KEY: &str = "config/head";

/// The time after which a publisher gives up if no swap is unverified.
pub const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// The time for which a publisher tries to verify a swap whose response was lost.
pub const VERIFY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the row that records generation `generation`.
pub fn generation_key(generation: u64) -> String {
    format!("config/generation/{generation}")
}

/// The head row with the version that the table gave it; version 0 and the default head stand for a
/// row that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// The row's version.
    pub version: u64,
    /// The head.
    pub head: Head,
}

/// The row that records one generation, written together with the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRow {
    /// The generation and its digest.
    #[serde(flatten)]
    pub head: Head,
    /// Who published it.
    pub publisher: Name,
    /// When it was published, in seconds since the Unix epoch.
    pub unix_time: u64,
    /// The number of objects that it added.
    pub added: usize,
    /// The number of objects that it removed.
    pub removed: usize,
    /// The number of objects that it changed.
    pub changed: usize,
    /// The generation whose set it restored, for a rollback.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<u64>,
}

/// What is to be published.
#[derive(Clone, Debug)]
pub struct Request {
    /// The head that the edits were based on.
    pub base: Head,
    /// The set that was edited.
    pub base_set: Arc<ObjectSet>,
    /// The edited set.
    pub set: Arc<ObjectSet>,
    /// Where the objects of the edited set stand.
    pub sources: Arc<Sources>,
    /// Whether the edits may be applied to a head newer than `base`.
    pub rebase: bool,
    /// Who publishes.
    pub publisher: Name,
    /// The present time, in seconds since the Unix epoch.
    pub unix_time: u64,
    /// The generation that is restored, for a rollback.
    pub restores: Option<u64>,
}

/// Bytes for the object store under their digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob {
    /// The digest.
    pub digest: Digest,
    /// The bytes.
    pub bytes: Arc<[u8]>,
}

/// What the object store has to hold before the swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    /// The buckets, in any order.
    pub buckets: Vec<Blob>,
    /// The manifests, after all buckets.
    pub manifests: Vec<Blob>,
}

/// What the publisher has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head row; answered by [`Event::Head`] or [`Event::Failed`].
    ReadHead,
    /// Read the manifest and the set of this head; answered by [`Event::Fetched`] or
    /// [`Event::Failed`].
    Fetch(Head),
    /// Store blobs; answered by [`Event::Stored`] or [`Event::Failed`].
    Store(Arc<Upload>),
    /// In one transaction, write the head row if it has the version `expected`, and the row of the
    /// generation if it does not exist; answered by [`Event::Swapped`], [`Event::ConditionFailed`],
    /// [`Event::ResponseLost`] or [`Event::Failed`].
    Swap {
        /// The version that the head row must have.
        expected: u64,
        /// The row of the generation, which contains the new head.
        row: Box<GenerationRow>,
    },
    /// Read the head row and, after its response, the row of this generation; answered by
    /// [`Event::ReadBack`] or [`Event::Failed`]. In the other order, a generation published between
    /// the two reads would look like one without a row.
    ReadBack(u64),
    /// Wait, then answer [`Event::Waited`].
    Wait(Duration),
    /// Nothing is left to do.
    Finish(Box<Outcome>),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The head row was read.
    Head(HeadRow),
    /// The set of a head was read.
    Fetched {
        /// The manifest.
        manifest: Box<Manifest>,
        /// The set.
        set: Arc<ObjectSet>,
    },
    /// All blobs are stored.
    Stored,
    /// The swap took effect.
    Swapped,
    /// A condition of the swap did not hold.
    ConditionFailed,
    /// The swap was sent and has no answer: it may have taken effect, or may still do so.
    ResponseLost(String),
    /// The rows were read back.
    ReadBack {
        /// The head row.
        row: HeadRow,
        /// The row of the generation that was asked for.
        generation: Option<Box<GenerationRow>>,
    },
    /// The step failed without effect.
    Failed(String),
    /// The pause is over.
    Waited,
}

/// A step of publishing, named in errors.
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

/// How publishing ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The set is published.
    Published {
        /// The row of the new generation.
        row: Box<GenerationRow>,
        /// The digest of the manifest of the request's own set. It differs from that of the
        /// generation if objects of other publishers were merged in.
        own_digest: Digest,
        /// The warnings.
        warnings: Vec<Finding>,
    },
    /// The head already has all edits; nothing was published.
    Unchanged(Head),
    /// The set, with the objects of others merged in, is not valid; nothing was published.
    Invalid(Vec<Finding>),
    /// The head is newer than the base; nothing was published.
    Conflict {
        /// The head.
        head: Head,
        /// The objects that both sides changed; if there are none, a rebase can succeed.
        overlap: Vec<ObjectKey>,
    },
    /// The head is older than the base, or has its number with another digest, so the edits are
    /// based on another table; nothing was published.
    BaseMismatch(Head),
    /// The platform did not answer in time; nothing was published.
    Unreachable {
        /// The step that failed.
        step: Step,
        /// The last error.
        reason: String,
    },
    /// A swap was sent and could not be verified: the set may be published or become so.
    Unknown {
        /// The head that would be in force.
        head: Head,
        /// The last error.
        reason: String,
    },
}
