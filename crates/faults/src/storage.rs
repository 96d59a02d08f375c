//! In-memory table and object store.

use std::sync::Arc;

use decision::claim::ClaimRow;
use decision::collections::Map;
use decision::ids::Head;
use decision::lease::LeaseRow;
use decision::publish::GenerationRow;
use decision::publish::HEAD_KEY;
use decision::publish::HeadRow;
use decision::publish::Upload;
use decision::publish::generation_key;
use objects::Manifest;
use objects::ObjectSet;

/// The value of a table row.
#[derive(Clone, Debug)]
pub(crate) enum RowValue {
    Claim(ClaimRow),
    Lease(LeaseRow),
    Head(Head),
    Generation(Box<GenerationRow>),
}

/// A write of a row on the condition that it has this version; 0 stands for a row that does not
/// exist.
#[derive(Clone, Debug)]
pub(crate) struct RowWrite {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) value: RowValue,
}

/// An operation on the table.
#[derive(Clone, Debug)]
pub(crate) enum TableOp {
    Read(String),
    /// Reads the head and the row of this generation.
    ReadBack(u64),
    /// Writes all rows or none.
    Tx(Vec<RowWrite>),
}

/// The reply to an operation on the table.
#[derive(Clone, Debug)]
pub(crate) enum TableReply {
    /// The version and value of a row that was read.
    Row(Option<(u64, RowValue)>),
    /// The head, and the row of the generation that was asked for.
    ReadBack(HeadRow, Option<Box<GenerationRow>>),
    /// The new versions of the rows that were written.
    Committed(Vec<u64>),
    /// The keys of rows that had another version; nothing was written.
    Conflict(Vec<String>),
    /// The call timed out; a write may have taken effect or may still do so.
    NoResponse,
}

/// Whether a storage service responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Availability {
    #[default]
    Up,
    Down,
    Slow,
}

/// The contents of the table and the object store, and the faults in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Storage {
    rows: Map<String, (u64, RowValue)>,
    pub(crate) table_availability: Availability,
    pub(crate) store_availability: Availability,
    /// Number of next writes to the table that take effect and whose response is lost.
    pub(crate) lost_table_responses: u32,
    /// Number of next writes to the object store that take effect and whose response is lost.
    pub(crate) lost_store_responses: u32,
    /// Object sets by the digest of their manifest.
    sets: Map<String, (Manifest, Arc<ObjectSet>)>,
    blobs: Map<String, Arc<[u8]>>,
    /// Heads committed to the table, in order.
    pub(crate) committed_heads: Vec<Head>,
}

impl Storage {
    /// Carries out an operation on the table.
    pub(crate) fn execute(&mut self, op: &TableOp) -> TableReply {
        match op {
            TableOp::Read(key) => TableReply::Row(self.rows.get(key).cloned()),
            TableOp::ReadBack(generation) => {
                let row = self.rows.get(&generation_key(*generation));
                let row = row.and_then(|(_, value)| match value {
                    RowValue::Generation(row) => Some(row.clone()),
                    _ => None,
                });
                TableReply::ReadBack(self.head(), row)
            }
            TableOp::Tx(writes) => self.commit(writes),
        }
    }

    fn commit(&mut self, writes: &[RowWrite]) -> TableReply {
        let version = |key: &String| self.rows.get(key).map_or(0, |row| row.0);
        let conflicts: Vec<String> = writes
            .iter()
            .filter(|write| version(&write.key) != write.version)
            .map(|write| write.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return TableReply::Conflict(conflicts);
        }
        let mut versions = Vec::new();
        for write in writes {
            versions.push(write.version + 1);
            if let RowValue::Head(head) = &write.value {
                self.committed_heads.push(head.clone());
            }
            let row = (write.version + 1, write.value.clone());
            self.rows.insert(write.key.clone(), row);
        }
        TableReply::Committed(versions)
    }

    /// Returns the head row, or the default if there is none.
    pub(crate) fn head(&self) -> HeadRow {
        match self.rows.get(HEAD_KEY) {
            Some((version, RowValue::Head(head))) => HeadRow {
                version: *version,
                head: head.clone(),
            },
            _ => HeadRow::default(),
        }
    }

    pub(crate) fn claim_row(&self, key: &str) -> Option<&ClaimRow> {
        match self.rows.get(key) {
            Some((_, RowValue::Claim(row))) => Some(row),
            _ => None,
        }
    }

    /// Stores the blobs of a publication, and decodes the sets whose buckets are all present.
    pub(crate) fn store_upload(&mut self, upload: &Upload) {
        for blob in upload.buckets.iter().chain(&upload.manifests) {
            let digest = blob.digest.to_string();
            self.blobs.insert(digest, blob.bytes.clone());
        }
        for blob in &upload.manifests {
            let Ok(manifest) = Manifest::decode(&blob.bytes) else {
                continue;
            };
            let digests = manifest.buckets.iter().map(ToString::to_string);
            let buckets: Vec<_> = digests
                .enumerate()
                .filter_map(|(index, digest)| Some((index, self.blobs.get(&digest)?)))
                .collect();
            if let Ok(set) = ObjectSet::from_buckets(&manifest, &buckets) {
                let digest = blob.digest.to_string();
                self.sets.insert(digest, (manifest, Arc::new(set)));
            }
        }
    }

    /// Returns the manifest and the object set of a head; those of generation 0 are empty.
    pub(crate) fn object_set(&self, head: &Head) -> Option<(Manifest, Arc<ObjectSet>)> {
        if head.generation == 0 {
            return Some((Manifest::empty(), Arc::default()));
        }
        self.sets.get(&head.digest).cloned()
    }
}
