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
use crate::backpressure::Permission;
use crate::backpressure::Slot;
use crate::cost;
use crate::entry_count::EntryCount;
use crate::fleet::AdapterView;
use crate::fleet::Fleet;
use crate::fleet::Runner;
use crate::load_estimate::ServiceAverage;
use crate::replication;
use crate::request::Artifact;
use crate::runner::Member;

/// Cost of a runner in another failure domain, in milliseconds.
const DOMAIN_COST_MS: f32 = 2.0;
/// Cost of a runner with an error rate of 1, in milliseconds; scaled by the error rate.
const ERROR_COST_MS: f32 = 800.0;
/// Maximum random addition to a cost, in milliseconds. It keeps entries that act on equally old
/// reports from all choosing the same runner.
const MAX_JITTER_MS: f32 = 2.0;
/// Number of runners that hold the adapter and are compared, if there are many more entries than
/// such runners.
const MIN_SAMPLE: usize = 2;
/// How long after its last message an agent is awaited whose connection was lost: a silent one is given
/// up after [`SILENCE_TIMEOUT`](crate::link::SILENCE_TIMEOUT), and the connection is then opened again.
const AGENT_RETURN_TIME: Duration = Duration::from_secs(4);
/// Difference between the error rates of two runners up to which both are compared.
const ERROR_RATE_MARGIN: f32 = 0.1;

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
    /// The slot that the request has reserved at a limited runner.
    pub slot: Option<&'a Slot>,
    /// The latest time until which the request may wait for a runner that limits its requests or has
    /// asked for a pause.
    pub wait_until: Time,
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

impl Access {
    /// Returns the loaded version; 0 if none is, or the request needs no adapter.
    pub fn version(self) -> u64 {
        match self {
            Access::Ready { version } => version,
            Access::Loading(_) | Access::Absent => 0,
        }
    }
}

/// The runner chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The identifier of the runner.
    pub runner: Name,
    /// The start of the runner's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The availability of the adapter there.
    pub access: Access,
    /// When a request may be sent there.
    pub opens_at: Time,
    /// The cost by which it was chosen, including jitter, in milliseconds.
    pub cost_ms: f32,
    /// The expected wait until the request runs there.
    pub wait: Duration,
    /// Whether the runner does not answer its agent; such a runner is chosen only if no other is left.
    pub silent: bool,
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
    /// The remaining runners limit their requests, and this entry has no slot before this time.
    #[display("the runners limit their requests")]
    Limited(Time),
    /// The remaining runners want no request of this entry before this time.
    #[display("the runners have asked for a pause")]
    Paused(Time),
    /// The remaining runners have as many requests of this entry as it may send there.
    #[display("no runner has room")]
    Full,
    /// The remaining runners are excluded or have ended, or they lack the adapter and there is no
    /// connection to their agents and none is expected.
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
            (NoRunner::Full, _) | (_, NoRunner::Full) => NoRunner::Full,
            (NoRunner::Limited(a), NoRunner::Limited(b)) => NoRunner::Limited(a.min(b)),
            (NoRunner::Paused(a), NoRunner::Paused(b)) => NoRunner::Paused(a.min(b)),
            (NoRunner::Limited(slot), NoRunner::Paused(end))
            | (NoRunner::Paused(end), NoRunner::Limited(slot)) => match slot <= end {
                true => NoRunner::Limited(slot),
                false => NoRunner::Paused(end),
            },
            (NoRunner::Limited(_) | NoRunner::Paused(_), _) => self,
            (_, NoRunner::Limited(_) | NoRunner::Paused(_)) => other,
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
            NoRunner::Limited(until) | NoRunner::Paused(until) => Some(until.since(now)),
            NoRunner::Unknown | NoRunner::Leaving | NoRunner::Full | NoRunner::Exhausted => None,
        }
    }
}

