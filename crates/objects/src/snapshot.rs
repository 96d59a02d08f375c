//! The content-addressed form in which a set is published.
//!
//! A snapshot is 256 buckets and a manifest. An object is in the bucket that the first byte of the
//! SHA-256 of its kind and name selects. A bucket is a sequence of JSON lines, one object each, in
//! the order of kind and name, compressed with raw DEFLATE; an empty bucket has no bytes and is
//! never stored.
//!
//! Processes keep the buckets in memory for their peers, so their size counts twice: in the memory
//! of each process and in what each change costs to distribute.

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
use crate::share::share_names;

/// The number of buckets.
pub const BUCKET_COUNT: usize = 256;

const MAGIC: &[u8; 4] = b"dwm1";
const PREFIX: &str = "sha256:";
/// The compression level; higher ones take longer for the same size within a few percent.
const LEVEL: u8 = 3;
/// The limit of a bucket's uncompressed bytes.
const BUCKET_MAX: usize = 64 << 20;
const PUBLISHER_MAX: usize = 256;

/// A SHA-256 digest, printed as `sha256:` and 64 hex digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }

    /// Returns the key under which the object store keeps the bytes with this digest.
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
        write!(f, "{PREFIX}{}", self.hex())
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
        for (byte, at) in digest.iter_mut().zip((PREFIX.len()..).step_by(2)) {
            let digits = &text[at..at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| SnapshotError::InvalidDigest)?;
        }
        Ok(Digest(digest))
    }
}

/// Why a snapshot could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The text is not a digest.
    #[display("not a digest of the form `sha256:` and 64 hex digits")]
    InvalidDigest,
    /// The bytes are not a manifest.
    #[display("not a manifest: {_0}")]
    InvalidManifest(#[error(not(source))] &'static str),
    /// The bytes do not have the digest under which they were requested.
    #[display("expected the digest {expected}, found {found}")]
    DigestMismatch {
        /// The digest that was requested.
        expected: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
    /// A changed bucket was not passed in.
    #[display("bucket {_0} is missing")]
    MissingBucket(#[error(not(source))] usize),
    /// A bucket cannot be decompressed.
    #[display("bucket {bucket}: {message}")]
    Compression {
        /// The bucket.
        bucket: usize,
        /// What is wrong.
        message: String,
    },
    /// A line of a bucket is not an object.
    #[display("bucket {bucket}, line {line}: {message}")]
    InvalidObject {
        /// The bucket.
        bucket: usize,
        /// The line, from 1.
        line: usize,
        /// What is wrong with the line.
        message: String,
    },
}

/// The list of a generation's buckets and where the generation came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The generation that the set was based on.
    pub base: u64,
    /// Who published the set.
    pub publisher: Name,
    /// When it was built, in seconds since the Unix epoch.
    pub unix_time: u64,
    /// The digest of each bucket.
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

    /// Returns the generation that this manifest describes.
    pub fn generation(&self) -> u64 {
        self.base + 1
    }

    /// Returns the bytes: magic, base, time, length of the publisher (2 bytes), publisher, digests;
    /// numbers are big-endian.
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

    /// Reads a manifest.
    pub fn decode(bytes: &[u8]) -> Result<Manifest, SnapshotError> {
        let (magic, rest) = take::<4>(bytes)?;
        if &magic != MAGIC {
            return Err(SnapshotError::InvalidManifest("unknown format"));
        }
        let (base, rest) = take::<8>(rest)?;
        let (unix_time, rest) = take::<8>(rest)?;
        let (length, rest) = take::<2>(rest)?;
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
            return Err(SnapshotError::InvalidManifest("the base has no successor"));
        }
        Ok(Manifest {
            base,
            publisher: publisher.into(),
            unix_time: u64::from_be_bytes(unix_time),
            buckets,
        })
    }

    /// Reads a manifest that was requested by its digest.
    pub fn decode_checked(bytes: &[u8], expected: Digest) -> Result<Manifest, SnapshotError> {
        verify_digest(bytes, expected)?;
        Manifest::decode(bytes)
    }
}

fn take<const N: usize>(bytes: &[u8]) -> Result<([u8; N], &[u8]), SnapshotError> {
    let split = bytes.split_first_chunk::<N>();
    let (head, rest) = split.ok_or(SnapshotError::InvalidManifest("too short"))?;
    Ok((*head, rest))
}

/// Checks bytes against the digest under which they were requested.
pub fn verify_digest(bytes: &[u8], expected: Digest) -> Result<(), SnapshotError> {
    let found = Digest::of(bytes);
    if found != expected {
        return Err(SnapshotError::DigestMismatch { expected, found });
    }
    Ok(())
}

/// A set in the form in which it is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The manifest.
    pub manifest: Manifest,
    /// The manifest's bytes.
    pub manifest_bytes: Vec<u8>,
    /// The digest of the manifest's bytes, which is the digest of the generation.
    pub digest: Digest,
    /// The bytes of each bucket.
    pub buckets: Vec<Vec<u8>>,
}

