//! Snapshots, the content-addressed form in which sets are published.
//!
//! A snapshot consists of a manifest and 256 buckets. The first byte of the SHA-256 digest of an
//! object's kind and name is the index of its bucket. A bucket contains one JSON object per line,
//! ordered by kind and name, and is compressed with raw DEFLATE. An empty bucket has no bytes and
//! is never stored.
//!
//! Buckets are compressed because every process keeps them in memory to serve them to its peers,
//! and because each change is distributed as whole buckets.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::Name;
use crate::ObjectSet;
use crate::ident::Object;
use crate::ident::ObjectKey;
use crate::intern::intern_names;

/// The number of buckets in a snapshot; the first byte of a digest selects one.
pub const BUCKET_COUNT: usize = 256;

const MAGIC: &[u8; 4] = b"dwm1";
const DIGEST_PREFIX: &str = "sha256:";
/// The DEFLATE level; higher levels take longer and reduce the size by a few percent at most.
const COMPRESSION_LEVEL: u8 = 3;
/// The maximum size of a decompressed bucket.
const MAX_BUCKET_BYTES: usize = 64 << 20;
const MAX_PUBLISHER_BYTES: usize = 256;

/// A SHA-256 digest; its text form is `sha256:` and 64 lowercase hex digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }

    /// Returns the object store's key for the bytes with this digest.
    pub fn store_key(&self) -> String {
        format!("config/blob/{}", self.hex())
    }

    fn hex(&self) -> String {
        use fmt::Write as _;
        let mut hex = String::with_capacity(64);
        for byte in self.0 {
            let _ = write!(hex, "{byte:02x}");
        }
        hex
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_PREFIX}{}", self.hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = SnapshotError;

    fn try_from(text: String) -> Result<Self, SnapshotError> {
        text.parse()
    }
}

impl FromStr for Digest {
    type Err = SnapshotError;

    fn from_str(text: &str) -> Result<Self, SnapshotError> {
        crate::names::check_digest(text).map_err(|_| SnapshotError::InvalidDigest)?;
        let mut digest = [0; 32];
        for (byte, start) in digest.iter_mut().zip((DIGEST_PREFIX.len()..).step_by(2)) {
            let digits = &text[start..start + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| SnapshotError::InvalidDigest)?;
        }
        Ok(Digest(digest))
    }
}

/// An error of reading a snapshot.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The text is not a valid digest.
    #[display("invalid digest: expected `sha256:` and 64 lowercase hex digits")]
    InvalidDigest,
    /// The bytes are not a valid manifest.
    #[display("invalid manifest: {_0}")]
    InvalidManifest(#[error(not(source))] &'static str),
    /// The bytes do not match the digest by which they were requested.
    #[display("digest mismatch: expected {expected}, found {found}")]
    DigestMismatch {
        /// The digest that was requested.
        expected: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
    /// The bytes of a changed bucket were not passed. Contains the bucket's index.
    #[display("bucket {_0} is missing")]
    MissingBucket(#[error(not(source))] usize),
    /// A bucket cannot be decompressed, or is too large when decompressed.
    #[display("bucket {bucket}: {message}")]
    Compression {
        /// The index of the bucket.
        bucket: usize,
        /// The error of the decompressor.
        message: String,
    },
    /// A line of a bucket is not a valid object, or the object belongs to another bucket.
    #[display("bucket {bucket}, line {line}: {message}")]
    InvalidObject {
        /// The index of the bucket.
        bucket: usize,
        /// The number of the line in the decompressed bucket, starting at 1.
        line: usize,
        /// The reason why the line is not valid.
        message: String,
    },
}

/// The digests of a generation's buckets, with the generation's base and publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The generation that this one replaces; 0 is the empty set.
    pub base: u64,
    /// The name of the publisher, at most 256 bytes if built by [`Snapshot::build`].
    pub publisher: Name,
    /// The time at which the publisher built the set, in seconds since the Unix epoch.
    pub unix_time: u64,
    /// The digests of the compressed buckets, by index. An empty bucket has the digest of no bytes.
    pub buckets: Box<[Digest; BUCKET_COUNT]>,
}

impl Manifest {
    /// Returns the manifest of generation 0, whose set is `ObjectSet::default()`.
    pub fn empty() -> Self {
        Manifest {
            base: 0,
            publisher: "".into(),
            unix_time: 0,
            buckets: Box::new([Digest::of(&[]); BUCKET_COUNT]),
        }
    }

    /// Returns the number of the generation that this manifest describes, the one after `base`.
    pub fn generation(&self) -> u64 {
        self.base + 1
    }

    /// Encodes the manifest as magic, base (8 bytes), time (8 bytes), length of the publisher
    /// (2 bytes), publisher and digests. Numbers are big-endian.
    pub fn encode(&self) -> Vec<u8> {
        let publisher = self.publisher.as_bytes();
        let mut bytes = Vec::with_capacity(22 + publisher.len() + BUCKET_COUNT * 32);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&self.base.to_be_bytes());
        bytes.extend_from_slice(&self.unix_time.to_be_bytes());
        bytes.extend_from_slice(&(publisher.len() as u16).to_be_bytes());
        bytes.extend_from_slice(publisher);
        for digest in self.buckets.iter() {
            bytes.extend_from_slice(&digest.0);
        }
        bytes
    }

    /// Decodes a manifest without checking its digest.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid manifest.
    pub fn decode(bytes: &[u8]) -> Result<Manifest, SnapshotError> {
        let (magic, rest) = split_array::<4>(bytes)?;
        if &magic != MAGIC {
            return Err(SnapshotError::InvalidManifest("unknown format"));
        }
        let (base, rest) = split_array::<8>(rest)?;
        let (unix_time, rest) = split_array::<8>(rest)?;
        let (length, rest) = split_array::<2>(rest)?;
        let length = usize::from(u16::from_be_bytes(length));
        let Some((publisher, digests)) = rest.split_at_checked(length) else {
            return Err(SnapshotError::InvalidManifest("too short"));
        };
        let Ok(publisher) = std::str::from_utf8(publisher) else {
            return Err(SnapshotError::InvalidManifest("the publisher is not UTF-8"));
        };
        if digests.len() != BUCKET_COUNT * 32 {
            return Err(SnapshotError::InvalidManifest("wrong length"));
        }
        let mut buckets = Box::new([Digest([0; 32]); BUCKET_COUNT]);
        for (bucket, digest) in buckets.iter_mut().zip(digests.chunks_exact(32)) {
            bucket.0.copy_from_slice(digest);
        }
        let base = u64::from_be_bytes(base);
        if base == u64::MAX {
            return Err(SnapshotError::InvalidManifest(
                "the base generation has no successor",
            ));
        }
        Ok(Manifest {
            base,
            publisher: publisher.into(),
            unix_time: u64::from_be_bytes(unix_time),
            buckets,
        })
    }

    /// Checks the digest of a manifest's bytes and decodes them.
    ///
    /// # Errors
    ///
    /// Fails if the digest does not match or the bytes are not a valid manifest.
    pub fn decode_checked(bytes: &[u8], expected: Digest) -> Result<Manifest, SnapshotError> {
        verify_digest(bytes, expected)?;
        Manifest::decode(bytes)
    }
}

