//! The state machine of one publisher.

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

/// The longest pause before the first retry; each further one is twice as long.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The limit of the doubled pause.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// The publishing of one request.
#[derive(Debug)]
pub struct Publisher {
    request: Request,
    deadline: Time,
    /// The deadline that the first lost response set. Later ones do not move it, so that publishing
    /// ends even if the table loses every response.
    verify: Option<Time>,
    step: Step,
    pause: Duration,
    row: HeadRow,
    candidate: Option<Candidate>,
    /// Whether a swap of the candidate was sent without a definite answer.
    uncertain: bool,
}

/// A set that is ready to be stored and put in force.
#[derive(Clone, Debug)]
struct Candidate {
    upload: Arc<Upload>,
    row: Box<GenerationRow>,
    own_digest: Digest,
    warnings: Vec<Finding>,
}

impl Publisher {
    /// Starts publishing; returns the state and the first action.
    pub fn start(request: Request, now: Time) -> (Publisher, Action) {
        let publisher = Publisher {
            request,
            deadline: now.after(PUBLISH_TIMEOUT),
            verify: None,
            step: Step::ReadHead,
            pause: PAUSE_MIN,
            row: HeadRow::default(),
            candidate: None,
            uncertain: false,
        };
        (publisher, Action::ReadHead)
    }

    /// Takes the answer to the last action; returns the next one.
    pub fn handle(&mut self, event: Event, now: Time, rng: &mut fastrand::Rng) -> Action {
        match event {
            Event::Head(row) => self.on_head(row),
            Event::Fetched { manifest, set } => self.on_fetched(&manifest, &set),
            Event::Stored => self.enter(Step::Swap),
            Event::Swapped => self.published(),
            Event::ConditionFailed => self.enter(Step::ReadBack),
            Event::ResponseLost(reason) => self.on_lost(reason, now, rng),
            Event::ReadBack { row, generation } => self.on_read_back(row, generation, now, rng),
            Event::Failed(reason) => self.retry(reason, now, rng),
            Event::Waited => self.action(),
        }
    }

    fn on_head(&mut self, row: HeadRow) -> Action {
        let base = &self.request.base;
        let same = row.head == *base;
        if row.head.generation <= base.generation && !same {
            return finish(Outcome::BaseMismatch(row.head));
        }
        self.row = row;
        self.enter(Step::Fetch)
    }

    fn on_fetched(&mut self, manifest: &Manifest, theirs: &ObjectSet) -> Action {
        let request = &self.request;
        let head = self.row.head.clone();
        let merged = match rebase(&request.base_set, &request.set, theirs) {
            Ok(merged) => merged,
            Err(overlap) => return finish(Outcome::Conflict { head, overlap }),
        };
        let changes = diff(theirs, &merged);
        // The first generation is published even if it is empty, so that processes get a head.
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
        self.candidate = Some(self.candidate(manifest, &merged, &changes, findings));
        self.enter(Step::Store)
    }

    fn candidate(
        &self,
        stored: &Manifest,
        merged: &ObjectSet,
        changes: &Diff,
        warnings: Vec<Finding>,
    ) -> Candidate {
        let snapshot = self.snapshot(merged);
        let own = match *merged == *self.request.set {
            true => None,
            false => Some(self.snapshot(&self.request.set)),
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
            own_digest: own.as_ref().map_or(snapshot.digest, |own| own.digest),
            upload: Arc::new(upload(stored, [Some(snapshot), own])),
            warnings,
        }
    }

    fn snapshot(&self, set: &ObjectSet) -> Snapshot {
        let request = &self.request;
        let base = self.row.head.generation;
        Snapshot::build(set, base, &request.publisher, request.unix_time)
    }

    fn on_lost(&mut self, reason: String, now: Time, rng: &mut fastrand::Rng) -> Action {
        self.uncertain = true;
        self.deadline = *self.verify.get_or_insert(now.after(VERIFY_TIMEOUT));
        self.step = Step::ReadBack;
        // The pause gives a swap that is still on its way the time to arrive.
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
            return self.enter(Step::ReadHead);
        };
        let ours = &candidate.row.head;
        let holder = generation.as_ref().map(|generation| &generation.head);
        if holder == Some(ours) || row.head == *ours {
            return self.published();
        }
        if row.version == self.row.version {
            // A generation of another publisher under an old head was written between the two
            // reads.
            let (step, reason) = match holder {
                None => (Step::Swap, "the head is unchanged"),
                Some(_) => (Step::ReadBack, "the generation exists under an older head"),
            };
            self.step = step;
            return self.retry(reason.to_owned(), now, rng);
        }
        // The head row has another version, so the swap that was sent can no longer take effect.
        self.uncertain = false;
        self.candidate = None;
        if now >= self.deadline {
            let (head, overlap) = (row.head, Vec::new());
            return finish(Outcome::Conflict { head, overlap });
        }
        self.on_head(row)
    }

    fn published(&mut self) -> Action {
        let Some(candidate) = self.candidate.take() else {
            return self.enter(Step::ReadHead);
        };
        finish(Outcome::Published {
            row: candidate.row,
            own_digest: candidate.own_digest,
            warnings: candidate.warnings,
        })
    }

    fn enter(&mut self, step: Step) -> Action {
        self.step = step;
        self.pause = PAUSE_MIN;
        self.action()
    }

    /// Returns the action of the present step.
    fn action(&self) -> Action {
        let Some(candidate) = &self.candidate else {
            return match self.step {
                Step::Fetch => Action::Fetch(self.row.head.clone()),
                _ => Action::ReadHead,
            };
        };
        match self.step {
            Step::ReadHead => Action::ReadHead,
            Step::Fetch => Action::Fetch(self.row.head.clone()),
            Step::Store => Action::Store(candidate.upload.clone()),
            Step::Swap => Action::Swap {
                expected: self.row.version,
                row: candidate.row.clone(),
            },
            Step::ReadBack => Action::ReadBack(candidate.row.head.generation),
        }
    }

    /// Pauses before the present step is taken again, or gives up at the deadline.
    fn retry(&mut self, reason: String, now: Time, rng: &mut fastrand::Rng) -> Action {
        let pause = self.pause.mul_f64(0.5 + 0.5 * rng.f64());
        if now.after(pause) >= self.deadline {
            return self.give_up(reason);
        }
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        Action::Wait(pause)
    }

    fn give_up(&self, reason: String) -> Action {
        match &self.candidate {
            Some(candidate) if self.uncertain => finish(Outcome::Unknown {
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

/// Returns what the object store lacks of the snapshots, given that it holds those of `stored`.
fn upload(stored: &Manifest, snapshots: [Option<Snapshot>; 2]) -> Upload {
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
            bytes: snapshot.bytes.into(),
        });
    }
    upload
}
