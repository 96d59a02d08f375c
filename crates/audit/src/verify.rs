//! Verifies all chains in the object store.

use std::collections::BTreeMap;
use std::time::Duration;

use decision::ids::Attempt;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use derive_more::Display;
use edges::EdgeResult;
use edges::store::ObjectStore;

use crate::chain;
use crate::chain::EntryBody;
use crate::chain::PREFIX;
use crate::chain::StoredEntry;
use crate::chain::Tip;
use crate::published::PublishedSet;
use crate::record::Record;
use crate::runs::AttemptIndex;

/// Trusted data that the chains are compared with.
#[derive(Clone, Debug, Default)]
pub struct ReferenceData<'a> {
    /// Published object sets by generation.
    pub published: BTreeMap<u64, PublishedSet<'a>>,
    /// Tips that a monitor received from the processes themselves. They reveal that the newest
    /// entries of a chain were removed, or that all entries from some point on were rewritten.
    pub known_tips: Vec<Tip>,
}

/// Position of an entry: its chain and its sequence number.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{process}/{incarnation} entry {seq}")]
pub struct EntryPosition {
    /// Name of the process that wrote the chain.
    pub process: String,
    /// Incarnation of the process; each incarnation writes its own chain.
    pub incarnation: Incarnation,
    /// Sequence number in the chain, starting at 1.
    pub seq: u64,
}

/// Problem found by [`verify`].
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// The payload does not match the stored hash, or that hash differs from the one of a known tip.
    #[display("{_0}: changed")]
    Changed(EntryPosition),
    /// The entry does not contain the hash of the previous entry.
    #[display("{_0}: does not continue the entry before it")]
    Unlinked(EntryPosition),
    /// The entry's sequence number does not match its position in the chain or object.
    #[display("{_0}: stands at another place")]
    Misplaced(EntryPosition),
    /// Consecutive entries are missing.
    #[display("{place}: {count} entries missing from here on")]
    Missing {
        /// Position of the first missing entry.
        place: EntryPosition,
        /// Number of missing entries.
        count: u64,
    },
    /// The entry follows the closing entry of its chain.
    #[display("{_0}: follows the end of the chain")]
    AfterEnd(EntryPosition),
    /// The process lost records because its buffer was full.
    #[display("{place}: {lost} records lost between {first} and {last} ms")]
    Gap {
        /// Position of the gap entry.
        place: EntryPosition,
        /// Number of lost records.
        lost: u64,
        /// End time of the first lost record, in milliseconds since the Unix epoch.
        first: u64,
        /// End time of the last lost record, in milliseconds since the Unix epoch.
        last: u64,
    },
    /// An object cannot be read or has an invalid key, or a line in it is not an audit entry.
    #[display("{key} line {line}: unreadable")]
    Unreadable {
        /// Key of the object.
        key: String,
        /// Line number, starting at 1; 0 for the object itself.
        line: usize,
    },
    /// The record names a generation that is not in [`ReferenceData::published`].
    #[display("{place}: generation {generation} is not known")]
    UnknownGeneration {
        /// Position of the record.
        place: EntryPosition,
        /// Generation that the record names.
        generation: u64,
    },
    /// The record contradicts the objects published in its generation.
    #[display("{place}: {reason}")]
    Disagrees {
        /// Position of the record.
        place: EntryPosition,
        /// Description of the contradiction.
        reason: String,
    },
    /// A non-repeatable request ran more than once.
    #[display("request {request} ran {runs} times")]
    Repeated {
        /// Key of the claim row, or the request ID if there was no claim.
        request: String,
        /// Number of runs.
        runs: u32,
    },
    /// Records of one request name different targets.
    #[display("request {request} changed its target")]
    Retargeted {
        /// Request whose records differ.
        request: RequestId,
    },
    /// The attempt is recorded both as run and as not run.
    #[display("request {request} attempt {attempt} is recorded as run and as not run")]
    Contradicted {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: Attempt,
    },
}

/// State of one chain in the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSummary {
    /// Newest entry.
    pub tip: Tip,
    /// Whether the process closed the chain. If not, the process is still running or crashed, or
    /// the newest entries were removed; only a known tip can tell these cases apart.
    pub closed: bool,
}