fn split_array<const N: usize>(bytes: &[u8]) -> Result<([u8; N], &[u8]), SnapshotError> {
    let split = bytes.split_first_chunk::<N>();
    let (head, rest) = split.ok_or(SnapshotError::InvalidManifest("too short"))?;
    Ok((*head, rest))
}

/// Checks that `bytes` have the expected digest.
///
/// # Errors
///
/// Fails with [`SnapshotError::DigestMismatch`] if the digest differs.
pub fn verify_digest(bytes: &[u8], expected: Digest) -> Result<(), SnapshotError> {
    let found = Digest::of(bytes);
    if found != expected {
        return Err(SnapshotError::DigestMismatch { expected, found });
    }
    Ok(())
}

/// The published form of a set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The decoded form of `manifest_bytes`.
    pub manifest: Manifest,
    /// The encoded manifest.
    pub manifest_bytes: Vec<u8>,
    /// The digest of the encoded manifest, which identifies the generation.
    pub digest: Digest,
    /// The compressed buckets, by index; empty buckets have no bytes.
    pub buckets: Vec<Vec<u8>>,
}

impl Snapshot {
    /// Builds the snapshot of the generation after `base`. Equal arguments produce equal bytes. A
    /// publisher of more than 256 bytes is truncated at a character boundary.
    pub fn build(set: &ObjectSet, base: u64, publisher: &str, unix_time: u64) -> Snapshot {
        let buckets = encode_buckets(set);
        let mut manifest = Manifest::empty();
        manifest.base = base;
        manifest.publisher = publisher[..publisher.floor_char_boundary(MAX_PUBLISHER_BYTES)].into();
        manifest.unix_time = unix_time;
        for (digest, bytes) in manifest.buckets.iter_mut().zip(&buckets) {
            *digest = Digest::of(bytes);
        }
        let manifest_bytes = manifest.encode();
        Snapshot {
            digest: Digest::of(&manifest_bytes),
            manifest,
            manifest_bytes,
            buckets,
        }
    }
}

/// Encodes and compresses all buckets of a set, by index.
pub fn encode_buckets(set: &ObjectSet) -> Vec<Vec<u8>> {
    let mut buckets = vec![Vec::new(); BUCKET_COUNT];
    for object in set.objects() {
        let bucket = &mut buckets[bucket_of(&object.key())];
        // Serialization into memory fails only for maps with non-string keys, which no object has.
        serde_json::to_writer(&mut *bucket, &object).expect("objects have a JSON form");
        bucket.push(b'\n');
    }
    for bucket in buckets.iter_mut().filter(|bucket| !bucket.is_empty()) {
        *bucket = compress_to_vec(bucket, COMPRESSION_LEVEL);
    }
    buckets
}

