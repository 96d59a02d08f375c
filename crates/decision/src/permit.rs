//! Load permits: who may load from the weight store next.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Map;
use crate::hash::combine;
use crate::hash::hash_text;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::time::Time;

/// A request for a load permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The endpoint that wants to load.
    pub endpoint: Name,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The served name of the version.
    pub version: Name,
    /// The number of jobs that wait for it.
    pub waiting: u32,
    /// The time left until the earliest deadline among them.
    pub left: Duration,
    /// Expected uses per hour after the load, in thousandths.
    pub expected: u32,
}

/// A permit to load one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number under which the permit is returned; 0 if the ask is queued and no permit was
    /// granted.
    pub id: u64,
    /// The time after which the coordinator counts the permit as returned, or after which a queued
    /// ask is to be repeated.
    pub ttl: Duration,
}

/// The coordinator's answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The asker may load now.
    Granted(Grant),
    /// The ask is queued; the asker repeats it after this time to keep its place.
    Wait(Duration),
}

impl From<PermitReply> for Grant {
    fn from(reply: PermitReply) -> Grant {
        match reply {
            PermitReply::Granted(grant) => grant,
            PermitReply::Wait(ttl) => Grant { id: 0, ttl },
        }
    }
}

impl From<Grant> for PermitReply {
    fn from(grant: Grant) -> PermitReply {
        match grant.id {
            0 => PermitReply::Wait(grant.ttl),
            _ => PermitReply::Granted(grant),
        }
    }
}

/// The time for which an ask keeps its place without being repeated.
const ASK_TTL: Duration = Duration::from_millis(500);

/// The time after which a grant that was not picked up is taken back.
const PICKUP_TTL: Duration = Duration::from_millis(500);

/// The time after which a grant counts as returned.
const GRANT_TTL: Duration = Duration::from_secs(10);

/// The weight of a near deadline against waiting jobs: a version whose first deadline is one second
/// away goes ahead of one for which this many jobs wait.
const DEADLINE_WEIGHT: f64 = 20.0;

/// Returned permits over which the time of an undisturbed load is taken.
const HOLDS: usize = 16;

/// A permit that is returned sooner was not used for a load.
const SHORTEST_HOLD: Duration = Duration::from_millis(20);

/// The bounds of the time until an asker repeats its ask.
const REPEAT: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// The time within which a coordinator has to answer.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of coordinators that an asker tries before it loads without a permit.
pub const MAX_COORDINATORS: usize = 3;

/// Who asks for which version.
type Asker = (Name, Incarnation, Name);

fn asker(ask: &PermitRequest) -> Asker {
    (ask.endpoint.clone(), ask.incarnation, ask.version.clone())
}

#[derive(Clone, Debug)]
struct Queued {
    ask: PermitRequest,
    first: Time,
    seen: Time,
}

#[derive(Clone, Debug)]
struct Granted {
    asker: Asker,
    since: Time,
    until: Time,
    taken: bool,
}

/// The grants of one region, kept by whichever agent is asked.
#[derive(Clone, Debug)]
pub struct Coordinator {
    rate: f64,
    at_once: usize,
    tokens: f64,
    refilled: Time,
    next: u64,
    queue: Map<Asker, Queued>,
    granted: BTreeMap<u64, Granted>,
    /// How long the last permits were held.
    holds: VecDeque<Duration>,
}

