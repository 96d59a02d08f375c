//! The slot table: which adapter versions are in the engine, and which one leaves next.
//!
//! Promises (queued jobs) are counted by the queue and passed in, so that they have one owner.

use std::time::Duration;

use serde::Serialize;

use crate::collections::Map;
use crate::collections::Set;
use crate::ids::Name;
use crate::time::Time;

/// Versions whose use is remembered after they left the engine.
const HISTORY: usize = 4_096;

/// The share of a new sample in a running mean.
const SMOOTHING: f64 = 0.25;

/// The share of a new gap in a version's mean gap between uses. A smaller one kept adapters too
/// long whose burst had ended.
const GAP_SMOOTHING: f64 = 0.4;

/// The weight of a version's mean gap between uses against the time since its last use.
const GAP_WEIGHT: f64 = 0.2;

/// The assumed gap between uses of a version that was used once only, in milliseconds.
const FIRST_GAP_MS: f64 = 600_000.0;

/// The assumed load time of a version before any load was measured, in milliseconds.
const FIRST_LOAD_MS: f64 = 250.0;

/// The time after which the measured load time counts half. Without decay one slow load would make
/// the agent refuse every later one, and it would never measure a fast load again.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(10);

/// The state of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The engine was told to load the version.
    Loading,
    /// Requests can run on the version.
    Resident,
    /// The engine was told to unload the version.
    Unloading,
}

/// One occupied slot.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    /// The state.
    pub state: SlotState,
    /// The time of the last change of state.
    pub since: Time,
}

/// How a version was used, kept across unloads.
#[derive(Clone, Copy, Debug)]
struct Usage {
    last: Time,
    gap_ms: f64,
    load_ms: f64,
}

/// What a reconciliation changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drift {
    /// Versions that the engine has and the table did not.
    pub found: Vec<Name>,
    /// Versions that the table had as resident and the engine does not have.
    pub lost: Vec<Name>,
}

impl Drift {
    /// Returns whether table and engine agreed.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty() && self.lost.is_empty()
    }
}

/// The slots of one engine.
#[derive(Clone, Debug)]
pub struct Slots {
    limit: usize,
    table: Map<Name, Slot>,
    pins: Map<Name, u32>,
    usage: Map<Name, Usage>,
    withdrawn: Set<Name>,
    load_ms: f64,
    measured: Time,
}

impl Slots {
    /// Returns an empty table of `limit` slots.
    pub fn new(limit: u32) -> Self {
        Slots {
            limit: limit as usize,
            table: Map::default(),
            pins: Map::default(),
            usage: Map::default(),
            withdrawn: Set::default(),
            load_ms: FIRST_LOAD_MS,
            measured: Time::default(),
        }
    }

