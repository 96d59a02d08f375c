//! What this entry shares with the others of the crashes that it has found, through the platform's
//! store: evidence from runners without agents meets there.
//!
//! Invariants: the rows of an entry are bounded in number, and removed when they are no evidence any
//! more; they are written again after a restore of the store.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use decision::hash;
use decision::time::Time;
use platform::evidence::Evidence;
use platform::evidence::EvidenceKey;
use serving::members::Extent;
use serving::quarantine::CRASH_MEMORY;
use serving::quarantine::Crash;
use serving::request::PartId;
use spdlog::info;
use spdlog::warn;

use crate::entry::Entry;
use crate::store::StoreError;

/// The most rows that one entry has in the store, which also bounds one write.
const MAX_ROWS: usize = 64;
/// The most rows of all entries that are remembered as read.
const MAX_READ_ROWS: usize = 1_024;
/// The time over which rows are collected for one write.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// The pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The interval at which rows that are no evidence any more are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);

/// A row that this entry has written, or is to write.
#[derive(Debug)]
struct OwnRow {
    key: EvidenceKey,
    evidence: Evidence,
    at: Time,
    stored: bool,
}

/// The evidence that an entry shares.
#[derive(Debug, Default)]
pub(crate) struct SharedEvidence {
    rows: VecDeque<OwnRow>,
    /// Rows of the store that are to be removed.
    outdated: Vec<EvidenceKey>,
    /// Rows of all entries that were read, the oldest first: they count once.
    read: VecDeque<EvidenceKey>,
}

impl SharedEvidence {
    fn add(&mut self, now: Time, key: EvidenceKey, evidence: Evidence) {
        self.rows.retain(|row| row.key != key);
        if self.rows.len() >= MAX_ROWS
            && let Some(oldest) = self.rows.pop_front()
        {
            self.mark_outdated(oldest.key);
        }
        self.outdated.retain(|outdated| *outdated != key);
        self.rows.push_back(OwnRow {
            key,
            evidence,
            at: now,
            stored: false,
        });
    }

    /// Notes a row of the store that is to be removed.
    fn mark_outdated(&mut self, key: EvidenceKey) {
        if self.outdated.len() < MAX_ROWS && !self.outdated.contains(&key) {
            self.outdated.push(key);
        }
    }

    /// Notes that a row was read; returns whether it is the first time.
    fn mark_read(&mut self, key: EvidenceKey) -> bool {
        if self.read.contains(&key) {
            return false;
        }
        if self.read.len() >= MAX_READ_ROWS {
            self.read.pop_front();
        }
        self.read.push_back(key);
        true
    }

    fn expire(&mut self, now: Time) {
        while let Some(row) = self.rows.front()
            && now.since(row.at) >= CRASH_MEMORY
        {
            let key = row.key;
            self.rows.pop_front();
            self.mark_outdated(key);
        }
    }

    /// Returns the rows that are to be written.
    fn pending(&self) -> Vec<(EvidenceKey, Evidence)> {
        let pending = self.rows.iter().filter(|row| !row.stored);
        pending.map(|row| (row.key, row.evidence.clone())).collect()
    }

    fn mark_stored(&mut self, written: &[(EvidenceKey, Evidence)]) {
        for row in &mut self.rows {
            // It may have changed while it was written.
            row.stored |= written
                .iter()
                .any(|(key, evidence)| (*key, evidence) == (row.key, &row.evidence));
        }
    }

    /// Makes all rows be written again.
    fn mark_lost(&mut self) {
        for row in &mut self.rows {
            row.stored = false;
        }
    }
}

impl Entry {
    /// Shares a crash of a runner without an agent.
    pub(crate) fn share_crash(&self, crash: &Crash) {
        let instance = self.settings.instance.as_str();
        let name = format!("{instance} {} {}", crash.runner, crash.born);
        let key = EvidenceKey::Crash(hash::hash_text(&name));
        self.share(key, Evidence::Crash(crash.clone()));
    }

    /// Shares that requests are answered on a part.
    pub(crate) fn share_served(&self, part: PartId) {
        self.share(EvidenceKey::Served(part), Evidence::Served(part));
    }

    fn share(&self, key: EvidenceKey, evidence: Evidence) {
        let now = self.now();
        self.state().evidence.add(now, key, evidence);
        self.evidence_changed.notify_one();
    }

    /// Applies evidence that an entry has shared at `at`, unless it was read before and only stands in
    /// another read of all rows. A crash also confirms the attempts that broke here.
    pub(crate) fn apply_evidence(
        &self,
        at: Time,
        key: EvidenceKey,
        evidence: Evidence,
        extent: Extent,
    ) {
        let is_first = self.state().evidence.mark_read(key);
        if !is_first && extent != Extent::Changes {
            return;
        }
        match evidence {
            Evidence::Crash(crash) => {
                self.record_runner_ended(&crash.runner, crash.born);
                self.record_crash(at, crash);
            }
            Evidence::Served(part) => self.apply_served(&[part]),
        }
    }

    /// Notes a row of evidence that was found in the store at the start: its writer may be gone.
    pub(crate) fn adopt_evidence(&self, key: EvidenceKey) {
        let mut state = self.state();
        state.evidence.mark_read(key);
        state.evidence.mark_outdated(key);
    }

    async fn store_evidence(&self) -> Result<(), StoreError> {
        let pending = self.state().evidence.pending();
        if !pending.is_empty() {
            self.store.write_evidence(&pending).await?;
            self.state().evidence.mark_stored(&pending);
            info!("evidence on crashes shared", kv: { rows = pending.len() });
        }
        Ok(())
    }

    async fn remove_outdated(&self) -> Result<(), StoreError> {
        let outdated = {
            let mut state = self.state();
            let now = self.now();
            state.evidence.expire(now);
            state.evidence.outdated.clone()
        };
        if outdated.is_empty() {
            return Ok(());
        }
        self.store.remove_evidence(&outdated).await?;
        let mut state = self.state();
        let kept = &mut state.evidence.outdated;
        kept.retain(|key| !outdated.contains(key));
        Ok(())
    }
}

/// Keeps the entry's rows of evidence in the store up to date.
pub(crate) async fn share_evidence(entry: Arc<Entry>) {
    let mut restored = entry.store.subscribe();
    let mut cleanup = tokio::time::interval(CLEANUP_INTERVAL);
    cleanup.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // Rows that were found at the start may be evidence for others still.
    cleanup.reset_after(CRASH_MEMORY);
    loop {
        let result = tokio::select! {
            () = entry.evidence_changed.notified() => {
                tokio::time::sleep(WRITE_DELAY).await;
                entry.store_evidence().await
            }
            // Fails only without a store.
            _ = restored.changed() => {
                entry.state().evidence.mark_lost();
                entry.store_evidence().await
            }
            _ = cleanup.tick() => entry.remove_outdated().await,
        };
        if let Err(error) = result {
            let error = error.to_string();
            warn!("evidence on crashes cannot be shared", kv: { error = error.as_str() });
            tokio::time::sleep(RETRY_PAUSE).await;
            entry.evidence_changed.notify_one();
        }
    }
}
