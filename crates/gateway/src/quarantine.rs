//! The entry's part in the quarantine of requests, and prompt parts, on which runners crash: it holds
//! requests back, and records crashes and answers.
//!
//! Invariants: a request that tries suspected parts ends its trial when an attempt is conclusive, or when
//! it is dropped; a request with a held part is sent only as a probe that the store has granted.

use std::sync::Arc;
use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::crash_reports::BrokenAttempt;
use serving::link::ToAgent;
use serving::placement::Placement;
use serving::quarantine::Admission;
use serving::quarantine::Crash;
use serving::quarantine::CrashEffect;
use serving::quarantine::Finding;
use serving::quarantine::Refusal;
use serving::quarantine::RefusalCause;
use serving::request::PartId;
use spdlog::info;

use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::entry::Entry;

/// How long other requests are held back while one asks the store whether it may probe a part.
const PROBE_CLAIM_TIME: Duration = Duration::from_secs(1);

/// The parts that a request tries; dropping it ends the trial.
pub(crate) struct Trial {
    entry: Arc<Entry>,
    kind: TrialKind,
}

enum TrialKind {
    /// The request is the canary of isolated parts.
    Canary(Vec<PartId>),
    /// The request probes a held part.
    Probe(PartId),
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let TrialKind::Canary(parts) = &self.kind {
            self.entry.state().quarantine.end_canary(parts);
        }
    }
}

impl ActiveRequest {
    /// Checks whether the request may be sent; one that may only try suspected parts keeps the trial.
    pub(crate) async fn pass_quarantine(&mut self) -> Result<(), DispatchError> {
        if self.is_probe() && !self.is_held() {
            return Ok(());
        }
        self.trial = None;
        let whole = self.suspect_fingerprint();
        let now = self.entry.now();
        let parts = &self.head.request.parts;
        let admission = self.entry.state().quarantine.admit_whole(now, parts, whole);
        match admission {
            Admission::Free => Ok(()),
            Admission::Canary(parts) => {
                self.trial = Some(Trial {
                    entry: self.entry.clone(),
                    kind: TrialKind::Canary(parts),
                });
                Ok(())
            }
            Admission::Probe(part) => self.probe(part).await,
            Admission::Refused(refusal) => Err(self.hold_back(refusal)),
        }
    }

    /// Returns whether a second runner may get the request while the first one works on it: it is under no
    /// suspicion, and tries nothing that is.
    pub(crate) fn is_unsuspected(&self) -> bool {
        if self.trial.is_some() {
            return false;
        }
        let whole = self.suspect_fingerprint();
        let now = self.entry.now();
        let parts = &self.head.request.parts;
        let mut state = self.entry.state();
        match state.quarantine.admit_whole(now, parts, whole) {
            Admission::Free => true,
            Admission::Canary(parts) => {
                state.quarantine.end_canary(&parts);
                false
            }
            Admission::Probe(_) | Admission::Refused(_) => false,
        }
    }

    /// Returns whether the request probes a held part.
    fn is_probe(&self) -> bool {
        let kind = self.trial.as_ref().map(|trial| &trial.kind);
        matches!(kind, Some(TrialKind::Probe(_)))
    }

    /// Returns whether the request has a held part that it does not probe.
    pub(crate) fn is_held(&self) -> bool {
        let mut parts = self.head.request.parts.clone();
        parts.extend(self.suspect_fingerprint());
        let held = self.entry.state().quarantine.find_held(&parts);
        let kind = self.trial.as_ref().map(|trial| &trial.kind);
        match (held, kind) {
            (None, _) => false,
            (Some((part, _)), Some(TrialKind::Probe(probed))) => part != *probed,
            (Some(_), _) => true,
        }
    }

    /// Asks the store whether this request may probe a part, on behalf of all entries.
    async fn probe(&mut self, part: PartId) -> Result<(), DispatchError> {
        let entry = self.entry.clone();
        entry.hold_part(part, PROBE_CLAIM_TIME, 0);
        if !entry.may_probe(part).await {
            let now = entry.now();
            let held = entry.state().quarantine.find_held(&[part]);
            return Err(self.hold_back(Refusal {
                part,
                whole: part == self.fingerprint(),
                cause: RefusalCause::Held,
                retry_after: held.map_or(Duration::ZERO, |(_, hold)| hold.until.since(now)),
            }));
        }
        let (id, text) = (&*self.head.request.id, part.to_string());
        info!("held part probed", kv: { id, part = text.as_str() });
        self.trial = Some(Trial {
            entry,
            kind: TrialKind::Probe(part),
        });
        Ok(())
    }

    fn hold_back(&self, refusal: Refusal) -> DispatchError {
        let cause = FailureCause::HeldBack(refusal);
        if self.attempts.may_have_run() {
            DispatchError::Unknown(cause)
        } else {
            DispatchError::Refused(cause)
        }
    }

