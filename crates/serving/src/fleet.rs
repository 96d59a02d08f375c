//! What an entry knows of each runner: membership, adapters, load and health.
//!
//! Invariants: a view belongs to one incarnation of a runner; a restart under the same id empties
//! it. Every request counted by [`Fleet::begin_request`] is released once by [`Fleet::end_request`].

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use decision::hash;
use decision::health::BreakerSettings;
use decision::health::Health;
use decision::time::Time;

use crate::Name;
use crate::demand::Demand;
use crate::link::RunnerUpdate;
use crate::link::Usage;
use crate::runner::Member;
use crate::runner::Phase;
use crate::runner::RequestLoad;

/// Adapters that a runner is assumed to keep in its memory after they left its slots.
const MAX_RECENT: usize = 100;
/// The pace of the circuit breakers. Runners come back within seconds, and each request that waits
/// for a breaker is late.
const PACE: BreakerSettings = BreakerSettings {
    open_min: Duration::from_millis(400),
    open_max: Duration::from_millis(1_600),
    max_consecutive: 3,
};
/// The weight of one latency in a runner's moving average.
const LATENCY_ALPHA: f32 = 0.1;
/// The assumed time of a plain request before one was measured, in milliseconds.
const DEFAULT_SERVICE_MS: f32 = 30.0;

/// An adapter at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterView {
    /// Its version.
    pub version: u64,
    /// When it is expected; `None` if it is there.
    pub ready_at: Option<Time>,
    /// Whether this entry expects it without word from the runner's agent.
    pub assumed: bool,
}

/// One request at a runner, to be handed back at its end.
#[derive(Clone, Debug)]
pub struct InflightRequest {
    /// The runner.
    pub runner: Name,
    adapter: Option<Name>,
    born: u64,
    tokens: u32,
    unread: bool,
}

/// How an attempt ended, as far as health and load depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The runner answered; the time to the answer or its first event.
    Success(Duration),
    /// The runner failed or did not answer in time.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// It says nothing about the runner's health.
    Neutral,
}

/// What an entry knows of one incarnation of a runner.
#[derive(Debug)]
pub struct Runner {
    /// Its membership entry.
    pub member: Member,
    /// When this incarnation was first heard of.
    pub first_seen: Time,
    /// The adapters there and on their way.
    pub adapters: Map<Name, AdapterView>,
    /// Requests of this entry that run or wait there.
    pub inflight: u32,
    /// Prompt tokens of this entry's requests that have not answered yet.
    pub pending_prompt_tokens: u32,
    /// Requests of all others, as last reported.
    pub others_inflight: u32,
    /// Its health as this entry observed it.
    pub health: Health,
    /// Adapters that can be loaded at once, as its agent reported.
    pub room: u32,
    /// Whether another runner has its address by now.
    pub replaced: bool,
    /// Whether its agent is connected.
    pub linked: bool,
    /// Whether its agent reaches it.
    pub up: bool,
    /// When its agent last reported.
    pub reported_at: Time,
    /// The moving average of a request's time there, in milliseconds.
    pub service_ms: f32,
    /// The hash of its identifier.
    pub(crate) key: u64,
    recent: VecDeque<Name>,
    usage: Map<Name, Usage>,
}

/// All runners that an entry may send requests to.
#[derive(Debug)]
pub struct Fleet {
    /// The entry's failure domain.
    pub domain: Name,
    /// The recent traffic per adapter.
    pub demand: Demand,
    pub(crate) replicated: Map<Name, Time>,
    pub(crate) orders: Vec<u64>,
    runners: Map<Name, Runner>,
    entries: u32,
}

impl Fleet {
    /// Creates a fleet without runners for an entry in this failure domain.
    pub fn new(domain: Name) -> Self {
        Fleet {
            domain,
            demand: Demand::default(),
            replicated: Map::default(),
            orders: Vec::new(),
            runners: Map::default(),
            entries: 0,
        }
    }

    /// Returns a runner.
    pub fn get(&self, id: &str) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Returns all runners.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Returns the number of entries, as the agents last counted them; 0 if unknown.
    pub fn entry_count(&self) -> u32 {
        self.entries
    }

