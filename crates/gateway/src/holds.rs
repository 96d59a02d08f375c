//! Held prompt parts in the platform's store: they outlive the processes there, and the store decides
//! which entry probes a part.
//!
//! Invariants: a hold in the store that has not expired is taken over, never shortened; changes are
//! written until the store has them.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use platform::holds::HoldRow;
use platform::holds::StoredHold;
use platform::store::StoreClient;
use serving::members::Extent;
use serving::quarantine::Quarantine;
use serving::request::PartId;
use spdlog::info;
use spdlog::warn;

use crate::entry::Entry;
use crate::store::StoreError;

/// The pause after a call to the store that failed.
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How long after its expiry a hold is removed from the store.
const STORED_HOLD_MEMORY: Duration = Duration::from_secs(600);
/// The time over which entries spread the read of the holds after a restore of the store. Most find what
/// is missing already written by another one.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);
/// The time from the end of the spread to the first probe, for the writes themselves.
const RESTORE_MARGIN: Duration = Duration::from_secs(1);
/// A hold in the store that ends earlier than the known one by no more than this is the same one.
const HOLD_TOLERANCE: Duration = Duration::from_millis(500);

/// Changes of held parts that are not in the store yet. Bounded by the number of held parts.
#[derive(Debug, Default)]
pub(crate) struct HoldChanges {
    /// The levels of new and extended holds.
    held: Map<PartId, u32>,
    /// Parts that are held no longer.
    released: Set<PartId>,
}

impl HoldChanges {
    pub(crate) fn hold(&mut self, part: PartId, level: u32) {
        self.released.remove(&part);
        self.held.insert(part, level);
    }

    pub(crate) fn release(&mut self, part: PartId) {
        self.held.remove(&part);
        self.released.insert(part);
    }
}

impl Entry {
    /// Holds a part for `length`, at least at this level.
    pub(crate) fn hold_part(&self, part: PartId, length: Duration, level: u32) {
        let now = self.now();
        let mut state = self.state();
        let known = state.quarantine.find_held(&[part]);
        let level = known.map_or(level, |(_, hold)| hold.level.max(level));
        state.quarantine.hold(part, now.after(length), level);
    }

    /// Returns whether this entry may send a request with a part whose hold has expired; without an
    /// answer of the store it may not.
    pub(crate) async fn may_probe(&self, part: PartId) -> bool {
        match self.claim_probe(part).await {
            Ok(granted) => granted,
            Err(error) => {
                let (part, error) = (part.to_string(), error.to_string());
                warn!("held part cannot be probed", kv: { part = part.as_str(), error = error.as_str() });
                false
            }
        }
    }

    /// Logs and counts a new or longer hold.
    pub(crate) fn log_held(&self, part: PartId, length: Duration, level: u32) {
        let part = part.to_string();
        let hold_ms = length.as_millis() as u64;
        warn!("prompt part held", kv: { part = part.as_str(), hold_ms, level });
        self.metrics.part_holds.with_label_values(&["held"]).inc();
    }

