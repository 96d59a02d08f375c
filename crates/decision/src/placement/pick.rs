//! The choice of an endpoint, with the reason why each candidate was chosen or rejected.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::EndpointId;
use super::EndpointTable;
use super::MAX_TRACES;
use super::cost::Cost;
use super::cost::Residency;
use super::homes::MAX_HOMES;
use crate::health::BreakerDecision;
use crate::health::BreakerState;
use crate::health::Cause;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::RequestId;
use crate::route::Pool;
use crate::time::Time;

/// Limit on the eligible homes without the version that one pick evaluates.
const MAX_LOAD_CANDIDATES: usize = 8;
/// The factor by which a load must be cheaper than waiting. A new replica keeps a slot from another
/// version even after the queue that it relieves is empty, and jitter alone must not start a second
/// load.
const LOAD_COST_MARGIN: f32 = 4.0;
/// Limit on the endpoints that one pick evaluates for a target without a version.
const MAX_SAMPLES: usize = 16;

/// The arguments of a pick.
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// The request's identifier, for the trace only.
    pub request: RequestId,
    /// The model or service whose endpoints can serve the request.
    pub pool: &'a Pool,
    /// The served name of the adapter version; `None` if the request needs none.
    pub version: Option<&'a Name>,
    /// A hash of the prompt prefix; 0 if unknown.
    pub prefix: u64,
    /// The endpoints of earlier attempts; all other eligible ones are preferred to them.
    pub tried: &'a [EndpointId],
    /// Whether the request may run more than once. One that may not is never sent to an endpoint
    /// in `tried`, and never serves as a probe.
    pub repeatable: bool,
}

/// The chosen endpoint.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The index in the table that picked it.
    pub endpoint: EndpointId,
    /// The declared name.
    pub name: Name,
    /// The last known incarnation of the endpoint's agent; 0 if unknown.
    pub incarnation: Incarnation,
    /// The time of the pick, on the caller's clock.
    pub picked_at: Time,
    /// Whether the request is the probe of an open breaker.
    pub probe: bool,
    /// Whether the version has to be loaded there first.
    pub needs_load: bool,
    /// The cost at the time of the pick.
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
    /// Every remaining endpoint was tried before, or a wrong adapter opened its breaker.
    #[display("no endpoint is left to try")]
    Exhausted,
}

/// Why a candidate was chosen or rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// It is the best candidate.
    #[display("chosen")]
    Chosen,
    /// It is eligible, but another candidate was better.
    #[display("higher cost")]
    Costlier,
    /// Loading the version there costs more than waiting for a replica.
    #[display("load costs more than waiting")]
    Gated,
    /// It is leaving, unreachable or not ready, or the request must not run twice and the
    /// incarnation of its agent is unknown.
    #[display("takes no new work")]
    Closed,
    /// An earlier attempt went there.
    #[display("tried before")]
    Tried,
    /// Its breaker is open, or is due for a probe that this request must not be.
    #[display("breaker open")]
    Open,
    /// Its breaker was opened by a response from a wrong adapter.
    #[display("breaker opened by a wrong adapter")]
    Barred,
}

/// An endpoint that a pick evaluated.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The index in the table that evaluated it.
    pub endpoint: EndpointId,
    /// The cost at the time of the pick.
    pub cost: Cost,
    /// Whether the version would have to be loaded there first.
    pub needs_load: bool,
    /// Why it was chosen or rejected.
    pub verdict: Verdict,
}

/// A record of one pick, whether or not it succeeded.
#[derive(Debug)]
pub struct PickTrace {
    /// The time of the pick.
    pub at: Time,
    /// The request's identifier.
    pub request: RequestId,
    /// The served name of the version; `None` if the request needs none.
    pub version: Option<Name>,
    /// The evaluated endpoints in the order of evaluation; large pools may repeat one.
    pub candidates: Vec<Candidate>,
}

impl EndpointTable {
    /// Picks an endpoint and counts the request as in flight there.
    ///
    /// Every successful pick must be followed by exactly one [`EndpointTable::finish`].
    ///
    /// # Errors
    ///
    /// Returns why there is no endpoint that can take the request.
    pub fn pick(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
    ) -> Result<Pick, PickError> {
        let mut list = std::mem::take(&mut self.spare_candidates);
        list.clear();
        match args.version {
            Some(version) => self.evaluate_version(now, rng, args, version, &mut list),
            None => self.evaluate_pool_sample(now, rng, args, &mut list),
        }
        let mut best = self.best_candidate(args, &list);
        if best.is_none_or(|index| list[index].verdict != Verdict::Costlier) {
            self.evaluate_remaining(now, rng, args, &mut list);
            best = self.best_candidate(args, &list);
        }
        let result = match best {
            Some(index) => Ok(self.commit_pick(now, args, &mut list[index])),
            None => Err(self.pick_error(args, &list)),
        };
        self.record_trace(now, args, list);
        result
    }

