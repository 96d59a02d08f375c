//! The hash chain and the form in which its entries are stored.
//!
//! A stored object holds one entry per line: the SHA-256 of the payload, a space, and the payload,
//! which is JSON with the number, the hash of the entry before, and the body. The hash covers the
//! payload's bytes as they are stored.

use decision::ids::Incarnation;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Record;
use crate::record::digest;

/// The prefix of all audit objects.
pub(crate) const PREFIX: &str = "audit/";

/// Digits of the first number in a key, so that keys sort by number.
const SEQ_DIGITS: usize = 20;

/// The body of a chain entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// A record.
    Record(Box<Record>),
    /// Records that could not be kept.
    Gap {
        /// The number of records.
        lost: u64,
        /// The end of the first lost record, in milliseconds since the Unix epoch.
        first: u64,
        /// The end of the last lost record, in milliseconds since the Unix epoch.
        last: u64,
    },
    /// The process closed its log; nothing follows.
    Closed,
}

/// One entry of a chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChainEntry {
    /// The number, from 1.
    pub(crate) seq: u64,
    /// The hash of the entry before; of the first entry, the hash of the chain's name.
    pub(crate) prev: String,
    /// The body.
    pub(crate) body: EntryBody,
}

/// The newest entry of a chain, as its process or a monitor knows it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{process}/{incarnation} {seq} {hash}")]
pub struct Tip {
    /// The process.
    pub process: String,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The number of the newest entry; 0 if there is none.
    pub seq: u64,
    /// The hash of the newest entry, or of the chain's name.
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

    /// Appends an entry; returns its stored line.
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

/// An entry as it was read back.
#[derive(Clone, Debug)]
pub(crate) struct StoredEntry {
    pub(crate) entry: ChainEntry,
    /// The hash that stands before the payload.
    pub(crate) hash: String,
    /// Whether the payload has that hash.
    pub(crate) intact: bool,
}

/// Reads one stored line; returns nothing if it is no entry.
pub(crate) fn parse(line: &str) -> Option<StoredEntry> {
    let (hash, payload) = line.split_once(' ')?;
    let entry = serde_json::from_str(payload).ok()?;
    let intact = digest(payload.as_bytes()) == hash;
    Some(StoredEntry {
        entry,
        hash: hash.to_owned(),
        intact,
    })
}

/// Returns the key of the object whose first entry has the number `seq`.
pub(crate) fn key(process: &str, incarnation: Incarnation, seq: u64) -> String {
    format!("{PREFIX}{process}/{incarnation}/{seq:0SEQ_DIGITS$}")
}

/// Returns the process, the incarnation and the first number of a key.
pub(crate) fn parse_key(key: &str) -> Option<(&str, Incarnation, u64)> {
    let mut parts = key.strip_prefix(PREFIX)?.rsplitn(3, '/');
    let seq = parts.next()?.parse().ok()?;
    let incarnation = Incarnation::try_from(parts.next()?.to_owned()).ok()?;
    Some((parts.next()?, incarnation, seq))
}