impl Coordinator {
    /// Returns a coordinator for `rate` loads per second, `at_once` of them outstanding. The first
    /// grant number is `base`, which differs between incarnations, so that a late return does not
    /// release a grant of another coordinator.
    pub fn new(now: Time, rate: f64, at_once: u32, base: u64) -> Self {
        Coordinator {
            rate,
            at_once: at_once.max(1) as usize,
            tokens: 1.0,
            refilled: now,
            next: base.max(1),
            queue: Map::default(),
            granted: BTreeMap::new(),
            holds: VecDeque::new(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, rate: f64, at_once: u32) {
        self.rate = rate;
        self.at_once = at_once.max(1) as usize;
    }

    /// Returns the number of queued asks and of outstanding grants.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.granted.len())
    }

    /// Queues or repeats an ask and answers it.
    pub fn request(&mut self, now: Time, ask: PermitRequest) -> PermitReply {
        self.advance(now);
        let asker = asker(&ask);
        if !self.granted.values().any(|grant| grant.asker == asker) {
            let first = self.queue.get(&asker).map_or(now, |held| held.first);
            self.queue.insert(
                asker.clone(),
                Queued {
                    ask,
                    first,
                    seen: now,
                },
            );
        }
        self.assign(now);
        match self.pick_up(now, &asker) {
            Some(id) => PermitReply::Granted(Grant { id, ttl: GRANT_TTL }),
            None => PermitReply::Wait(self.repeat_after()),
        }
    }

    /// Records the return of a permit.
    pub fn release(&mut self, now: Time, id: u64) {
        if let Some(grant) = self.granted.remove(&id) {
            self.note_hold(now.since(grant.since));
        }
        self.advance(now);
        self.assign(now);
    }

    /// Refills the rate and drops what has expired.
    fn advance(&mut self, now: Time) {
        let step = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + step * self.rate).min(self.at_once as f64);
        self.refilled = now;
        self.granted.retain(|_, grant| grant.until > now);
        self.queue.retain(|_, held| now.since(held.seen) < ASK_TTL);
    }

    /// Grants what rate and number allow, the most urgent ask first. A grant is kept for its asker
    /// until it repeats the ask.
    fn assign(&mut self, now: Time) {
        while self.tokens >= 1.0 && self.granted.len() < self.limit() {
            let Some(best) = self.most_urgent(now) else {
                return;
            };
            self.queue.remove(&best);
            self.tokens -= 1.0;
            let grant = Granted {
                asker: best,
                since: now,
                until: now.after(PICKUP_TTL),
                taken: false,
            };
            self.granted.insert(self.next, grant);
            self.next += 1;
        }
    }

    /// Returns how many permits may be outstanding. A permit is held while the engine takes the
    /// weights in, too, so that the number of fetches at once alone would keep loads below the
    /// store's rate. The shortest hold counts: with the mean, a slow store would get more loads.
    fn limit(&self) -> usize {
        let hold = self.holds.iter().min().map_or(0.0, Duration::as_secs_f64);
        self.at_once.max((self.rate * hold).ceil() as usize)
    }

    fn note_hold(&mut self, hold: Duration) {
        if hold < SHORTEST_HOLD {
            return;
        }
        self.holds.truncate(HOLDS - 1);
        self.holds.push_front(hold);
    }

    /// Returns the ask that is served next: by waiting work and time left, then by
    /// expected use, then by age.
    fn most_urgent(&self, now: Time) -> Option<Asker> {
        self.queue
            .iter()
            .min_by(|a, b| {
                let (left, right) = (urgency(now, a.1), urgency(now, b.1));
                right
                    .total_cmp(&left)
                    .then(b.1.ask.expected.cmp(&a.1.ask.expected))
                    .then(a.1.first.cmp(&b.1.first))
                    .then(a.0.cmp(b.0))
            })
            .map(|(asker, _)| asker.clone())
    }

    fn pick_up(&mut self, now: Time, asker: &Asker) -> Option<u64> {
        let (id, grant) = self
            .granted
            .iter_mut()
            .find(|(_, grant)| grant.asker == *asker)?;
        if !grant.taken {
            grant.taken = true;
            grant.since = now;
            grant.until = now.after(GRANT_TTL);
        }
        Some(*id)
    }

    fn repeat_after(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.max(0.001);
        Duration::from_secs_f64(missing.min(1.0)).clamp(REPEAT.0, REPEAT.1)
    }
}

