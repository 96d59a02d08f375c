//! Which order the agent gives its runner next.
//!
//! Invariants: one order is under way at a time; no order asks for more than the runner's memory
//! and adapter slots hold, adapters on their way included; an adapter that a request uses is not
//! unloaded; a version is never replaced by an older one.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;
use crate::demand::Demand;
use crate::link::AdapterStatus;
use crate::link::Capacity;
use crate::link::RunnerState;
use crate::link::Usage;
use crate::placement::LOAD_TIME;
use crate::placement::MAX_PARALLEL_LOADS;
use crate::runner::EngineReport;
use crate::runner::VersionedAdapter;

/// The time after which an adapter that no request waits for any more is not loaded.
const URGENT_TTL: Duration = Duration::from_millis(800);
/// The time after which a load that nobody waits for is given up.
const BACKGROUND_TTL: Duration = Duration::from_secs(6);
/// The time that an adapter stays after its load, so that the request for it finds it.
const MIN_STAY: Duration = Duration::from_millis(250);
/// The pause before a model load is ordered once more, so that a failing one does not use up the
/// weight store.
const MODEL_PAUSE: Duration = Duration::from_secs(4);
/// The assumed time until a newer version is there, which waits for the requests on the older one.
const REPLACE_TIME: Duration = Duration::from_millis(700);
/// The time after which an order to replace or unload an adapter is taken to have had no effect.
const LEAVING_TTL: Duration = Duration::from_secs(4);

/// An order for the runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    LoadModel {
        /// The model.
        model: Name,
    },
    /// Load an adapter or replace an older version of it.
    LoadAdapter {
        /// Model and adapter as `MODEL/ADAPTER`.
        adapter: Name,
        /// The version; `None` for the newest one.
        version: Option<u64>,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model and adapter as `MODEL/ADAPTER`.
        adapter: Name,
    },
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    version: u64,
    urgent: bool,
    since: Time,
    renewed: Time,
}

impl Wanted {
    /// Returns whether the runner holds the adapter in the wanted version.
    fn is_met(&self, report: &EngineReport, adapter: &str) -> bool {
        let held = report.adapter(adapter);
        held.is_some_and(|held| held.version >= self.version)
    }
}

/// Why an adapter that the runner still reports turns requests away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// A newer version takes its place.
    Replaced {
        /// The newer version; 0 for the newest.
        by: u64,
    },
    /// It is being unloaded.
    Unloaded,
}

/// Identifies the connection of one entry.
pub type LinkId = u64;

/// What an agent knows of its runner and of the entries' needs.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    capacity: Capacity,
    report: EngineReport,
    wants: Map<Name, Wanted>,
    demand: Demand,
    inflight: Map<(LinkId, Name), u32>,
    started: Map<Name, Time>,
    arrived: Map<Name, Time>,
    leaving: Map<Name, (Leaving, Time)>,
    model_ordered: Option<Time>,
}

impl LoadScheduler {
    /// Sets what the runner may hold.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Returns the runner's last report.
    pub fn last_report(&self) -> &EngineReport {
        &self.report
    }

    /// Takes over a report of the runner; a restart forgets what the old incarnation was asked for.
    ///
    /// Returns the adapters that arrived since the last one, with the time that they took.
    pub fn apply_report(
        &mut self,
        now: Time,
        report: EngineReport,
    ) -> Vec<(VersionedAdapter, Duration)> {
        let mut arrivals = Vec::new();
        if report.born != self.report.born {
            self.started.clear();
            self.arrived.clear();
            self.leaving.clear();
            self.model_ordered = None;
        }
        for held in &report.adapters {
            let known = self.report.adapters.contains(held);
            if !known {
                self.arrived.insert(held.adapter.clone(), now);
                let begun = self.started.get(&held.adapter);
                arrivals.extend(begun.map(|begun| (held.clone(), now.since(*begun))));
            }
        }
        self.started.retain(|name, _| report.is_loading(name));
        for held in &report.loading {
            self.started.entry(held.adapter.clone()).or_insert(now);
        }
        self.arrived
            .retain(|name, _| report.adapter(name).is_some());
        self.leaving.retain(|name, (leaving, since)| {
            let under_way = report.adapter(name).is_some_and(|held| match leaving {
                Leaving::Replaced { by } => held.version < *by,
                Leaving::Unloaded => true,
            });
            under_way && now < since.after(LEAVING_TTL)
        });
        self.report = report;
        arrivals
    }

    /// Notes that the runner has accepted an order. Until an adapter has made way, the runner
    /// reports it but turns its requests away.
    pub fn order_accepted(&mut self, now: Time, order: &Order) {
        let (adapter, leaving) = match order {
            Order::LoadModel { .. } => return,
            Order::LoadAdapter { adapter, version } => {
                let by = version.unwrap_or(0);
                (adapter, Leaving::Replaced { by })
            }
            Order::UnloadAdapter { adapter } => (adapter, Leaving::Unloaded),
        };
        if self.report.adapter(adapter).is_some() {
            self.leaving.insert(adapter.clone(), (leaving, now));
        }
    }

