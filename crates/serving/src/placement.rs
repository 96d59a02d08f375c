//! Chooses the runner for a request, and the runner that loads an adapter.
//!
//! The runners of a service are ranked for each adapter by rendezvous hashing; the first in this
//! order is the adapter's home.
//!
//! Invariants: a runner that is draining or replaced is never chosen; all entries rank the runners
//! of an adapter alike, so that they do not load it at different runners.

use std::time::Duration;

use decision::hash;
use decision::health::BreakerDecision;
use decision::time::Time;
use derive_more::Display;

use crate::Name;
use crate::fleet::AdapterView;
use crate::fleet::Fleet;
use crate::fleet::Runner;
use crate::request::Artifact;

/// Assumed prefill throughput of a runner, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f32 = 40.0;
/// Cost of each request in a runner's batch, in milliseconds.
const BATCH_COST_MS: f32 = 1.0;
/// Cost of each request beyond a runner's slots, in milliseconds.
const QUEUE_COST_MS: f32 = 20.0;
/// Cost of a runner in another failure domain, in milliseconds.
const DOMAIN_COST_MS: f32 = 2.0;
/// Cost of a runner with an error rate of 1, in milliseconds; scaled by the error rate.
const ERROR_COST_MS: f32 = 800.0;
/// Maximum random addition to a cost, in milliseconds. It keeps entries that act on equally old
/// reports from all choosing the same runner.
const MAX_JITTER_MS: f32 = 2.0;
/// Expected time for loading an adapter from the weight store.
pub const LOAD_TIME: Duration = Duration::from_millis(280);
/// Expected time for loading an adapter that the runner still has in memory.
pub const CACHED_LOAD_TIME: Duration = Duration::from_millis(45);
/// Time from the end of an adapter's load until the agent's update about it arrives.
const UPDATE_DELAY: Duration = Duration::from_millis(10);
/// Cost of each rank below the home in an adapter's rendezvous order, in milliseconds. It outweighs
/// short-lived load differences, because another runner has to fetch the adapter from the weight
/// store, while the home can reload it from memory.
const RANK_COST_MS: f32 = 120.0;
/// Maximum number of adapters that load at one runner at the same time.
pub const MAX_PARALLEL_LOADS: usize = 4;
/// Cost of a load at a runner that has neither a free slot nor an adapter to evict, in
/// milliseconds.
const NO_ROOM_COST_MS: f32 = 400.0;
/// Cost of replacing an older version, which has to wait for the requests that run on it, in
/// milliseconds.
const REPLACE_COST_MS: f32 = 500.0;
/// Traffic of an adapter that calls for one replica, as a multiple of the average traffic per
/// runner. An entry sees only part of the traffic, and each replica takes a slot from another
/// adapter.
const TRAFFIC_PER_REPLICA: f64 = 0.8;
/// A replica is busy, so that another one is worth a slot and a load, when it has at least
/// 1/`BUSY_DIVISOR` of its slots in requests.
const BUSY_DIVISOR: u32 = 4;
/// Minimum interval between two additional replicas of one adapter.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(300);

/// What a request requires of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service that the runner must belong to.
    pub service: &'a str,
    /// The model and adapter; `None` if the request needs no model.
    pub artifact: Option<&'a Artifact>,
    /// The oldest adapter version that may serve the request; 0 for any.
    pub min_version: u64,
    /// Runners that must not be chosen.
    pub excluded: &'a [Name],
    /// The only runner that may be chosen; `None` for no such restriction.
    pub only_runner: Option<&'a Name>,
}

/// Availability of the required adapter at a runner.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Access {
    /// The adapter is loaded, or none is required.
    #[display("ready")]
    Ready {
        /// The loaded version; 0 if the request needs no adapter.
        version: u64,
    },
    /// The adapter is loading or queued for loading, and is expected at this time.
    #[display("coming")]
    Loading(Time),
    /// The adapter has to be requested from the runner's agent.
    #[display("absent")]
    Absent,
}

/// The runner chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The identifier of the runner.
    pub runner: Name,
    /// The availability of the adapter there.
    pub access: Access,
    /// The cost by which it was chosen, including jitter, in milliseconds.
    pub cost_ms: f32,
    /// The expected wait until the request runs there.
    pub wait: Duration,
    /// Another runner that should load a further replica of the adapter.
    pub replica: Option<Name>,
}