    /// Applies a membership entry.
    pub fn join(&mut self, now: Time, member: Member) {
        let known = self.runners.get_mut(&member.id);
        if let Some(runner) = known
            && runner.member.born == member.born
        {
            runner.update(member);
            return;
        }
        // The membership keeps an entry for some heartbeats after its runner has crashed.
        let mut replaced = false;
        for other in self.runners.values_mut() {
            let same = other.member.addr == member.addr;
            other.replaced |= same && other.member.born < member.born;
            replaced |= same && other.member.born > member.born;
        }
        let mut runner = Runner::new(now, member);
        runner.replaced = replaced;
        self.runners.insert(runner.member.id.clone(), runner);
    }

    /// Notes that another runner answers at a runner's address.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.replaced = true;
        }
    }

    /// Removes a runner that is gone.
    pub fn leave(&mut self, id: &str) {
        self.runners.remove(id);
    }

    /// Applies what a runner's agent told; returns whether a request that waits for an adapter there
    /// should look again.
    pub fn apply_update(&mut self, now: Time, id: &str, update: &RunnerUpdate) -> bool {
        self.entries = update.entries;
        match self.runners.get_mut(id) {
            Some(runner) if update.born == runner.member.born => runner.report(now, update),
            _ => false,
        }
    }

    /// Notes whether a runner's agent is connected.
    pub fn set_linked(&mut self, id: &str, linked: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.linked = linked;
        }
    }

    /// Notes the load that a runner told with an answer.
    pub fn record_load(&mut self, id: &str, load: RequestLoad) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.note_load(load.running + load.waiting);
        }
    }

    /// Notes that a runner turned a request away because it does not hold the adapter.
    pub fn remove_adapter(&mut self, id: &str, adapter: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.adapters.remove(adapter);
        }
    }

    /// Notes that an adapter was asked for at a runner and is expected there.
    pub fn expect_adapter(&mut self, id: &str, adapter: &Name, version: u64, ready: Time) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let hold = AdapterView {
            version,
            ready_at: Some(ready),
            assumed: true,
        };
        runner.adapters.insert(adapter.clone(), hold);
    }

    /// Counts a request that is sent to a runner now.
    pub fn begin_request(
        &mut self,
        id: &Name,
        adapter: Option<&Name>,
        tokens: u32,
    ) -> Option<InflightRequest> {
        let runner = self.runners.get_mut(id)?;
        runner.inflight += 1;
        runner.pending_prompt_tokens = runner.pending_prompt_tokens.saturating_add(tokens);
        if let Some(adapter) = adapter {
            let usage = runner.usage(adapter);
            usage.inflight += 1;
            usage.hits += 1;
        }
        Some(InflightRequest {
            runner: id.clone(),
            adapter: adapter.cloned(),
            born: runner.member.born,
            tokens,
            unread: true,
        })
    }

    /// Notes that the runner has answered or sent the first event.
    pub fn mark_answered(&mut self, lease: &mut InflightRequest) {
        if !lease.unread {
            return;
        }
        lease.unread = false;
        if let Some(runner) = self.leased(lease) {
            runner.pending_prompt_tokens =
                runner.pending_prompt_tokens.saturating_sub(lease.tokens);
        }
    }

    /// Releases a request and notes how it ended.
    pub fn end_request(
        &mut self,
        now: Time,
        mut lease: InflightRequest,
        end: HealthSignal,
        rng: &mut fastrand::Rng,
    ) {
        self.mark_answered(&mut lease);
        let Some(runner) = self.leased(&lease) else {
            return;
        };
        runner.inflight = runner.inflight.saturating_sub(1);
        if let Some(adapter) = &lease.adapter {
            let usage = runner.usage(adapter);
            usage.inflight = usage.inflight.saturating_sub(1);
        }
        runner.observe(now, end, rng);
    }

    /// Notes an outcome at a runner to which no request was sent.
    pub fn observe(&mut self, now: Time, id: &str, end: HealthSignal, rng: &mut fastrand::Rng) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.observe(now, end, rng);
        }
    }

    /// Returns how this entry has used a runner's adapters since the last call.
    pub fn take_usage(&mut self, id: &str) -> Vec<Usage> {
        let Some(runner) = self.runners.get_mut(id) else {
            return Vec::new();
        };
        let used: Vec<Usage> = runner
            .usage
            .values()
            .filter(|usage| usage.hits > 0 || usage.inflight > 0)
            .cloned()
            .collect();
        runner.usage.retain(|_, usage| usage.inflight > 0);
        for usage in runner.usage.values_mut() {
            usage.hits = 0;
        }
        used
    }

    fn leased(&mut self, lease: &InflightRequest) -> Option<&mut Runner> {
        let runner = self.runners.get_mut(&lease.runner)?;
        (runner.member.born == lease.born).then_some(runner)
    }
}

