//! Reading and writing generations on the platform.

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

use crate::operator::Operator;
use crate::report::Exit;
use crate::report::Report;

/// The time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls to the object store in flight at once. The store takes several hundred writes a second
/// from the whole fleet.
const CALLS_AT_ONCE: usize = 8;

/// The table service and the object store.
#[derive(Clone)]
pub struct Platform {
    table: Arc<dyn Table>,
    store: Arc<dyn ObjectStore>,
}

/// Why the platform did not give what it was asked for.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// A call failed.
    #[display("{_0}")]
    Edge(EdgeError),
    /// A blob does not fit its digest or its form.
    #[display("read snapshot: {_0}")]
    Snapshot(SnapshotError),
    /// A blob does not exist.
    #[display("read snapshot: the object store has no `{_0}`")]
    #[from(ignore)]
    Missing(#[error(not(source))] String),
    /// A row cannot be understood.
    #[display("read table: row `{key}` is malformed: {fault}")]
    #[from(ignore)]
    Row {
        /// The key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}

/// A set with the manifest that it was read from.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The manifest.
    pub manifest: Manifest,
    /// The set.
    pub set: Arc<ObjectSet>,
}

impl Default for Fetched {
    fn default() -> Self {
        Fetched {
            manifest: Manifest::empty(),
            set: Arc::default(),
        }
    }
}

impl Platform {
    /// Reads the settings file and prepares the clients; connections are opened on demand.
    ///
    /// # Errors
    ///
    /// The report of settings that cannot be used.
    pub fn open(config: &str) -> Result<Platform, Report> {
        let operator = Operator::load(config)?;
        Ok(Platform::new(
            Arc::new(HttpTable::new(operator.table)),
            Arc::new(HttpObjects::new(operator.objects)),
        ))
    }

    /// Returns a platform of these two services.
    pub fn new(table: Arc<dyn Table>, store: Arc<dyn ObjectStore>) -> Platform {
        Platform { table, store }
    }

    /// Returns the object store.
    pub(crate) fn store(&self) -> &dyn ObjectStore {
        &*self.store
    }

    /// Reads the head row.
    pub async fn head(&self) -> Result<HeadRow, PlatformError> {
        let Some(row) = self.table.get(HEAD_KEY, CALL_TIMEOUT).await? else {
            return Ok(HeadRow::default());
        };
        Ok(HeadRow {
            version: row.version,
            head: decode(&row)?,
        })
    }

    /// Reads the row of one generation.
    pub async fn generation(&self, number: u64) -> Result<Option<GenerationRow>, PlatformError> {
        let row = self
            .table
            .get(&generation_key(number), CALL_TIMEOUT)
            .await?;
        row.as_ref().map(decode).transpose()
    }

    /// Reads the rows of the generations `numbers`, in their order, as far as they exist.
    pub async fn generations(
        &self,
        numbers: impl Iterator<Item = u64>,
    ) -> Result<Vec<GenerationRow>, PlatformError> {
        let rows = stream::iter(numbers.map(|number| self.generation(number)));
        let rows: Vec<_> = rows.buffered(CALLS_AT_ONCE).try_collect().await?;
        Ok(rows.into_iter().flatten().collect())
    }

    /// Reads the set of a manifest; `known` saves reading the buckets that it has already.
    pub async fn fetch(&self, digest: &str, known: &Fetched) -> Result<Fetched, PlatformError> {
        // Generation 0 has no digest.
        if digest.is_empty() {
            return Ok(Fetched::default());
        }
        let digest: Digest = digest.parse()?;
        let bytes = self.blob(digest).await?;
        let manifest = Manifest::decode_checked(&bytes, digest)?;
        let buckets = changed_buckets(&known.manifest, &manifest);
        let buckets = stream::iter(buckets).map(|bucket| {
            let blob = self.blob(manifest.buckets[bucket]);
            async move { Ok::<_, PlatformError>((bucket, blob.await?)) }
        });
        let buckets: Vec<_> = buckets.buffered(CALLS_AT_ONCE).try_collect().await?;
        let set = snapshot::apply_buckets(&known.set, &known.manifest, &manifest, &buckets)?;
        Ok(Fetched {
            manifest,
            set: Arc::new(set),
        })
    }

    async fn blob(&self, digest: Digest) -> Result<Bytes, PlatformError> {
        let key = digest.store_key();
        let bytes = self.store.get(&key, CALL_TIMEOUT).await?;
        bytes.ok_or(PlatformError::Missing(key))
    }

    /// Stores the buckets, then the manifests. A blob that exists already is left as it is.
    pub async fn upload(&self, upload: &Upload) -> Result<(), PlatformError> {
        self.store_all(&upload.buckets).await?;
        self.store_all(&upload.manifests).await
    }

    async fn store_all(&self, blobs: &[Blob]) -> Result<(), PlatformError> {
        let calls = stream::iter(blobs).map(|blob| async {
            let key = blob.digest.store_key();
            let bytes = Bytes::from_owner(blob.bytes.clone());
            self.store.put(&key, bytes, CALL_TIMEOUT).await.map(drop)
        });
        let calls = calls.buffer_unordered(CALLS_AT_ONCE);
        Ok(calls.try_collect().await?)
    }

    /// Writes the head and the row of its generation in one transaction; returns whether the head
    /// row had the version `expected`.
    pub async fn swap(&self, expected: u64, row: &GenerationRow) -> Result<bool, EdgeError> {
        let key = generation_key(row.head.generation);
        let condition = |key: &str, version| Condition {
            key: key.to_owned(),
            version,
        };
        let tx = Transaction {
            conditions: vec![condition(HEAD_KEY, expected), condition(&key, 0)],
            writes: vec![write(HEAD_KEY, &row.head), write(&key, row)],
        };
        let commit = self.table.commit(tx, CALL_TIMEOUT).await?;
        Ok(matches!(commit, CommitResult::Committed(_)))
    }
}

fn write(key: &str, value: &impl Serialize) -> Write {
    // Serialization into memory fails only for maps with keys that are not strings.
    let value = serde_json::to_vec(value).expect("rows have a JSON form");
    Write {
        key: key.to_owned(),
        value: Some(value.into()),
    }
}

fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_slice(&row.value).map_err(|error| PlatformError::Row {
        key: row.key.clone(),
        fault: error.to_string(),
    })
}

/// Returns the report of a failed call.
pub fn unreachable(error: &PlatformError) -> Report {
    let hint = "nothing was changed; check `table` and `objects` in the settings and try again";
    Report::error(Exit::Unreachable, format!("{error}; {hint}"))
}

/// Returns a head as it is shown to operators.
pub fn show(head: &Head) -> String {
    match head.generation {
        0 => "no generation".to_owned(),
        generation => format!("generation {generation} ({})", head.digest),
    }
}
