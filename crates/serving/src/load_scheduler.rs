//! Decides which model or adapter the agent's runner loads or unloads next.
//!
//! Invariants: one order is in progress at a time; no order exceeds the runner's memory or adapter
//! slots, with loading adapters and orders without a response counted; an adapter in use by a request is not unloaded; a version
//! is never replaced by an older one.

mod late_orders;
mod room;
mod state;

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use self::late_orders::LateOrders;
use crate::Name;
use crate::admission::PrefillAdmission;
use crate::demand::Demand;
use crate::demand::RateLevel;
use crate::link::Capacity;
use crate::link::Usage;
use crate::load_profile::LoadObserver;
use crate::load_profile::LoadSource;
use crate::load_profile::MAX_PARALLEL_LOADS;
use crate::runner::EngineReport;
use crate::runner::VersionedAdapter;

/// Time after its last renewal at which an urgent adapter request expires, because no caller's
/// request waits for the adapter any longer.
const URGENT_TTL: Duration = Duration::from_millis(500);
/// Time after its last renewal at which an adapter request that no caller's request waits for
/// expires.
const BACKGROUND_TTL: Duration = Duration::from_secs(6);
/// Minimum time between load and unload of an adapter, so that the request that waited for it can
/// still use it.
const MIN_RESIDENCE: Duration = Duration::from_millis(250);
/// Minimum interval between two orders to load a model, so that a load that keeps failing does not
/// take up the weight store.
const MODEL_LOAD_INTERVAL: Duration = Duration::from_secs(4);
/// Time after which an order to replace or unload an adapter is considered to have had no effect.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(4);

/// An order that the agent sends to its runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load the weights of a model of the service.
    LoadModel {
        /// The name, as in [`Capacity::models`].
        model: Name,
    },
    /// Load an adapter or replace an older version of it.
    LoadAdapter {
        /// Model and adapter as `MODEL/ADAPTER`.
        adapter: Name,
        /// The version to load; `None` for the newest one.
        version: Option<u64>,
    },
    /// Unload an adapter to make room for another one.
    UnloadAdapter {
        /// Model and adapter as `MODEL/ADAPTER`.
        adapter: Name,
    },
}

#[derive(Clone, Copy, Debug)]
struct AdapterRequest {
    /// The minimum version; 0 if any version satisfies the request, and the newest one is to be
    /// loaded.
    version: u64,
    /// Whether a caller's request waits for the adapter.
    urgent: bool,
    first_requested: Time,
    last_renewed: Time,
}

impl AdapterRequest {
    /// Returns whether the runner holds the adapter in the requested version or a newer one.
    fn is_satisfied(&self, report: &EngineReport, adapter: &str) -> bool {
        let held = report.adapter(adapter);
        held.is_some_and(|held| held.version >= self.version)
    }
}

/// Why the runner rejects requests for an adapter that it still reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Removal {
    /// A newer version replaces it.
    Replaced {
        /// The newer version; 0 if the order names none.
        version: u64,
    },
    /// It is unloaded to make room for another adapter.
    Unloaded,
}

/// A load that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedLoad {
    /// The adapter, in the version that was loaded.
    pub loaded: VersionedAdapter,
    /// The time from the order, or from its first report, to the end.
    pub took: Duration,
    /// Where the runner took it from.
    pub source: LoadSource,
    /// The time since an entry first asked for it; `None` if no request waits for it any more.
    pub waited: Option<Duration>,
}

/// Identifies the connection of one entry; unique within the agent process.
pub type LinkId = u64;

/// An agent's view of its runner's adapters and of the adapters that entries need.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    capacity: Capacity,
    report: EngineReport,
    requests: Map<Name, AdapterRequest>,
    demand: Demand,
    inflight: Map<(LinkId, Name), u32>,
    /// When each loading adapter was first reported as loading.
    load_started: Map<Name, Time>,
    /// When each held adapter was first reported in its present version.
    loaded_at: Map<Name, Time>,
    /// Adapters that were ordered to be replaced or unloaded, with the time of the order.
    removals: Map<Name, (Removal, Time)>,
    model_ordered_at: Option<Time>,
    /// The prompts that wait for the runner; their adapters are in use.
    pub admission: PrefillAdmission,
    loads: LoadObserver,
    /// The last published rate level of each held adapter.
    rates: Map<Name, RateLevel>,
    late_orders: LateOrders,
}

impl LoadScheduler {
    /// Sets the runner's limits and the models it serves.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Returns the last report of the runner.
    pub fn last_report(&self) -> &EngineReport {
        &self.report
    }