    /// Evaluates the replicas of the version, then its other homes in order as long as a load there
    /// is worthwhile.
    fn evaluate_version(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
        version: &Name,
        list: &mut Vec<Candidate>,
    ) {
        let Some(pool) = self.pools.get(args.pool) else {
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
            let residency = replica
                .ready_at
                .map_or(Residency::Resident, Residency::Loading);
            let candidate = self.evaluate(now, rng, args, replica.endpoint, residency);
            if candidate.verdict == Verdict::Costlier {
                cheapest = cheapest.min(candidate.cost.total());
            }
            list.push(candidate);
        }
        self.evaluate_homes(now, rng, args, version, cheapest, list);
    }

    /// Evaluates the homes that do not have the version. The replicas are already in the list;
    /// `cheapest` is the lowest cost of an eligible one.
    ///
    /// Evaluation goes on to the next home only if the present one has no idle slot or is so busy
    /// that its queue costs more than the load. Otherwise entries would load the version at
    /// different endpoints.
    fn evaluate_homes(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
        version: &Name,
        mut cheapest: f32,
        list: &mut Vec<Candidate>,
    ) {
        let replica_count = list.len();
        let mut load_candidates = 0;
        for id in self.homes.cached(version) {
            let is_home = |candidate: &Candidate| candidate.endpoint == *id;
            if list[..replica_count].iter().any(is_home) {
                continue;
            }
            let mut candidate = self.evaluate(now, rng, args, *id, Residency::Absent);
            if candidate.verdict != Verdict::Costlier {
                list.push(candidate);
                continue;
            }
            let cost = candidate.cost;
            let worthwhile = replica_count == 0 || cost.total() * LOAD_COST_MARGIN < cheapest;
            if !worthwhile {
                candidate.verdict = Verdict::Gated;
            }
            cheapest = cheapest.min(cost.total());
            list.push(candidate);
            load_candidates += 1;
            let no_idle_slot = self.view(*id).report.idle == 0;
            let busy = no_idle_slot || cost.queue > cost.load;
            if !worthwhile || !busy || load_candidates == MAX_LOAD_CANDIDATES {
                break;
            }
        }
    }

    /// Evaluates all of a small pool; of a larger one, the endpoint that last got the prefix and a
    /// random sample.
    fn evaluate_pool_sample(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
        list: &mut Vec<Candidate>,
    ) {
        let Some(pool) = self.pools.get(args.pool) else {
            return;
        };
        let count = pool.members.len();
        if count <= MAX_SAMPLES {
            for id in &pool.members {
                list.push(self.evaluate(now, rng, args, *id, Residency::Resident));
            }
            return;
        }
        if let Some(id) = self.prefix_endpoint(args.prefix) {
            list.push(self.evaluate(now, rng, args, id, Residency::Resident));
        }
        while list.len() < MAX_SAMPLES {
            let id = pool.members[rng.usize(..count)];
            list.push(self.evaluate(now, rng, args, id, Residency::Resident));
        }
    }

    /// Evaluates the rest of the pool. This full scan happens only if no endpoint evaluated so far is
    /// eligible, which means that most of the pool is down.
    fn evaluate_remaining(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
        list: &mut Vec<Candidate>,
    ) {
        let Some(pool) = self.pools.get(args.pool) else {
            return;
        };
        let residency = args
            .version
            .map_or(Residency::Resident, |_| Residency::Absent);
        let evaluated = list.len();
        for id in &pool.members {
            if list[..evaluated]
                .iter()
                .any(|candidate| candidate.endpoint == *id)
            {
                continue;
            }
            list.push(self.evaluate(now, rng, args, *id, residency));
        }
    }

    fn evaluate(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
        id: EndpointId,
        residency: Residency,
    ) -> Candidate {
        Candidate {
            endpoint: id,
            cost: self.cost(now, rng, args, id, residency),
            needs_load: residency == Residency::Absent,
            verdict: self.check_eligibility(now, args, id),
        }
    }

