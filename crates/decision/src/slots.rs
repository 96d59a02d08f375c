//! The slots of one engine: which adapter versions are loaded, and which one to evict next.
//!
//! Queued jobs reserve their version. The caller passes the reservations in, so that only the queue
//! keeps count of them.

use std::time::Duration;

use serde::Serialize;

use crate::collections::Map;
use crate::collections::Set;
use crate::ids::Name;
use crate::time::Time;

/// The number of usage records, including those of unloaded versions, above which the older half is
/// dropped.
const MAX_USAGE_RECORDS: usize = 4_096;

/// The weight of a new sample in the moving averages of load times.
const LOAD_SMOOTHING: f64 = 0.25;

/// The weight of a new sample in a version's moving average of the gap between uses. A smaller one
/// keeps adapters too long after a burst of requests has ended.
const GAP_SMOOTHING: f64 = 0.4;

/// The weight of a version's mean gap between uses, relative to the time since its last use, in the
/// estimated time to its next use.
const GAP_WEIGHT: f64 = 0.2;

/// The assumed gap between uses of a version that was used at most once, in milliseconds.
const DEFAULT_GAP_MS: f64 = 600_000.0;

/// The assumed load time before any load was measured, in milliseconds.
const DEFAULT_LOAD_MS: f64 = 250.0;

/// The half-life of the excess of the measured load time over the default. Without this decay, one
/// slow load would make the agent refuse all later ones, and it would never measure a fast load
/// again.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(10);

/// The state of an occupied slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// A load command for the version is in progress.
    Loading,
    /// The version is loaded; requests can use it.
    Resident,
    /// An unload command for the version is in progress.
    Unloading,
}

/// One occupied slot.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    /// The state of the version in it.
    pub state: SlotState,
    /// The time of the last state change.
    pub since: Time,
}

/// How a version was used. The record is kept across unloads.
#[derive(Clone, Copy, Debug)]
struct Usage {
    last_use: Time,
    /// The moving average of the gap between uses.
    gap_ms: f64,
    /// The moving average of the load time.
    load_ms: f64,
}

/// The differences that a reconciliation found between the table and the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drift {
    /// Versions that the engine has but the table did not.
    pub found: Vec<Name>,
    /// Versions that were resident in the table but that the engine does not have, sorted by name.
    pub lost: Vec<Name>,
}

impl Drift {
    /// Returns whether the table agreed with the engine.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty() && self.lost.is_empty()
    }
}

/// The slots of one engine.
#[derive(Clone, Debug)]
pub struct Slots {
    limit: usize,
    table: Map<Name, Slot>,
    /// The number of running requests per version.
    pins: Map<Name, u32>,
    usage: Map<Name, Usage>,
    withdrawn: Set<Name>,
    /// The moving average of all load times.
    load_ms: f64,
    /// The end of the last measured load.
    measured_at: Time,
}

impl Slots {
    /// Creates an empty table of `limit` slots.
    pub fn new(limit: u32) -> Self {
        Slots {
            limit: limit as usize,
            table: Map::default(),
            pins: Map::default(),
            usage: Map::default(),
            withdrawn: Set::default(),
            load_ms: DEFAULT_LOAD_MS,
            measured_at: Time::default(),
        }
    }