    /// Records what an attempt has shown of the request and of its runner.
    pub(crate) fn record_finding(&mut self, placement: &Placement, finding: Finding) {
        if finding.shows_life() {
            self.answered_by = Some(placement.runner.clone());
            let mut state = self.entry.state();
            let watch = &mut state.crash_watch;
            watch.record_answer(&placement.runner, placement.born);
        }
        if finding.is_inconclusive() {
            self.log_inconclusive(placement, finding);
        } else {
            self.trial = None;
        }
        if finding.clears_whole() {
            self.clear_suspicion(placement, finding);
        }
    }

    /// Logs that a request which tries what is under suspicion has shown nothing.
    fn log_inconclusive(&self, placement: &Placement, finding: Finding) {
        if self.trial.is_none() {
            return;
        }
        let (id, runner) = (&*self.head.request.id, &*placement.runner);
        info!("trial inconclusive", kv: { id, runner, finding = finding.to_string().as_str() });
    }

    /// Ends the suspicion of what an attempt has shown to be sound, here and at other entries.
    fn clear_suspicion(&self, placement: &Placement, finding: Finding) {
        let whole = self.entry.state().quarantine.has_suspects();
        let whole = whole.then(|| self.fingerprint());
        let parts: &[PartId] = if finding.clears_parts() {
            &self.head.request.parts
        } else {
            &[]
        };
        if parts.is_empty() && whole.is_none() {
            return;
        }
        let now = self.entry.now();
        let mut state = self.entry.state();
        let shared = whole.filter(|whole| state.quarantine.is_tried_alone(*whole));
        let mut cleared = state.quarantine.record_answer(now, parts);
        if let Some(whole) = whole {
            cleared.add(state.quarantine.clear(now, &[whole]));
        }
        for part in &cleared.held {
            state.hold_changes.release(*part);
        }
        drop(state);
        if let Some(whole) = shared {
            self.entry.share_served(whole);
        }
        let parts: Vec<PartId> = cleared
            .isolated
            .iter()
            .chain(&cleared.held)
            .copied()
            .collect();
        if parts.is_empty() {
            return;
        }
        self.entry.log_released(&cleared.held, "answered");
        self.entry.holds_changed.notify_one();
        let runner = &placement.runner;
        self.entry.links.tell(runner, ToAgent::Served(parts));
    }

    /// Returns the request's fingerprint if it may be under suspicion.
    fn suspect_fingerprint(&self) -> Option<PartId> {
        let is_active = self.entry.state().quarantine.is_active();
        is_active.then(|| self.fingerprint())
    }
}

impl Entry {
    /// Tells a runner's agent of an attempt that broke.
    pub(crate) fn tell_broken(&self, attempt: BrokenAttempt) {
        let runner = attempt.runner.clone();
        self.links.tell(&runner, ToAgent::Broken(attempt));
    }

    /// Applies what the agent of `runner` tells of a crash.
    pub fn apply_crash(&self, runner: &Name, crash: Crash) {
        let born = crash.born;
        let parts = self.record_crash(self.now(), crash).vouched;
        if !parts.is_empty() {
            self.links.tell(runner, ToAgent::Vouch { born, parts });
        }
    }

    /// Records a crash that became known at `at`; what follows from it is logged, and stored if an
    /// attempt of this entry has broken in it.
    pub(crate) fn record_crash(&self, at: Time, crash: Crash) -> CrashEffect {
        let now = self.now();
        let (crashed, born) = (crash.runner.clone(), crash.born);
        let mut state = self.state();
        let effect = state.quarantine.record_crash_at(now, at, crash);
        let holds: Vec<_> = effect
            .held
            .iter()
            .filter_map(|part| state.quarantine.find_held(&[*part]))
            .collect();
        if effect.reported {
            for (part, hold) in &holds {
                state.hold_changes.hold(*part, hold.level);
            }
            for part in &effect.released {
                state.hold_changes.release(*part);
            }
        }
        drop(state);
        if effect.is_new {
            info!("runner crash", kv: { runner = &*crashed, born, reported = effect.reported });
        }
        for (part, hold) in holds {
            self.log_held(part, hold.until.since(now), hold.level);
        }
        self.log_released(&effect.released, "served by another entry");
        self.holds_changed.notify_one();
        effect
    }

    /// Records that another entry's requests have been answered on parts under suspicion.
    pub(crate) fn apply_served(&self, parts: &[PartId]) {
        let now = self.now();
        let cleared = self.state().quarantine.clear(now, parts);
        self.log_released(&cleared.held, "answered at another entry");
    }

    fn log_released(&self, parts: &[PartId], cause: &str) {
        for part in parts {
            let part = part.to_string();
            info!("prompt part released", kv: { part = part.as_str(), cause });
            self.metrics
                .part_holds
                .with_label_values(&["released"])
                .inc();
        }
    }
}