impl Fleet {
    /// Chooses the runner with the lowest cost. Runners with an open circuit breaker, and those that do
    /// not answer their agents, are considered only if there is no other: a silent runner may go on.
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
        self.place_among(now, rng, requirements, &|_| true)
    }

    /// Does the same among the runners that have room.
    ///
    /// # Errors
    ///
    /// Fails with the most specific cause if no runner meets the requirements.
    pub fn place_among(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        requirements: &Requirements<'_>,
        has_room: &dyn Fn(&Member) -> bool,
    ) -> Result<Placement, NoRunner> {
        let order = self.rank_runners(requirements);
        let average = &ServiceAverage::of(now, self.accepting_runners(requirements.service));
        let mut candidates = Vec::new();
        let mut cause = NoRunner::Unknown;
        let mut awaits_room = false;
        for runner in self.runners() {
            if *runner.member.service != *requirements.service {
                continue;
            }
            let evaluated = self.evaluate(now, requirements, &order, average, runner);
            match evaluated {
                Ok(candidate) if !has_room(&runner.member) => {
                    awaits_room |= !candidate.last_resort;
                    cause = cause.or(NoRunner::Full);
                }
                Ok(mut candidate) => {
                    candidate.cost_ms += MAX_JITTER_MS * rng.f32();
                    candidates.push(candidate);
                }
                Err(other) => cause = cause.or(other),
            }
        }
        if awaits_room {
            // The request waits for a healthy runner that is full rather than use one of the last resorts.
            candidates.retain(|candidate| !candidate.last_resort);
        }
        let best = choose(rng, &mut candidates, self.entries);
        let best = best.map(|best| {
            let runner = best.runner;
            let placement = Placement {
                runner: runner.member.id.clone(),
                born: runner.member.born,
                access: best.access,
                opens_at: best.opens_at,
                cost_ms: best.cost_ms,
                wait: Duration::from_secs_f32(best.wait_ms / 1_000.0),
                silent: !runner.up,
                replica: None,
            };
            (placement, replication::occupancy(runner, average.rate))
        });
        self.rank_buffer = order.hashes;
        let (mut placement, occupancy) = best.ok_or(cause)?;
        if placement.access != Access::Absent {
            placement.replica = self.choose_replica(now, requirements, occupancy, average.rate);
        }
        Ok(placement)
    }

    /// Returns the availability of the adapter at a runner and when a request may be sent there, or why
    /// the runner cannot serve it.
    fn availability(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        runner: &Runner,
    ) -> Result<(Access, Time), NoRunner> {
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
        let member = &runner.member;
        let slot = requirements.slot;
        let permission = self
            .backpressure
            .permission(now, &member.id, member.born, slot);
        let (opens_at, cause) = match permission {
            Permission::Granted => return Ok((access, now)),
            Permission::FromSlot(at) => (at, NoRunner::Limited(at)),
            Permission::AfterPause(at) => (at, NoRunner::Paused(at)),
        };
        if opens_at < requirements.wait_until {
            Ok((access, opens_at))
        } else {
            Err(cause)
        }
    }

    /// Computes the cost of a runner for a request, or why the runner cannot serve it.
    fn evaluate<'a>(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        order: &RendezvousOrder,
        average: &ServiceAverage,
        runner: &'a Runner,
    ) -> Result<Candidate<'a>, NoRunner> {
        let (access, opens_at) = self.availability(now, requirements, runner)?;
        let rank = order.rank(runner);
        let cost = cost::estimate(now, requirements.artifact, runner, access, rank, average);
        // The adapter loads and the runner works while the request waits for its slot.
        let slot_ms = opens_at.since(now).as_secs_f32() * 1_000.0;
        let wait_ms = cost.wait_ms.max(slot_ms);
        let mut cost_ms = wait_ms + cost.price_ms;
        if runner.member.domain != self.domain {
            cost_ms += DOMAIN_COST_MS;
        }
        cost_ms += runner.health.error_rate() * ERROR_COST_MS;
        Ok(Candidate {
            runner,
            last_resort: !runner.up
                || (access == Access::Absent && !runner.linked)
                || runner.health.breaker_decision(now) == BreakerDecision::LastResort,
            access,
            opens_at,
            wait_ms,
            cost_ms,
        })
    }

    /// Returns the runners of a service that accept requests.
    pub(crate) fn accepting_runners<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Runner> {
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
}