impl Snapshot {
    /// Builds the snapshot of the generation after `base`. Equal arguments give equal bytes. A
    /// publisher of more than 256 bytes is cut off.
    pub fn build(set: &ObjectSet, base: u64, publisher: &str, unix_time: u64) -> Snapshot {
        let buckets = encode_buckets(set);
        let mut manifest = Manifest::empty();
        manifest.base = base;
        manifest.publisher = publisher[..publisher.floor_char_boundary(PUBLISHER_MAX)].into();
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

/// Returns the bytes of all buckets of a set.
pub fn encode_buckets(set: &ObjectSet) -> Vec<Vec<u8>> {
    let mut buckets = vec![Vec::new(); BUCKET_COUNT];
    for object in set.objects() {
        let bucket = &mut buckets[bucket_of(&object.key())];
        // Serialization into memory fails only for maps with keys that are not strings, which no
        // kind has.
        serde_json::to_writer(&mut *bucket, &object).expect("objects have a JSON form");
        bucket.push(b'\n');
    }
    for bucket in buckets.iter_mut().filter(|bucket| !bucket.is_empty()) {
        *bucket = compress_to_vec(bucket, LEVEL);
    }
    buckets
}

/// Returns the bucket of the object with `key`.
pub fn bucket_of(key: &ObjectKey) -> usize {
    let mut hash = Sha256::new();
    hash.update(key.kind.as_str());
    hash.update("/");
    hash.update(key.name.as_bytes());
    usize::from(hash.finalize()[0])
}

/// Returns the buckets that a process with `old` has to fetch for `new`, in order; empty buckets
/// are not among them.
pub fn changed_buckets(old: &Manifest, new: &Manifest) -> Vec<usize> {
    let empty = Digest::of(&[]);
    let fetched = |bucket: &usize| new.buckets[*bucket] != empty;
    differing(old, new).filter(fetched).collect()
}

fn differing<'a>(old: &'a Manifest, new: &'a Manifest) -> impl Iterator<Item = usize> + 'a {
    (0..BUCKET_COUNT).filter(|bucket| old.buckets[*bucket] != new.buckets[*bucket])
}

/// Brings the set of the manifest `old` up to the manifest `new`.
///
/// `fetched` holds at least the buckets named by [`changed_buckets`], each with its index. Their
/// bytes are checked against the digests in `new`.
pub fn apply_buckets<B: AsRef<[u8]>>(
    set: &ObjectSet,
    old: &Manifest,
    new: &Manifest,
    fetched: &[(usize, B)],
) -> Result<ObjectSet, SnapshotError> {
    let replaced: Vec<usize> = differing(old, new).collect();
    let mut objects = Vec::new();
    for bucket in changed_buckets(old, new) {
        let found = fetched.iter().find(|(index, _)| *index == bucket);
        let (_, bytes) = found.ok_or(SnapshotError::MissingBucket(bucket))?;
        verify_digest(bytes.as_ref(), new.buckets[bucket])?;
        decode_bucket(bucket, bytes.as_ref(), &mut objects)?;
    }
    keep_equal(set, &mut objects);
    let mut set = set.clone();
    remove_buckets(&mut set, &replaced);
    let keys: Vec<_> = objects.iter().map(Object::key).collect();
    for object in objects {
        set.insert(object);
    }
    share_names(&mut set, &keys);
    Ok(set)
}

/// Replaces the objects that did not change by those of `set`: most objects of a changed bucket are
/// the same as before, and the sets then share them.
fn keep_equal(set: &ObjectSet, objects: &mut [Object]) {
    for object in objects {
        if let Some(known) = set.get(&object.key())
            && known == *object
        {
            *object = known;
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
    let bytes = decompress_to_vec_with_limit(bytes, BUCKET_MAX).map_err(|error| {
        SnapshotError::Compression {
            bucket,
            message: error.to_string(),
        }
    })?;
    let lines = bytes.split(|byte| *byte == b'\n');
    for (index, line) in lines.enumerate().filter(|(_, line)| !line.is_empty()) {
        let fault = |message: String| SnapshotError::InvalidObject {
            bucket,
            line: index + 1,
            message,
        };
        let object: Object = serde_json::from_slice(line).map_err(|e| fault(e.to_string()))?;
        let key = object.key();
        if bucket_of(&key) != bucket {
            return Err(fault(format!("{key} belongs to another bucket")));
        }
        objects.push(object);
    }
    Ok(())
}

impl ObjectSet {
    /// Reads a whole set. `buckets` holds every bucket that is not empty, with its index.
    pub fn from_buckets<B: AsRef<[u8]>>(
        manifest: &Manifest,
        buckets: &[(usize, B)],
    ) -> Result<ObjectSet, SnapshotError> {
        apply_buckets(&ObjectSet::default(), &Manifest::empty(), manifest, buckets)
    }
}
