//! The pick of an endpoint, with the reason for the choice and for each rejected candidate.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::EndpointId;
use super::EndpointTable;
use super::TRACES;
use super::cost::Cost;
use super::cost::Has;
use super::homes::MAX_HOMES;
use crate::health::BreakerDecision;
use crate::health::BreakerState;
use crate::health::Cause;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::RequestId;
use crate::route::Pool;
use crate::time::Time;

/// Homes without the version that one pick weighs at most.
const MAX_OPENINGS: usize = 8;
/// How much cheaper a load must be than waiting. A replica takes a slot from another version for
/// longer than the queue that it relieves, and jitter alone must not start a second load.
const OPENING_MARGIN: f32 = 4.0;
/// Endpoints that one pick weighs for a target without a version.
const MAX_SAMPLES: usize = 16;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// The request, for the trace.
    pub request: RequestId,
    /// The endpoints that can serve it.
    pub pool: &'a Pool,
    /// The served name of the version, if it needs one.
    pub version: Option<&'a Name>,
    /// The hash of the prompt prefix; 0 if unknown.
    pub prefix: u64,
    /// Endpoints that were tried before; they rank after all others.
    pub tried: &'a [EndpointId],
    /// Whether the request may run more than once. Others never go to a tried endpoint, and never
    /// serve as a probe.
    pub repeatable: bool,
}

/// The chosen endpoint.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name.
    pub name: Name,
    /// The incarnation of its agent, 0 if unknown.
    pub incarnation: Incarnation,
    /// When it was picked.
    pub picked_at: Time,
    /// Whether the request is the probe of an open breaker.
    pub probe: bool,
    /// Whether the version has to be loaded there.
    pub needs_load: bool,
    /// The cost.
    pub cost: Cost,
}

/// Why no endpoint can be picked.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PickError {
    /// No live endpoint serves the model or service.
    #[display("no live endpoint")]
    Empty,
    /// Every endpoint is leaving, unreachable or not ready.
    #[display("no endpoint takes new work")]
    Closed,
    /// Every endpoint was tried, or a wrong adapter opened its breaker.
    #[display("no endpoint is left to try")]
    Exhausted,
}

/// Why a candidate was chosen or not.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// It has the lowest cost.
    #[display("chosen")]
    Chosen,
    /// Another candidate costs less.
    #[display("higher cost")]
    Costlier,
    /// A load there costs more than waiting where the version is.
    #[display("load costs more than waiting")]
    Gated,
    /// It is leaving, unreachable or not ready.
    #[display("takes no new work")]
    Closed,
    /// It was tried before.
    #[display("tried before")]
    Tried,
    /// Its breaker is open.
    #[display("breaker open")]
    Open,
    /// Its breaker was opened by a wrong adapter.
    #[display("breaker opened by a wrong adapter")]
    Barred,
}

/// One weighed endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its cost.
    pub cost: Cost,
    /// Whether the version has to be loaded there.
    pub needs_load: bool,
    /// The reason.
    pub verdict: Verdict,
}

/// The reasons of one pick.
#[derive(Debug)]
pub struct PickTrace {
    /// When it was picked.
    pub at: Time,
    /// The request.
    pub request: RequestId,
    /// The version, if the request needs one.
    pub version: Option<Name>,
    /// The candidates.
    pub candidates: Vec<Candidate>,
}

impl EndpointTable {
    /// Picks an endpoint and counts the request as in flight there.
    ///
    /// Every pick must be followed by one [`EndpointTable::finish`].
    pub fn pick(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
    ) -> Result<Pick, PickError> {
        let mut list = std::mem::take(&mut self.scratch);
        list.clear();
        match want.version {
            Some(version) => self.weigh_version(now, rng, want, version, &mut list),
            None => self.weigh_plain(now, rng, want, &mut list),
        }
        let mut best = self.best(want, &list);
        if best.is_none_or(|index| list[index].verdict != Verdict::Costlier) {
            self.weigh_rest(now, rng, want, &mut list);
            best = self.best(want, &list);
        }
        let result = match best {
            Some(index) => Ok(self.take(now, want, &mut list[index])),
            None => Err(self.no_place(want, &list)),
        };
        self.keep_trace(now, want, list);
        result
    }

