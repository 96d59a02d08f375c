//! Load permits, which limit the loads from the weight store of a region.
//!
//! An agent requests a permit from a coordinator before it loads a version ([`PermitClient`]). The
//! coordinator ([`Coordinator`]) limits the rate of loads and the number of outstanding permits, and
//! grants permits by urgency.

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

/// A request for a permit to load one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The endpoint that wants to load.
    pub endpoint: Name,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The served name of the version.
    pub version: Name,
    /// The number of jobs that wait for the version.
    pub waiting: u32,
    /// The time left until the earliest deadline of these jobs.
    pub left: Duration,
    /// The expected uses after the load, in thousandths of a use per hour.
    pub expected: u32,
}

/// A permit to load one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The id by which the permit is returned; 0 if the request is queued and no permit was granted.
    pub id: u64,
    /// How long until the coordinator counts the permit as returned, or until a queued request is to
    /// be repeated.
    pub ttl: Duration,
}

/// The coordinator's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The agent may load now.
    Granted(Grant),
    /// The request is queued; the agent repeats it after this time to keep its place.
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

/// How long a queued request keeps its place without being repeated.
const REQUEST_TTL: Duration = Duration::from_millis(500);

/// How long a grant is reserved for an agent that has not repeated its request since.
const RESERVATION_TTL: Duration = Duration::from_millis(500);

/// How long until a grant counts as returned.
const GRANT_TTL: Duration = Duration::from_secs(10);

/// The weight of the deadline in the urgency: a version whose earliest deadline is one second away
/// is about as urgent as one for which this many jobs wait.
const DEADLINE_WEIGHT: f64 = 20.0;

/// The number of returned permits from which the time of an undisturbed load is estimated.
const HOLD_SAMPLES: usize = 16;

/// A permit that is returned sooner than this was not used for a load.
const MIN_HOLD: Duration = Duration::from_millis(20);

/// The shortest and the longest time until an agent repeats its request.
const REPEAT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// How long an agent waits for a coordinator's reply.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of coordinators that an agent tries before it loads without a permit.
pub const MAX_COORDINATORS: usize = 3;

/// Identifies a request by its endpoint, incarnation and version.
type RequestKey = (Name, Incarnation, Name);

fn request_key(request: &PermitRequest) -> RequestKey {
    (
        request.endpoint.clone(),
        request.incarnation,
        request.version.clone(),
    )
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    /// The request as last repeated.
    request: PermitRequest,
    first_seen: Time,
    last_seen: Time,
}

#[derive(Clone, Debug)]
struct OutstandingGrant {
    key: RequestKey,
    granted_at: Time,
    expires_at: Time,
    /// Whether the agent was told of the grant.
    delivered: bool,
}

/// The permits of one region, managed by whichever agent receives the requests.
#[derive(Clone, Debug)]
pub struct Coordinator {
    /// Loads per second.
    rate: f64,
    /// The number of permits that may be outstanding; [`Coordinator::limit`] may raise it.
    max_outstanding: usize,
    /// The balance of the rate limit, in permits.
    tokens: f64,
    refilled_at: Time,
    next_id: u64,
    queue: Map<RequestKey, QueuedRequest>,
    granted: BTreeMap<u64, OutstandingGrant>,
    /// How long the last returned permits were held, the latest first.
    holds: VecDeque<Duration>,
}

impl Coordinator {
    /// Creates a coordinator that allows `rate` loads per second and `max_outstanding` permits at a
    /// time. `first_id` is the id of the first grant. It differs between incarnations, so that a late
    /// return does not release a grant of another coordinator.
    pub fn new(now: Time, rate: f64, max_outstanding: u32, first_id: u64) -> Self {
        Coordinator {
            rate,
            max_outstanding: max_outstanding.max(1) as usize,
            tokens: 1.0,
            refilled_at: now,
            next_id: first_id.max(1),
            queue: Map::default(),
            granted: BTreeMap::new(),
            holds: VecDeque::new(),
        }
    }

    /// Sets the loads per second and the number of permits that may be outstanding.
    pub fn set_limits(&mut self, rate: f64, max_outstanding: u32) {
        self.rate = rate;
        self.max_outstanding = max_outstanding.max(1) as usize;
    }

