//! What an agent learns from the loads of its runner: how long they take, which adapters the runner
//! still has in its host memory, and how many loads may run at the same time.
//!
//! Invariants: the list of recent adapters is bounded; a load that replaces another version teaches
//! nothing, since it waits for the requests on that version.

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::runner::VersionedAdapter;

/// Maximum number of adapters that load at one runner at the same time.
pub const MAX_PARALLEL_LOADS: u32 = 4;
/// Assumed time for loading an adapter from the weight store, before the first load.
const DEFAULT_STORE_MS: f32 = 280.0;
/// Assumed time for loading an adapter from the runner's host memory, before the first load.
const DEFAULT_CACHED_MS: f32 = 45.0;
/// Assumed number of adapters in a runner's host memory, before a load shows otherwise.
const DEFAULT_CACHED_ADAPTERS: u32 = 100;
/// Smallest number of adapters that a runner's host memory is believed to hold.
const MIN_CACHED_ADAPTERS: u32 = 8;
/// Maximum length of the list of recent adapters.
const MAX_RECENT_ADAPTERS: usize = 256;
/// Weight of a new sample in the moving averages of load times.
const ALPHA: f32 = 0.2;
/// A load that takes less than this share of a load from the store came from host memory.
const CACHED_SHARE: f32 = 0.5;
/// The store is shared by too many loads when one takes longer than the fastest by this factor.
const CROWDED_FACTOR: f32 = 1.5;
/// Granularity of the published times, so that a small change causes no update.
const PUBLISHED_STEP_MS: f32 = 20.0;

/// The properties of a runner's loads, as its agent has observed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadProfile {
    /// The time for a load from the weight store, in milliseconds.
    #[serde(rename = "s")]
    pub store_ms: u32,
    /// The time for a load from the runner's host memory, in milliseconds.
    #[serde(rename = "c")]
    pub cached_ms: u32,
    /// The number of adapters that the host memory keeps after they were unloaded.
    #[serde(rename = "n")]
    pub cached_adapters: u32,
    /// The number of loads from the store that run at the same time.
    #[serde(rename = "p")]
    pub parallel: u32,
}

impl Default for LoadProfile {
    fn default() -> Self {
        LoadObserver::default().profile()
    }
}

/// Where a runner took an adapter from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LoadSource {
    /// The weight store, which all runners share.
    #[display("store")]
    Store,
    /// The runner's own host memory.
    #[display("memory")]
    Memory,
}

/// The adapters that were unloaded from a runner's slots, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentAdapters {
    names: VecDeque<Name>,
}

impl RecentAdapters {
    /// Adds an adapter that was unloaded just now.
    pub fn push(&mut self, adapter: Name) {
        self.remove(&adapter);
        if self.names.len() >= MAX_RECENT_ADAPTERS {
            self.names.pop_front();
        }
        self.names.push_back(adapter);
    }

    /// Removes an adapter that is loaded again.
    pub fn remove(&mut self, adapter: &str) {
        self.names.retain(|name| **name != *adapter);
    }

    /// Returns how many adapters were unloaded after this one; `None` if it is not listed.
    pub fn age(&self, adapter: &str) -> Option<u32> {
        let age = self
            .names
            .iter()
            .rev()
            .position(|name| **name == *adapter)?;
        Some(age as u32)
    }

    fn clear(&mut self) {
        self.names.clear();
    }
}

/// Learns a [`LoadProfile`] from the loads of one incarnation of a runner.
#[derive(Debug)]
pub struct LoadObserver {
    store_ms: f32,
    cached_ms: f32,
    /// The fastest load from the store; `None` before the first one.
    fastest_ms: Option<f32>,
    cached_adapters: u32,
    parallel: u32,
    recent: RecentAdapters,
    /// Adapters whose load started, with their age among the recent ones.
    started: Map<Name, Option<u32>>,
}

impl Default for LoadObserver {
    fn default() -> Self {
        LoadObserver {
            store_ms: DEFAULT_STORE_MS,
            cached_ms: DEFAULT_CACHED_MS,
            fastest_ms: None,
            cached_adapters: DEFAULT_CACHED_ADAPTERS,
            parallel: MAX_PARALLEL_LOADS,
            recent: RecentAdapters::default(),
            started: Map::default(),
        }
    }
}

