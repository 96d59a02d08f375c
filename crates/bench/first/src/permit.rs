//! Load permits: who may load from the weight store next.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Map;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::time::Time;

/// A request for a load permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
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
    /// The number under which the permit is returned.
    pub id: u64,
    /// The time after which the coordinator counts the permit as returned.
    pub ttl: Duration,
}

/// The coordinator's answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The asker may load now.
    Granted(Grant),
    /// The ask is queued; the asker repeats it after this time to keep its place.
    Wait(Duration),
}

/// The time for which an ask keeps its place without being repeated.
const ASK_TTL: Duration = Duration::from_millis(500);

/// The time after which a grant that was not picked up is taken back.
const PICKUP_TTL: Duration = Duration::from_millis(500);

/// The time after which a grant counts as returned.
const GRANT_TTL: Duration = Duration::from_secs(10);

/// The bounds of the time until an asker repeats its ask.
const REPEAT: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// The time within which a coordinator has to answer.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(200);

/// The number of coordinators that an asker tries before it loads without a permit.
pub const COORDINATORS: usize = 3;

/// Who asks for which version.
type Asker = (Name, Incarnation, Name);

fn asker(ask: &Ask) -> Asker {
    (ask.endpoint.clone(), ask.incarnation, ask.version.clone())
}

#[derive(Clone, Debug)]
struct Queued {
    ask: Ask,
    first: Time,
    seen: Time,
}

#[derive(Clone, Debug)]
struct Granted {
    asker: Asker,
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
    pub fn ask(&mut self, now: Time, ask: Ask) -> Reply {
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
            Some(id) => Reply::Granted(Grant { id, ttl: GRANT_TTL }),
            None => Reply::Wait(self.repeat_after()),
        }
    }

    /// Records the return of a permit.
    pub fn release(&mut self, now: Time, id: u64) {
        self.granted.remove(&id);
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
        while self.tokens >= 1.0 && self.granted.len() < self.at_once {
            let Some(best) = self.most_urgent(now) else {
                return;
            };
            self.queue.remove(&best);
            self.tokens -= 1.0;
            let grant = Granted {
                asker: best,
                until: now.after(PICKUP_TTL),
                taken: false,
            };
            self.granted.insert(self.next, grant);
            self.next += 1;
        }
    }

    /// Returns the ask that is served next: by waiting work relative to the time left, then by
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
            grant.until = now.after(GRANT_TTL);
        }
        Some(*id)
    }

    fn repeat_after(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.max(0.001);
        Duration::from_secs_f64(missing.min(1.0)).clamp(REPEAT.0, REPEAT.1)
    }
}

/// The waiting jobs per second until the earliest deadline. Age counts like waiting jobs, so that
/// an ask of one overnight job is served in the end.
fn urgency(now: Time, held: &Queued) -> f64 {
    let age = now.since(held.first);
    let left = held.ask.left.saturating_sub(now.since(held.seen));
    let waiting = held.ask.waiting as f64 + age.as_secs_f64();
    waiting / (left.as_secs_f64() + 0.1)
}

/// Returns the agents to ask for a permit, in order: the rendezvous order of the region's weight
/// store over the live agents.
pub fn coordinators(store: &str, live: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = live
        .iter()
        .map(|name| (rendezvous(store, name), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(COORDINATORS)
        .map(|(_, name)| name.clone())
        .collect()
}

/// Returns the rendezvous weight of a pair. All processes have to compute the same value, so the
/// function must not change between releases that run together.
fn rendezvous(left: &str, right: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    let bytes = left.bytes().chain([0]).chain(right.bytes());
    for byte in bytes {
        hash = (hash ^ byte as u64).wrapping_mul(0x0000_0100_0000_01b3);
    }
    // FNV alone mixes the last bytes poorly into the high bits, which decide the order.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// What the asker does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this coordinator.
    Ask(Name),
    /// Nothing until the time.
    Wait(Time),
    /// Load under this permit of this coordinator.
    Load(Option<(Name, u64)>),
}

/// One version's way to a permit.
#[derive(Clone, Debug)]
pub struct Asking {
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

impl Asking {
    /// Starts to ask the coordinators in this order.
    pub fn new(now: Time, order: Vec<Name>) -> Self {
        Asking {
            order,
            place: 0,
            state: AskState::Due(now),
        }
    }

    /// Returns the next step. `alone` is the delay before a load without a permit: the interval of
    /// the agent's share of the rate, with jitter.
    pub fn step(&mut self, now: Time, alone: impl FnOnce() -> Duration) -> Step {
        if let AskState::Asked(limit) = self.state
            && now >= limit
        {
            self.next_coordinator(now);
        }
        match self.state {
            AskState::Due(at) if now < at => Step::Wait(at),
            AskState::Due(_) => match self.order.get(self.place) {
                Some(name) => {
                    self.state = AskState::Asked(now.after(ANSWER_LIMIT));
                    Step::Ask(name.clone())
                }
                None => {
                    let at = now.after(alone());
                    self.state = AskState::Alone(at);
                    Step::Wait(at)
                }
            },
            AskState::Asked(limit) => Step::Wait(limit),
            AskState::Granted(id) => Step::Load(Some((self.order[self.place].clone(), id))),
            AskState::Alone(at) if now < at => Step::Wait(at),
            AskState::Alone(_) => Step::Load(None),
        }
    }

    /// Records a coordinator's reply, or `None` if the call failed. Returns the grant's number if
    /// the grant came too late to be used and has to be returned.
    pub fn reply(&mut self, now: Time, from: &Name, reply: Option<Reply>) -> Option<u64> {
        let current = matches!(self.state, AskState::Asked(_))
            && self.order.get(self.place).is_some_and(|name| name == from);
        match reply {
            Some(Reply::Granted(grant)) if current => {
                self.state = AskState::Granted(grant.id);
                None
            }
            Some(Reply::Granted(grant)) => Some(grant.id),
            Some(Reply::Wait(after)) if current => {
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