    /// Weighs where the version is, then the next homes in order while a load pays.
    fn weigh_version(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
        version: &Name,
        list: &mut Vec<Candidate>,
    ) {
        let Some(pool) = self.pools.get(want.pool) else {
            return;
        };
        self.homes.get(
            version,
            pool.epoch,
            (&pool.members, pool.active),
            &self.endpoints,
        );
        let mut cheapest = f32::INFINITY;
        for replica in self.replicas(version).iter().take(MAX_HOMES) {
            let has = replica.ready_at.map_or(Has::Resident, Has::Loading);
            let candidate = self.weigh(now, rng, want, replica.endpoint, has);
            if candidate.verdict == Verdict::Costlier {
                cheapest = cheapest.min(candidate.cost.total());
            }
            list.push(candidate);
        }
        self.weigh_homes(now, rng, want, version, cheapest, list);
    }

    /// Weighs the homes that do not hold the version. `cheapest` is the lowest cost of those that
    /// do, which are in the list.
    ///
    /// A home after the next one is weighed only if the next one has no idle slot or is so busy that
    /// its queue costs more than the load; otherwise entries would open different replicas.
    fn weigh_homes(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
        version: &Name,
        mut cheapest: f32,
        list: &mut Vec<Candidate>,
    ) {
        let held = list.len();
        let mut openings = 0;
        for id in self.homes.cached(version) {
            let holds = |candidate: &Candidate| candidate.endpoint == *id;
            if list[..held].iter().any(holds) {
                continue;
            }
            let mut candidate = self.weigh(now, rng, want, *id, Has::Absent);
            if candidate.verdict != Verdict::Costlier {
                list.push(candidate);
                continue;
            }
            let cost = candidate.cost;
            let pays = held == 0 || cost.total() * OPENING_MARGIN < cheapest;
            if !pays {
                candidate.verdict = Verdict::Gated;
            }
            cheapest = cheapest.min(cost.total());
            list.push(candidate);
            openings += 1;
            let blocked = self.view(*id).report.idle == 0;
            let busy = blocked || cost.queue > cost.load;
            if !pays || !busy || openings == MAX_OPENINGS {
                break;
            }
        }
    }

    /// Weighs the endpoint that has the prefix and a random sample of the pool.
    fn weigh_plain(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
        list: &mut Vec<Candidate>,
    ) {
        let Some(pool) = self.pools.get(want.pool) else {
            return;
        };
        let count = pool.members.len();
        if count <= MAX_SAMPLES {
            for id in &pool.members {
                list.push(self.weigh(now, rng, want, *id, Has::Resident));
            }
            return;
        }
        if let Some(id) = self.prefix_place(want.prefix) {
            list.push(self.weigh(now, rng, want, id, Has::Resident));
        }
        while list.len() < MAX_SAMPLES {
            let id = pool.members[rng.usize(..count)];
            list.push(self.weigh(now, rng, want, id, Has::Resident));
        }
    }

    /// Weighs all of the pool. This scan happens only if nothing weighed so far is fit, which
    /// means that most of the pool is down.
    fn weigh_rest(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
        list: &mut Vec<Candidate>,
    ) {
        let Some(pool) = self.pools.get(want.pool) else {
            return;
        };
        let has = want.version.map_or(Has::Resident, |_| Has::Absent);
        let known = list.len();
        for id in &pool.members {
            if list[..known]
                .iter()
                .any(|candidate| candidate.endpoint == *id)
            {
                continue;
            }
            list.push(self.weigh(now, rng, want, *id, has));
        }
    }

    fn weigh(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
        id: EndpointId,
        has: Has,
    ) -> Candidate {
        Candidate {
            endpoint: id,
            cost: self.cost(now, rng, want, id, has),
            needs_load: has == Has::Absent,
            verdict: self.fitness(now, want, id),
        }
    }

