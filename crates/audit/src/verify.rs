//! Verification of all chains in the object store.

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
use crate::runs::Runs;

/// What the chains are compared with.
#[derive(Clone, Debug, Default)]
pub struct ReferenceData<'a> {
    /// The published sets by generation.
    pub published: BTreeMap<u64, PublishedSet<'a>>,
    /// Entries that a monitor learned from the processes themselves. They show whether the newest
    /// entries of a chain were removed or all entries after a point were written anew.
    pub known_tips: Vec<Tip>,
}

/// A place in a chain.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{process}/{incarnation} entry {seq}")]
pub struct EntryPosition {
    /// The process.
    pub process: String,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The number of the entry.
    pub seq: u64,
}

/// What is wrong with the records.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// The entry's payload does not have its hash, or its hash is not the one that was expected.
    #[display("{_0}: changed")]
    Changed(EntryPosition),
    /// The entry does not continue the entry before it.
    #[display("{_0}: does not continue the entry before it")]
    Unlinked(EntryPosition),
    /// The entry stands at another place than its number says.
    #[display("{_0}: stands at another place")]
    Misplaced(EntryPosition),
    /// Entries are missing from this place on.
    #[display("{place}: {count} entries missing from here on")]
    Missing {
        /// The place of the first missing entry.
        place: EntryPosition,
        /// The number of missing entries.
        count: u64,
    },
    /// Entries follow the one that closes the chain.
    #[display("{_0}: follows the end of the chain")]
    AfterEnd(EntryPosition),
    /// The process could not keep records.
    #[display("{place}: {lost} records lost between {first} and {last} ms")]
    Gap {
        /// The place of the gap entry.
        place: EntryPosition,
        /// The number of records.
        lost: u64,
        /// The end of the first lost record, in milliseconds since the Unix epoch.
        first: u64,
        /// The end of the last lost record, in milliseconds since the Unix epoch.
        last: u64,
    },
    /// An object or a line in it is no audit entry.
    #[display("{key} line {line}: unreadable")]
    Unreadable {
        /// The key of the object.
        key: String,
        /// The line, from 1; 0 for the object itself.
        line: usize,
    },
    /// The record belongs to a generation that was not published.
    #[display("{place}: generation {generation} is not known")]
    UnknownGeneration {
        /// The place of the record.
        place: EntryPosition,
        /// The generation.
        generation: u64,
    },
    /// The record does not agree with the objects of its generation.
    #[display("{place}: {reason}")]
    Disagrees {
        /// The place of the record.
        place: EntryPosition,
        /// What does not agree.
        reason: String,
    },
    /// A request that is not repeatable ran more than once.
    #[display("request {request} ran {runs} times")]
    Repeated {
        /// The claim row, or the request if there was no claim.
        request: String,
        /// The number of runs.
        runs: u32,
    },
    /// Records of one request name different targets.
    #[display("request {request} changed its target")]
    Retargeted {
        /// The request.
        request: RequestId,
    },
    /// One process recorded that the attempt ran and another one that it did not run.
    #[display("request {request} attempt {attempt} is recorded as run and as not run")]
    Contradicted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// One chain as it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSummary {
    /// The newest entry.
    pub tip: Tip,
    /// Whether the process closed it. One that is not closed belongs to a process that still runs,
    /// that crashed, or whose newest entries were removed; only a known tip tells them apart.
    pub closed: bool,
}

/// The result of a verification.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// Records read.
    pub record_count: u64,
    /// The chains in order of process and incarnation.
    pub chains: Vec<ChainSummary>,
    /// Everything that is wrong.
    pub problems: Vec<Problem>,
}

/// Reads all chains and compares them with themselves, with each other and with what is expected.
///
/// Each read of the object store has the given timeout. An error means that the store could not be
/// read, and says nothing about the chains.
pub async fn verify(
    store: &dyn ObjectStore,
    expected: &ReferenceData<'_>,
    timeout: Duration,
) -> EdgeResult<VerificationReport> {
    let mut checker = Checker {
        expected,
        runs: Runs::default(),
        report: VerificationReport::default(),
    };
    let keys = store.list(PREFIX, timeout).await?;
    for ((process, incarnation), mut objects) in checker.sort_keys(keys) {
        objects.sort();
        let mut reader = Reader::new(&process, incarnation, expected);
        for (seq, key) in objects {
            match store.get(&key, timeout).await? {
                Some(data) => reader.read(&mut checker, seq, &key, &data),
                None => checker.add(Problem::Unreadable { key, line: 0 }),
            }
        }
        reader.finish(&mut checker);
    }
    checker.finish_tips();
    checker.report.problems.extend(checker.runs.problems());
    Ok(checker.report)
}

/// The first number and the key of each object, by process and incarnation.
type Keys = BTreeMap<(String, Incarnation), Vec<(u64, String)>>;

/// What is carried from chain to chain.
struct Checker<'a> {
    expected: &'a ReferenceData<'a>,
    runs: Runs,
    report: VerificationReport,
}