/// Why no runner can be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoRunner {
    /// No runner of the service is known.
    #[display("no runner of the service")]
    Unknown,
    /// All known runners of the service are draining or replaced.
    #[display("all runners are draining or replaced")]
    Leaving,
    /// The remaining runners are excluded or do not answer their agents, or they lack the adapter
    /// and there is no connection to their agents.
    #[display("no runner is left to try")]
    Exhausted,
    /// The remaining runners are still loading the model; holds the time at which the first of them
    /// was seen.
    #[display("the model is being loaded")]
    Loading(Time),
}

impl NoRunner {
    /// Returns the more specific of two causes.
    fn or(self, other: NoRunner) -> NoRunner {
        match (self, other) {
            (NoRunner::Loading(a), NoRunner::Loading(b)) => NoRunner::Loading(a.min(b)),
            (NoRunner::Loading(_), _) | (NoRunner::Exhausted, NoRunner::Leaving) => self,
            (_, NoRunner::Unknown) => self,
            _ => other,
        }
    }

    /// Returns after what time a refused caller should retry, if that is known; `model_load` is the
    /// time for loading the model's weights.
    pub fn retry_after(self, now: Time, model_load: Duration) -> Option<Duration> {
        match self {
            NoRunner::Loading(since) => Some(model_load.saturating_sub(now.since(since))),
            NoRunner::Unknown | NoRunner::Leaving | NoRunner::Exhausted => None,
        }
    }
}

impl Fleet {
    /// Chooses the runner with the lowest cost. Runners with an open circuit breaker are considered
    /// only if there is no other.
    ///
    /// # Errors
    ///
    /// Fails with the most specific cause if no runner meets the requirements.
    pub fn place(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        requirements: &Requirements<'_>,
    ) -> Result<Placement, NoRunner> {
        let order = self.rank_runners(requirements);
        let mut best: Option<(bool, f32, &Runner, Candidate)> = None;
        let mut cause = NoRunner::Unknown;
        for runner in self.runners() {
            if *runner.member.service != *requirements.service {
                continue;
            }
            let candidate = match self.evaluate(now, requirements, &order, runner) {
                Ok(candidate) => candidate,
                Err(other) => {
                    cause = cause.or(other);
                    continue;
                }
            };
            let cost_ms = candidate.cost_ms + MAX_JITTER_MS * rng.f32();
            let last_resort = runner.health.breaker_decision(now) == BreakerDecision::LastResort;
            let better = best
                .as_ref()
                .is_none_or(|(other, least, ..)| (last_resort, cost_ms) < (*other, *least));
            if better {
                best = Some((last_resort, cost_ms, runner, candidate));
            }
        }
        let best = best.map(|(_, cost_ms, runner, candidate)| {
            let busy = runner.total_inflight() >= runner.member.slots / BUSY_DIVISOR;
            (cost_ms, runner.member.id.clone(), candidate, busy)
        });
        self.rank_buffer = order.hashes;
        let (cost_ms, runner, candidate, busy) = best.ok_or(cause)?;
        let replica = match candidate.access {
            Access::Ready { .. } | Access::Loading(_) if busy => {
                self.choose_replica(now, requirements)
            }
            Access::Ready { .. } | Access::Loading(_) | Access::Absent => None,
        };
        Ok(Placement {
            runner,
            access: candidate.access,
            cost_ms,
            wait: Duration::from_secs_f32(candidate.wait_ms / 1_000.0),
            replica,
        })
    }

    /// Computes the cost of a runner for a request, or why the runner cannot serve it.
    fn evaluate(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        order: &RendezvousOrder,
        runner: &Runner,
    ) -> Result<Candidate, NoRunner> {
        if !runner.accepts_requests() {
            return Err(NoRunner::Leaving);
        }
        if requirements
            .only_runner
            .is_some_and(|only| *only != runner.member.id)
        {
            return Err(NoRunner::Exhausted);
        }
        if requirements.excluded.contains(&runner.member.id) {
            return Err(NoRunner::Exhausted);
        }
        let access = access(now, requirements, runner)
            .ok_or_else(|| unavailable_cause(requirements, runner))?;
        // The adapter loads while the runner serves the requests ahead, so only the longer of the
        // two waits counts.
        let queue_ms = queue_wait_ms(runner, requirements.artifact.is_some());
        let mut wait_ms = queue_ms.max(adapter_wait_ms(now, requirements, runner, access));
        if access == Access::Absent {
            wait_ms += load_queue_wait_ms(runner);
        }
        let mut cost_ms = wait_ms;
        if runner.member.domain != self.domain {
            cost_ms += DOMAIN_COST_MS;
        }
        cost_ms += runner.health.error_rate() * ERROR_COST_MS;
        if access == Access::Absent {
            cost_ms += load_cost_ms(requirements, order, runner);
        }
        Ok(Candidate {
            access,
            wait_ms,
            cost_ms,
        })
    }