    /// Returns the number of queued requests and the number of outstanding grants.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.granted.len())
    }

    /// Replies to a request, which is queued unless it was granted before.
    pub fn request(&mut self, now: Time, request: PermitRequest) -> PermitReply {
        self.advance(now);
        let key = request_key(&request);
        if !self.granted.values().any(|grant| grant.key == key) {
            let first_seen = self.queue.get(&key).map_or(now, |queued| queued.first_seen);
            self.queue.insert(
                key.clone(),
                QueuedRequest {
                    request,
                    first_seen,
                    last_seen: now,
                },
            );
        }
        self.grant_queued(now);
        match self.deliver_grant(now, &key) {
            Some(id) => PermitReply::Granted(Grant { id, ttl: GRANT_TTL }),
            None => PermitReply::Wait(self.repeat_delay()),
        }
    }

    /// Records the return of a permit; an unknown id has no effect.
    pub fn release(&mut self, now: Time, id: u64) {
        if let Some(grant) = self.granted.remove(&id) {
            self.record_hold(now.since(grant.granted_at));
        }
        self.advance(now);
        self.grant_queued(now);
    }

    /// Refills the tokens and removes expired grants and requests.
    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.max_outstanding as f64);
        self.refilled_at = now;
        self.granted.retain(|_, grant| grant.expires_at > now);
        self.queue
            .retain(|_, queued| now.since(queued.last_seen) < REQUEST_TTL);
    }

    /// Grants as many queued requests as the limits allow, the most urgent first. A grant is reserved
    /// for its agent until the agent repeats the request.
    fn grant_queued(&mut self, now: Time) {
        while self.tokens >= 1.0 && self.granted.len() < self.limit() {
            let Some(key) = self.most_urgent(now) else {
                return;
            };
            self.queue.remove(&key);
            self.tokens -= 1.0;
            let grant = OutstandingGrant {
                key,
                granted_at: now,
                expires_at: now.after(RESERVATION_TTL),
                delivered: false,
            };
            self.granted.insert(self.next_id, grant);
            self.next_id += 1;
        }
    }

    /// Returns how many permits may be outstanding. A permit stays held while the engine reads the
    /// weights in, so `max_outstanding` alone, which counts concurrent fetches, would keep the loads
    /// below the rate of the store. The shortest hold is used because the mean grows when the store
    /// is slow, which would allow more loads at that time.
    fn limit(&self) -> usize {
        let hold = self.holds.iter().min().map_or(0.0, Duration::as_secs_f64);
        self.max_outstanding.max((self.rate * hold).ceil() as usize)
    }

    fn record_hold(&mut self, hold: Duration) {
        if hold < MIN_HOLD {
            return;
        }
        self.holds.truncate(HOLD_SAMPLES - 1);
        self.holds.push_front(hold);
    }

    /// Returns the request to grant next: by urgency, then by expected use, then by age.
    fn most_urgent(&self, now: Time) -> Option<RequestKey> {
        self.queue
            .iter()
            .min_by(|a, b| {
                let (left, right) = (urgency(now, a.1), urgency(now, b.1));
                right
                    .total_cmp(&left)
                    .then(b.1.request.expected.cmp(&a.1.request.expected))
                    .then(a.1.first_seen.cmp(&b.1.first_seen))
                    .then(a.0.cmp(b.0))
            })
            .map(|(key, _)| key.clone())
    }

    /// Returns the id of the grant for a request, if there is one. Its time to live starts with the
    /// first delivery.
    fn deliver_grant(&mut self, now: Time, key: &RequestKey) -> Option<u64> {
        let (id, grant) = self
            .granted
            .iter_mut()
            .find(|(_, grant)| grant.key == *key)?;
        if !grant.delivered {
            grant.delivered = true;
            grant.granted_at = now;
            grant.expires_at = now.after(GRANT_TTL);
        }
        Some(*id)
    }

    fn repeat_delay(&self) -> Duration {
        let refill_s = (1.0 - self.tokens).max(0.0) / self.rate.max(0.001);
        Duration::from_secs_f64(refill_s.min(1.0)).clamp(REPEAT_BOUNDS.0, REPEAT_BOUNDS.1)
    }
}

