//! Hash chain and the storage format of its entries.
//!
//! A stored object holds one entry per line: the SHA-256 of the payload, a space, and the payload.
//! The payload is JSON with the sequence number, the hash of the previous entry and the body. The
//! hash covers the payload's bytes exactly as they are stored.

use decision::ids::Incarnation;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Record;
use crate::record::digest;

/// Prefix of the keys of all audit objects.
pub(crate) const PREFIX: &str = "audit/";

/// Width of the sequence number in a key; the zero padding makes keys sort by sequence number.
const SEQ_DIGITS: usize = 20;

/// Content of a chain entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// An attempt or a command.
    Record(Box<Record>),
    /// Records that were lost because the buffer was full.
    Gap {
        /// Number of lost records.
        lost: u64,
        /// End time of the first lost record, in milliseconds since the Unix epoch.
        first: u64,
        /// End time of the last lost record, in milliseconds since the Unix epoch.
        last: u64,
    },
    /// The process closed its log; no entry may follow.
    Closed,
}

/// One entry of a chain, as it is serialized into the payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChainEntry {
    /// Sequence number, starting at 1.
    pub(crate) seq: u64,
    /// Hash of the previous entry; the first entry has the hash of the chain's name.
    pub(crate) prev: String,
    pub(crate) body: EntryBody,
}

/// Newest entry of a chain, as known to its process or to a monitor.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{process}/{incarnation} {seq} {hash}")]
pub struct Tip {
    /// Name of the process that writes the chain.
    pub process: String,
    /// Incarnation of the process; each incarnation writes its own chain.
    pub incarnation: Incarnation,
    /// Sequence number of the newest entry; 0 if the chain is empty.
    pub seq: u64,
    /// Hash of the newest entry; the hash of the chain's name, `{process}/{incarnation}`, if the
    /// chain is empty.
    pub hash: String,
}

impl Tip {
    /// Returns the tip of an empty chain.
    pub(crate) fn empty(process: &str, incarnation: Incarnation) -> Tip {
        Tip {
            process: process.to_owned(),
            incarnation,
            seq: 0,
            hash: digest(format!("{process}/{incarnation}").as_bytes()),
        }
    }

    /// Appends an entry and returns the line to store.
    pub(crate) fn append(&mut self, body: EntryBody) -> String {
        let entry = ChainEntry {
            seq: self.seq + 1,
            prev: self.hash.clone(),
            body,
        };
        let payload = serde_json::to_string(&entry).expect("entries have string keys");
        self.seq = entry.seq;
        self.hash = digest(payload.as_bytes());
        format!("{} {payload}\n", self.hash)
    }
}

/// An entry read from a stored line.
#[derive(Clone, Debug)]
pub(crate) struct StoredEntry {
    pub(crate) entry: ChainEntry,
    /// Hash stored in front of the payload.
    pub(crate) hash: String,
    /// Whether the payload has the stored hash.
    pub(crate) hash_matches: bool,
}

/// Parses a stored line. Returns `None` if it isn't an entry; a wrong hash is not an error here.
pub(crate) fn parse_line(line: &str) -> Option<StoredEntry> {
    let (hash, payload) = line.split_once(' ')?;
    let entry = serde_json::from_str(payload).ok()?;
    let hash_matches = digest(payload.as_bytes()) == hash;
    Some(StoredEntry {
        entry,
        hash: hash.to_owned(),
        hash_matches,
    })
}

/// Returns the key of the object whose first entry has the sequence number `seq`.
pub(crate) fn object_key(process: &str, incarnation: Incarnation, seq: u64) -> String {
    format!("{PREFIX}{process}/{incarnation}/{seq:0SEQ_DIGITS$}")
}

/// Splits an object key into the process, the incarnation and the first sequence number.
pub(crate) fn parse_object_key(key: &str) -> Option<(&str, Incarnation, u64)> {
    let mut parts = key.strip_prefix(PREFIX)?.rsplitn(3, '/');
    let seq = parts.next()?.parse().ok()?;
    let incarnation = Incarnation::try_from(parts.next()?.to_owned()).ok()?;
    Some((parts.next()?, incarnation, seq))
}