    /// Returns the runners of a service that accept requests.
    fn accepting_runners<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Runner> {
        self.runners()
            .filter(move |runner| *runner.member.service == *service && runner.accepts_requests())
    }

    /// Returns the rendezvous order of the adapter among the runners that accept requests; empty if
    /// the request needs no adapter.
    fn rank_runners(&mut self, requirements: &Requirements<'_>) -> RendezvousOrder {
        let mut hashes = std::mem::take(&mut self.rank_buffer);
        hashes.clear();
        let adapter = requirements
            .artifact
            .and_then(|artifact| artifact.adapter.as_ref());
        let Some(adapter) = adapter else {
            return RendezvousOrder { key: 0, hashes };
        };
        let key = hash::hash_text(adapter);
        let runners = self.accepting_runners(requirements.service);
        hashes.extend(runners.map(|runner| hash::combine(key, runner.key)));
        hashes.sort_unstable_by(|a, b| b.cmp(a));
        RendezvousOrder { key, hashes }
    }

    /// Returns the relative position of a runner among the replicas of an adapter in rendezvous
    /// order: at least 0 and less than 1. Returns `None` if the runner neither holds nor loads the
    /// adapter.
    pub fn holder_position(&self, id: &str, adapter: &str) -> Option<f64> {
        let own = self.get(id)?;
        own.adapters.get(adapter)?;
        let key = hash::hash_text(adapter);
        let rank_hash = |runner: &Runner| hash::combine(key, runner.key);
        let own_hash = rank_hash(own);
        let replicas = self
            .runners()
            .filter(|other| other.adapters.contains_key(adapter));
        let (before, all) = replicas.fold((0, 0), |(before, all), other| {
            (before + u32::from(rank_hash(other) > own_hash), all + 1)
        });
        Some(f64::from(before) / f64::from(all))
    }

    /// Returns a runner that should load a further replica of the adapter, if the adapter's share
    /// of the traffic calls for one.
    fn choose_replica(&mut self, now: Time, requirements: &Requirements<'_>) -> Option<Name> {
        let adapter = requirements.artifact?.adapter.as_ref()?;
        self.last_replicated
            .retain(|_, last| now < last.after(REPLICATION_INTERVAL));
        if self.last_replicated.contains_key(adapter) {
            return None;
        }
        let runners: Vec<&Runner> = self.accepting_runners(requirements.service).collect();
        let replicas = runners
            .iter()
            .filter(|runner| runner.adapters.contains_key(adapter))
            .count();
        let share = self.demand.share(now, adapter);
        let wanted = (share * runners.len() as f64 / TRAFFIC_PER_REPLICA).round() as usize;
        if replicas >= wanted.min(runners.len()) {
            return None;
        }
        let eligible = runners.iter().filter(|runner| {
            !runner.adapters.contains_key(adapter) && runner.linked && runner.up && runner.room > 0
        });
        let key = hash::hash_text(adapter);
        let best = eligible.max_by_key(|runner| hash::combine(key, runner.key))?;
        let replica = best.member.id.clone();
        self.last_replicated.insert(adapter.clone(), now);
        Some(replica)
    }
}

/// A runner that can serve a request, with the values by which it is compared with others.
struct Candidate {
    access: Access,
    /// The expected wait until the request runs, in milliseconds.
    wait_ms: f32,
    /// The wait plus all other costs, without jitter, in milliseconds.
    cost_ms: f32,
}

/// The rendezvous order of an adapter.
struct RendezvousOrder {
    /// The hash of the adapter's name.
    key: u64,
    /// The combined hashes of the adapter and each runner, in descending order.
    hashes: Vec<u64>,
}

