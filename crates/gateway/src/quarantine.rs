//! The entry's part in the quarantine of prompt parts on which runners crash: it holds requests back,
//! reports broken attempts to the agents, hears of crashes from them, and keeps held parts in the store.
//!
//! Invariants: a request that tries suspected parts ends its trial when it is dropped; a held part is
//! probed only by the entry that has extended its hold in the store.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use platform::holds::HoldRow;
use serving::Name;
use serving::crash_reports::BrokenAttempt;
use serving::link::ToAgent;
use serving::placement::Placement;
use serving::quarantine::Admission;
use serving::quarantine::Crash;
use serving::quarantine::Quarantine;
use serving::quarantine::Refusal;
use serving::quarantine::RefusalCause;
use serving::request::PartId;
use spdlog::info;
use spdlog::warn;

use crate::attempt::AnswerProgress;
use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::entry::Entry;

/// How long other requests are held back while one asks the store whether it may probe a part.
const PROBE_CLAIM_TIME: Duration = Duration::from_secs(1);
/// The pause after a call to the store that failed.
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How long after its expiry a hold is removed from the store.
const STORED_HOLD_MEMORY: Duration = Duration::from_secs(600);

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

/// Changes of held parts that are not in the store yet. Bounded by the number of held parts.
#[derive(Debug, Default)]
pub(crate) struct HoldChanges {
    /// The levels of new and extended holds.
    held: Map<PartId, u32>,
    /// Parts that are held no longer.
    released: Set<PartId>,
}

impl HoldChanges {
    fn hold(&mut self, part: PartId, level: u32) {
        self.released.remove(&part);
        self.held.insert(part, level);
    }

    fn release(&mut self, part: PartId) {
        self.held.remove(&part);
        self.released.insert(part);
    }

    fn is_empty(&self) -> bool {
        self.held.is_empty() && self.released.is_empty()
    }
}

