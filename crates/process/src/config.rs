//! The configuration in force and the blobs it was made from.

use std::sync::Arc;

use bytes::Bytes;
use decision::ids::Head;
use objects::Digest;
use objects::Manifest;
use objects::ObjectSet;
use objects::SnapshotError;
use objects::snapshot;

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The generation and its digest.
    pub head: Head,
    /// The objects.
    pub set: Arc<ObjectSet>,
}

/// A configuration with its manifest and buckets, which peers may ask for.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    digest: Option<Digest>,
    bytes: Bytes,
    manifest: Manifest,
    buckets: Vec<Bytes>,
    set: Arc<ObjectSet>,
}

impl Default for ConfigSnapshot {
    fn default() -> Self {
        ConfigSnapshot {
            digest: None,
            bytes: Bytes::new(),
            manifest: Manifest::empty(),
            buckets: vec![Bytes::new(); snapshot::BUCKETS],
            set: Arc::default(),
        }
    }
}

impl ConfigSnapshot {
    /// Returns the objects.
    pub fn set(&self) -> &Arc<ObjectSet> {
        &self.set
    }

    /// Returns the manifest or bucket with this digest.
    pub fn blob(&self, digest: &str) -> Option<Bytes> {
        let digest: Digest = digest.parse().ok()?;
        if self.digest == Some(digest) {
            return Some(self.bytes.clone());
        }
        let bucket = self
            .manifest
            .buckets
            .iter()
            .position(|item| *item == digest)?;
        Some(self.buckets[bucket].clone())
    }

    /// Returns the buckets that have to be fetched for `manifest`, with their digests.
    pub fn missing_buckets(&self, manifest: &Manifest) -> Vec<(usize, Digest)> {
        let buckets = snapshot::changed_buckets(&self.manifest, manifest);
        buckets
            .into_iter()
            .map(|bucket| (bucket, manifest.buckets[bucket]))
            .collect()
    }

    /// Returns the configuration of `manifest`, made from this one and the fetched buckets.
    pub fn with_buckets(
        &self,
        bytes: Bytes,
        manifest: Manifest,
        fetched: Vec<(usize, Bytes)>,
    ) -> Result<ConfigSnapshot, SnapshotError> {
        let set = snapshot::apply(&self.set, &self.manifest, &manifest, &fetched)?;
        let mut buckets = self.buckets.clone();
        let empty = Digest::of(&[]);
        for (held, digest) in buckets.iter_mut().zip(manifest.buckets.iter()) {
            if *digest == empty {
                *held = Bytes::new();
            }
        }
        for (bucket, data) in fetched {
            buckets[bucket] = data;
        }
        Ok(ConfigSnapshot {
            digest: Some(Digest::of(&bytes)),
            bytes,
            manifest,
            buckets,
            set: Arc::new(set),
        })
    }
}
