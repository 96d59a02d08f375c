//! Checks across all chains: requests that ran more than once, contradictory outcomes and changed
//! targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::ids::Attempt;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use decision::job::Outcome;
use decision::job::Target;

use crate::record::AttemptRecord;
use crate::verify::Problem;

/// Identifies a non-repeatable request: the key of its claim row, or its request ID if it has no
/// claim.
type DedupKey = String;

type AttemptKey = (RequestId, Attempt);

/// Runs of one attempt by the incarnation of the agent that ran it. `None` counts the records of
/// processes that don't know the incarnation; they may describe runs counted under a known one.
type AttemptRuns = BTreeMap<Option<Incarnation>, RunCount>;

/// Counts the records of an attempt that ran, chain by chain. Each chain records a run only once, so
/// the maximum over all chains is the number of runs.
#[derive(Default)]
struct RunCount {
    current_chain: usize,
    /// Records in the current chain.
    chain_runs: u32,
    /// The most records in any one chain.
    max_runs: u32,
}

impl RunCount {
    fn add(&mut self, chain: usize) {
        if self.current_chain != chain {
            self.chain_runs = 0;
        }
        self.current_chain = chain;
        self.chain_runs += 1;
        self.max_runs = self.max_runs.max(self.chain_runs);
    }
}

/// Outcomes that any process recorded for an attempt.
#[derive(Default)]
struct RecordedOutcomes {
    ran: bool,
    not_run: bool,
}

/// Index of the attempts of all chains. Its size grows with the number of attempts.
#[derive(Default)]
pub(crate) struct AttemptIndex {
    non_repeatable: BTreeMap<DedupKey, BTreeMap<AttemptKey, AttemptRuns>>,
    outcomes: BTreeMap<AttemptKey, RecordedOutcomes>,
    targets: BTreeMap<RequestId, Target>,
    retargeted: BTreeSet<RequestId>,
}

impl AttemptIndex {
    /// Adds a record. `chain` is the index of its chain; the records of a chain must be added
    /// without records of other chains in between.
    pub(crate) fn add(&mut self, record: &AttemptRecord, is_non_repeatable: bool, chain: usize) {
        if record.replay {
            return;
        }
        self.check_target(record);
        let recorded = self
            .outcomes
            .entry((record.request, record.attempt))
            .or_default();
        match record.outcome {
            Outcome::Ran => recorded.ran = true,
            Outcome::NotRun(_) => recorded.not_run = true,
            Outcome::Pending | Outcome::Unknown => (),
        }
        if !is_non_repeatable || record.outcome != Outcome::Ran {
            return;
        }
        let key = record
            .claim
            .clone()
            .unwrap_or_else(|| record.request.to_string());
        let runs = self.non_repeatable.entry(key).or_default();
        let runs = runs.entry((record.request, record.attempt)).or_default();
        runs.entry(record.incarnation).or_default().add(chain);
    }

    /// Compares the target with that of the request's other attempts. A route is resolved once per
    /// request, so all processes must record the same target for all its attempts.
    fn check_target(&mut self, record: &AttemptRecord) {
        let target = self.targets.entry(record.request);
        if *target.or_insert_with(|| record.target.clone()) != record.target {
            self.retargeted.insert(record.request);
        }
    }

    /// Returns the repeated requests, contradictory outcomes and changed targets.
    pub(crate) fn problems(&self) -> Vec<Problem> {
        let total_runs =
            |attempts: &BTreeMap<AttemptKey, AttemptRuns>| attempts.values().map(count_runs).sum();
        let run_counts = self
            .non_repeatable
            .iter()
            .map(|(request, attempts)| (request, total_runs(attempts)));
        let repeated =
            run_counts
                .filter(|(_, runs)| *runs > 1)
                .map(|(request, runs): (&String, u32)| Problem::Repeated {
                    request: request.clone(),
                    runs,
                });
        let contradicted = self
            .outcomes
            .iter()
            .filter(|(_, recorded)| recorded.ran && recorded.not_run);
        let contradicted = contradicted.map(|((request, attempt), _)| Problem::Contradicted {
            request: *request,
            attempt: *attempt,
        });
        let retargeted = self.retargeted.iter();
        let retargeted = retargeted.map(|request| Problem::Retargeted { request: *request });
        repeated.chain(contradicted).chain(retargeted).collect()
    }
}

/// Returns the number of runs of an attempt. Records without an incarnation only count where they
/// exceed those with one, since they may describe the same runs.
fn count_runs(runs: &AttemptRuns) -> u32 {
    let known = runs.iter().filter(|(incarnation, _)| incarnation.is_some());
    let known = known.map(|(_, count)| count.max_runs).sum();
    let unknown = runs.get(&None).map_or(0, |count| count.max_runs);
    unknown.max(known)
}
