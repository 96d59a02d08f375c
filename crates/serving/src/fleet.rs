//! An entry's view of each runner: membership, adapters, load and health.
//!
//! Invariants: a view belongs to one incarnation of a runner; a restart with the same identifier
//! resets it. Every request counted by [`Fleet::begin_request`] is released once by
//! [`Fleet::end_request`].

use std::time::Duration;

use decision::collections::Map;
use decision::hash;
use decision::health::BreakerSettings;
use decision::health::Health;
use decision::time::Time;

use crate::Name;
use crate::demand::Demand;
use crate::demand::RateLevel;
use crate::link::RunnerUpdate;
use crate::link::Usage;
use crate::load_profile::LoadProfile;
use crate::load_profile::RecentAdapters;
use crate::runner::Member;
use crate::runner::Phase;
use crate::runner::RequestLoad;

/// Settings of the circuit breakers. The open periods are short, because runners recover within
/// seconds and each request that waits for a breaker is late.
const BREAKER_SETTINGS: BreakerSettings = BreakerSettings {
    open_min: Duration::from_millis(400),
    open_max: Duration::from_millis(1_600),
    max_consecutive: 3,
};
/// Weight of a new sample in a runner's moving average of latencies.
const LATENCY_ALPHA: f32 = 0.1;
/// Service time of a request that is assumed until the first sample, in milliseconds.
const DEFAULT_SERVICE_MS: f32 = 30.0;

/// An entry's view of an adapter at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterView {
    /// The version that is loaded or expected.
    pub version: u64,
    /// The time at which it is expected to be loaded; `None` if it is loaded.
    pub ready_at: Option<Time>,
    /// Whether this entry expects it without a report of it by the runner's agent.
    pub assumed: bool,
    /// The recent rate of requests for it at the runner, from all entries.
    pub rate: RateLevel,
}

/// A request counted at a runner, to be passed to [`Fleet::end_request`].
#[derive(Clone, Debug)]
pub struct InflightRequest {
    /// The identifier of the runner.
    pub runner: Name,
    adapter: Option<Name>,
    born: u64,
    prompt_tokens: u32,
    /// Whether `prompt_tokens` is still included in [`Runner::pending_prompt_tokens`].
    prompt_pending: bool,
}

/// What the end of an attempt says about the runner's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The runner responded; holds the time to the response or to its first event.
    Success(Duration),
    /// The runner failed or did not respond in time.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The attempt says nothing about the runner's health.
    Neutral,
}

/// An entry's view of one incarnation of a runner.
#[derive(Debug)]
pub struct Runner {
    /// Its membership record, updated with what its agent reports.
    pub member: Member,
    /// When this entry first saw this incarnation.
    pub first_seen: Time,
    /// The adapters that are loaded, loading or queued for loading.
    pub adapters: Map<Name, AdapterView>,
    /// Requests of this entry that run or wait there.
    pub inflight: u32,
    /// Prompt tokens of this entry's requests that have no response yet.
    pub pending_prompt_tokens: u32,
    /// Requests of all other entries that run or wait there, from the last reported load.
    pub others_inflight: u32,
    /// Its health as observed by this entry.
    pub health: Health,
    /// Number of adapters that can be loaded now, counting idle ones that can be evicted, as
    /// reported by its agent.
    pub room: u32,
    /// Whether a newer runner uses its address.
    pub replaced: bool,
    /// Whether this entry is connected to its agent.
    pub linked: bool,
    /// Whether its agent admits prompts.
    pub admits: bool,
    /// Whether it answers its agent.
    pub up: bool,
    /// When its agent last sent an update.
    pub reported_at: Time,
    /// The moving average of the latency of requests there, in milliseconds.
    pub service_ms: f32,
    /// The recent rate of requests for adapters there, from all entries, per second.
    pub rate: u32,
    /// The expected time for reading the prompts that wait for their admission there, in
    /// milliseconds.
    pub backlog_ms: u32,
    /// Its prefill throughput, in tokens per millisecond; 0 if unknown.
    pub prefill: u32,
    /// What its agent has learned from its loads.
    pub loads: LoadProfile,
    /// The hash of its identifier, for rendezvous hashing.
    pub(crate) key: u64,
    recent_adapters: RecentAdapters,
    usage: Map<Name, Usage>,
}

