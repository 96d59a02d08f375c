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

/// The value of a row.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    Claim(ClaimRow),
    Lease(LeaseRow),
    Head(Head),
    Generation(Box<GenerationRow>),
}

/// A write of one row if it has this version.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) value: Value,
}

/// A call to the table.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Read(String),
    ReadBack(u64),
    Tx(Vec<Write>),
}

/// The result of a call to the table.
#[derive(Clone, Debug)]
pub(crate) enum TableReply {
    Row(Option<(u64, Value)>),
    Back(HeadRow, Option<Box<GenerationRow>>),
    Done(Vec<u64>),
    Failed(Vec<String>),
    Lost,
}

/// How the service responds at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    #[default]
    Up,
    Down,
    Slow,
}

/// The table and the object store, with their faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct Platform {
    rows: Map<String, (u64, Value)>,
    pub(crate) table: Mode,
    pub(crate) store: Mode,
    /// The writes to the table whose response will be lost.
    pub(crate) table_losses: u32,
    /// The writes to the object store whose response will be lost.
    pub(crate) store_losses: u32,
    sets: Map<String, (Manifest, Arc<ObjectSet>)>,
    blobs: Map<String, Arc<[u8]>>,
    /// The heads that the table accepted, in order.
    pub(crate) accepted: Vec<Head>,
}

impl Platform {
    /// Carries a call out.
    pub(crate) fn apply(&mut self, op: &Op) -> TableReply {
        match op {
            Op::Read(key) => TableReply::Row(self.rows.get(key).cloned()),
            Op::ReadBack(generation) => {
                let row = self.rows.get(&generation_key(*generation));
                let row = row.and_then(|(_, value)| match value {
                    Value::Generation(row) => Some(row.clone()),
                    _ => None,
                });
                TableReply::Back(self.head(), row)
            }
            Op::Tx(writes) => self.commit(writes),
        }
    }

    fn commit(&mut self, writes: &[Write]) -> TableReply {
        let version = |key: &String| self.rows.get(key).map_or(0, |row| row.0);
        let failed: Vec<String> = writes
            .iter()
            .filter(|write| version(&write.key) != write.version)
            .map(|write| write.key.clone())
            .collect();
        if !failed.is_empty() {
            return TableReply::Failed(failed);
        }
        let mut versions = Vec::new();
        for write in writes {
            versions.push(write.version + 1);
            if let Value::Head(head) = &write.value {
                self.accepted.push(head.clone());
            }
            let row = (write.version + 1, write.value.clone());
            self.rows.insert(write.key.clone(), row);
        }
        TableReply::Done(versions)
    }

    /// Returns the head row.
    pub(crate) fn head(&self) -> HeadRow {
        match self.rows.get(HEAD_KEY) {
            Some((version, Value::Head(head))) => HeadRow {
                version: *version,
                head: head.clone(),
            },
            _ => HeadRow::default(),
        }
    }

    /// Returns a claim row.
    pub(crate) fn claim(&self, key: &str) -> Option<&ClaimRow> {
        match self.rows.get(key) {
            Some((_, Value::Claim(row))) => Some(row),
            _ => None,
        }
    }

    /// Stores the blobs of a publication.
    pub(crate) fn put(&mut self, upload: &Upload) {
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

    /// Returns the manifest and the set of a head.
    pub(crate) fn set(&self, head: &Head) -> Option<(Manifest, Arc<ObjectSet>)> {
        if head.generation == 0 {
            return Some((Manifest::empty(), Arc::default()));
        }
        self.sets.get(&head.digest).cloned()
    }
}