    /// Extends the hold of a part in the store unless another entry has done so; returns whether this
    /// entry may probe it.
    async fn claim_probe(&self, part: PartId) -> Result<bool, StoreError> {
        let read = self.store.read_hold(part).await?;
        let row = read.value;
        // The store may have lost a probe that it has granted, and the entry that sends it writes the
        // hold again.
        let bounds = &self.settings.bounds;
        let settled = Duration::from_millis(bounds.contact_ms) + RESTORE_SPREAD + RESTORE_MARGIN;
        if self.adopt_hold(&row) || !self.store.is_settled(settled) {
            return Ok(false);
        }
        let known = self.state().quarantine.find_held(&[part]);
        let level = known.map_or(0, |(_, hold)| hold.level) + 1;
        let length = Quarantine::hold_time(level);
        let written = self.store.write_hold(&row, length, level).await?;
        // The condition of a write means nothing if the store was restored after the read.
        if !written.value || written.restores != read.restores {
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

    /// Takes over a hold that another entry has written, if it is longer than the known one. One that
    /// has expired is taken over as well, since its part is to be probed first. After a restore of the
    /// store, one of a part that has been answered lately may have been released; so has one whose removal is on
    /// its way to the store.
    pub(crate) fn adopt_stored_hold(&self, stored: &StoredHold, extent: Extent) {
        let now = self.now();
        let part = stored.part;
        let state = self.state();
        let known = state.quarantine.find_held(&[part]);
        let is_longer =
            known.is_none_or(|(_, hold)| stored.remaining > hold.until.since(now) + HOLD_TOLERANCE);
        let is_released = state.hold_changes.released.contains(&part)
            || (extent == Extent::Copy && state.quarantine.has_served(now, part));
        drop(state);
        if !is_longer || is_released || stored.expired > STORED_HOLD_MEMORY {
            return;
        }
        self.hold_part(part, stored.remaining, stored.level);
        self.log_held(part, stored.remaining, stored.level);
    }

    /// Releases a part whose hold has been removed from the store.
    pub(crate) fn apply_removed_hold(&self, key: &str) {
        let Some(part) = StoreClient::held_part(key) else {
            return;
        };
        let is_pending = self.state().hold_changes.held.contains_key(&part);
        if !is_pending {
            self.apply_served(&[part]);
        }
    }

    /// Removes the holds from the store that have long expired.
    async fn remove_old_holds(&self) -> Result<(), StoreError> {
        let stored = self.store.read_holds().await?.value;
        let old = stored
            .iter()
            .filter(|hold| hold.expired > STORED_HOLD_MEMORY);
        let old: Vec<PartId> = old.map(|hold| hold.part).collect();
        if old.is_empty() {
            return Ok(());
        }
        self.store.remove_holds(&old).await
    }

    /// Compares the held parts with those of a store that has come back from a copy, and notes what is
    /// to be written or removed again.
    async fn restore_holds(&self) -> Result<(), StoreError> {
        let stored = self.store.read_holds().await?.value;
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let mut lost = 0;
        for (part, hold) in state.quarantine.held() {
            let remaining = hold.until.since(now);
            let row = stored.iter().find(|stored| stored.part == part);
            let kept = row.map_or(Duration::ZERO, |row| row.remaining);
            if remaining > kept + HOLD_TOLERANCE {
                state.hold_changes.hold(part, hold.level);
                lost += 1;
            }
        }
        let mut returned = 0;
        for part in stored.iter().map(|stored| stored.part) {
            let is_held = state.quarantine.find_held(&[part]).is_some();
            if !is_held && state.quarantine.has_served(now, part) {
                state.hold_changes.release(part);
                returned += 1;
            }
        }
        info!("held parts read from the restored store", kv: { lost, returned });
        Ok(())
    }

    /// Writes the changes of held parts to the store.
    async fn store_changes(&self) -> Result<(), StoreError> {
        while let Some((part, level)) = self.next_held() {
            let read = self.store.read_hold(part).await?;
            let row = read.value;
            let length = self.remaining_hold(part, level);
            let stored = row.hold.map_or(Duration::ZERO, |hold| hold.remaining);
            if stored + HOLD_TOLERANCE >= length {
                self.adopt_hold(&row);
            } else {
                let written = self.store.write_hold(&row, length, level).await?;
                if written.restores != read.restores {
                    continue;
                }
            }
            self.state().hold_changes.held.remove(&part);
        }
        let released = self.state().hold_changes.released.clone();
        if released.is_empty() {
            return Ok(());
        }
        let parts: Vec<PartId> = released.iter().copied().collect();
        self.store.remove_holds(&parts).await?;
        let mut state = self.state();
        let changes = &mut state.hold_changes;
        changes.released.retain(|part| !released.contains(part));
        Ok(())
    }

    /// Returns how much longer a part is held; if it is not any more, how long a hold of this level is.
    fn remaining_hold(&self, part: PartId, level: u32) -> Duration {
        let now = self.now();
        let known = self.state().quarantine.find_held(&[part]);
        known.map_or(Quarantine::hold_time(level), |(_, hold)| {
            hold.until.since(now)
        })
    }

    fn next_held(&self) -> Option<(PartId, u32)> {
        let state = self.state();
        let mut held = state.hold_changes.held.iter();
        held.next().map(|(part, level)| (*part, *level))
    }
}

/// Removes old holds at the start, and then keeps the store up to date with the changes of holds.
pub(crate) async fn keep_holds(entry: Arc<Entry>) {
    let mut restored = entry.store.subscribe();
    let mut failures = 0;
    while let Err(error) = entry.remove_old_holds().await {
        log_store_failure(&mut failures, &error);
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
    }
    loop {
        tokio::select! {
            () = entry.holds_changed.notified() => {}
            // Fails only without a store.
            _ = restored.changed() => {
                let delay = RESTORE_SPREAD.mul_f64(entry.state().rng.f64());
                tokio::time::sleep(delay).await;
                while let Err(error) = entry.restore_holds().await {
                    log_store_failure(&mut failures, &error);
                    tokio::time::sleep(STORE_RETRY_PAUSE).await;
                }
            }
        }
        while let Err(error) = entry.store_changes().await {
            log_store_failure(&mut failures, &error);
            tokio::time::sleep(STORE_RETRY_PAUSE).await;
        }
        failures = 0;
    }
}

fn log_store_failure(failures: &mut u32, error: &StoreError) {
    if *failures == 0 {
        let error = error.to_string();
        warn!("held parts cannot be read or stored", kv: { error = error.as_str() });
    }
    *failures += 1;
}
