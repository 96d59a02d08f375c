//! An entry's view of one runner.

use std::time::Duration;

use decision::collections::Map;
use decision::hash;
use decision::health::BreakerSettings;
use decision::health::Health;
use decision::time::Time;

use super::address::Claim;
use crate::Name;
use crate::demand::RateLevel;
use crate::link::RunnerUpdate;
use crate::link::Usage;
use crate::load_estimate::LoadEstimate;
use crate::load_estimate::ServiceAverage;
use crate::load_profile::LoadProfile;
use crate::load_profile::RecentAdapters;
use crate::runner::Member;
use crate::runner::Phase;
use crate::runner::RequestLoad;
use crate::silence;
use crate::silence::SilenceScope;

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

/// The time in which several silent attempts at a silent runner count as one failure.
const SILENT_MOMENT: Duration = Duration::from_secs(1);

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
    /// Whether another runner holds its address.
    pub replaced: bool,
    pub(super) claim: Claim,
    /// Whether this entry is connected to its agent.
    pub linked: bool,
    /// Whether its agent admits prompts, according to its last full update.
    pub(super) admits: bool,
    /// Whether its agent puts crashes together, according to its last full update.
    pub(super) crashes: bool,
    /// Until when its agent is not asked for admissions, because it did not answer the last time.
    pub(super) unasked_until: Time,
    /// Whether it answers its agent.
    pub up: bool,
    /// When this entry last got a part of an answer from it; `None` if it never has.
    pub heard_at: Option<Time>,
    /// When it was last found silent as a whole.
    silent_at: Option<Time>,
    /// When its agent last sent an update.
    pub reported_at: Time,
    /// The moving average of the latency of requests there, in milliseconds.
    pub service_ms: f32,
    /// What this entry has learned of its load and speed.
    pub load: LoadEstimate,
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
    pub(super) recent_adapters: RecentAdapters,
    pub(super) usage: Map<Name, Usage>,
}

impl Runner {
    pub(super) fn new(now: Time, member: Member) -> Self {
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
            claim: Claim::default(),
            linked: false,
            admits: false,
            crashes: false,
            unasked_until: Time::default(),
            up: true,
            heard_at: None,
            silent_at: None,
            reported_at: Time::default(),
            service_ms: DEFAULT_SERVICE_MS,
            load: LoadEstimate::default(),
            rate: 0,
            backlog_ms: 0,
            prefill: 0,
            loads: LoadProfile::default(),
            recent_adapters: RecentAdapters::default(),
            usage: Map::default(),
        }
    }

    /// Returns whether a prompt should be admitted by the runner's agent before it is sent.
    pub fn admits_prompts(&self, now: Time) -> bool {
        self.linked && self.admits && now >= self.unasked_until
    }

    /// Returns whether attempts that break there are reported to the runner's agent.
    pub fn collects_crashes(&self) -> bool {
        self.linked && self.crashes
    }

    /// Returns whether new requests may be sent there.
    pub fn accepts_requests(&self) -> bool {
        self.member.phase == Phase::Ready && !self.replaced
    }

    /// Returns whether the runner holds a model, according to its membership record and its agent.
    pub fn holds_model(&self, model: &str) -> bool {
        self.member.models.iter().any(|name| &**name == model)
    }

    /// Returns the number of requests that are expected there now, including those of other entries.
    pub(crate) fn expected_load(&self, now: Time, average: &ServiceAverage) -> f32 {
        let usual = average.others * self.expected_slots(now);
        let others = self.load.expected_others(now, self.others_inflight, usual);
        self.inflight as f32 + others
    }

    /// Returns the number of requests that it is expected to run concurrently.
    pub(crate) fn expected_slots(&self, now: Time) -> f32 {
        self.load.expected_slots(now, self.member.slots)
    }

    /// Returns the number of requests there, including those of other entries as last reported.
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
    pub(super) fn update(&mut self, member: Member) {
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

    pub(super) fn apply_update(&mut self, now: Time, update: &RunnerUpdate) -> bool {
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
        self.record_load(now, RequestLoad::new(update.running, update.queued));
        // An assumed adapter is kept until its expected time, so that it is not requested again
        // before the agent could report it.
        self.adapters
            .retain(|_, view| !view.assumed || view.ready_at.is_some_and(|at| at > now));
        if update.full {
            self.admits = update.admits;
            self.crashes = update.crashes;
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

    /// Records a reported load, and derives that by other entries.
    pub(super) fn record_load(&mut self, now: Time, load: RequestLoad) {
        self.others_inflight = load.total().saturating_sub(self.inflight);
        self.load
            .record(now, load, self.others_inflight, self.member.slots);
    }

    pub(super) fn observe(&mut self, now: Time, signal: HealthSignal, rng: &mut fastrand::Rng) {
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
                self.load.record_latency(now, latency);
            }
            HealthSignal::Failed => self.health.record_failure(now, rng, true),
            HealthSignal::Unreachable => self.health.record_unreachable(now, rng),
            HealthSignal::Neutral => {}
        }
    }

    /// Records that an attempt is silent. A runner that is silent as a whole fails once, however many
    /// attempts wait there; one that answers others fails with each.
    pub(super) fn observe_silence(
        &mut self,
        now: Time,
        since: Time,
        rng: &mut fastrand::Rng,
    ) -> SilenceScope {
        let scope = silence::scope(now, since, self.heard_at);
        let counted = match scope {
            SilenceScope::Request => true,
            SilenceScope::Runner => {
                let before = self.silent_at;
                before.is_none_or(|before| now.since(before) >= SILENT_MOMENT)
            }
        };
        if counted {
            self.observe(now, HealthSignal::Failed, rng);
        }
        if counted && scope == SilenceScope::Runner {
            self.silent_at = Some(now);
        }
        scope
    }

    pub(super) fn usage(&mut self, adapter: &Name) -> &mut Usage {
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