impl ActiveRequest {
    /// Checks whether the request may be sent; one that may only try suspected parts keeps the trial.
    pub(crate) async fn pass_quarantine(&mut self) -> Result<(), DispatchError> {
        self.trial = None;
        let now = self.entry.now();
        let parts = &self.head.request.parts;
        let admission = self.entry.state().quarantine.admit(now, parts);
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

    /// Returns whether the request has a held part that it does not probe.
    pub(crate) fn is_held(&self) -> bool {
        let held = self
            .entry
            .state()
            .quarantine
            .find_held(&self.head.request.parts);
        let probed = match &self.trial {
            Some(Trial {
                kind: TrialKind::Probe(part),
                ..
            }) => Some(*part),
            _ => None,
        };
        held.is_some_and(|(part, _)| Some(part) != probed)
    }

    /// Asks the store whether this request may probe a part, on behalf of all entries.
    async fn probe(&mut self, part: PartId) -> Result<(), DispatchError> {
        let entry = self.entry.clone();
        let now = entry.now();
        entry.hold_part(part, PROBE_CLAIM_TIME, 0);
        let granted = match entry.claim_probe(part).await {
            Ok(granted) => granted,
            Err(error) => {
                let (part, error) = (part.to_string(), error.to_string());
                warn!("held part cannot be probed", kv: { part = part.as_str(), error = error.as_str() });
                false
            }
        };
        if !granted {
            let held = entry.state().quarantine.find_held(&[part]);
            let until = held.map_or(now, |(_, hold)| hold.until);
            return Err(self.hold_back(Refusal {
                part,
                cause: RefusalCause::Held,
                retry_after: until.since(entry.now()),
            }));
        }
        let id = &*self.head.request.id;
        info!("held part probed", kv: { id, part = part.to_string().as_str() });
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

    /// Tells the runner's agent of an attempt that broke before its answer.
    pub(crate) fn report_broken(&self, placement: &Placement, progress: AnswerProgress) {
        let parts = &self.head.request.parts;
        if parts.is_empty() {
            return;
        }
        let (runner, born) = (&placement.runner, placement.born);
        let now = self.entry.now();
        let mut state = self.entry.state();
        let view = state.fleet.get(runner);
        if !view.is_some_and(serving::fleet::Runner::collects_crashes) {
            return;
        }
        let served = state.quarantine.record_report(now, runner, born, parts);
        drop(state);
        let attempt = BrokenAttempt {
            runner: runner.clone(),
            born,
            begun: progress == AnswerProgress::Begun,
            parts: parts.clone(),
            served,
        };
        self.entry.links.tell(runner, ToAgent::Broken(attempt));
    }

    /// Records that a runner has begun to answer the request.
    pub(crate) fn record_answer(&mut self, runner: &str) {
        let parts = &self.head.request.parts;
        if parts.is_empty() {
            return;
        }
        let now = self.entry.now();
        let cleared = self.entry.state().quarantine.record_answer(now, parts);
        self.trial = None;
        let held = &cleared.held;
        if !held.is_empty() {
            let mut state = self.entry.state();
            held.iter()
                .for_each(|part| state.hold_changes.release(*part));
            drop(state);
            self.entry.holds_changed.notify_one();
        }
        for part in held {
            let id = &*self.head.request.id;
            info!("prompt part released", kv: { id, part = part.to_string().as_str(), cause = "answered" });
        }
        let parts: Vec<PartId> = cleared.isolated.into_iter().chain(cleared.held).collect();
        if !parts.is_empty() {
            self.entry.links.tell(runner, ToAgent::Served(parts));
        }
    }
}

impl Entry {
    /// Applies what the agent of `runner` tells of a crash.
    pub fn apply_crash(&self, runner: &Name, crash: Crash) {
        let now = self.now();
        let (crashed, born, begun) = (crash.runner.clone(), crash.born, crash.begun);
        let requests = crash.requests.len();
        let mut state = self.state();
        let effect = state.quarantine.record_crash(now, crash);
        let mut held = Vec::new();
        for part in effect.held {
            if let Some((_, hold)) = state.quarantine.find_held(&[part]) {
                held.push((part, hold));
            }
        }
        if effect.reported {
            for (part, hold) in &held {
                state.hold_changes.hold(*part, hold.level);
            }
            for part in &effect.released {
                state.hold_changes.release(*part);
            }
        }
        let changed = !state.hold_changes.is_empty();
        drop(state);
        info!("runner crash", kv: { runner = &*crashed, born, begun, requests, reported = effect.reported });
        for (part, hold) in held {
            let hold_ms = hold.until.since(now).as_millis() as u64;
            warn!("prompt part held", kv: { part = part.to_string().as_str(), hold_ms, level = hold.level });
            self.metrics.part_holds.with_label_values(&["held"]).inc();
        }
        for part in effect.released {
            info!("prompt part released", kv: { part = part.to_string().as_str(), cause = "served by another entry" });
            self.metrics
                .part_holds
                .with_label_values(&["released"])
                .inc();
        }
        if changed {
            self.holds_changed.notify_one();
        }
        if !effect.vouched.is_empty() {
            let parts = effect.vouched;
            self.links.tell(runner, ToAgent::Vouch { born, parts });
        }
    }

    /// Records that another entry's requests have been answered on parts under suspicion.
    pub(crate) fn apply_served(&self, parts: &[PartId]) {
        let now = self.now();
        let cleared = self.state().quarantine.clear(now, parts);
        for part in cleared.held {
            info!("prompt part released", kv: { part = part.to_string().as_str(), cause = "answered elsewhere" });
        }
    }

    /// Holds a part for `length`, at least at this level.
    fn hold_part(&self, part: PartId, length: Duration, level: u32) {
        let now = self.now();
        let mut state = self.state();
        let known = state.quarantine.find_held(&[part]);
        let level = known.map_or(level, |(_, hold)| hold.level.max(level));
        state.quarantine.hold(now, part, now.after(length), level);
    }

    /// Extends the hold of a part in the store unless another entry has done so; returns whether this
    /// entry may probe it.
    async fn claim_probe(&self, part: PartId) -> Result<bool, edges::EdgeError> {
        let row = self.store.read_hold(part).await?;
        if self.adopt_hold(&row) {
            return Ok(false);
        }
        let known = self.state().quarantine.find_held(&[part]);
        let level = known.map_or(0, |(_, hold)| hold.level) + 1;
        let length = Quarantine::hold_time(level);
        if !self.store.write_hold(&row, length, level).await? {
            return Ok(false);
        }
        self.hold_part(part, length, level);
        Ok(true)
    }

    /// Takes over a hold that the store has and that has not expired; returns whether there is one.
    fn adopt_hold(&self, row: &HoldRow) -> bool {
        let Some(hold) = row.hold.filter(|hold| !hold.remaining.is_zero()) else {
            return false;
        };
        self.hold_part(row.part, hold.remaining, hold.level);
        true
    }

    /// Reads the held parts from the store and removes those that have long expired.
    async fn recall_holds(&self) -> Result<(), edges::EdgeError> {
        let stored = self.store.read_holds().await?;
        let (old, current): (Vec<_>, Vec<_>) = stored
            .into_iter()
            .partition(|hold| hold.expired > STORED_HOLD_MEMORY);
        for hold in current {
            self.hold_part(hold.part, hold.remaining, hold.level);
            let hold_ms = hold.remaining.as_millis() as u64;
            warn!("prompt part held", kv: { part = hold.part.to_string().as_str(), hold_ms, level = hold.level });
        }
        let old: Vec<PartId> = old.iter().map(|hold| hold.part).collect();
        if old.is_empty() {
            return Ok(());
        }
        self.store.remove_holds(&old).await
    }

    /// Writes the changes of held parts to the store.
    async fn store_holds(&self) -> Result<(), edges::EdgeError> {
        loop {
            let next = self
                .state()
                .hold_changes
                .held
                .iter()
                .next()
                .map(|(part, level)| (*part, *level));
            let Some((part, level)) = next else {
                break;
            };
            let row = self.store.read_hold(part).await?;
            if !self.adopt_hold(&row) {
                let length = Quarantine::hold_time(level);
                self.store.write_hold(&row, length, level).await?;
            }
            self.state().hold_changes.held.remove(&part);
        }
        let released: Vec<PartId> = self.state().hold_changes.released.iter().copied().collect();
        if released.is_empty() {
            return Ok(());
        }
        self.store.remove_holds(&released).await?;
        let mut state = self.state();
        released.iter().for_each(|part| {
            state.hold_changes.released.remove(part);
        });
        Ok(())
    }
}

/// Reads the held parts at the start, and then keeps the store up to date with their changes.
pub(crate) async fn keep_holds(entry: Arc<Entry>) {
    let mut failures = 0;
    while let Err(error) = entry.recall_holds().await {
        log_store_failure(&mut failures, &error);
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
    }
    loop {
        entry.holds_changed.notified().await;
        while let Err(error) = entry.store_holds().await {
            log_store_failure(&mut failures, &error);
            tokio::time::sleep(STORE_RETRY_PAUSE).await;
        }
        failures = 0;
    }
}

fn log_store_failure(failures: &mut u32, error: &edges::EdgeError) {
    if *failures == 0 {
        let error = error.to_string();
        warn!("held parts cannot be read or stored", kv: { error = error.as_str() });
    }
    *failures += 1;
}