/// A runner that can serve a request, with the values by which it is compared with others.
struct Candidate<'a> {
    runner: &'a Runner,
    /// Whether its circuit breaker is open, it does not answer its agent, or the agent is to load the
    /// adapter and is not connected, so that it is chosen only if there is no other.
    last_resort: bool,
    access: Access,
    /// When a request may be sent there.
    opens_at: Time,
    /// The expected wait until the request runs, in milliseconds.
    wait_ms: f32,
    /// The wait plus all other costs and jitter, in milliseconds.
    cost_ms: f32,
}

impl Candidate<'_> {
    /// Returns whether the runner holds the adapter, or none is needed.
    fn is_ready(&self) -> bool {
        matches!(self.access, Access::Ready { .. })
    }

    fn error_rate(&self) -> f32 {
        self.runner.health.error_rate()
    }
}

/// Chooses the candidate with the lowest cost. Of those that hold the adapter only a random sample
/// is compared, the smaller the more entries there are: they all act on reports of the same age, and
/// would otherwise send a whole burst to the runner that was least loaded when it reported.
fn choose<'a, 'b>(
    rng: &mut fastrand::Rng,
    candidates: &'b mut Vec<Candidate<'a>>,
    entries: EntryCount,
) -> Option<&'b Candidate<'a>> {
    if candidates.iter().any(|candidate| !candidate.last_resort) {
        candidates.retain(|candidate| !candidate.last_resort);
    }
    let ready = candidates.iter().filter(|candidate| candidate.is_ready());
    let entries = entries.reported().unwrap_or(1);
    let sample = MIN_SAMPLE + ready.count() / entries as usize;
    drop_failing(candidates);
    rng.shuffle(candidates);
    let mut sampled = 0;
    let compared = candidates.iter().filter(|candidate| {
        sampled += usize::from(candidate.is_ready());
        !candidate.is_ready() || sampled <= sample
    });
    compared.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

/// Removes the runners that hold the adapter and fail clearly more often than the best of them, since
/// a sample may contain no other.
fn drop_failing(candidates: &mut Vec<Candidate<'_>>) {
    let ready = candidates.iter().filter(|candidate| candidate.is_ready());
    let least = ready
        .map(Candidate::error_rate)
        .fold(f32::INFINITY, f32::min);
    let limit = least + ERROR_RATE_MARGIN;
    candidates.retain(|candidate| !candidate.is_ready() || candidate.error_rate() <= limit);
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

/// Returns the availability of the required adapter at a runner; `None` if the runner cannot serve
/// the request.
fn access(now: Time, requirements: &Requirements<'_>, runner: &Runner) -> Option<Access> {
    let Some(artifact) = requirements.artifact else {
        return Some(Access::Ready { version: 0 });
    };
    if !runner.holds_model(&artifact.model) {
        return None;
    }
    let Some(adapter) = &artifact.adapter else {
        return Some(Access::Ready { version: 0 });
    };
    match runner.adapters.get(adapter) {
        Some(view) if view.version >= requirements.min_version => Some(view_access(now, view)),
        _ if runner.linked || is_agent_awaited(now, runner) => Some(Access::Absent),
        _ => None,
    }
}

/// Returns whether the agent of a runner is expected to be connected again.
fn is_agent_awaited(now: Time, runner: &Runner) -> bool {
    runner.reported_at > Time::default() && now < runner.reported_at.after(AGENT_RETURN_TIME)
}

/// Returns why a runner that accepts requests cannot serve this one.
fn unavailable_cause(requirements: &Requirements<'_>, runner: &Runner) -> NoRunner {
    let ended = !runner.up && runner.member.models.is_empty();
    let artifact = requirements.artifact;
    if ended || artifact.is_none_or(|artifact| runner.holds_model(&artifact.model)) {
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