    /// Changes the number of slots. Surplus versions stay until they can be unloaded (see
    /// [`Slots::unloadable`]).
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit as usize;
    }

    /// Replaces the set of withdrawn versions, which are to be unloaded as soon as they are idle.
    pub fn set_withdrawn(&mut self, names: Set<Name>) {
        self.withdrawn = names;
    }

    /// Returns the number of slots, occupied or not.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the state of a version; `None` if it occupies no slot.
    pub fn state(&self, name: &str) -> Option<SlotState> {
        self.table.get(name).map(|slot| slot.state)
    }

    /// Returns whether the version is loaded and no command for it is in progress.
    pub fn is_resident(&self, name: &str) -> bool {
        self.state(name) == Some(SlotState::Resident)
    }

    /// Returns whether the version is in the set given to [`Slots::set_withdrawn`].
    pub fn is_withdrawn(&self, name: &str) -> bool {
        self.withdrawn.contains(name)
    }

    /// Returns the number of running requests that use the version.
    pub fn pins(&self, name: &str) -> u32 {
        self.pins.get(name).copied().unwrap_or(0)
    }

    /// Returns the occupied slots by version, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Slot)> {
        self.table.iter()
    }

    /// Returns the number of free slots.
    pub fn free(&self) -> usize {
        self.limit.saturating_sub(self.table.len())
    }

    /// Returns whether the table holds more versions than there are slots.
    pub fn is_over_limit(&self) -> bool {
        self.table.len() > self.limit
    }

    /// Records a use of a version, loaded or not, for the mean gap between uses.
    pub fn record_use(&mut self, now: Time, name: &Name) {
        let load_ms = self.load_ms;
        let usage = self.usage.entry(name.clone()).or_insert(Usage {
            last_use: now,
            gap_ms: DEFAULT_GAP_MS,
            load_ms,
        });
        if now > usage.last_use {
            let gap_ms = now.since(usage.last_use).as_secs_f64() * 1e3;
            usage.gap_ms += GAP_SMOOTHING * (gap_ms - usage.gap_ms);
            usage.last_use = now;
        }
        if self.usage.len() > MAX_USAGE_RECORDS {
            self.drop_oldest_usage();
        }
    }

    /// Pins a version for one running request, so that it is not unloaded. Returns whether it was
    /// pinned, which only a resident version can be.
    pub fn pin(&mut self, name: &Name) -> bool {
        if !self.is_resident(name) {
            return false;
        }
        *self.pins.entry(name.clone()).or_default() += 1;
        true
    }

    /// Removes one pin, if the version has any.
    pub fn unpin(&mut self, name: &str) {
        let Some(count) = self.pins.get_mut(name) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.pins.remove(name);
        }
    }

    /// Starts a load. Returns whether it was started, which needs a free slot and a version that
    /// occupies none.
    pub fn start_load(&mut self, now: Time, name: &Name) -> bool {
        if self.table.contains_key(name) || self.free() == 0 {
            return false;
        }
        self.set(now, name, SlotState::Loading);
        true
    }

    /// Records the end of a load. A successful one is measured; a failed one frees the slot.
    pub fn end_load(&mut self, now: Time, name: &Name, success: bool) {
        let Some(slot) = self.table.get(name) else {
            return;
        };
        if slot.state != SlotState::Loading {
            return;
        }
        if !success {
            self.table.remove(name);
            return;
        }
        self.record_load_time(now, name, now.since(slot.since));
        self.set(now, name, SlotState::Resident);
    }

    /// Starts an unload. Returns whether it was started, which needs a resident version without pins.
    pub fn start_unload(&mut self, now: Time, name: &Name) -> bool {
        if !self.is_resident(name) || self.pins(name) > 0 {
            return false;
        }
        self.set(now, name, SlotState::Unloading);
        true
    }

    /// Records the end of an unload. A failed one leaves the version resident.
    pub fn end_unload(&mut self, now: Time, name: &Name, success: bool) {
        if self.state(name) != Some(SlotState::Unloading) {
            return;
        }
        if success {
            self.table.remove(name);
        } else {
            self.set(now, name, SlotState::Resident);
        }
    }

    /// Returns the version to unload next. Among the resident versions without pins that are not
    /// `retained`, it is a withdrawn one, else the one with the lowest expected reload cost per unit
    /// of time.
    pub fn victim(&self, now: Time, retained: impl Fn(&Name) -> bool) -> Option<Name> {
        let mut best: Option<(f64, &Name)> = None;
        for (name, slot) in &self.table {
            let idle = slot.state == SlotState::Resident && self.pins(name) == 0;
            if !idle || retained(name) {
                continue;
            }
            let value = self.retention_value(now, name);
            if best.is_none_or(|(best_value, best_name)| (value, name) < (best_value, best_name)) {
                best = Some((value, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Returns the resident version with the lowest retention value among those with the fewest pins.
    /// Unlike [`Slots::victim`], it may return a pinned version.
    pub fn least_valuable(&self, now: Time, exclude: impl Fn(&Name) -> bool) -> Option<Name> {
        self.table
            .iter()
            .filter(|(name, slot)| slot.state == SlotState::Resident && !exclude(name))
            .map(|(name, _)| (self.pins(name), self.retention_value(now, name), name))
            .min_by(|a, b| a.partial_cmp(b).expect("values are finite"))
            .map(|(_, _, name)| name.clone())
    }

    /// Returns withdrawn or surplus versions that can be unloaded now, which takes a version without
    /// pins that is not `retained`. While there is a surplus, it is one version at a time.
    pub fn unloadable(&self, now: Time, retained: impl Fn(&Name) -> bool) -> Vec<Name> {
        if self.is_over_limit() {
            return self.victim(now, retained).into_iter().collect();
        }
        let idle = |name: &Name| self.pins(name) == 0 && !retained(name);
        let mut names: Vec<Name> = self
            .table
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Resident)
            .map(|(name, _)| name)
            .filter(|name| self.is_withdrawn(name) && idle(name))
            .cloned()
            .collect();
        names.sort();
        names
    }

    /// Corrects the table from the list of versions that the engine reports as resident. Versions with
    /// a command in progress are left unchanged.
    pub fn reconcile(&mut self, now: Time, resident: &[Name]) -> Drift {
        let listed: Set<&Name> = resident.iter().collect();
        let mut drift = Drift::default();
        for (name, slot) in &self.table {
            if slot.state == SlotState::Resident && !listed.contains(name) {
                drift.lost.push(name.clone());
            }
        }
        for name in &drift.lost {
            self.table.remove(name);
        }
        for name in resident {
            if !self.table.contains_key(name) {
                self.set(now, name, SlotState::Resident);
                drift.found.push(name.clone());
            }
        }
        drift.lost.sort();
        drift
    }

    /// Returns the expected duration of a load, from the measured ones.
    pub fn load_time(&self, now: Time) -> Duration {
        let half_lives = now.since(self.measured_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let excess_ms = (self.load_ms - DEFAULT_LOAD_MS).max(0.0) * 0.5f64.powf(half_lives);
        Duration::from_secs_f64((self.load_ms.min(DEFAULT_LOAD_MS) + excess_ms) / 1e3)
    }

    /// Returns the expected number of uses per hour, in thousandths.
    pub fn expected_uses(&self, now: Time, name: &str) -> u32 {
        (3.6e9 / self.gap_ms(now, name)) as u32
    }

    /// Returns the time of the last use, `None` if unknown, and the expected gap between uses.
    pub fn usage(&self, now: Time, name: &str) -> (Option<Time>, Duration) {
        let last_use = self.usage.get(name).map(|usage| usage.last_use);
        (
            last_use,
            Duration::from_secs_f64(self.gap_ms(now, name) / 1e3),
        )
    }

    /// Returns the value of keeping a version: its load time divided by the estimated time to its next
    /// use. The time since the last use and the mean gap together predict that time better than
    /// either does alone. A withdrawn version has a negative value.
    fn retention_value(&self, now: Time, name: &str) -> f64 {
        if self.is_withdrawn(name) {
            return -1.0;
        }
        let Some(usage) = self.usage.get(name) else {
            return self.load_ms / DEFAULT_GAP_MS;
        };
        let since_last_ms = now.since(usage.last_use).as_secs_f64() * 1e3;
        usage.load_ms / (since_last_ms + GAP_WEIGHT * usage.gap_ms).max(1.0)
    }

    /// Returns the expected gap between uses: the mean gap, or the time since the last use if that is
    /// already longer.
    fn gap_ms(&self, now: Time, name: &str) -> f64 {
        let Some(usage) = self.usage.get(name) else {
            return DEFAULT_GAP_MS;
        };
        let since_last_ms = now.since(usage.last_use).as_secs_f64() * 1e3;
        usage.gap_ms.max(since_last_ms).max(1.0)
    }

    fn record_load_time(&mut self, now: Time, name: &Name, duration: Duration) {
        let ms = duration.as_secs_f64() * 1e3;
        let expected_ms = self.load_time(now).as_secs_f64() * 1e3;
        self.load_ms = expected_ms + LOAD_SMOOTHING * (ms - expected_ms);
        self.measured_at = now;
        if let Some(usage) = self.usage.get_mut(name) {
            usage.load_ms += LOAD_SMOOTHING * (ms - usage.load_ms);
        }
    }

    fn set(&mut self, now: Time, name: &Name, state: SlotState) {
        self.table.insert(name.clone(), Slot { state, since: now });
    }

    /// Drops the usage records of unloaded versions that were last used before the median last use.
    fn drop_oldest_usage(&mut self) {
        let mut times: Vec<Time> = self.usage.values().map(|usage| usage.last_use).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        let table = &self.table;
        self.usage
            .retain(|name, usage| usage.last_use >= median || table.contains_key(name));
    }
}