    /// Returns `Costlier` for a fit endpoint, else the reason against it.
    fn fitness(&self, now: Time, want: &PickArgs<'_>, id: EndpointId) -> Verdict {
        let view = self.view(id);
        // A claim has to name the agent's incarnation.
        let unnamed = !want.repeatable && view.incarnation == Incarnation(0);
        if !view.is_open() || unnamed {
            return Verdict::Closed;
        }
        let wrong = match view.health.breaker() {
            BreakerState::Closed => false,
            BreakerState::Open { cause, .. } | BreakerState::Probing { cause, .. } => {
                cause == Cause::WrongAdapter
            }
        };
        match view.health.breaker_decision(now) {
            BreakerDecision::Deny => Verdict::Barred,
            BreakerDecision::Probe if wrong && !want.repeatable => Verdict::Barred,
            BreakerDecision::Probe if !want.repeatable => Verdict::Open,
            BreakerDecision::LastResort => Verdict::Open,
            _ if want.tried.contains(&id) => Verdict::Tried,
            BreakerDecision::Allow | BreakerDecision::Probe => Verdict::Costlier,
        }
    }

    /// Returns the index of the best candidate: fit ones first, then tried ones, then open ones.
    fn best(&self, want: &PickArgs<'_>, list: &[Candidate]) -> Option<usize> {
        let homes = want
            .version
            .map_or(&[][..], |version| self.homes.cached(version));
        let position = |id| {
            homes
                .iter()
                .position(|home| *home == id)
                .unwrap_or(MAX_HOMES)
        };
        let mut best: Option<(usize, u8)> = None;
        for (index, candidate) in list.iter().enumerate() {
            let Some(class) = class(want, candidate) else {
                continue;
            };
            let Some((old, old_class)) = best else {
                best = Some((index, class));
                continue;
            };
            let other = &list[old];
            let order = class
                .cmp(&old_class)
                .then_with(|| candidate.cost.total().total_cmp(&other.cost.total()))
                .then_with(|| position(candidate.endpoint).cmp(&position(other.endpoint)));
            if order.is_lt() {
                best = Some((index, class));
            }
        }
        best.map(|(index, _)| index)
    }

    fn take(&mut self, now: Time, want: &PickArgs<'_>, candidate: &mut Candidate) -> Pick {
        let id = candidate.endpoint;
        candidate.verdict = Verdict::Chosen;
        if let (Some(version), true) = (want.version, candidate.needs_load) {
            let load = self.cost_params.load_time(self.view(id).report.load_ms);
            self.expect_load(version, id, now.after(load));
        }
        self.remember_prefix(want.prefix, id);
        self.begin(now, id);
        let view = self.view_mut(id);
        let probe = want.repeatable && view.health.breaker_decision(now) == BreakerDecision::Probe;
        if probe {
            view.health.begin_probe(now);
        }
        Pick {
            endpoint: id,
            name: view.object.name.clone(),
            incarnation: view.incarnation,
            picked_at: now,
            probe,
            needs_load: candidate.needs_load,
            cost: candidate.cost,
        }
    }

    fn no_place(&self, want: &PickArgs<'_>, list: &[Candidate]) -> PickError {
        let empty = self
            .pools
            .get(want.pool)
            .is_none_or(|pool| pool.members.is_empty());
        if empty {
            return PickError::Empty;
        }
        let closed = list
            .iter()
            .all(|candidate| candidate.verdict == Verdict::Closed);
        if closed {
            PickError::Closed
        } else {
            PickError::Exhausted
        }
    }

    /// Keeps the candidates for the dump and reuses the oldest trace's memory for the next pick.
    fn keep_trace(&mut self, now: Time, want: &PickArgs<'_>, candidates: Vec<Candidate>) {
        if self.traces.len() == TRACES
            && let Some(old) = self.traces.pop_front()
        {
            self.scratch = old.candidates;
        }
        self.traces.push_back(PickTrace {
            at: now,
            request: want.request,
            version: want.version.cloned(),
            candidates,
        });
    }
}

impl Pick {
    /// Returns the expected wait at the endpoint.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f32(self.cost.wait().max(0.0) / 1_000.0)
    }
}

/// Returns the rank of a candidate's class; a lower one is preferred, `None` is never chosen.
fn class(want: &PickArgs<'_>, candidate: &Candidate) -> Option<u8> {
    match candidate.verdict {
        Verdict::Costlier | Verdict::Chosen => Some(0),
        Verdict::Gated => Some(1),
        Verdict::Tried if want.repeatable => Some(2),
        Verdict::Open if want.repeatable || !want.tried.contains(&candidate.endpoint) => Some(3),
        Verdict::Tried | Verdict::Open | Verdict::Closed | Verdict::Barred => None,
    }
}