/// Result of [`verify`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// Number of records read from all chains.
    pub record_count: u64,
    /// All chains, sorted by process and incarnation.
    pub chains: Vec<ChainSummary>,
    /// All problems found; empty if the audit log is consistent.
    pub problems: Vec<Problem>,
}

/// Reads all chains and checks each chain, the chains against each other, and all of them against
/// the reference data.
///
/// `timeout` applies to each read of the object store.
///
/// # Errors
///
/// Returns an error if the object store cannot be read. This says nothing about the chains, whose
/// problems are part of the report.
pub async fn verify(
    store: &dyn ObjectStore,
    reference: &ReferenceData<'_>,
    timeout: Duration,
) -> EdgeResult<VerificationReport> {
    let mut checker = Checker {
        reference,
        attempts: AttemptIndex::default(),
        report: VerificationReport::default(),
    };
    let keys = store.list(PREFIX, timeout).await?;
    for ((process, incarnation), mut objects) in checker.group_keys(keys) {
        objects.sort();
        let mut chain_checker = ChainChecker::new(&process, incarnation, reference);
        for (seq, key) in objects {
            match store.get(&key, timeout).await? {
                Some(data) => chain_checker.check_object(&mut checker, seq, &key, &data),
                None => checker.report_problem(Problem::Unreadable { key, line: 0 }),
            }
        }
        chain_checker.finish(&mut checker);
    }
    checker.check_known_tips();
    checker.report.problems.extend(checker.attempts.problems());
    Ok(checker.report)
}

/// First sequence number and key of each object, by process and incarnation.
type ObjectKeys = BTreeMap<(String, Incarnation), Vec<(u64, String)>>;

/// Reports problems and collects what is checked across chains.
struct Checker<'a> {
    reference: &'a ReferenceData<'a>,
    attempts: AttemptIndex,
    report: VerificationReport,
}

impl Checker<'_> {
    fn report_problem(&mut self, problem: Problem) {
        self.report.problems.push(problem);
    }

    fn group_keys(&mut self, keys: Vec<String>) -> ObjectKeys {
        let mut grouped = ObjectKeys::new();
        for key in keys {
            match chain::parse_object_key(&key) {
                Some((process, incarnation, seq)) => {
                    let chain = (process.to_owned(), incarnation);
                    grouped.entry(chain).or_default().push((seq, key));
                }
                None => self.report_problem(Problem::Unreadable { key, line: 0 }),
            }
        }
        grouped
    }

    fn check_record(&mut self, record: &Record, place: &EntryPosition) {
        self.report.record_count += 1;
        let head = match record {
            Record::Attempt(attempt) => &attempt.head,
            Record::Command(command) => &command.head,
        };
        let published = self.reference.published.get(&head.generation);
        if let Record::Attempt(attempt) = record {
            let is_non_repeatable = published.is_some_and(|p| p.is_non_repeatable(&attempt.route));
            let is_non_repeatable = is_non_repeatable || attempt.claim.is_some();
            self.attempts
                .add(attempt, is_non_repeatable, self.report.chains.len());
        }
        let Some(published) = published else {
            let (place, generation) = (place.clone(), head.generation);
            return self.report_problem(Problem::UnknownGeneration { place, generation });
        };
        let problem = match record {
            Record::Attempt(attempt) => published.attempt_problem(attempt),
            Record::Command(command) => published.command_problem(command),
        };
        if let Some(reason) = problem {
            self.report_problem(Problem::Disagrees {
                place: place.clone(),
                reason,
            });
        }
    }

    /// Reports known tips of chains that have no objects at all.
    fn check_known_tips(&mut self) {
        let has_chain = |tip: &Tip| {
            let mut chains = self.report.chains.iter().map(|c| &c.tip);
            chains.any(|c| c.process == tip.process && c.incarnation == tip.incarnation)
        };
        let missing = self
            .reference
            .known_tips
            .iter()
            .filter(|tip| tip.seq > 0 && !has_chain(tip));
        let missing = missing.map(|tip| {
            let (process, incarnation) = (tip.process.clone(), tip.incarnation);
            Problem::Missing {
                place: EntryPosition {
                    process,
                    incarnation,
                    seq: 1,
                },
                count: tip.seq,
            }
        });
        let missing: Vec<Problem> = missing.collect();
        self.report.problems.extend(missing);
    }
}