impl RendezvousOrder {
    /// Returns the runner's position in the order; 0 is the home.
    fn rank(&self, runner: &Runner) -> usize {
        let own = hash::combine(self.key, runner.key);
        self.hashes.partition_point(|hash| *hash > own)
    }
}

/// Returns the cost of loading the adapter at this runner in addition to the wait for the load.
fn load_cost_ms(requirements: &Requirements<'_>, order: &RendezvousOrder, runner: &Runner) -> f32 {
    let adapter = requirements
        .artifact
        .and_then(|artifact| artifact.adapter.as_ref());
    let Some(adapter) = adapter else {
        return 0.0;
    };
    let mut cost_ms = RANK_COST_MS * order.rank(runner) as f32;
    if runner.adapters.contains_key(adapter) {
        cost_ms += REPLACE_COST_MS;
    } else if runner.room == 0 {
        cost_ms += NO_ROOM_COST_MS;
    }
    cost_ms
}

/// Returns the availability of the required adapter at a runner; `None` if the runner cannot serve
/// the request.
fn access(now: Time, requirements: &Requirements<'_>, runner: &Runner) -> Option<Access> {
    let Some(artifact) = requirements.artifact else {
        return Some(Access::Ready { version: 0 });
    };
    if !runner.up || !runner.holds_model(&artifact.model) {
        return None;
    }
    let Some(adapter) = &artifact.adapter else {
        return Some(Access::Ready { version: 0 });
    };
    match runner.adapters.get(adapter) {
        Some(view) if view.version >= requirements.min_version => Some(view_access(now, view)),
        _ if runner.linked => Some(Access::Absent),
        _ => None,
    }
}

/// Returns why a runner that accepts requests cannot serve this one.
fn unavailable_cause(requirements: &Requirements<'_>, runner: &Runner) -> NoRunner {
    let artifact = requirements.artifact;
    if artifact.is_none_or(|artifact| runner.holds_model(&artifact.model)) {
        return NoRunner::Exhausted;
    }
    NoRunner::Loading(runner.first_seen)
}

fn view_access(now: Time, view: &AdapterView) -> Access {
    match view.ready_at {
        None => Access::Ready {
            version: view.version,
        },
        Some(ready_at) => Access::Loading(ready_at.max(now)),
    }
}

/// Returns the expected wait for the adapter, in milliseconds.
fn adapter_wait_ms(
    now: Time,
    requirements: &Requirements<'_>,
    runner: &Runner,
    access: Access,
) -> f32 {
    let wait = match access {
        Access::Ready { .. } => Duration::ZERO,
        Access::Loading(ready_at) => ready_at.since(now) + UPDATE_DELAY,
        Access::Absent => {
            let adapter = requirements
                .artifact
                .and_then(|artifact| artifact.adapter.as_ref());
            adapter.map_or(Duration::ZERO, |adapter| load_time(runner, adapter))
        }
    };
    wait.as_secs_f32() * 1_000.0
}

/// Returns the expected wait until a new load can begin at a runner, in milliseconds.
fn load_queue_wait_ms(runner: &Runner) -> f32 {
    let ahead = (runner.loading_count() + 1).saturating_sub(MAX_PARALLEL_LOADS);
    LOAD_TIME.as_secs_f32() * 1_000.0 * ahead as f32 / MAX_PARALLEL_LOADS as f32
}

/// Returns the expected time for loading an adapter at a runner, without the wait for other loads.
pub fn load_time(runner: &Runner, adapter: &str) -> Duration {
    if runner.held_recently(adapter) {
        CACHED_LOAD_TIME
    } else {
        LOAD_TIME
    }
}

/// Returns the expected wait for the requests that a runner already has, in milliseconds; `engine`
/// says whether the request runs on a model engine.
fn queue_wait_ms(runner: &Runner, engine: bool) -> f32 {
    let inflight = runner.total_inflight();
    let over_capacity = (inflight + 1).saturating_sub(runner.member.slots) as f32;
    if engine {
        let prefill_ms = runner.pending_prompt_tokens as f32 / PREFILL_TOKENS_PER_MS;
        return prefill_ms + inflight as f32 * BATCH_COST_MS + over_capacity * QUEUE_COST_MS;
    }
    let slots = runner.member.slots.max(1) as f32;
    let interval_ms = runner.service_ms / slots;
    over_capacity * interval_ms + inflight as f32 / slots * MAX_JITTER_MS * 2.0
}