    /// Applies a report of the runner. After a restart of the runner, the orders to the previous
    /// incarnation are discarded.
    ///
    /// Returns the loads that have ended since the last report.
    pub fn apply_report(&mut self, now: Time, report: EngineReport) -> Vec<CompletedLoad> {
        let mut completed = Vec::new();
        if report.born != self.report.born {
            self.load_started.clear();
            self.loaded_at.clear();
            self.removals.clear();
            self.model_ordered_at = None;
            self.loads.reset();
        }
        for held in &report.adapters {
            let known = self.report.adapters.contains(held);
            if !known {
                self.loaded_at.insert(held.adapter.clone(), now);
                completed.extend(self.complete_load(now, held));
            }
        }
        for held in &self.report.adapters {
            let gone = report.adapter(&held.adapter).is_none();
            if gone && !report.is_loading(&held.adapter) && report.born == self.report.born {
                self.loads.record_unload(held.adapter.clone());
            }
        }
        self.load_started.retain(|name, _| report.is_loading(name));
        for held in &report.loading {
            self.load_started.entry(held.adapter.clone()).or_insert(now);
        }
        self.loads.retain_started(|name| report.is_loading(name));
        self.loaded_at
            .retain(|name, _| report.adapter(name).is_some());
        self.removals.retain(|name, (removal, ordered_at)| {
            let pending = report.adapter(name).is_some_and(|held| match removal {
                Removal::Replaced { version } => held.version < *version,
                Removal::Unloaded => true,
            });
            pending && now < ordered_at.after(REMOVAL_TIMEOUT)
        });
        self.report = report;
        completed
    }

    fn complete_load(&mut self, now: Time, loaded: &VersionedAdapter) -> Option<CompletedLoad> {
        let started = self.load_started.get(&loaded.adapter)?;
        let took = now.since(*started);
        let request = self.requests.get(&loaded.adapter);
        let urgent = request.filter(|request| request.urgent);
        Some(CompletedLoad {
            loaded: loaded.clone(),
            took,
            source: self.loads.record_end(loaded, took),
            waited: urgent.map(|request| now.since(request.first_requested)),
        })
    }

    /// Records that the runner has accepted an order. While an adapter is being replaced or
    /// unloaded, the runner still reports it but rejects requests for it.
    pub fn order_accepted(&mut self, now: Time, order: &Order) {
        let (adapter, removal) = match order {
            Order::LoadModel { .. } => return,
            Order::LoadAdapter { adapter, version } => {
                let version = version.unwrap_or(0);
                (adapter, Removal::Replaced { version })
            }
            Order::UnloadAdapter { adapter } => (adapter, Removal::Unloaded),
        };
        if self.report.adapter(adapter).is_some() {
            self.removals.insert(adapter.clone(), (removal, now));
        } else if matches!(order, Order::LoadAdapter { .. }) {
            self.load_started.entry(adapter.clone()).or_insert(now);
            self.loads.record_start(adapter);
        }
    }

    /// Records that the runner has not answered an order, which it applies once it has accepted
    /// `sequence` others.
    pub fn order_unanswered(&mut self, now: Time, order: &Order, sequence: u64) {
        self.late_orders.record(now, order, sequence);
    }

    /// Records that what an order names does not exist, so that the order is not given again at once.
    pub fn order_nonexistent(&mut self, order: &Order) {
        if let Order::LoadAdapter { adapter, .. } = order {
            self.requests.remove(adapter);
        }
    }

    /// Records that an entry needs an adapter in `version` or a newer one; `urgent` says whether a
    /// caller's request waits for it.
    pub fn request_adapter(&mut self, now: Time, adapter: &Name, version: u64, urgent: bool) {
        let request = self
            .requests
            .entry(adapter.clone())
            .or_insert(AdapterRequest {
                version,
                urgent,
                first_requested: now,
                last_renewed: now,
            });
        request.version = request.version.max(version);
        request.urgent |= urgent;
        request.last_renewed = now;
    }

    /// Applies the usage report of one entry, which names all adapters that the entry uses.
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

    /// Returns whether requests of an entry currently use adapters of the runner.
    pub fn is_used_by(&self, link: LinkId) -> bool {
        self.inflight.keys().any(|(other, _)| *other == link)
    }

    /// Removes the usage of an entry whose connection ended.
    pub fn remove_link(&mut self, link: LinkId) {
        self.inflight.retain(|(other, _), _| *other != link);
        self.admission.remove_link(link);
    }

    /// Returns whether an adapter is loading or requested, so that the agent should poll the runner
    /// more often.
    pub fn is_active(&self) -> bool {
        !self.report.loading.is_empty() || !self.requests.is_empty() || self.report.busy
    }

