//! Reads and writes generations in the table service and the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Head;
use decision::publish::Blob;
use decision::publish::GenerationRow;
use decision::publish::HEAD_KEY;
use decision::publish::HeadRow;
use decision::publish::Upload;
use decision::publish::generation_key;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use edges::EdgeError;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use edges::table::CommitResult;
use edges::table::Condition;
use edges::table::HttpTable;
use edges::table::Row;
use edges::table::Table;
use edges::table::Transaction;
use edges::table::Write;
use futures::StreamExt;
use futures::TryStreamExt;
use futures::stream;
use objects::Digest;
use objects::Manifest;
use objects::ObjectSet;
use objects::SnapshotError;
use objects::changed_buckets;
use objects::snapshot;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::operator::OperatorSettings;
use crate::report::Exit;
use crate::report::Report;

/// Timeout of one call to the table service or the object store.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent calls. The object store accepts several hundred writes per second
/// from the whole fleet.
const MAX_CONCURRENT_CALLS: usize = 8;

/// Clients of the table service and the object store.
#[derive(Clone)]
pub struct Platform {
    table: Arc<dyn Table>,
    store: Arc<dyn ObjectStore>,
}

/// Error of reading from or writing to the platform.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// A call to the table service or the object store failed.
    #[display("{_0}")]
    Edge(EdgeError),
    /// A blob does not match its digest or cannot be decoded.
    #[display("read snapshot: {_0}")]
    Snapshot(SnapshotError),
    /// The object store has no blob under this key.
    #[display("read snapshot: the object store has no `{_0}`")]
    #[from(ignore)]
    MissingBlob(#[error(not(source))] String),
    /// A table row cannot be decoded.
    #[display("read table: row `{key}` is malformed: {reason}")]
    #[from(ignore)]
    MalformedRow {
        /// Key of the row.
        key: String,
        /// Message of the JSON decoder.
        reason: String,
    },
}

/// An object set with the manifest that it was read from; by default the empty set of
/// generation 0.
#[derive(Clone, Debug)]
pub struct FetchedSet {
    /// Digests of the buckets of `set`.
    pub manifest: Manifest,
    /// Objects of all buckets.
    pub set: Arc<ObjectSet>,
}

impl Default for FetchedSet {
    fn default() -> Self {
        FetchedSet {
            manifest: Manifest::empty(),
            set: Arc::default(),
        }
    }
}

impl Platform {
    /// Creates the clients from the settings file at `config`. Connections are opened on demand.
    ///
    /// # Errors
    ///
    /// Returns a report if the settings cannot be read or are invalid.
    pub fn open(config: &str) -> Result<Platform, Report> {
        let settings = OperatorSettings::load(config)?;
        Ok(Platform::new(
            Arc::new(HttpTable::new(settings.table)),
            Arc::new(HttpObjects::new(settings.objects)),
        ))
    }

    /// Creates a platform from the clients of its two services.
    pub fn new(table: Arc<dyn Table>, store: Arc<dyn ObjectStore>) -> Platform {
        Platform { table, store }
    }

    /// Returns the object store, for the audit records.
    pub(crate) fn store(&self) -> &dyn ObjectStore {
        &*self.store
    }

    /// Reads the head row; a table without one is at generation 0.
    pub async fn read_head(&self) -> Result<HeadRow, PlatformError> {
        let Some(row) = self.table.get(HEAD_KEY, CALL_TIMEOUT).await? else {
            return Ok(HeadRow::default());
        };
        Ok(HeadRow {
            version: row.version,
            head: decode_row(&row)?,
        })
    }

    /// Reads the row of one generation; `None` if it was never published.
    pub async fn read_generation(
        &self,
        number: u64,
    ) -> Result<Option<GenerationRow>, PlatformError> {
        let row = self
            .table
            .get(&generation_key(number), CALL_TIMEOUT)
            .await?;
        row.as_ref().map(decode_row).transpose()
    }