    /// Notes that an entry needs an adapter.
    pub fn request_adapter(&mut self, now: Time, adapter: &Name, version: u64, urgent: bool) {
        let wanted = self.wants.entry(adapter.clone()).or_insert(Wanted {
            version,
            urgent,
            since: now,
            renewed: now,
        });
        wanted.version = wanted.version.max(version);
        wanted.urgent |= urgent;
        wanted.renewed = now;
    }

    /// Notes how one entry uses the adapters; what it does not name, it does not use.
    pub fn apply_usage(&mut self, now: Time, link: LinkId, usages: &[Usage]) {
        self.inflight.retain(|(other, _), _| *other != link);
        for usage in usages {
            if usage.hits > 0 {
                self.demand.record(now, &usage.adapter, usage.hits);
            }
            if usage.inflight > 0 {
                let key = (link, usage.adapter.clone());
                self.inflight.insert(key, usage.inflight);
            }
        }
    }

    /// Returns whether requests of an entry use adapters here.
    pub fn is_used_by(&self, link: LinkId) -> bool {
        self.inflight.keys().any(|(other, _)| *other == link)
    }

    /// Forgets an entry whose connection ended.
    pub fn remove_link(&mut self, link: LinkId) {
        self.inflight.retain(|(other, _), _| *other != link);
    }

    /// Returns whether an adapter is on its way or wanted, so that the report should be read soon.
    pub fn is_active(&self) -> bool {
        !self.report.loading.is_empty() || !self.wants.is_empty() || self.report.busy
    }