/// Checks the entries of one chain in order.
struct ChainChecker<'a> {
    /// Known tips of this chain.
    known_tips: Vec<&'a Tip>,
    /// Newest entry read so far.
    tip: Tip,
    closed: bool,
}

impl<'a> ChainChecker<'a> {
    fn new(
        process: &str,
        incarnation: Incarnation,
        reference: &'a ReferenceData<'a>,
    ) -> ChainChecker<'a> {
        let known_tips = reference.known_tips.iter();
        let known_tips =
            known_tips.filter(|t| t.process == process && t.incarnation == incarnation);
        ChainChecker {
            known_tips: known_tips.collect(),
            tip: Tip::empty(process, incarnation),
            closed: false,
        }
    }

    fn position(&self, seq: u64) -> EntryPosition {
        let Tip {
            process,
            incarnation,
            ..
        } = &self.tip;
        EntryPosition {
            process: process.clone(),
            incarnation: *incarnation,
            seq,
        }
    }

    /// Checks one object. `first` is the sequence number of its first entry according to its key.
    fn check_object(&mut self, checker: &mut Checker<'_>, first: u64, key: &str, data: &[u8]) {
        let text = String::from_utf8_lossy(data);
        let mut entries = Vec::new();
        for (index, line) in text.lines().enumerate() {
            match chain::parse_line(line) {
                Some(stored) => entries.push(stored),
                None => checker.report_problem(Problem::Unreadable {
                    key: key.to_owned(),
                    line: index + 1,
                }),
            }
        }
        let mut highest = first;
        for (index, stored) in entries.iter().enumerate() {
            let seq = stored.entry.seq;
            if seq < highest || (index == 0 && seq != first) {
                checker.report_problem(Problem::Misplaced(self.position(seq)));
            }
            highest = highest.max(seq);
        }
        entries.sort_by_key(|s| s.entry.seq);
        for stored in &entries {
            self.check_entry(checker, stored);
        }
    }

    fn check_entry(&mut self, checker: &mut Checker<'_>, stored: &StoredEntry) {
        let seq = stored.entry.seq;
        let place = self.position(seq);
        if seq <= self.tip.seq {
            return checker.report_problem(Problem::Misplaced(place));
        }
        self.check_link(checker, stored, &place);
        self.tip.seq = seq;
        self.tip.hash = stored.hash.clone();
        match &stored.entry.body {
            EntryBody::Record(record) => checker.check_record(record, &place),
            EntryBody::Gap { lost, first, last } => {
                let (lost, first, last) = (*lost, *first, *last);
                checker.report_problem(Problem::Gap {
                    place,
                    lost,
                    first,
                    last,
                });
            }
            EntryBody::Closed => self.closed = true,
        }
    }

    /// Checks the sequence number and hashes of an entry against the previous entry, its payload
    /// and the known tips.
    fn check_link(&self, checker: &mut Checker<'_>, stored: &StoredEntry, place: &EntryPosition) {
        let next = self.tip.seq + 1;
        if place.seq > next {
            let (place, count) = (self.position(next), place.seq - next);
            checker.report_problem(Problem::Missing { place, count });
        } else if stored.entry.prev != self.tip.hash {
            checker.report_problem(Problem::Unlinked(place.clone()));
        }
        let differs = |tip: &Tip| tip.seq == place.seq && tip.hash != stored.hash;
        if !stored.hash_matches || self.known_tips.iter().any(|tip| differs(tip)) {
            checker.report_problem(Problem::Changed(place.clone()));
        }
        if self.closed {
            checker.report_problem(Problem::AfterEnd(place.clone()));
        }
    }

    /// Reports missing newest entries and adds the chain to the report.
    fn finish(self, checker: &mut Checker<'_>) {
        let highest = self
            .known_tips
            .iter()
            .map(|t| t.seq)
            .max()
            .unwrap_or_default();
        if highest > self.tip.seq {
            let (place, count) = (self.position(self.tip.seq + 1), highest - self.tip.seq);
            checker.report_problem(Problem::Missing { place, count });
        }
        checker.report.chains.push(ChainSummary {
            tip: self.tip,
            closed: self.closed,
        });
    }
}
