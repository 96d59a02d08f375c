//! The configuration in force and the blobs that encode it.

use std::sync::Arc;

use bytes::Bytes;
use decision::ids::Head;
use objects::Digest;
use objects::Manifest;
use objects::ObjectSet;
use objects::SnapshotError;
use objects::snapshot;

/// A configuration as its users see it; the default has generation 0 and no objects.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Generation of the configuration and digest of its manifest.
    pub head: Head,
    /// Object set of the generation; shared, so that clones are cheap.
    pub set: Arc<ObjectSet>,
}

/// A configuration with its manifest and buckets, which peers fetch as blobs.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    manifest_digest: Option<Digest>,
    manifest_bytes: Bytes,
    manifest: Manifest,
    buckets: Vec<Bytes>,
    set: Arc<ObjectSet>,
}

impl Default for ConfigSnapshot {
    fn default() -> Self {
        ConfigSnapshot {
            manifest_digest: None,
            manifest_bytes: Bytes::new(),
            manifest: Manifest::empty(),
            buckets: vec![Bytes::new(); snapshot::BUCKET_COUNT],
            set: Arc::default(),
        }
    }
}

impl ConfigSnapshot {
    /// Returns the object set that the buckets encode.
    pub fn set(&self) -> &Arc<ObjectSet> {
        &self.set
    }

    /// Returns the manifest or bucket with this digest; `None` for an unknown or malformed digest.
    pub fn blob(&self, digest: &str) -> Option<Bytes> {
        let digest: Digest = digest.parse().ok()?;
        if self.manifest_digest == Some(digest) {
            return Some(self.manifest_bytes.clone());
        }
        let bucket = self
            .manifest
            .buckets
            .iter()
            .position(|item| *item == digest)?;
        Some(self.buckets[bucket].clone())
    }

    /// Returns the index and digest of each bucket that has to be fetched for `manifest`: those that
    /// differ from this configuration and are not empty.
    pub fn missing_buckets(&self, manifest: &Manifest) -> Vec<(usize, Digest)> {
        let buckets = snapshot::changed_buckets(&self.manifest, manifest);
        buckets
            .into_iter()
            .map(|bucket| (bucket, manifest.buckets[bucket]))
            .collect()
    }

    /// Returns the configuration of `manifest`, built from the buckets of this one and the fetched
    /// ones.
    ///
    /// `manifest_bytes` is the encoded form of `manifest`; `fetched` has the contents of all
    /// [`ConfigSnapshot::missing_buckets`].
    ///
    /// # Errors
    ///
    /// Fails if a missing bucket was not fetched, has another digest than in `manifest`, or cannot be
    /// decoded.
    pub fn with_buckets(
        &self,
        manifest_bytes: Bytes,
        manifest: Manifest,
        fetched: Vec<(usize, Bytes)>,
    ) -> Result<ConfigSnapshot, SnapshotError> {
        let set = snapshot::apply_buckets(&self.set, &self.manifest, &manifest, &fetched)?;
        let mut buckets = self.buckets.clone();
        let empty = Digest::of(&[]);
        for (data, digest) in buckets.iter_mut().zip(manifest.buckets.iter()) {
            if *digest == empty {
                *data = Bytes::new();
            }
        }
        for (bucket, data) in fetched {
            buckets[bucket] = data;
        }
        Ok(ConfigSnapshot {
            manifest_digest: Some(Digest::of(&manifest_bytes)),
            manifest_bytes,
            manifest,
            buckets,
            set: Arc::new(set),
        })
    }
}