/// The waiting jobs, which all stop waiting when their version is loaded; as loads take equally
/// long, the most jobs first gives the shortest mean wait. Age counts like waiting jobs, so that an
/// ask of one overnight job is served in the end, and so does a near deadline.
fn urgency(now: Time, held: &Queued) -> f64 {
    let age = now.since(held.first).as_secs_f64();
    let left = held.ask.left.saturating_sub(now.since(held.seen));
    held.ask.waiting as f64 + age + DEADLINE_WEIGHT / (left.as_secs_f64() + 0.1)
}

/// Returns the agents to ask for a permit, in order: the rendezvous order of the region's weight
/// store over the live agents.
pub fn rank_coordinators(store: &str, live: &[Name]) -> Vec<Name> {
    let store = hash_text(store);
    let mut ranked: Vec<(u64, &Name)> = live
        .iter()
        .map(|name| (combine(store, hash_text(name)), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(MAX_COORDINATORS)
        .map(|(_, name)| name.clone())
        .collect()
}

/// What the asker does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientStep {
    /// Ask this coordinator.
    Request(Name),
    /// Nothing until the time.
    Wait(Time),
    /// Load under this permit of this coordinator.
    Load(Option<(Name, u64)>),
}

/// One version's way to a permit.
#[derive(Clone, Debug)]
pub struct PermitClient {
    order: Vec<Name>,
    place: usize,
    state: AskState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskState {
    /// To be asked from this time on.
    Due(Time),
    /// Asked; an answer has to come before this time.
    Asked(Time),
    Granted(u64),
    /// Without a permit from this time on.
    Alone(Time),
}

impl PermitClient {
    /// Starts to ask the coordinators in this order.
    pub fn new(now: Time, order: Vec<Name>) -> Self {
        PermitClient {
            order,
            place: 0,
            state: AskState::Due(now),
        }
    }

    /// Returns the next step. `alone` is the delay before a load without a permit: the interval of
    /// the agent's share of the rate, with jitter.
    pub fn next_step(&mut self, now: Time, alone: impl FnOnce() -> Duration) -> ClientStep {
        if let AskState::Asked(limit) = self.state
            && now >= limit
        {
            self.next_coordinator(now);
        }
        match self.state {
            AskState::Due(at) if now < at => ClientStep::Wait(at),
            AskState::Due(_) => match self.order.get(self.place) {
                Some(name) => {
                    self.state = AskState::Asked(now.after(REPLY_TIMEOUT));
                    ClientStep::Request(name.clone())
                }
                None => {
                    let at = now.after(alone());
                    self.state = AskState::Alone(at);
                    ClientStep::Wait(at)
                }
            },
            AskState::Asked(limit) => ClientStep::Wait(limit),
            AskState::Granted(id) => ClientStep::Load(Some((self.order[self.place].clone(), id))),
            AskState::Alone(at) if now < at => ClientStep::Wait(at),
            AskState::Alone(_) => ClientStep::Load(None),
        }
    }

    /// Records a coordinator's reply, or `None` if the call failed. Returns the grant's number if
    /// the grant came too late to be used and has to be returned.
    pub fn on_reply(&mut self, now: Time, from: &Name, reply: Option<PermitReply>) -> Option<u64> {
        let current = matches!(self.state, AskState::Asked(_))
            && self.order.get(self.place).is_some_and(|name| name == from);
        match reply {
            Some(PermitReply::Granted(grant)) if current => {
                self.state = AskState::Granted(grant.id);
                None
            }
            Some(PermitReply::Granted(grant)) => Some(grant.id),
            Some(PermitReply::Wait(after)) if current => {
                self.state = AskState::Due(now.after(after.min(REPEAT.1)));
                None
            }
            None if current => {
                self.next_coordinator(now);
                None
            }
            _ => None,
        }
    }

    /// Returns the permit, if it was granted and not used so far.
    pub fn granted(&self) -> Option<(Name, u64)> {
        match self.state {
            AskState::Granted(id) => Some((self.order[self.place].clone(), id)),
            _ => None,
        }
    }

    fn next_coordinator(&mut self, now: Time) {
        self.place += 1;
        self.state = AskState::Due(now);
    }
}