    /// Returns the next order; the caller must carry it out before the next call.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
        self.drop_stale_requests(now);
        if self.report.busy || self.report.draining {
            return None;
        }
        if let Some(order) = self.model_order(now) {
            return Some(order);
        }
        let adapter = self.next_to_load()?;
        let request = self.requests[&adapter];
        let version = (request.version > 0).then_some(request.version);
        self.load_or_evict(now, Order::LoadAdapter { adapter, version })
    }

    /// Returns the order to load a missing model, or to make room for it.
    fn model_order(&mut self, now: Time) -> Option<Order> {
        let model = self.missing_model(now)?;
        let order = self.load_or_evict(now, Order::LoadModel { model })?;
        if matches!(order, Order::LoadModel { .. }) {
            self.model_ordered_at = Some(now);
        }
        Some(order)
    }

    /// Returns `load` if there is room for it, and otherwise the order to unload an idle adapter if
    /// that makes room for late orders.
    fn load_or_evict(&self, now: Time, load: Order) -> Option<Order> {
        if self.has_room(now, &load) {
            return Some(load);
        }
        let adapter = self.eviction_candidate(now)?;
        let unload = Order::UnloadAdapter { adapter };
        self.has_room(now, &unload).then_some(unload)
    }

    /// Removes requests that are satisfied or have expired.
    fn drop_stale_requests(&mut self, now: Time) {
        let report = &self.report;
        self.requests.retain(|adapter, request| {
            let ttl = if request.urgent {
                URGENT_TTL
            } else {
                BACKGROUND_TTL
            };
            let expired = now.since(request.last_renewed) > ttl;
            !expired && !request.is_satisfied(report, adapter)
        });
    }

    /// Returns a model of the service that the runner lacks and that fits into its memory beside the
    /// other models, unless a model was ordered recently.
    fn missing_model(&self, now: Time) -> Option<Name> {
        if self
            .model_ordered_at
            .is_some_and(|ordered_at| now < ordered_at.after(MODEL_LOAD_INTERVAL))
        {
            return None;
        }
        let specs = &self.capacity.models;
        let models_mb = self.models_mb();
        let missing = specs.iter().find(|spec| {
            let fits = models_mb + spec.weights_mb <= self.capacity.weights_mb;
            fits && !self.report.models.contains(&spec.name)
        });
        missing.map(|spec| spec.name.clone())
    }

    /// Returns the first adapter of the queue whose load may start beside those in progress. Loads
    /// from the runner's memory do not use the store, so they are not held back by its limit.
    fn next_to_load(&self) -> Option<Name> {
        let loading = &self.report.loading;
        if loading.len() >= MAX_PARALLEL_LOADS as usize {
            return None;
        }
        let from_store = loading
            .iter()
            .filter(|held| self.loads.is_from_store(&held.adapter))
            .count();
        let store_free = from_store < self.loads.profile().parallel as usize;
        let mut queue = self.queue();
        let (adapter, _) = queue.find(|(name, _)| store_free || self.loads.is_cached(name))?;
        Some(adapter.clone())
    }

    /// Returns the requested adapters that can be loaded: urgent ones first, of these the ones in
    /// the runner's memory, which take a tenth of the time, and then in the order in which they were
    /// first requested.
    fn queue(&self) -> impl Iterator<Item = (&Name, &AdapterRequest)> {
        let loadable = self.requests.iter().filter(|(adapter, request)| {
            let loading = self.report.is_loading(adapter);
            let satisfied = request.is_satisfied(&self.report, adapter);
            let has_model = self
                .report
                .models
                .iter()
                .any(|model| belongs_to(adapter, model));
            let being_removed = self.removals.contains_key(*adapter);
            !loading && !satisfied && !being_removed && has_model
        });
        let mut queue: Vec<(&Name, &AdapterRequest)> = loadable.collect();
        queue.sort_by_key(|(name, request)| {
            let from_store = !self.loads.is_cached(name);
            let order = (!request.urgent, from_store, request.first_requested);
            (order, (*name).clone())
        });
        queue.into_iter()
    }

    /// Returns the idle adapter with the least recent demand.
    fn eviction_candidate(&self, now: Time) -> Option<Name> {
        let weight = |held: &&VersionedAdapter| self.demand.weight(now, &held.adapter);
        let least_used = self
            .idle(now)
            .min_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        Some(least_used.adapter.clone())
    }

    /// Returns the adapters that can be evicted: no request uses or waits for them, and they were
    /// not loaded just now.
    fn idle(&self, now: Time) -> impl Iterator<Item = &VersionedAdapter> {
        self.report.adapters.iter().filter(move |held| {
            let used = self.inflight.keys().any(|(_, name)| *name == held.adapter)
                || self.admission.uses(&held.adapter);
            let loaded_at = self.loaded_at.get(&held.adapter);
            let fresh = loaded_at.is_some_and(|at| now < at.after(MIN_RESIDENCE));
            let loading = self.report.is_loading(&held.adapter);
            let being_removed = self.removals.contains_key(&held.adapter);
            !used
                && !fresh
                && !loading
                && !being_removed
                && !self.requests.contains_key(&held.adapter)
        })
    }
}

/// Returns whether an adapter, given as `MODEL/ADAPTER`, belongs to a model.
fn belongs_to(adapter: &str, model: &str) -> bool {
    let rest = adapter.strip_prefix(model);
    rest.is_some_and(|rest| rest.starts_with('/'))
}
