//! What all chains together say about the runs of requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::ids::Attempt;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use decision::job::Outcome;
use decision::job::Target;

use crate::record::AttemptRecord;
use crate::verify::Problem;

/// What a request that is not repeatable is known by: its claim row, or its identifier.
type SingleKey = String;

/// An attempt at a request.
type AttemptKey = (RequestId, Attempt);

/// The runs of one attempt by the agent incarnation that carried them out; a process that does not
/// know the incarnation describes one of the others.
type AttemptRuns = BTreeMap<Option<Incarnation>, Count>;

/// The number of records that say a run happened, in the chain where it is highest. One chain
/// records an attempt once, so that a higher number means that the attempt ran more often.
#[derive(Default)]
struct Count {
    chain: usize,
    in_chain: u32,
    highest: u32,
}

impl Count {
    fn add(&mut self, chain: usize) {
        if self.chain != chain {
            self.in_chain = 0;
        }
        self.chain = chain;
        self.in_chain += 1;
        self.highest = self.highest.max(self.in_chain);
    }
}

/// What is said about an attempt by any process.
#[derive(Default)]
struct Said {
    ran: bool,
    not_run: bool,
}

/// All attempts of all chains. Its size grows with the number of attempts.
#[derive(Default)]
pub(crate) struct Runs {
    singles: BTreeMap<SingleKey, BTreeMap<AttemptKey, AttemptRuns>>,
    attempts: BTreeMap<AttemptKey, Said>,
    targets: BTreeMap<RequestId, Target>,
    retargeted: BTreeSet<RequestId>,
}

impl Runs {
    /// Adds a record of the chain with the number `chain`.
    pub(crate) fn add(&mut self, record: &AttemptRecord, is_single: bool, chain: usize) {
        if record.replay {
            return;
        }
        self.add_target(record);
        let said = self
            .attempts
            .entry((record.request, record.attempt))
            .or_default();
        match record.outcome {
            Outcome::Ran => said.ran = true,
            Outcome::NotRun(_) => said.not_run = true,
            Outcome::Pending | Outcome::Unknown => (),
        }
        if !is_single || record.outcome != Outcome::Ran {
            return;
        }
        let key = record
            .claim
            .clone()
            .unwrap_or_else(|| record.request.to_string());
        let runs = self.singles.entry(key).or_default();
        let runs = runs.entry((record.request, record.attempt)).or_default();
        runs.entry(record.incarnation).or_default().add(chain);
    }

    /// Compares the target with that of all other attempts: a request keeps what its route was
    /// resolved to, whichever process tries it how often.
    fn add_target(&mut self, record: &AttemptRecord) {
        let known = self.targets.entry(record.request);
        if *known.or_insert_with(|| record.target.clone()) != record.target {
            self.retargeted.insert(record.request);
        }
    }

    /// Returns the contradictions.
    pub(crate) fn problems(&self) -> Vec<Problem> {
        let runs = |all: &BTreeMap<AttemptKey, AttemptRuns>| all.values().map(count_runs).sum();
        let singles = self
            .singles
            .iter()
            .map(|(request, all)| (request, runs(all)));
        let repeated =
            singles
                .filter(|(_, runs)| *runs > 1)
                .map(|(request, runs): (&String, u32)| Problem::Repeated {
                    request: request.clone(),
                    runs,
                });
        let contradicted = self
            .attempts
            .iter()
            .filter(|(_, said)| said.ran && said.not_run);
        let contradicted = contradicted.map(|((request, attempt), _)| Problem::Contradicted {
            request: *request,
            attempt: *attempt,
        });
        let retargeted = self.retargeted.iter();
        let retargeted = retargeted.map(|request| Problem::Retargeted { request: *request });
        repeated.chain(contradicted).chain(retargeted).collect()
    }
}

fn count_runs(runs: &AttemptRuns) -> u32 {
    let known = runs.iter().filter(|(incarnation, _)| incarnation.is_some());
    let known = known.map(|(_, count)| count.highest).sum();
    let unknown = runs.get(&None).map_or(0, |count| count.highest);
    unknown.max(known)
}