/// An entry's view of all runners.
#[derive(Debug)]
pub struct Fleet {
    /// The failure domain of the entry.
    pub domain: Name,
    /// The recent demand for each adapter.
    pub demand: Demand,
    /// When a further replica of each adapter was last requested.
    pub(crate) last_replicated: Map<Name, Time>,
    /// Buffer for rendezvous hashes, kept to avoid an allocation per request.
    pub(crate) rank_buffer: Vec<u64>,
    runners: Map<Name, Runner>,
    entry_count: u32,
}

impl Fleet {
    /// Creates an empty fleet for an entry in this failure domain.
    pub fn new(domain: Name) -> Self {
        Fleet {
            domain,
            demand: Demand::default(),
            last_replicated: Map::default(),
            rank_buffer: Vec::new(),
            runners: Map::default(),
            entry_count: 0,
        }
    }

    /// Returns the runner with this identifier.
    pub fn get(&self, id: &str) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Returns all known runners, including draining and replaced ones.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Returns the number of entry processes, as last reported by an agent; 0 if unknown.
    pub fn entry_count(&self) -> u32 {
        self.entry_count
    }

    /// Applies a membership record.
    pub fn join(&mut self, now: Time, member: Member) {
        let known = self.runners.get_mut(&member.id);
        if let Some(runner) = known
            && runner.member.born == member.born
        {
            runner.update(member);
            return;
        }
        // The membership list keeps the record of a crashed runner for some heartbeats, so two
        // records may name the same address.
        let mut replaced = false;
        for other in self.runners.values_mut() {
            let same_addr = other.member.addr == member.addr;
            other.replaced |= same_addr && other.member.born < member.born;
            replaced |= same_addr && other.member.born > member.born;
        }
        let mut runner = Runner::new(now, member);
        runner.replaced = replaced;
        self.runners.insert(runner.member.id.clone(), runner);
    }