impl Runner {
    fn new(now: Time, member: Member) -> Self {
        let adapters = member
            .adapters
            .iter()
            .map(|held| (held.adapter.clone(), resident(held.version)))
            .collect();
        Runner {
            key: hash::hash_text(&member.id),
            first_seen: now,
            member,
            adapters,
            inflight: 0,
            pending_prompt_tokens: 0,
            others_inflight: 0,
            health: Health::with_breaker_settings(PACE),
            room: 0,
            replaced: false,
            linked: false,
            up: true,
            reported_at: Time::default(),
            service_ms: DEFAULT_SERVICE_MS,
            recent: VecDeque::new(),
            usage: Map::default(),
        }
    }

    /// Returns whether new requests may be sent there.
    pub fn accepts_requests(&self) -> bool {
        self.member.phase == Phase::Ready && !self.replaced
    }

    /// Returns whether the runner holds a model, as far as is known.
    pub fn holds_model(&self, model: &str) -> bool {
        self.member.models.iter().any(|name| &**name == model)
    }

    /// Returns the requests there, those of other entries included.
    pub fn total_inflight(&self) -> u32 {
        self.inflight + self.others_inflight
    }

    /// Returns the adapters that are on their way or wait for their turn.
    pub fn loading_count(&self) -> usize {
        self.adapters
            .values()
            .filter(|hold| hold.ready_at.is_some())
            .count()
    }

    /// Returns whether the runner held an adapter recently, so that a load is fast.
    pub fn held_recently(&self, adapter: &str) -> bool {
        self.recent.iter().any(|name| &**name == adapter)
    }

    /// Takes over a newer entry of the same incarnation. A drain is never taken back.
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
            let held = self.member.adapters.iter();
            self.adapters = held
                .map(|held| (held.adapter.clone(), resident(held.version)))
                .collect();
        }
    }

    fn report(&mut self, now: Time, update: &RunnerUpdate) -> bool {
        let opened = self.up != update.up || update.models.is_some();
        self.reported_at = now;
        self.linked = true;
        self.up = update.up;
        self.room = update.room;
        if let Some(models) = &update.models {
            self.member.models.clone_from(models);
        }
        if update.draining {
            self.member.phase = Phase::Draining;
        }
        self.note_load(update.running + update.queued);
        // Requests that run there keep an assumed adapter from being asked for twice until the
        // agent has had the time to tell of it.
        self.adapters
            .retain(|_, hold| !hold.assumed || hold.ready_at.is_some_and(|ready| ready > now));
        if update.full {
            self.adapters.retain(|_, hold| hold.assumed);
        }
        for adapter in &update.removed {
            if self
                .adapters
                .remove(adapter)
                .is_some_and(|hold| hold.ready_at.is_none())
            {
                self.remember(adapter.clone());
            }
        }
        for place in &update.adapters {
            let wait = Duration::from_millis(u64::from(place.wait_ms));
            let hold = AdapterView {
                version: place.version,
                ready_at: (place.wait_ms > 0).then(|| now.after(wait)),
                assumed: false,
            };
            self.adapters.insert(place.adapter.clone(), hold);
        }
        opened || update.draining || !update.adapters.is_empty() || !update.removed.is_empty()
    }

    fn remember(&mut self, adapter: Name) {
        self.recent.retain(|name| *name != adapter);
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(adapter);
    }

    fn note_load(&mut self, all: u32) {
        self.others_inflight = all.saturating_sub(self.inflight);
    }

    fn observe(&mut self, now: Time, end: HealthSignal, rng: &mut fastrand::Rng) {
        match end {
            HealthSignal::Success(time) => {
                // A success of a half-open breaker closes it, whichever request it was.
                let probe = !matches!(
                    self.health.breaker(),
                    decision::health::BreakerState::Closed
                );
                self.health.record_success(time, probe);
                let ms = time.as_secs_f32() * 1_000.0;
                self.service_ms += LATENCY_ALPHA * (ms - self.service_ms);
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

fn resident(version: u64) -> AdapterView {
    AdapterView {
        version,
        ready_at: None,
        assumed: false,
    }
}
