//! The state machine of a publisher.

use std::sync::Arc;
use std::time::Duration;

use objects::Diff;
use objects::Digest;
use objects::Finding;
use objects::Manifest;
use objects::ObjectSet;
use objects::Snapshot;
use objects::changed_buckets;
use objects::diff;
use objects::has_errors;
use objects::rebase;
use objects::validate;
use objects::validate_change;

use super::Action;
use super::Blob;
use super::Event;
use super::GenerationRow;
use super::HeadRow;
use super::Outcome;
use super::PUBLISH_TIMEOUT;
use super::Request;
use super::Step;
use super::Upload;
use super::VERIFY_TIMEOUT;
use crate::ids::Head;
use crate::time::Time;

/// Longest delay before the first retry of a step; it doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Upper limit of the doubled delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Publishes one [`Request`]: takes the result of each action and returns the next action.
#[derive(Debug)]
pub struct Publisher {
    request: Request,
    deadline: Time,
    /// Deadline for verification, set by the first lost response. Later lost responses do not move
    /// it, so that publishing ends even if every response is lost.
    verify_deadline: Option<Time>,
    step: Step,
    retry_delay: Duration,
    head_row: HeadRow,
    candidate: Option<Candidate>,
    /// Whether a swap of the candidate was sent and its result is unknown.
    swap_unverified: bool,
}

/// A validated set with the blobs and the row to write for it.
#[derive(Clone, Debug)]
struct Candidate {
    upload: Arc<Upload>,
    row: Box<GenerationRow>,
    own_digest: Digest,
    warnings: Vec<Finding>,
}

impl Publisher {
    /// Starts publishing; returns the publisher and its first action.
    pub fn start(request: Request, now: Time) -> (Publisher, Action) {
        let publisher = Publisher {
            request,
            deadline: now.after(PUBLISH_TIMEOUT),
            verify_deadline: None,
            step: Step::ReadHead,
            retry_delay: INITIAL_RETRY_DELAY,
            head_row: HeadRow::default(),
            candidate: None,
            swap_unverified: false,
        };
        (publisher, Action::ReadHead)
    }

    /// Processes the result of the last action; returns the next one.
    pub fn handle(&mut self, event: Event, now: Time, rng: &mut fastrand::Rng) -> Action {
        match event {
            Event::Head(row) => self.on_head(row),
            Event::Fetched { manifest, set } => self.on_fetched(&manifest, &set),
            Event::Stored => self.enter_step(Step::Swap),
            Event::Swapped => self.finish_published(),
            Event::Conflict => self.enter_step(Step::ReadBack),
            Event::Unknown(reason) => self.on_unknown(reason, now, rng),
            Event::ReadBack { row, generation } => self.on_read_back(row, generation, now, rng),
            Event::Failed(reason) => self.retry(reason, now, rng),
            Event::Waited => self.current_action(),
        }
    }

    fn on_head(&mut self, row: HeadRow) -> Action {
        let base = &self.request.base;
        let same = row.head == *base;
        if row.head.generation <= base.generation && !same {
            return finish(Outcome::BaseMismatch(row.head));
        }
        self.head_row = row;
        self.enter_step(Step::Fetch)
    }

    fn on_fetched(&mut self, manifest: &Manifest, theirs: &ObjectSet) -> Action {
        let request = &self.request;
        let head = self.head_row.head.clone();
        let merged = match rebase(&request.base_set, &request.set, theirs) {
            Ok(merged) => merged,
            Err(overlap) => return finish(Outcome::Conflict { head, overlap }),
        };
        let changes = diff(theirs, &merged);
        // The first generation is published even if the set is empty, so that processes get a
        // head.
        if changes.is_empty() && head.generation > 0 {
            return finish(Outcome::Unchanged(head));
        }
        if head != request.base && !request.rebase {
            let overlap = Vec::new();
            return finish(Outcome::Conflict { head, overlap });
        }
        let mut findings = validate(&merged, &request.sources);
        findings.extend(validate_change(theirs, &merged, &request.sources));
        if has_errors(&findings) {
            return finish(Outcome::Invalid(findings));
        }
        self.candidate = Some(self.build_candidate(manifest, &merged, &changes, findings));
        self.enter_step(Step::Store)
    }

    fn build_candidate(
        &self,
        stored: &Manifest,
        merged: &ObjectSet,
        changes: &Diff,
        warnings: Vec<Finding>,
    ) -> Candidate {
        let snapshot = self.build_snapshot(merged);
        let own_snapshot = match *merged == *self.request.set {
            true => None,
            false => Some(self.build_snapshot(&self.request.set)),
        };
        let row = GenerationRow {
            head: Head {
                generation: snapshot.manifest.generation(),
                digest: snapshot.digest.to_string(),
            },
            publisher: snapshot.manifest.publisher.clone(),
            unix_time: snapshot.manifest.unix_time,
            added: changes.added.len(),
            removed: changes.removed.len(),
            changed: changes.changed.len(),
            restores: self.request.restores,
        };
        Candidate {
            row: Box::new(row),
            own_digest: own_snapshot
                .as_ref()
                .map_or(snapshot.digest, |own| own.digest),
            upload: Arc::new(missing_blobs(stored, [Some(snapshot), own_snapshot])),
            warnings,
        }
    }