    /// Records that another runner answers at a runner's address.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.replaced = true;
        }
    }

    /// Removes a runner that left the membership list.
    pub fn leave(&mut self, id: &str) {
        self.runners.remove(id);
    }

    /// Applies an update of a runner's agent; returns whether requests that wait for an adapter
    /// there should choose a runner again. An update about another incarnation changes only the
    /// number of entries.
    pub fn apply_update(&mut self, now: Time, id: &str, update: &RunnerUpdate) -> bool {
        self.entry_count = update.entries;
        match self.runners.get_mut(id) {
            Some(runner) if update.born == runner.member.born => runner.apply_update(now, update),
            _ => false,
        }
    }

    /// Records whether this entry is connected to a runner's agent.
    pub fn set_linked(&mut self, id: &str, linked: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.linked = linked;
        }
    }

    /// Records the load that a runner reported with a response.
    pub fn record_load(&mut self, id: &str, load: RequestLoad) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.set_total_load(load.running + load.waiting);
        }
    }

    /// Records that a runner rejected a request because it does not hold the adapter.
    pub fn remove_adapter(&mut self, id: &str, adapter: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.adapters.remove(adapter);
        }
    }

    /// Records that an adapter is expected at a runner at the time `ready_at`.
    pub fn expect_adapter(&mut self, id: &str, adapter: &Name, version: u64, ready_at: Time) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let view = AdapterView {
            version,
            ready_at: Some(ready_at),
            assumed: true,
            rate: RateLevel::default(),
        };
        runner.adapters.insert(adapter.clone(), view);
    }

    /// Counts a request that is about to be sent to a runner; `None` if the runner is unknown.
    pub fn begin_request(
        &mut self,
        id: &Name,
        adapter: Option<&Name>,
        prompt_tokens: u32,
    ) -> Option<InflightRequest> {
        let runner = self.runners.get_mut(id)?;
        runner.inflight += 1;
        runner.pending_prompt_tokens = runner.pending_prompt_tokens.saturating_add(prompt_tokens);
        if let Some(adapter) = adapter {
            let usage = runner.usage(adapter);
            usage.inflight += 1;
            usage.hits += 1;
        }
        Some(InflightRequest {
            runner: id.clone(),
            adapter: adapter.cloned(),
            born: runner.member.born,
            prompt_tokens,
            prompt_pending: true,
        })
    }

    /// Records that the runner has responded or sent the first event of a stream.
    pub fn mark_answered(&mut self, request: &mut InflightRequest) {
        if !request.prompt_pending {
            return;
        }
        request.prompt_pending = false;
        if let Some(runner) = self.runner_of(request) {
            runner.pending_prompt_tokens = runner
                .pending_prompt_tokens
                .saturating_sub(request.prompt_tokens);
        }
    }

    /// Removes a request from the runner's counts and records how it ended.
    pub fn end_request(
        &mut self,
        now: Time,
        mut request: InflightRequest,
        signal: HealthSignal,
        rng: &mut fastrand::Rng,
    ) {
        self.mark_answered(&mut request);
        let Some(runner) = self.runner_of(&request) else {
            return;
        };
        runner.inflight = runner.inflight.saturating_sub(1);
        if let Some(adapter) = &request.adapter {
            let usage = runner.usage(adapter);
            usage.inflight = usage.inflight.saturating_sub(1);
        }
        runner.observe(now, signal, rng);
    }

    /// Records a health signal of a runner to which no request was sent.
    pub fn observe(&mut self, now: Time, id: &str, signal: HealthSignal, rng: &mut fastrand::Rng) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.observe(now, signal, rng);
        }
    }

    /// Returns how this entry has used a runner's adapters since the last call, and resets the
    /// hits.
    pub fn take_usage(&mut self, id: &str) -> Vec<Usage> {
        let Some(runner) = self.runners.get_mut(id) else {
            return Vec::new();
        };
        let usages: Vec<Usage> = runner
            .usage
            .values()
            .filter(|usage| usage.hits > 0 || usage.inflight > 0)
            .cloned()
            .collect();
        runner.usage.retain(|_, usage| usage.inflight > 0);
        for usage in runner.usage.values_mut() {
            usage.hits = 0;
        }
        usages
    }

    fn runner_of(&mut self, request: &InflightRequest) -> Option<&mut Runner> {
        let runner = self.runners.get_mut(&request.runner)?;
        (runner.member.born == request.born).then_some(runner)
    }
}

impl Runner {
    fn new(now: Time, member: Member) -> Self {
        let adapters = member
            .adapters
            .iter()
            .map(|held| (held.adapter.clone(), loaded(held.version)))
            .collect();
        Runner {
            key: hash::hash_text(&member.id),
            first_seen: now,
            member,
            adapters,
            inflight: 0,
            pending_prompt_tokens: 0,
            others_inflight: 0,
            health: Health::with_breaker_settings(BREAKER_SETTINGS),
            room: 0,
            replaced: false,
            linked: false,
            admits: false,
            up: true,
            reported_at: Time::default(),
            service_ms: DEFAULT_SERVICE_MS,
            rate: 0,
            backlog_ms: 0,
            prefill: 0,
            loads: LoadProfile::default(),
            recent_adapters: RecentAdapters::default(),
            usage: Map::default(),
        }
    }

    /// Returns whether new requests may be sent there.
    pub fn accepts_requests(&self) -> bool {
        self.member.phase == Phase::Ready && !self.replaced
    }

    /// Returns whether the runner holds a model, according to its membership record and its agent.
    pub fn holds_model(&self, model: &str) -> bool {
        self.member.models.iter().any(|name| &**name == model)
    }

    /// Returns the number of requests there, including those of other entries.
    pub fn total_inflight(&self) -> u32 {
        self.inflight + self.others_inflight
    }

    /// Returns the number of adapters that are loading or queued for loading.
    pub fn loading_count(&self) -> usize {
        self.adapters
            .values()
            .filter(|view| view.ready_at.is_some())
            .count()
    }

    /// Returns whether an adapter was unloaded recently, so that the runner can load it from
    /// memory.
    pub fn held_recently(&self, adapter: &str) -> bool {
        let age = self.recent_adapters.age(adapter);
        age.is_some_and(|age| age < self.loads.cached_adapters)
    }

