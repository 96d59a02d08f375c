//! Which runner a request goes to, and where an adapter is loaded.
//!
//! Invariants: a runner that is leaving is never chosen; all entries rank the homes of an adapter
//! alike, so that they do not load it at different runners.

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

/// The assumed speed of reading prompts, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f32 = 40.0;
/// The cost of one more request in a runner's batch, in milliseconds.
const BATCH_MS: f32 = 1.0;
/// The cost of each request beyond a runner's slots, in milliseconds.
const QUEUE_MS: f32 = 20.0;
/// The cost of another failure domain, in milliseconds.
const DOMAIN_MS: f32 = 2.0;
/// The cost of a runner that always fails, in milliseconds.
const HEALTH_MS: f32 = 800.0;
/// The largest random part of a cost, in milliseconds; keeps entries from acting alike on reports
/// that are equally old.
const JITTER_MS: f32 = 2.0;
/// The time of a load from the weight store.
pub const LOAD_TIME: Duration = Duration::from_millis(280);
/// The time of a load from a runner's memory.
pub const CACHED_LOAD_TIME: Duration = Duration::from_millis(45);
/// The time from an adapter's arrival until its runner's agent has told of it.
const COMING_MARGIN: Duration = Duration::from_millis(10);
/// The cost of each step down in the order of an adapter's homes, in milliseconds. It outweighs
/// passing differences of load: an adapter that moves is fetched from the weight store again, while
/// its home brings it back from memory.
const HOME_MS: f32 = 120.0;
/// Adapters that may be on their way to one runner at once.
pub const MAX_PARALLEL_LOADS: usize = 4;
/// The cost of a load at a runner without an adapter that can give way, in milliseconds.
const NO_ROOM_MS: f32 = 400.0;
/// The cost of replacing an older version, which waits for the requests that run on it.
const REPLACE_MS: f32 = 500.0;
/// The share of all traffic that one holder of an adapter serves, in shares of one runner. An entry
/// sees only a part of the traffic, and a replica takes the place of another adapter.
const HOLDER_SHARE: f64 = 0.8;
/// The best holder of an adapter is busy, so that another one is worth a slot and a load, from one
/// in this many of its slots on.
const BUSY_PART: u32 = 4;
/// The pause between two additional holders of one adapter.
const REPLICATE_PAUSE: Duration = Duration::from_millis(300);

/// What a request needs of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a str,
    /// The model and adapter, if it needs one.
    pub artifact: Option<&'a Artifact>,
    /// The oldest version that may run.
    pub min_version: u64,
    /// Runners that are not chosen.
    pub excluded: &'a [Name],
    /// The only runner that may be chosen, if it is bound to one.
    pub only_runner: Option<&'a Name>,
}

/// What a runner has of the adapter.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Access {
    /// It is there in this version, or none is needed.
    #[display("ready")]
    Ready {
        /// The version; 0 if the request needs no adapter.
        version: u64,
    },
    /// It is on its way.
    #[display("coming")]
    Coming(Time),
    /// It has to be loaded.
    #[display("absent")]
    Absent,
}

/// The chosen runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The runner.
    pub runner: Name,
    /// What it has of the adapter.
    pub access: Access,
    /// The cost by which it was chosen, in milliseconds.
    pub cost_ms: f32,
    /// The expected wait until the request runs there.
    pub wait: Duration,
    /// Another runner that should load the adapter too.
    pub replica: Option<Name>,
}

/// Why no runner can be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoRunner {
    /// No runner of the service is known.
    #[display("no runner of the service")]
    Unknown,
    /// All of them are leaving.
    #[display("all runners are leaving")]
    Leaving,
    /// Those that are left were tried or do not answer.
    #[display("no runner is left to try")]
    Exhausted,
    /// The model is on its way to those that are left; the first one started then.
    #[display("the model is being loaded")]
    Loading(Time),
}

impl NoRunner {
    /// Returns the cause that says more of two.
    fn or(self, other: NoRunner) -> NoRunner {
        match (self, other) {
            (NoRunner::Loading(a), NoRunner::Loading(b)) => NoRunner::Loading(a.min(b)),
            (NoRunner::Loading(_), _) | (NoRunner::Exhausted, NoRunner::Leaving) => self,
            (_, NoRunner::Unknown) => self,
            _ => other,
        }
    }

    /// Returns when a refused caller should return at the earliest, if that is known; `model_load` is
    /// the time of a load of the model's weights.
    pub fn retry_after(self, now: Time, model_load: Duration) -> Option<Duration> {
        match self {
            NoRunner::Loading(since) => Some(model_load.saturating_sub(now.since(since))),
            NoRunner::Unknown | NoRunner::Leaving | NoRunner::Exhausted => None,
        }
    }
}