    fn build_snapshot(&self, set: &ObjectSet) -> Snapshot {
        let request = &self.request;
        let base = self.head_row.head.generation;
        Snapshot::build(set, base, &request.publisher, request.unix_time)
    }

    fn on_unknown(&mut self, reason: String, now: Time, rng: &mut fastrand::Rng) -> Action {
        self.swap_unverified = true;
        self.deadline = *self
            .verify_deadline
            .get_or_insert(now.after(VERIFY_TIMEOUT));
        self.step = Step::ReadBack;
        // The delay lets a swap that is still in transit reach the table before the rows are read.
        self.retry(reason, now, rng)
    }

    fn on_read_back(
        &mut self,
        row: HeadRow,
        generation: Option<Box<GenerationRow>>,
        now: Time,
        rng: &mut fastrand::Rng,
    ) -> Action {
        let Some(candidate) = &self.candidate else {
            return self.enter_step(Step::ReadHead);
        };
        let ours = &candidate.row.head;
        let published_head = generation.as_ref().map(|generation| &generation.head);
        if published_head == Some(ours) || row.head == *ours {
            return self.finish_published();
        }
        if row.version == self.head_row.version {
            // If the generation row exists under the old head row, another publisher wrote both
            // between the two reads, so they are read again.
            let (step, reason) = match published_head {
                None => (Step::Swap, "the head is unchanged"),
                Some(_) => (
                    Step::ReadBack,
                    "the generation row exists but the head row is unchanged",
                ),
            };
            self.step = step;
            return self.retry(reason.to_owned(), now, rng);
        }
        // The version of the head row changed, so the swap can no longer take effect.
        self.swap_unverified = false;
        self.candidate = None;
        if now >= self.deadline {
            let (head, overlap) = (row.head, Vec::new());
            return finish(Outcome::Conflict { head, overlap });
        }
        self.on_head(row)
    }

    fn finish_published(&mut self) -> Action {
        let Some(candidate) = self.candidate.take() else {
            return self.enter_step(Step::ReadHead);
        };
        finish(Outcome::Published {
            row: candidate.row,
            own_digest: candidate.own_digest,
            warnings: candidate.warnings,
        })
    }

    fn enter_step(&mut self, step: Step) -> Action {
        self.step = step;
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.current_action()
    }

    /// Returns the action of the current step.
    fn current_action(&self) -> Action {
        let Some(candidate) = &self.candidate else {
            return match self.step {
                Step::Fetch => Action::Fetch(self.head_row.head.clone()),
                _ => Action::ReadHead,
            };
        };
        match self.step {
            Step::ReadHead => Action::ReadHead,
            Step::Fetch => Action::Fetch(self.head_row.head.clone()),
            Step::Store => Action::Store(candidate.upload.clone()),
            Step::Swap => Action::Swap {
                expected: self.head_row.version,
                row: candidate.row.clone(),
            },
            Step::ReadBack => Action::ReadBack(candidate.row.head.generation),
        }
    }

    /// Waits before the current step is repeated, or gives up if the deadline would pass.
    fn retry(&mut self, reason: String, now: Time, rng: &mut fastrand::Rng) -> Action {
        let delay = self.retry_delay.mul_f64(0.5 + 0.5 * rng.f64());
        if now.after(delay) >= self.deadline {
            return self.give_up(reason);
        }
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        Action::Wait(delay)
    }

    fn give_up(&self, reason: String) -> Action {
        match &self.candidate {
            Some(candidate) if self.swap_unverified => finish(Outcome::Unknown {
                head: candidate.row.head.clone(),
                reason,
            }),
            _ => finish(Outcome::Unreachable {
                step: self.step,
                reason,
            }),
        }
    }
}

fn finish(outcome: Outcome) -> Action {
    Action::Finish(Box::new(outcome))
}

/// Returns the blobs of the snapshots that the object store lacks, given that it holds all buckets
/// of `stored`.
fn missing_blobs(stored: &Manifest, snapshots: [Option<Snapshot>; 2]) -> Upload {
    let mut upload = Upload {
        buckets: Vec::new(),
        manifests: Vec::new(),
    };
    for mut snapshot in snapshots.into_iter().flatten() {
        for bucket in changed_buckets(stored, &snapshot.manifest) {
            let blob = Blob {
                digest: snapshot.manifest.buckets[bucket],
                bytes: std::mem::take(&mut snapshot.buckets[bucket]).into(),
            };
            if !upload.buckets.contains(&blob) {
                upload.buckets.push(blob);
            }
        }
        upload.manifests.push(Blob {
            digest: snapshot.digest,
            bytes: snapshot.manifest_bytes.into(),
        });
    }
    upload
}