impl LoadObserver {
    /// Discards what belongs to an earlier incarnation of the runner. Load times stay.
    pub fn reset(&mut self) {
        self.recent.clear();
        self.started.clear();
    }

    /// Returns what was learned so far.
    pub fn profile(&self) -> LoadProfile {
        let published = |ms: f32| ((ms / PUBLISHED_STEP_MS).round() * PUBLISHED_STEP_MS) as u32;
        LoadProfile {
            store_ms: published(self.store_ms),
            cached_ms: published(self.cached_ms),
            cached_adapters: self.cached_adapters,
            parallel: self.parallel,
        }
    }

    /// Returns whether the runner is believed to have an adapter in its host memory.
    pub fn is_cached(&self, adapter: &str) -> bool {
        let age = self.recent.age(adapter);
        age.is_some_and(|age| age < self.cached_adapters)
    }

    /// Returns the expected time for loading an adapter.
    pub fn load_time(&self, adapter: &str) -> Duration {
        let ms = if self.is_cached(adapter) {
            self.cached_ms
        } else {
            self.store_ms
        };
        Duration::from_secs_f32(ms / 1_000.0)
    }

    /// Returns whether a load that has started comes from the store, as far as known.
    pub fn is_from_store(&self, adapter: &str) -> bool {
        let age = self.started.get(adapter).copied().flatten();
        age.is_none_or(|age| age >= self.cached_adapters)
    }

    /// Records that an adapter was unloaded from its slot.
    pub fn record_unload(&mut self, adapter: Name) {
        self.recent.push(adapter);
    }

    /// Records that the load of an adapter has started that the runner did not hold.
    pub fn record_start(&mut self, adapter: &Name) {
        if self.started.contains_key(adapter) {
            return;
        }
        let age = self.recent.age(adapter);
        self.started.insert(adapter.clone(), age);
        self.recent.remove(adapter);
    }

    /// Records that a load has ended after `took`, and returns where it came from. A load whose start
    /// is unknown teaches nothing.
    pub fn record_end(&mut self, loaded: &VersionedAdapter, took: Duration) -> LoadSource {
        let took_ms = took.as_secs_f32() * 1_000.0;
        let reference_ms = self.fastest_ms.unwrap_or(DEFAULT_STORE_MS);
        let source = if took_ms >= reference_ms * CACHED_SHARE {
            LoadSource::Store
        } else {
            LoadSource::Memory
        };
        let Some(age) = self.started.remove(&loaded.adapter) else {
            return source;
        };
        match source {
            LoadSource::Store => self.record_store_load(age, took_ms),
            LoadSource::Memory => self.record_cached_load(age, took_ms),
        }
        source
    }

    /// Forgets loads that have not ended and are not listed by the runner any more.
    pub fn retain_started(&mut self, is_loading: impl Fn(&str) -> bool) {
        self.started.retain(|adapter, _| is_loading(adapter));
    }

    fn record_cached_load(&mut self, age: Option<u32>, took_ms: f32) {
        self.cached_ms += ALPHA * (took_ms - self.cached_ms);
        if let Some(age) = age {
            self.cached_adapters = self.cached_adapters.max(age + 1);
        }
    }

    fn record_store_load(&mut self, age: Option<u32>, took_ms: f32) {
        self.store_ms += ALPHA * (took_ms - self.store_ms);
        let fastest_ms = self
            .fastest_ms
            .map_or(took_ms, |fastest| fastest.min(took_ms));
        self.fastest_ms = Some(fastest_ms);
        if let Some(age) = age {
            let known = self.cached_adapters.min(age);
            self.cached_adapters = known.max(MIN_CACHED_ADAPTERS);
        }
        self.parallel = if took_ms > fastest_ms * CROWDED_FACTOR {
            (self.parallel - 1).max(1)
        } else {
            (self.parallel + 1).min(MAX_PARALLEL_LOADS)
        };
    }
}