impl Fleet {
    /// Chooses the runner with the least expected wait.
    pub fn place(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &Requirements<'_>,
    ) -> Result<Placement, NoRunner> {
        let ranks = self.rank_homes(want);
        let mut best: Option<(bool, f32, &Runner, Weighed)> = None;
        let mut reason = NoRunner::Unknown;
        for runner in self.runners() {
            if *runner.member.service != *want.service {
                continue;
            }
            let weighed = match self.weigh(now, want, &ranks, runner) {
                Ok(weighed) => weighed,
                Err(cause) => {
                    reason = reason.or(cause);
                    continue;
                }
            };
            let cost = weighed.cost + JITTER_MS * rng.f32();
            let open = runner.health.breaker_decision(now) == BreakerDecision::LastResort;
            let better = best
                .as_ref()
                .is_none_or(|(other, least, ..)| (open, cost) < (*other, *least));
            if better {
                best = Some((open, cost, runner, weighed));
            }
        }
        let best = best.map(|(_, cost, runner, weighed)| {
            let busy = runner.total_inflight() >= runner.member.slots / BUSY_PART;
            (cost, runner.member.id.clone(), weighed, busy)
        });
        self.orders = ranks.orders;
        let (cost_ms, runner, weighed, busy) = best.ok_or(reason)?;
        let replica = match weighed.access {
            Access::Ready { .. } | Access::Coming(_) if busy => self.replica(now, want),
            Access::Ready { .. } | Access::Coming(_) | Access::Absent => None,
        };
        Ok(Placement {
            runner,
            access: weighed.access,
            cost_ms,
            wait: Duration::from_secs_f32(weighed.wait / 1_000.0),
            replica,
        })
    }

    /// Returns what a runner has of the adapter, the expected wait and the cost there.
    fn weigh(
        &self,
        now: Time,
        want: &Requirements<'_>,
        ranks: &Ranks,
        runner: &Runner,
    ) -> Result<Weighed, NoRunner> {
        if !runner.accepts_requests() {
            return Err(NoRunner::Leaving);
        }
        if want
            .only_runner
            .is_some_and(|only| *only != runner.member.id)
        {
            return Err(NoRunner::Exhausted);
        }
        if want.excluded.contains(&runner.member.id) {
            return Err(NoRunner::Exhausted);
        }
        let access = access(now, want, runner).ok_or_else(|| lacking(want, runner))?;
        // The requests ahead are served while the adapter is on its way.
        let queue = load_cost(runner, want.artifact.is_some());
        let mut wait = queue.max(access_wait(now, want, runner, access));
        if access == Access::Absent {
            wait += turn_wait(runner);
        }
        let mut cost = wait;
        if runner.member.domain != self.domain {
            cost += DOMAIN_MS;
        }
        cost += runner.health.error_rate() * HEALTH_MS;
        if access == Access::Absent {
            cost += absent_cost(want, ranks, runner);
        }
        Ok(Weighed { access, wait, cost })
    }

    /// Returns the runners of a service that take requests.
    fn open_runners<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Runner> {
        self.runners()
            .filter(move |runner| *runner.member.service == *service && runner.accepts_requests())
    }

    /// Returns the order of the adapter's homes among the runners that take requests.
    fn rank_homes(&mut self, want: &Requirements<'_>) -> Ranks {
        let mut orders = std::mem::take(&mut self.orders);
        orders.clear();
        let adapter = want.artifact.and_then(|artifact| artifact.adapter.as_ref());
        let Some(adapter) = adapter else {
            return Ranks { key: 0, orders };
        };
        let key = hash::hash_text(adapter);
        let open = self.open_runners(want.service);
        orders.extend(open.map(|runner| hash::combine(key, runner.key)));
        orders.sort_unstable_by(|a, b| b.cmp(a));
        Ranks { key, orders }
    }

    /// Returns the turn of a runner among the holders of an adapter, from 0 to less than 1 in the
    /// order of its homes; `None` if it does not hold it.
    pub fn holder_position(&self, id: &str, adapter: &str) -> Option<f64> {
        let own = self.get(id)?;
        own.adapters.get(adapter)?;
        let key = hash::hash_text(adapter);
        let order = |runner: &Runner| hash::combine(key, runner.key);
        let own = order(own);
        let holders = self
            .runners()
            .filter(|other| other.adapters.contains_key(adapter));
        let (before, all) = holders.fold((0, 0), |(before, all), other| {
            (before + u32::from(order(other) > own), all + 1)
        });
        Some(f64::from(before) / f64::from(all))
    }