/// Returns the index of the bucket to which the object with `key` belongs.
pub fn bucket_of(key: &ObjectKey) -> usize {
    let mut hash = Sha256::new();
    hash.update(key.kind.as_str());
    hash.update("/");
    hash.update(key.name.as_bytes());
    usize::from(hash.finalize()[0])
}

/// Returns the indexes of the buckets that a process has to fetch for an update from `old` to `new`,
/// in ascending order and without empty buckets.
pub fn changed_buckets(old: &Manifest, new: &Manifest) -> Vec<usize> {
    let empty = Digest::of(&[]);
    let is_stored = |bucket: &usize| new.buckets[*bucket] != empty;
    differing_buckets(old, new).filter(is_stored).collect()
}

fn differing_buckets<'a>(old: &'a Manifest, new: &'a Manifest) -> impl Iterator<Item = usize> + 'a {
    (0..BUCKET_COUNT).filter(|bucket| old.buckets[*bucket] != new.buckets[*bucket])
}

/// Updates `set`, the set of the manifest `old`, to the set of the manifest `new`.
///
/// `fetched` contains at least the buckets listed by [`changed_buckets`], each with its index. Their
/// bytes are checked against the digests in `new`. Unchanged objects are shared with `set`.
///
/// # Errors
///
/// Fails if a changed bucket is missing, does not match its digest, cannot be decompressed, or
/// contains an object that is not valid or belongs to another bucket.
pub fn apply_buckets<B: AsRef<[u8]>>(
    set: &ObjectSet,
    old: &Manifest,
    new: &Manifest,
    fetched: &[(usize, B)],
) -> Result<ObjectSet, SnapshotError> {
    let replaced: Vec<usize> = differing_buckets(old, new).collect();
    let mut objects = Vec::new();
    for bucket in changed_buckets(old, new) {
        let found = fetched.iter().find(|(index, _)| *index == bucket);
        let (_, bytes) = found.ok_or(SnapshotError::MissingBucket(bucket))?;
        verify_digest(bytes.as_ref(), new.buckets[bucket])?;
        decode_bucket(bucket, bytes.as_ref(), &mut objects)?;
    }
    reuse_unchanged(set, &mut objects);
    let mut set = set.clone();
    remove_buckets(&mut set, &replaced);
    let keys: Vec<_> = objects.iter().map(Object::key).collect();
    for object in objects {
        set.insert(object);
    }
    intern_names(&mut set, &keys);
    Ok(set)
}

/// Replaces decoded objects that are equal to those of `set` with the objects of `set`, so that the
/// sets share them. Most objects of a changed bucket are unchanged.
fn reuse_unchanged(set: &ObjectSet, objects: &mut [Object]) {
    for object in objects {
        if let Some(existing) = set.get(&object.key())
            && existing == *object
        {
            *object = existing;
        }
    }
}

fn remove_buckets(set: &mut ObjectSet, buckets: &[usize]) {
    let mut replaced = [false; BUCKET_COUNT];
    for bucket in buckets {
        replaced[*bucket] = true;
    }
    let keys = set.objects().map(|object| object.key());
    let keys: Vec<_> = keys.filter(|key| replaced[bucket_of(key)]).collect();
    for key in keys {
        set.remove(&key);
    }
}

fn decode_bucket(
    bucket: usize,
    bytes: &[u8],
    objects: &mut Vec<Object>,
) -> Result<(), SnapshotError> {
    let bytes = decompress_to_vec_with_limit(bytes, MAX_BUCKET_BYTES).map_err(|error| {
        SnapshotError::Compression {
            bucket,
            message: error.to_string(),
        }
    })?;
    let lines = bytes.split(|byte| *byte == b'\n');
    for (index, line) in lines.enumerate().filter(|(_, line)| !line.is_empty()) {
        let invalid = |message: String| SnapshotError::InvalidObject {
            bucket,
            line: index + 1,
            message,
        };
        let object: Object = serde_json::from_slice(line).map_err(|e| invalid(e.to_string()))?;
        let key = object.key();
        if bucket_of(&key) != bucket {
            return Err(invalid(format!("{key} belongs to another bucket")));
        }
        objects.push(object);
    }
    Ok(())
}

impl ObjectSet {
    /// Decodes a whole set. `buckets` contains every non-empty bucket with its index.
    ///
    /// # Errors
    ///
    /// The same as those of [`apply_buckets`].
    pub fn from_buckets<B: AsRef<[u8]>>(
        manifest: &Manifest,
        buckets: &[(usize, B)],
    ) -> Result<ObjectSet, SnapshotError> {
        apply_buckets(&ObjectSet::default(), &Manifest::empty(), manifest, buckets)
    }
}