/// Returns the urgency of a request, in waiting jobs.
///
/// One load ends the wait of all jobs for its version. Since loads take about the same time, serving
/// the version with the most jobs first gives the shortest mean wait. Each second of age counts as
/// one job, so that a request for a single overnight job is served eventually; a near deadline
/// counts as further jobs.
fn urgency(now: Time, queued: &QueuedRequest) -> f64 {
    let age = now.since(queued.first_seen).as_secs_f64();
    let left = queued
        .request
        .left
        .saturating_sub(now.since(queued.last_seen));
    queued.request.waiting as f64 + age + DEADLINE_WEIGHT / (left.as_secs_f64() + 0.1)
}

/// Returns the agents to request a permit from, in this order: the live agents ranked by rendezvous
/// hashing with the name of the region's weight store, at most [`MAX_COORDINATORS`].
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

/// What the agent does next to obtain a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientStep {
    /// Send the request to this coordinator.
    Request(Name),
    /// Wait until this time.
    Wait(Time),
    /// Load, with the coordinator and the id of the permit; `None` means to load without a permit.
    Load(Option<(Name, u64)>),
}

/// The requesting side: obtains a permit to load one version.
#[derive(Clone, Debug)]
pub struct PermitClient {
    coordinators: Vec<Name>,
    /// The index of the coordinator in use.
    current: usize,
    state: ClientState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// The next request is sent at this time.
    RequestAt(Time),
    /// A request was sent; the reply has to arrive before this time.
    AwaitingReply(Time),
    Granted(u64),
    /// No coordinator replied; the load starts without a permit at this time.
    LoadAt(Time),
}

impl PermitClient {
    /// Creates a client that tries the coordinators in the given order.
    pub fn new(now: Time, coordinators: Vec<Name>) -> Self {
        PermitClient {
            coordinators,
            current: 0,
            state: ClientState::RequestAt(now),
        }
    }

    /// Returns the next step. `fallback_delay` returns the delay before a load without a permit: the
    /// interval between loads at the agent's own share of the rate, with jitter.
    pub fn next_step(
        &mut self,
        now: Time,
        fallback_delay: impl FnOnce() -> Duration,
    ) -> ClientStep {
        if let ClientState::AwaitingReply(timeout) = self.state
            && now >= timeout
        {
            self.next_coordinator(now);
        }
        match self.state {
            ClientState::RequestAt(at) if now < at => ClientStep::Wait(at),
            ClientState::RequestAt(_) => match self.coordinators.get(self.current) {
                Some(name) => {
                    self.state = ClientState::AwaitingReply(now.after(REPLY_TIMEOUT));
                    ClientStep::Request(name.clone())
                }
                None => {
                    let at = now.after(fallback_delay());
                    self.state = ClientState::LoadAt(at);
                    ClientStep::Wait(at)
                }
            },
            ClientState::AwaitingReply(timeout) => ClientStep::Wait(timeout),
            ClientState::Granted(id) => {
                ClientStep::Load(Some((self.coordinators[self.current].clone(), id)))
            }
            ClientState::LoadAt(at) if now < at => ClientStep::Wait(at),
            ClientState::LoadAt(_) => ClientStep::Load(None),
        }
    }

    /// Handles the reply of the coordinator `from`, or `None` if the call failed. Returns the id of a
    /// grant that arrived too late to be used and has to be returned to the coordinator.
    pub fn on_reply(&mut self, now: Time, from: &Name, reply: Option<PermitReply>) -> Option<u64> {
        let expected = matches!(self.state, ClientState::AwaitingReply(_))
            && self
                .coordinators
                .get(self.current)
                .is_some_and(|name| name == from);
        match reply {
            Some(PermitReply::Granted(grant)) if expected => {
                self.state = ClientState::Granted(grant.id);
                None
            }
            Some(PermitReply::Granted(grant)) => Some(grant.id),
            Some(PermitReply::Wait(delay)) if expected => {
                self.state = ClientState::RequestAt(now.after(delay.min(REPEAT_BOUNDS.1)));
                None
            }
            None if expected => {
                self.next_coordinator(now);
                None
            }
            _ => None,
        }
    }

    /// Returns the coordinator and the id of the permit, if one was granted.
    pub fn granted(&self) -> Option<(Name, u64)> {
        match self.state {
            ClientState::Granted(id) => Some((self.coordinators[self.current].clone(), id)),
            _ => None,
        }
    }

    fn next_coordinator(&mut self, now: Time) {
        self.current += 1;
        self.state = ClientState::RequestAt(now);
    }
}