    /// Returns the next order; the caller carries it out before it asks again.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
        self.drop_wants(now);
        if self.report.busy || self.report.draining {
            return None;
        }
        if let Some(model) = self.missing_model(now) {
            self.model_ordered = Some(now);
            return Some(Order::LoadModel { model });
        }
        if self.report.loading.len() >= MAX_PARALLEL_LOADS {
            return None;
        }
        let adapter = self.most_wanted()?;
        let wanted = self.wants[&adapter];
        let version = (wanted.version > 0).then_some(wanted.version);
        let replaces = self.report.adapter(&adapter).is_some();
        if replaces || self.fits(&adapter) {
            return Some(Order::LoadAdapter { adapter, version });
        }
        let adapter = self.victim(now)?;
        Some(Order::UnloadAdapter { adapter })
    }

    /// Returns the state for the entries.
    pub fn state(&self, now: Time, up: bool, entries: u32) -> RunnerState {
        let mut places = Vec::new();
        for held in &self.report.adapters {
            // While a newer version is on its way, the older one is not counted as there.
            let coming = self.report.is_loading(&held.adapter);
            match self.leaving.get(&held.adapter) {
                None if !coming => places.push(place(held, 0)),
                Some((Leaving::Replaced { by }, since)) if !coming => {
                    let left = REPLACE_TIME.saturating_sub(now.since(*since));
                    let wait_ms = left.as_millis().max(5) as u32;
                    places.push(AdapterStatus {
                        adapter: held.adapter.clone(),
                        version: *by,
                        wait_ms,
                    });
                }
                None | Some(_) => {}
            }
        }
        for held in &self.report.loading {
            let age = self
                .started
                .get(&held.adapter)
                .map_or(Duration::ZERO, |at| now.since(*at));
            let wait = LOAD_TIME.saturating_sub(age).as_millis().max(5) as u32;
            places.push(place(held, wait));
        }
        places.extend(self.queued_places());
        places.sort_by(|a, b| a.adapter.cmp(&b.adapter));
        RunnerState {
            born: self.report.born,
            up,
            models: self.report.models.clone(),
            draining: self.report.draining,
            running: self.report.running,
            queued: self.report.queued,
            room: self.room(now),
            entries,
            adapters: places,
        }
    }

    /// Returns the adapters that wait for their turn, with their expected time, so that other
    /// entries see them and do not ask elsewhere.
    fn queued_places(&self) -> Vec<AdapterStatus> {
        let queued = self.queue();
        let turn = LOAD_TIME.as_millis() as u32 / MAX_PARALLEL_LOADS as u32;
        let places = queued
            .enumerate()
            .map(|(index, (adapter, wanted))| AdapterStatus {
                adapter: adapter.clone(),
                version: wanted.version,
                wait_ms: LOAD_TIME.as_millis() as u32 + turn * index as u32,
            });
        places.collect()
    }

    /// Returns how many more adapters can be loaded, after evictions if need be.
    fn room(&self, now: Time) -> u32 {
        let held = self.report.adapters.len() + self.report.loading.len();
        let free = self.slots().saturating_sub(held);
        let idle = self.idle(now).count();
        (free + idle) as u32
    }

    fn slots(&self) -> usize {
        self.capacity.slots as usize
    }

    /// Drops what is there by now and what nobody asks for any more.
    fn drop_wants(&mut self, now: Time) {
        let report = &self.report;
        self.wants.retain(|adapter, wanted| {
            let ttl = if wanted.urgent {
                URGENT_TTL
            } else {
                BACKGROUND_TTL
            };
            let is_late = now.since(wanted.renewed) > ttl;
            !is_late && !wanted.is_met(report, adapter)
        });
    }

    /// Returns a model that fits and should be there, if none has been ordered recently.
    fn missing_model(&self, now: Time) -> Option<Name> {
        if self
            .model_ordered
            .is_some_and(|at| now < at.after(MODEL_PAUSE))
        {
            return None;
        }
        let specs = &self.capacity.models;
        let used = self.models_mb();
        let missing = specs.iter().find(|spec| {
            let fits = used + spec.weights_mb <= self.capacity.weights_mb;
            fits && !self.report.models.contains(&spec.name)
        });
        missing.map(|spec| spec.name.clone())
    }

    /// Returns the adapter to load first.
    fn most_wanted(&self) -> Option<Name> {
        let (adapter, _) = self.queue().next()?;
        Some(adapter.clone())
    }

    /// Returns the adapters to load in their order: those that a request waits for come first, then
    /// the ones that were asked for earlier.
    fn queue(&self) -> impl Iterator<Item = (&Name, &Wanted)> {
        let able = self.wants.iter().filter(|(adapter, wanted)| {
            let coming = self.report.is_loading(adapter);
            let is_there = wanted.is_met(&self.report, adapter);
            let of_model = self.report.models.iter().any(|model| is_of(adapter, model));
            let leaving = self.leaving.contains_key(*adapter);
            !coming && !is_there && !leaving && of_model
        });
        let mut queue: Vec<(&Name, &Wanted)> = able.collect();
        queue.sort_by_key(|(name, wanted)| (!wanted.urgent, wanted.since, (*name).clone()));
        queue.into_iter()
    }

    /// Returns whether one more adapter fits into slots and memory.
    fn fits(&self, adapter: &str) -> bool {
        let count = self.report.adapters.len() + self.report.loading.len();
        if count >= self.slots() {
            return false;
        }
        let size = self.adapter_mb(adapter);
        let weights = self.models_mb();
        let all = self.report.adapters.iter().chain(&self.report.loading);
        let adapters: f64 = all.map(|held| self.adapter_mb(&held.adapter)).sum();
        weights + adapters + size <= self.capacity.weights_mb
    }

    /// Returns the memory of the models that the runner holds.
    fn models_mb(&self) -> f64 {
        let specs = self.capacity.models.iter();
        let held = specs.filter(|spec| self.report.models.contains(&spec.name));
        held.map(|spec| spec.weights_mb).sum()
    }

    fn adapter_mb(&self, adapter: &str) -> f64 {
        let spec = self
            .capacity
            .models
            .iter()
            .find(|spec| is_of(adapter, &spec.name));
        spec.map_or(0.0, |spec| spec.adapter_mb)
    }

    /// Returns the adapter with the least recent demand among those that can be unloaded.
    fn victim(&self, now: Time) -> Option<Name> {
        let weight = |held: &&VersionedAdapter| self.demand.weight(now, &held.adapter);
        let victim = self
            .idle(now)
            .min_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        Some(victim.adapter.clone())
    }

    /// Returns the adapters that no request uses or waits for.
    fn idle(&self, now: Time) -> impl Iterator<Item = &VersionedAdapter> {
        self.report.adapters.iter().filter(move |held| {
            let used = self.inflight.keys().any(|(_, name)| *name == held.adapter);
            let arrived = self.arrived.get(&held.adapter);
            let fresh = arrived.is_some_and(|at| now < at.after(MIN_STAY));
            let coming = self.report.is_loading(&held.adapter);
            let leaving = self.leaving.contains_key(&held.adapter);
            !used && !fresh && !coming && !leaving && !self.wants.contains_key(&held.adapter)
        })
    }
}

fn place(held: &VersionedAdapter, wait_ms: u32) -> AdapterStatus {
    AdapterStatus {
        adapter: held.adapter.clone(),
        version: held.version,
        wait_ms,
    }
}

/// Returns whether an adapter, as `MODEL/ADAPTER`, belongs to a model.
fn is_of(adapter: &str, model: &str) -> bool {
    let rest = adapter.strip_prefix(model);
    rest.is_some_and(|rest| rest.starts_with('/'))
}