    /// Returns [`Verdict::Costlier`] for an eligible endpoint, else why it is not eligible.
    fn check_eligibility(&self, now: Time, args: &PickArgs<'_>, id: EndpointId) -> Verdict {
        let view = self.view(id);
        // A claim has to name the agent's incarnation.
        let unknown_agent = !args.repeatable && view.incarnation == Incarnation(0);
        if !view.is_open() || unknown_agent {
            return Verdict::Closed;
        }
        let wrong_adapter = match view.health.breaker() {
            BreakerState::Closed => false,
            BreakerState::Open { cause, .. } | BreakerState::Probing { cause, .. } => {
                cause == Cause::WrongAdapter
            }
        };
        match view.health.breaker_decision(now) {
            BreakerDecision::Deny => Verdict::Barred,
            BreakerDecision::Probe if wrong_adapter && !args.repeatable => Verdict::Barred,
            BreakerDecision::Probe if !args.repeatable => Verdict::Open,
            BreakerDecision::LastResort => Verdict::Open,
            _ if args.tried.contains(&id) => Verdict::Tried,
            BreakerDecision::Allow | BreakerDecision::Probe => Verdict::Costlier,
        }
    }

    /// Returns the index of the best candidate, by preference class, then cost, then home order.
    fn best_candidate(&self, args: &PickArgs<'_>, list: &[Candidate]) -> Option<usize> {
        let homes = args
            .version
            .map_or(&[][..], |version| self.homes.cached(version));
        let home_rank = |id| {
            homes
                .iter()
                .position(|home| *home == id)
                .unwrap_or(MAX_HOMES)
        };
        let mut best: Option<(usize, u8)> = None;
        for (index, candidate) in list.iter().enumerate() {
            let Some(class) = preference_class(args, candidate) else {
                continue;
            };
            let Some((best_index, best_class)) = best else {
                best = Some((index, class));
                continue;
            };
            let other = &list[best_index];
            let order = class
                .cmp(&best_class)
                .then_with(|| candidate.cost.total().total_cmp(&other.cost.total()))
                .then_with(|| home_rank(candidate.endpoint).cmp(&home_rank(other.endpoint)));
            if order.is_lt() {
                best = Some((index, class));
            }
        }
        best.map(|(index, _)| index)
    }

    fn commit_pick(&mut self, now: Time, args: &PickArgs<'_>, candidate: &mut Candidate) -> Pick {
        let id = candidate.endpoint;
        candidate.verdict = Verdict::Chosen;
        if let (Some(version), true) = (args.version, candidate.needs_load) {
            let load = self.cost_params.load_time(self.view(id).report.load_ms);
            self.expect_load(version, id, now.after(load));
        }
        self.record_prefix(args.prefix, id);
        self.add_request(now, id);
        let view = self.view_mut(id);
        let probe = args.repeatable && view.health.breaker_decision(now) == BreakerDecision::Probe;
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

    fn pick_error(&self, args: &PickArgs<'_>, list: &[Candidate]) -> PickError {
        let empty = self
            .pools
            .get(args.pool)
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

    /// Stores the candidates for the state dump and reuses the oldest trace's memory.
    fn record_trace(&mut self, now: Time, args: &PickArgs<'_>, candidates: Vec<Candidate>) {
        if self.traces.len() == MAX_TRACES
            && let Some(oldest) = self.traces.pop_front()
        {
            self.spare_candidates = oldest.candidates;
        }
        self.traces.push_back(PickTrace {
            at: now,
            request: args.request,
            version: args.version.cloned(),
            candidates,
        });
    }
}

impl Pick {
    /// Returns the expected wait at the endpoint, with the load weighted by the stall factor.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f32(self.cost.wait().max(0.0) / 1_000.0)
    }
}

/// Returns the preference class of a candidate: eligible endpoints come first, then gated ones, then
/// those tried before, then those with an open breaker. `None` means that it must not be chosen.
fn preference_class(args: &PickArgs<'_>, candidate: &Candidate) -> Option<u8> {
    match candidate.verdict {
        Verdict::Costlier | Verdict::Chosen => Some(0),
        Verdict::Gated => Some(1),
        Verdict::Tried if args.repeatable => Some(2),
        Verdict::Open if args.repeatable || !args.tried.contains(&candidate.endpoint) => Some(3),
        Verdict::Tried | Verdict::Open | Verdict::Closed | Verdict::Barred => None,
    }
}