impl Checker<'_> {
    fn add(&mut self, problem: Problem) {
        self.report.problems.push(problem);
    }

    fn sort_keys(&mut self, keys: Vec<String>) -> Keys {
        let mut sorted = Keys::new();
        for key in keys {
            match chain::parse_key(&key) {
                Some((process, incarnation, seq)) => {
                    let name = (process.to_owned(), incarnation);
                    sorted.entry(name).or_default().push((seq, key));
                }
                None => self.add(Problem::Unreadable { key, line: 0 }),
            }
        }
        sorted
    }

    fn check_record(&mut self, record: &Record, place: &EntryPosition) {
        self.report.record_count += 1;
        let head = match record {
            Record::Attempt(attempt) => &attempt.head,
            Record::Command(command) => &command.head,
        };
        let published = self.expected.published.get(&head.generation);
        if let Record::Attempt(attempt) = record {
            let is_single = published.is_some_and(|p| p.is_single(&attempt.route));
            let is_single = is_single || attempt.claim.is_some();
            self.runs.add(attempt, is_single, self.report.chains.len());
        }
        let Some(published) = published else {
            let (place, generation) = (place.clone(), head.generation);
            return self.add(Problem::UnknownGeneration { place, generation });
        };
        let problem = match record {
            Record::Attempt(attempt) => published.attempt_problem(attempt),
            Record::Command(command) => published.command_problem(command),
        };
        if let Some(reason) = problem {
            self.add(Problem::Disagrees {
                place: place.clone(),
                reason,
            });
        }
    }

    /// Finds expected tips of chains that have no object at all.
    fn finish_tips(&mut self) {
        let found = |tip: &Tip| {
            let mut chains = self.report.chains.iter().map(|c| &c.tip);
            chains.any(|c| c.process == tip.process && c.incarnation == tip.incarnation)
        };
        let lost = self
            .expected
            .known_tips
            .iter()
            .filter(|tip| tip.seq > 0 && !found(tip));
        let lost = lost.map(|tip| {
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
        let lost: Vec<Problem> = lost.collect();
        self.report.problems.extend(lost);
    }
}

/// What is carried from entry to entry of one chain.
struct Reader<'a> {
    tips: Vec<&'a Tip>,
    tip: Tip,
    closed: bool,
}

impl<'a> Reader<'a> {
    fn new(process: &str, incarnation: Incarnation, expected: &'a ReferenceData<'a>) -> Reader<'a> {
        let tips = expected.known_tips.iter();
        let tips = tips.filter(|t| t.process == process && t.incarnation == incarnation);
        Reader {
            tips: tips.collect(),
            tip: Tip::empty(process, incarnation),
            closed: false,
        }
    }

    fn place(&self, seq: u64) -> EntryPosition {
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

    /// Reads one object, whose key says that it starts with the entry `first`.
    fn read(&mut self, checker: &mut Checker<'_>, first: u64, key: &str, data: &[u8]) {
        let text = String::from_utf8_lossy(data);
        let mut entries = Vec::new();
        for (index, line) in text.lines().enumerate() {
            match chain::parse(line) {
                Some(stored) => entries.push(stored),
                None => checker.add(Problem::Unreadable {
                    key: key.to_owned(),
                    line: index + 1,
                }),
            }
        }
        let mut newest = first;
        for (index, stored) in entries.iter().enumerate() {
            let seq = stored.entry.seq;
            if seq < newest || (index == 0 && seq != first) {
                checker.add(Problem::Misplaced(self.place(seq)));
            }
            newest = newest.max(seq);
        }
        entries.sort_by_key(|s| s.entry.seq);
        for stored in &entries {
            self.check(checker, stored);
        }
    }

    fn check(&mut self, checker: &mut Checker<'_>, stored: &StoredEntry) {
        let seq = stored.entry.seq;
        let place = self.place(seq);
        if seq <= self.tip.seq {
            return checker.add(Problem::Misplaced(place));
        }
        self.check_link(checker, stored, &place);
        self.tip.seq = seq;
        self.tip.hash = stored.hash.clone();
        match &stored.entry.body {
            EntryBody::Record(record) => checker.check_record(record, &place),
            EntryBody::Gap { lost, first, last } => {
                let (lost, first, last) = (*lost, *first, *last);
                checker.add(Problem::Gap {
                    place,
                    lost,
                    first,
                    last,
                });
            }
            EntryBody::Closed => self.closed = true,
        }
    }

    /// Checks that an entry follows the one before and has its hash.
    fn check_link(&self, checker: &mut Checker<'_>, stored: &StoredEntry, place: &EntryPosition) {
        let next = self.tip.seq + 1;
        if place.seq > next {
            let (place, count) = (self.place(next), place.seq - next);
            checker.add(Problem::Missing { place, count });
        } else if stored.entry.prev != self.tip.hash {
            checker.add(Problem::Unlinked(place.clone()));
        }
        let is_other = |tip: &Tip| tip.seq == place.seq && tip.hash != stored.hash;
        if !stored.intact || self.tips.iter().any(|tip| is_other(tip)) {
            checker.add(Problem::Changed(place.clone()));
        }
        if self.closed {
            checker.add(Problem::AfterEnd(place.clone()));
        }
    }

    fn finish(self, checker: &mut Checker<'_>) {
        let newest = self.tips.iter().map(|t| t.seq).max().unwrap_or_default();
        if newest > self.tip.seq {
            let (place, count) = (self.place(self.tip.seq + 1), newest - self.tip.seq);
            checker.add(Problem::Missing { place, count });
        }
        checker.report.chains.push(ChainSummary {
            tip: self.tip,
            closed: self.closed,
        });
    }
}