    /// Changes the number of slots; versions above it leave as they become idle.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit as usize;
    }

    /// Replaces the set of withdrawn versions.
    pub fn set_withdrawn(&mut self, names: Set<Name>) {
        self.withdrawn = names;
    }

    /// Returns the number of slots.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the state of a version's slot.
    pub fn state(&self, name: &str) -> Option<SlotState> {
        self.table.get(name).map(|slot| slot.state)
    }

    /// Returns whether requests can run on the version.
    pub fn is_resident(&self, name: &str) -> bool {
        self.state(name) == Some(SlotState::Resident)
    }

    /// Returns whether the version was withdrawn.
    pub fn is_withdrawn(&self, name: &str) -> bool {
        self.withdrawn.contains(name)
    }

    /// Returns the number of running requests on the version.
    pub fn pins(&self, name: &str) -> u32 {
        self.pins.get(name).copied().unwrap_or(0)
    }

    /// Returns the occupied slots.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Slot)> {
        self.table.iter()
    }

    /// Returns the number of slots that no version occupies.
    pub fn free(&self) -> usize {
        self.limit.saturating_sub(self.table.len())
    }

    /// Returns whether more versions are in the engine than there are slots.
    pub fn is_over_limit(&self) -> bool {
        self.table.len() > self.limit
    }

    /// Records a use of the version, for the expected time between uses.
    pub fn record_use(&mut self, now: Time, name: &Name) {
        let load_ms = self.load_ms;
        let usage = self.usage.entry(name.clone()).or_insert(Usage {
            last: now,
            gap_ms: FIRST_GAP_MS,
            load_ms,
        });
        if now > usage.last {
            let gap = now.since(usage.last).as_secs_f64() * 1e3;
            usage.gap_ms += GAP_SMOOTHING * (gap - usage.gap_ms);
            usage.last = now;
        }
        if self.usage.len() > HISTORY {
            self.forget_oldest();
        }
    }

    /// Pins a resident version for one running request; returns whether it is resident.
    pub fn pin(&mut self, name: &Name) -> bool {
        if !self.is_resident(name) {
            return false;
        }
        *self.pins.entry(name.clone()).or_default() += 1;
        true
    }

    /// Removes one pin.
    pub fn unpin(&mut self, name: &str) {
        let Some(count) = self.pins.get_mut(name) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.pins.remove(name);
        }
    }

    /// Starts a load; returns whether there is a free slot for it.
    pub fn start_load(&mut self, now: Time, name: &Name) -> bool {
        if self.table.contains_key(name) || self.free() == 0 {
            return false;
        }
        self.set(now, name, SlotState::Loading);
        true
    }

    /// Records the end of a load and the time that it took.
    pub fn end_load(&mut self, now: Time, name: &Name, done: bool) {
        let Some(slot) = self.table.get(name) else {
            return;
        };
        if slot.state != SlotState::Loading {
            return;
        }
        if !done {
            self.table.remove(name);
            return;
        }
        self.measure(now, name, now.since(slot.since));
        self.set(now, name, SlotState::Resident);
    }

    /// Starts an unload; returns whether the version is resident and not pinned.
    pub fn start_unload(&mut self, now: Time, name: &Name) -> bool {
        if !self.is_resident(name) || self.pins(name) > 0 {
            return false;
        }
        self.set(now, name, SlotState::Unloading);
        true
    }

    /// Records the end of an unload; a failed one leaves the version resident.
    pub fn end_unload(&mut self, now: Time, name: &Name, done: bool) {
        if self.state(name) != Some(SlotState::Unloading) {
            return;
        }
        if done {
            self.table.remove(name);
        } else {
            self.set(now, name, SlotState::Resident);
        }
    }

    /// Returns the version to unload next: among the resident ones without pin and promise a
    /// withdrawn one, else the one whose reload is expected to cost least per unit of time.
    pub fn victim(&self, now: Time, promised: impl Fn(&Name) -> bool) -> Option<Name> {
        let mut best: Option<(f64, &Name)> = None;
        for (name, slot) in &self.table {
            let idle = slot.state == SlotState::Resident && self.pins(name) == 0;
            if !idle || promised(name) {
                continue;
            }
            let cost = self.keep_value(now, name);
            if best.is_none_or(|(least, held)| (cost, name) < (least, held)) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Returns the resident version, pinned or not, that is least worth keeping.
    pub fn least_valuable(&self, now: Time, exclude: impl Fn(&Name) -> bool) -> Option<Name> {
        self.table
            .iter()
            .filter(|(name, slot)| slot.state == SlotState::Resident && !exclude(name))
            .map(|(name, _)| (self.pins(name), self.keep_value(now, name), name))
            .min_by(|a, b| a.partial_cmp(b).expect("values are finite"))
            .map(|(_, _, name)| name.clone())
    }

    /// Returns withdrawn or surplus versions that can leave now.
    pub fn unloadable(&self, now: Time, promised: impl Fn(&Name) -> bool) -> Vec<Name> {
        if self.is_over_limit() {
            return self.victim(now, promised).into_iter().collect();
        }
        let idle = |name: &Name| self.pins(name) == 0 && !promised(name);
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

    /// Makes the table agree with what the engine says is resident. Versions in the middle of a
    /// command stay as they are.
    pub fn reconcile(&mut self, now: Time, names: &[Name]) -> Drift {
        let listed: Set<&Name> = names.iter().collect();
        let mut drift = Drift::default();
        for (name, slot) in &self.table {
            if slot.state == SlotState::Resident && !listed.contains(name) {
                drift.lost.push(name.clone());
            }
        }
        for name in &drift.lost {
            self.table.remove(name);
        }
        for name in names {
            if !self.table.contains_key(name) {
                self.set(now, name, SlotState::Resident);
                drift.found.push(name.clone());
            }
        }
        drift.lost.sort();
        drift
    }

    /// Returns the expected duration of a load.
    pub fn load_time(&self, now: Time) -> Duration {
        let age = now.since(self.measured).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let excess = (self.load_ms - FIRST_LOAD_MS).max(0.0) * 0.5f64.powf(age);
        Duration::from_secs_f64((self.load_ms.min(FIRST_LOAD_MS) + excess) / 1e3)
    }

    /// Returns the expected uses per hour, in thousandths.
    pub fn expected_uses(&self, now: Time, name: &str) -> u32 {
        (3.6e9 / self.gap_ms(now, name)) as u32
    }

    /// Returns the time of the last use and the expected gap between uses.
    pub fn usage(&self, now: Time, name: &str) -> (Option<Time>, Duration) {
        let last = self.usage.get(name).map(|usage| usage.last);
        (last, Duration::from_secs_f64(self.gap_ms(now, name) / 1e3))
    }

    /// Returns the worth of keeping a version: its load time over a time to its next use, which
    /// the time since the last use and the mean gap tell better together than either alone.
    fn keep_value(&self, now: Time, name: &str) -> f64 {
        if self.is_withdrawn(name) {
            return -1.0;
        }
        let Some(usage) = self.usage.get(name) else {
            return self.load_ms / FIRST_GAP_MS;
        };
        let open = now.since(usage.last).as_secs_f64() * 1e3;
        usage.load_ms / (open + GAP_WEIGHT * usage.gap_ms).max(1.0)
    }

    /// Returns the expected gap between uses; one that is longer than the mean already counts as
    /// it is.
    fn gap_ms(&self, now: Time, name: &str) -> f64 {
        let Some(usage) = self.usage.get(name) else {
            return FIRST_GAP_MS;
        };
        let open = now.since(usage.last).as_secs_f64() * 1e3;
        usage.gap_ms.max(open).max(1.0)
    }

    fn measure(&mut self, now: Time, name: &Name, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        let expected = self.load_time(now).as_secs_f64() * 1e3;
        self.load_ms = expected + SMOOTHING * (ms - expected);
        self.measured = now;
        if let Some(usage) = self.usage.get_mut(name) {
            usage.load_ms += SMOOTHING * (ms - usage.load_ms);
        }
    }

    fn set(&mut self, now: Time, name: &Name, state: SlotState) {
        self.table.insert(name.clone(), Slot { state, since: now });
    }

    /// Drops the older half of the usage records of versions that are not in the engine.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Time> = self.usage.values().map(|usage| usage.last).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        let table = &self.table;
        self.usage
            .retain(|name, usage| usage.last >= middle || table.contains_key(name));
    }
}