    /// Reads the rows of the generations `numbers` in the given order, skipping those that do not
    /// exist.
    pub async fn read_generations(
        &self,
        numbers: impl Iterator<Item = u64>,
    ) -> Result<Vec<GenerationRow>, PlatformError> {
        let rows = stream::iter(numbers.map(|number| self.read_generation(number)));
        let rows: Vec<_> = rows.buffered(MAX_CONCURRENT_CALLS).try_collect().await?;
        Ok(rows.into_iter().flatten().collect())
    }

    /// Reads the set whose manifest has this digest. Buckets that are in `known` already are not
    /// read again.
    pub async fn fetch_set(
        &self,
        digest: &str,
        known: &FetchedSet,
    ) -> Result<FetchedSet, PlatformError> {
        // Generation 0 has no digest.
        if digest.is_empty() {
            return Ok(FetchedSet::default());
        }
        let digest: Digest = digest.parse()?;
        let bytes = self.read_blob(digest).await?;
        let manifest = Manifest::decode_checked(&bytes, digest)?;
        let buckets = changed_buckets(&known.manifest, &manifest);
        let buckets = stream::iter(buckets).map(|bucket| {
            let blob = self.read_blob(manifest.buckets[bucket]);
            async move { Ok::<_, PlatformError>((bucket, blob.await?)) }
        });
        let buckets: Vec<_> = buckets.buffered(MAX_CONCURRENT_CALLS).try_collect().await?;
        let set = snapshot::apply_buckets(&known.set, &known.manifest, &manifest, &buckets)?;
        Ok(FetchedSet {
            manifest,
            set: Arc::new(set),
        })
    }

    async fn read_blob(&self, digest: Digest) -> Result<Bytes, PlatformError> {
        let key = digest.store_key();
        let bytes = self.store.get(&key, CALL_TIMEOUT).await?;
        bytes.ok_or(PlatformError::MissingBlob(key))
    }

    /// Stores the buckets, then the manifests. Existing blobs are not overwritten.
    pub async fn upload(&self, upload: &Upload) -> Result<(), PlatformError> {
        self.store_blobs(&upload.buckets).await?;
        self.store_blobs(&upload.manifests).await
    }

    async fn store_blobs(&self, blobs: &[Blob]) -> Result<(), PlatformError> {
        let calls = stream::iter(blobs).map(|blob| async {
            let key = blob.digest.store_key();
            let bytes = Bytes::from_owner(blob.bytes.clone());
            self.store.put(&key, bytes, CALL_TIMEOUT).await.map(drop)
        });
        let calls = calls.buffer_unordered(MAX_CONCURRENT_CALLS);
        Ok(calls.try_collect().await?)
    }

    /// Writes the head row and the row of its generation in one transaction. Returns false and
    /// writes nothing if the head row does not have the version `expected` or the generation has a
    /// row already.
    pub async fn swap_head(&self, expected: u64, row: &GenerationRow) -> Result<bool, EdgeError> {
        let key = generation_key(row.head.generation);
        let condition = |key: &str, version| Condition {
            key: key.to_owned(),
            version,
        };
        let tx = Transaction {
            conditions: vec![condition(HEAD_KEY, expected), condition(&key, 0)],
            writes: vec![json_write(HEAD_KEY, &row.head), json_write(&key, row)],
        };
        let commit = self.table.commit(tx, CALL_TIMEOUT).await?;
        Ok(matches!(commit, CommitResult::Committed(_)))
    }
}

fn json_write(key: &str, value: &impl Serialize) -> Write {
    // Serialization into memory fails only for maps with keys that are not strings.
    let value = serde_json::to_vec(value).expect("rows serialize to JSON");
    Write {
        key: key.to_owned(),
        value: Some(value.into()),
    }
}

fn decode_row<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_slice(&row.value).map_err(|error| PlatformError::MalformedRow {
        key: row.key.clone(),
        reason: error.to_string(),
    })
}

/// Returns the report of a failed call, for commands that changed nothing before it.
pub fn unreachable_report(error: &PlatformError) -> Report {
    let hint = "nothing was changed; check `table` and `objects` in the settings and try again";
    Report::error(Exit::Unreachable, format!("{error}; {hint}"))
}

/// Returns a head as shown to operators.
pub fn describe_head(head: &Head) -> String {
    match head.generation {
        0 => "no generation".to_owned(),
        generation => format!("generation {generation} ({})", head.digest),
    }
}