    /// Returns the expected time for loading an adapter, without the wait for other loads.
    pub fn load_time(&self, adapter: &str) -> Duration {
        let ms = if self.held_recently(adapter) {
            self.loads.cached_ms
        } else {
            self.loads.store_ms
        };
        Duration::from_millis(u64::from(ms))
    }

    /// Applies a newer membership record of the same incarnation. A draining runner stays draining.
    /// While the agent is connected, its updates take precedence for models and adapters.
    fn update(&mut self, member: Member) {
        let draining = self.member.phase == Phase::Draining;
        let models = std::mem::replace(&mut self.member, member).models;
        if self.linked {
            self.member.models = models;
        }
        if draining {
            self.member.phase = Phase::Draining;
        }
        if !self.linked {
            let adapters = self.member.adapters.iter();
            self.adapters = adapters
                .map(|held| (held.adapter.clone(), loaded(held.version)))
                .collect();
        }
    }

    fn apply_update(&mut self, now: Time, update: &RunnerUpdate) -> bool {
        let reachability_or_models_changed = self.up != update.up || update.models.is_some();
        self.reported_at = now;
        self.linked = true;
        self.up = update.up;
        self.room = update.room;
        self.rate = update.rate;
        self.backlog_ms = update.backlog_ms;
        self.prefill = update.prefill;
        self.loads = update.loads.unwrap_or(self.loads);
        if let Some(models) = &update.models {
            self.member.models.clone_from(models);
        }
        if update.draining {
            self.member.phase = Phase::Draining;
        }
        self.set_total_load(update.running + update.queued);
        // An assumed adapter is kept until its expected time, so that it is not requested again
        // before the agent could report it.
        self.adapters
            .retain(|_, view| !view.assumed || view.ready_at.is_some_and(|at| at > now));
        if update.full {
            self.admits = update.admits;
            self.adapters.retain(|_, view| view.assumed);
        }
        for adapter in &update.removed {
            if self
                .adapters
                .remove(adapter)
                .is_some_and(|view| view.ready_at.is_none())
            {
                self.recent_adapters.push(adapter.clone());
            }
        }
        for status in &update.adapters {
            let wait = Duration::from_millis(u64::from(status.wait_ms));
            let view = AdapterView {
                version: status.version,
                ready_at: (status.wait_ms > 0).then(|| now.after(wait)),
                assumed: false,
                rate: status.rate,
            };
            if view.ready_at.is_none() {
                self.recent_adapters.remove(&status.adapter);
            }
            self.adapters.insert(status.adapter.clone(), view);
        }
        reachability_or_models_changed
            || update.draining
            || !update.adapters.is_empty()
            || !update.removed.is_empty()
    }

    /// Derives the load by other entries from the total number of requests.
    fn set_total_load(&mut self, total: u32) {
        self.others_inflight = total.saturating_sub(self.inflight);
    }

    fn observe(&mut self, now: Time, signal: HealthSignal, rng: &mut fastrand::Rng) {
        match signal {
            HealthSignal::Success(latency) => {
                // Any success closes a half-open breaker, not only that of the probe request.
                let probe = !matches!(
                    self.health.breaker(),
                    decision::health::BreakerState::Closed
                );
                self.health.record_success(latency, probe);
                let latency_ms = latency.as_secs_f32() * 1_000.0;
                self.service_ms += LATENCY_ALPHA * (latency_ms - self.service_ms);
            }
            HealthSignal::Failed => self.health.record_failure(now, rng, true),
            HealthSignal::Unreachable => self.health.record_unreachable(now, rng),
            HealthSignal::Neutral => {}
        }
    }

    fn usage(&mut self, adapter: &Name) -> &mut Usage {
        self.usage.entry(adapter.clone()).or_insert_with(|| Usage {
            adapter: adapter.clone(),
            inflight: 0,
            hits: 0,
        })
    }
}

fn loaded(version: u64) -> AdapterView {
    AdapterView {
        version,
        ready_at: None,
        assumed: false,
        rate: RateLevel::default(),
    }
}