    /// Returns a runner that should hold the adapter too, if its share of the traffic asks for it.
    fn replica(&mut self, now: Time, want: &Requirements<'_>) -> Option<Name> {
        let adapter = want.artifact?.adapter.as_ref()?;
        self.replicated
            .retain(|_, last| now < last.after(REPLICATE_PAUSE));
        if self.replicated.contains_key(adapter) {
            return None;
        }
        let members: Vec<&Runner> = self.open_runners(want.service).collect();
        let holders = members
            .iter()
            .filter(|runner| runner.adapters.contains_key(adapter))
            .count();
        let share = self.demand.share(now, adapter);
        let wanted = (share * members.len() as f64 / HOLDER_SHARE).round() as usize;
        if holders >= wanted.min(members.len()) {
            return None;
        }
        let able = members.iter().filter(|runner| {
            !runner.adapters.contains_key(adapter) && runner.linked && runner.up && runner.room > 0
        });
        let key = hash::hash_text(adapter);
        let best = able.max_by_key(|runner| hash::combine(key, runner.key))?;
        let replica = best.member.id.clone();
        self.replicated.insert(adapter.clone(), now);
        Some(replica)
    }
}

/// How a runner compares with the others for one request; times are in milliseconds.
struct Weighed {
    access: Access,
    /// The expected wait until the request runs.
    wait: f32,
    /// The wait and what else speaks against the runner.
    cost: f32,
}

/// The order of an adapter's homes.
struct Ranks {
    key: u64,
    /// The orders of all runners, the first home's first.
    orders: Vec<u64>,
}

impl Ranks {
    /// Returns the runner's position in the order; 0 is the first home.
    fn rank(&self, runner: &Runner) -> usize {
        let own = hash::combine(self.key, runner.key);
        self.orders.partition_point(|order| *order > own)
    }
}

/// Returns the cost of loading the adapter at this runner beside the wait for the load.
fn absent_cost(want: &Requirements<'_>, ranks: &Ranks, runner: &Runner) -> f32 {
    let adapter = want.artifact.and_then(|artifact| artifact.adapter.as_ref());
    let Some(adapter) = adapter else {
        return 0.0;
    };
    let mut cost = HOME_MS * ranks.rank(runner) as f32;
    if runner.adapters.contains_key(adapter) {
        cost += REPLACE_MS;
    } else if runner.room == 0 {
        cost += NO_ROOM_MS;
    }
    cost
}

/// Returns what a runner has of the adapter; `None` if it can't serve the request.
fn access(now: Time, want: &Requirements<'_>, runner: &Runner) -> Option<Access> {
    let Some(artifact) = want.artifact else {
        return Some(Access::Ready { version: 0 });
    };
    if !runner.up || !runner.holds_model(&artifact.model) {
        return None;
    }
    let Some(adapter) = &artifact.adapter else {
        return Some(Access::Ready { version: 0 });
    };
    match runner.adapters.get(adapter) {
        Some(hold) if hold.version >= want.min_version => Some(held(now, hold)),
        _ if runner.linked => Some(Access::Absent),
        _ => None,
    }
}

/// Returns why a runner cannot serve a request although it takes others.
fn lacking(want: &Requirements<'_>, runner: &Runner) -> NoRunner {
    let artifact = want.artifact;
    if artifact.is_none_or(|artifact| runner.holds_model(&artifact.model)) {
        return NoRunner::Exhausted;
    }
    NoRunner::Loading(runner.first_seen)
}

fn held(now: Time, hold: &AdapterView) -> Access {
    match hold.ready_at {
        None => Access::Ready {
            version: hold.version,
        },
        Some(ready) => Access::Coming(ready.max(now)),
    }
}

/// Returns the expected wait for the adapter, in milliseconds.
fn access_wait(now: Time, want: &Requirements<'_>, runner: &Runner, access: Access) -> f32 {
    let wait = match access {
        Access::Ready { .. } => Duration::ZERO,
        Access::Coming(ready) => ready.since(now) + COMING_MARGIN,
        Access::Absent => {
            let adapter = want.artifact.and_then(|artifact| artifact.adapter.as_ref());
            adapter.map_or(Duration::ZERO, |adapter| load_time(runner, adapter))
        }
    };
    wait.as_secs_f32() * 1_000.0
}

/// Returns the expected wait until a load can begin at a runner, in milliseconds.
fn turn_wait(runner: &Runner) -> f32 {
    let ahead = (runner.loading_count() + 1).saturating_sub(MAX_PARALLEL_LOADS);
    LOAD_TIME.as_secs_f32() * 1_000.0 * ahead as f32 / MAX_PARALLEL_LOADS as f32
}

/// Returns the expected time of loading an adapter.
pub fn load_time(runner: &Runner, adapter: &str) -> Duration {
    if runner.held_recently(adapter) {
        CACHED_LOAD_TIME
    } else {
        LOAD_TIME
    }
}

/// Returns the expected wait because of the requests that a runner has.
fn load_cost(runner: &Runner, engine: bool) -> f32 {
    let load = runner.total_inflight();
    let over = (load + 1).saturating_sub(runner.member.slots) as f32;
    if engine {
        let reading = runner.pending_prompt_tokens as f32 / PREFILL_TOKENS_PER_MS;
        return reading + load as f32 * BATCH_MS + over * QUEUE_MS;
    }
    let slots = runner.member.slots.max(1) as f32;
    let turn = runner.service_ms / slots;
    over * turn + load as f32 / slots * JITTER_MS * 2.0
}
