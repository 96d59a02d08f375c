//! What one entry may spend of a tenant's limit.
//!
//! Invariants: an account spends what it was granted and, without a grant, no more than its credit until that
//! is repaid; without an agent it spends its own part of the limit, once no agent counts that part any more; at most
//! one request to the bucket is outstanding; a request that waits is settled by an answer or given up by whoever waits.

use std::collections::VecDeque;
use std::time::Duration;

use decision::hash;
use decision::time::Time;

use super::ANSWER_TIMEOUT;
use super::BUSY_TERM;
use super::Bucket;
use super::GRANT_LIFETIME;
use super::Grant;
use super::Membership;
use super::Settlement;
use super::TokenRequest;
use super::holdings::Holdings;
use super::place::Place;
use super::use_estimate::UseEstimate;
use crate::Name;
use crate::tenants::Quota;

/// The shortest time between two asks that no request waits for, and for which a bucket counts as empty.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which the term of an account in use is renewed. Less than half of [`BUSY_TERM`], with the
/// time between two looks at it.
const BUSY_RENEWAL: Duration = Duration::from_millis(200);
/// How long the term of an idle account outlasts two renewals.
const TERM_MARGIN: Duration = Duration::from_millis(500);
/// The interval at which one request asks an empty bucket.
const EMPTY_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time for which a bucket counts as empty.
const MAX_EMPTY_PERIOD: Duration = Duration::from_secs(5);
/// The part of the credit of all entries that may be spent. The rest allows for what requests exceed a
/// bucket by and for the grants of an agent that has ended.
const CREDIT_SHARE: f64 = 0.5;
/// The time in which a bucket must be able to repay the credit of all entries, so that it does not stay below 0 for
/// long. It counts where a limit is small, such as that of a tenant whose unit is the request.
const MAX_CREDIT_PERIOD: Duration = Duration::from_secs(2);
/// The time in which a bucket must be able to repay what one request may exceed its burst by, so that a request
/// that states far more tokens than its limit is not run, and does not keep its tenant refused for days.
const MAX_OVERDRAFT_PERIOD: Duration = Duration::from_secs(1);
/// The most requests that wait for tokens of one tenant.
const MAX_WAITING: usize = 256;
/// All of the limit that a bucket is for.
const WHOLE: f64 = 1.0;
/// Bounds of `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What entries need to know to divide a limit among them.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// The number of entries; 0 counts as 1.
    pub entries: u32,
    /// What a tenant may use beyond its limit in a window, over all entries.
    pub slack: f64,
    /// What it may use beyond that, in seconds of its rate.
    pub excess_s: f64,
}

impl Shares {
    fn count(self) -> f64 {
        f64::from(self.entries.max(1))
    }

    /// Returns what an entry may spend of a tenant with this limit without a grant.
    pub fn credit(self, quota: Quota) -> f64 {
        let all = self.slack * CREDIT_SHARE;
        all.min(quota.rate * MAX_CREDIT_PERIOD.as_secs_f64()) / self.count()
    }

    /// Returns the same for an entry that may ask nobody for a short term, while its part of the limit is granted to
    /// others.
    fn blocked_credit(self, quota: Quota) -> f64 {
        let period = (self.excess_s * CREDIT_SHARE).min(BUSY_TERM.as_secs_f64());
        self.credit(quota) + quota.rate * period / self.count()
    }

    /// Returns the highest cost of a request that is ever charged to this limit. It is at least 1, the cost of a
    /// request of a tenant whose unit is the request.
    fn max_cost(self, quota: Quota) -> f64 {
        let repaid = quota.rate * MAX_OVERDRAFT_PERIOD.as_secs_f64();
        let overdraft = repaid.max(self.slack * CREDIT_SHARE);
        (quota.burst + overdraft).max(1.0)
    }

    /// Returns this entry's part of a limit.
    fn part_of(self, quota: Quota) -> Quota {
        Quota {
            rate: quota.rate / self.count(),
            burst: quota.burst / self.count(),
        }
    }
}

/// What a request was charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The tokens charged.
    pub tokens: u64,
    /// Until when they can be given back.
    pub expires_at: Time,
}

/// Why a request is refused, for its answer and its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Refusal {
    /// When the caller may try again.
    pub retry_after: Duration,
    /// The tokens that the account holds.
    pub left: u64,
    /// The age of the last answer of the bucket; `None` if there was none.
    pub age: Option<Duration>,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    cost: u64,
    /// Whether the outstanding request to the bucket includes it.
    asked: bool,
}

/// A request to the bucket without an answer.
#[derive(Clone, Debug)]
struct Outstanding {
    id: u64,
    agent: Name,
    sent_at: Time,
    /// The credit that it reports.
    spent: u64,
    purpose: Purpose,
    /// Whether its answer is overdue.
    overdue: bool,
}

/// What a request to the bucket is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Tokens.
    Tokens,
    /// The term at the agent.
    Renewal,
    /// Taking the account's part of the limit away from the agent.
    Leave,
}

/// What an answer says of the bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Level {
    /// Nothing, as the agent does not count the account's part of the limit yet, or not any more.
    Unknown,
    /// Nothing, as no tokens were asked for.
    Unasked,
    /// Whether it has what was asked for.
    Told,
}

/// Whom an account may ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// An agent.
    Agent,
    /// Nobody before this time: an agent that does not answer may still count the account's part of the limit.
    Blocked(Time),
    /// Nobody, so that the account spends its own part.
    Local,
}

/// What an agent is told of an entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    /// The number of the entry's process.
    pub(super) id: u64,
    pub(super) entries: u32,
    /// The interval at which the terms of idle accounts are renewed.
    pub(super) idle_renewal: Duration,
}

/// What becomes of a request that is charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// It is charged.
    Admitted(Charge),
    /// It waits for tokens.
    Waits,
    /// It is refused.
    Refused(Refusal),
}

/// The account of one tenant at an entry.
#[derive(Debug)]
pub struct Account {
    /// The hash of the tenant's name, for rendezvous hashing.
    pub(super) key: u64,
    pub(super) version: u64,
    pub(super) quota: Quota,
    holdings: Holdings,
    /// What was spent on credit and is not repaid.
    debt: u64,
    /// The part of `debt` that the bucket was not told.
    unreported: u64,
    outstanding: Option<Outstanding>,
    /// Where its part of the limit is.
    pub(super) place: Place,
    /// Whether tokens came from elsewhere before this agent, which does not know that yet.
    moved: bool,
    /// A part of the limit, which this entry spends while it has no agent.
    local: Option<Bucket>,
    waiting: VecDeque<Waiting>,
    /// When it last asked for tokens, or reported credit.
    asked_at: Option<Time>,
    /// When it last asked at all.
    renewed_at: Option<Time>,
    answered_at: Option<Time>,
    empty_until: Time,
    probed_at: Time,
    /// The tokens refused since the bucket was last known to have some.
    refused: u64,
    /// The use of tokens.
    expected: UseEstimate,
    /// The use that requests have asked for, with those that were refused.
    demanded: UseEstimate,
}

impl Account {
    /// Creates the account of a tenant, which holds nothing.
    pub fn new(tenant: &str, version: u64, quota: Quota) -> Self {
        Account {
            key: hash::hash_text(tenant),
            version,
            quota,
            holdings: Holdings::default(),
            debt: 0,
            unreported: 0,
            outstanding: None,
            place: Place::default(),
            moved: false,
            local: None,
            waiting: VecDeque::new(),
            asked_at: None,
            renewed_at: None,
            answered_at: None,
            empty_until: Time::default(),
            probed_at: Time::default(),
            refused: 0,
            expected: UseEstimate::default(),
            demanded: UseEstimate::default(),
        }
    }

    /// Returns the tokens granted and not spent.
    pub fn held(&self) -> u64 {
        self.holdings.total()
    }

    /// Returns what was spent on credit and is not repaid.
    pub fn debt(&self) -> u64 {
        self.debt
    }

    /// Charges a request, or lets it wait under this ticket.
    pub(super) fn charge(
        &mut self,
        now: Time,
        ticket: u64,
        cost: u64,
        access: Access,
        shares: Shares,
        rng: &mut fastrand::Rng,
    ) -> Step {
        self.expire(now);
        self.demanded.record(now, cost);
        if cost as f64 > shares.max_cost(self.quota) {
            return Step::Refused(self.refusal(now, MAX_RETRY_AFTER));
        }
        let is_empty = now < self.empty_until;
        let credit = match access {
            _ if is_empty => 0.0,
            Access::Blocked(_) => shares.blocked_credit(self.quota),
            Access::Agent | Access::Local => shares.credit(self.quota),
        };
        if let Some(charge) = self.spend(now, cost, credit) {
            return Step::Admitted(charge);
        }
        match access {
            Access::Agent => {}
            Access::Blocked(until) => {
                return Step::Refused(self.refuse(now, cost, until, shares, rng));
            }
            Access::Local => {
                return match self.spend_locally(now, cost, shares) {
                    Some(charge) => Step::Admitted(charge),
                    None => Step::Refused(self.refuse(now, cost, now, shares, rng)),
                };
            }
        }
        let may_probe = !is_empty || now >= self.probed_at.after(EMPTY_PROBE_INTERVAL);
        if !may_probe || self.waiting.len() >= MAX_WAITING {
            return Step::Refused(self.refuse(now, cost, now, shares, rng));
        }
        if is_empty {
            self.probed_at = now;
        }
        let asked = false;
        self.waiting.push_back(Waiting {
            ticket,
            cost,
            asked,
        });
        Step::Waits
    }

    /// Gives back what a request was charged that was not sent to a runner.
    pub fn refund(&mut self, now: Time, charge: Charge) {
        let unreported = charge.tokens.min(self.unreported);
        self.unreported -= unreported;
        self.debt -= unreported;
        let tokens = charge.tokens - unreported;
        self.holdings.add(now, tokens, charge.expires_at);
    }

    /// Ends the wait of a request that the bucket has not settled.
    pub(super) fn give_up(
        &mut self,
        now: Time,
        ticket: u64,
        shares: Shares,
        rng: &mut fastrand::Rng,
    ) -> Option<Refusal> {
        let index = self.waiting.iter().position(|one| one.ticket == ticket)?;
        let one = self.waiting.remove(index)?;
        Some(self.refuse(now, one.cost, now, shares, rng))
    }

    /// Returns the agent whose answer is overdue, if that is new. The answer is awaited for as long as the agent may
    /// count the account's part of the limit.
    pub(super) fn take_overdue(&mut self, now: Time) -> Option<Name> {
        let is_free = self.place.is_free(now);
        let outstanding = self.outstanding.as_mut()?;
        if now < outstanding.sent_at.after(ANSWER_TIMEOUT) {
            return None;
        }
        if is_free {
            return self.void();
        }
        let was_known = std::mem::replace(&mut outstanding.overdue, true);
        (!was_known).then(|| outstanding.agent.clone())
    }

    /// Records that the link to an agent has ended; `by_agent` if the agent's end is closed, so that it knows.
    pub(super) fn lose_agent(&mut self, runner: &Name, by_agent: bool) {
        let asked = self.outstanding.as_ref().map(|one| &one.agent);
        if asked == Some(runner) {
            self.void();
        }
        if !self.place.is_at(runner) {
            return;
        }
        if by_agent {
            self.place.leave();
        } else {
            self.place.lose_link();
        }
    }

    /// Returns whether a request waits.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether the bucket at this agent does not know of the account.
    pub(super) fn is_unknown_to(&self, agent: &Name) -> bool {
        !self.place.is_at(agent)
    }

    /// Returns whether an ask is due that makes an agent count the account's part of the limit.
    pub(super) fn needs_ask(&self, now: Time) -> bool {
        self.place.needs_ask(now)
    }

    /// Returns whether nothing is left to try until the agent that may count the account's part answers.
    pub(super) fn is_overdue(&self) -> bool {
        self.outstanding.as_ref().is_some_and(|one| one.overdue)
    }

    /// Returns the request that takes the account's part of the limit away from the agent that it is at.
    pub(super) fn leave(
        &mut self,
        now: Time,
        id: u64,
        holder: &Holder,
    ) -> Option<(Name, TokenRequest)> {
        let agent = self.place.agent().cloned()?;
        if self.outstanding.is_some() || self.place.is_free(now) {
            return None;
        }
        let spent = self.report(now, id, &agent, Purpose::Leave);
        let request = TokenRequest {
            version: self.version,
            quota: self.quota,
            want: 0,
            least: 0,
            spent,
            moved: false,
            membership: Some(Membership {
                holder: holder.id,
                entries: holder.entries,
                stamp: 0,
                term: Duration::ZERO,
            }),
        };
        Some((agent, request))
    }

    /// Records an ask; returns the credit that it reports.
    fn report(&mut self, now: Time, id: u64, agent: &Name, purpose: Purpose) -> u64 {
        let spent = std::mem::take(&mut self.unreported);
        self.renewed_at = Some(now);
        self.outstanding = Some(Outstanding {
            id,
            agent: agent.clone(),
            sent_at: now,
            spent,
            purpose,
            overdue: false,
        });
        spent
    }

    /// Returns the request to send to the bucket at this agent, if one is due or `forced`, and if no other agent
    /// may count the account's part of the limit.
    pub(super) fn request(
        &mut self,
        now: Time,
        agent: &Name,
        id: u64,
        forced: bool,
        holder: &Holder,
    ) -> Option<TokenRequest> {
        if self.outstanding.is_some() {
            return None;
        }
        if self.is_unknown_to(agent) {
            if !self.place.is_free(now) {
                return None;
            }
            self.move_to(agent.clone());
        }
        let is_due = !self.waiting.is_empty() || self.is_due(now);
        if !is_due && !forced && !self.is_renewal_due(now, holder) {
            return None;
        }
        if is_due {
            self.asked_at = Some(now);
        }
        for one in &mut self.waiting {
            one.asked = true;
        }
        let needed: u64 = self.waiting.iter().map(|one| one.cost).sum();
        let want = needed.saturating_add(self.expected.prefetch(now));
        let asks_tokens = is_due || forced || now >= self.empty_until;
        let want = if asks_tokens {
            want.saturating_sub(self.held())
        } else {
            0
        };
        let smallest = self.waiting.iter().map(|one| one.cost).min();
        let least = match smallest {
            Some(cost) => cost.saturating_sub(self.held()),
            None => want.min(self.expected.mean_cost()),
        };
        let purpose = if want > 0 {
            Purpose::Tokens
        } else {
            Purpose::Renewal
        };
        let spent = self.report(now, id, agent, purpose);
        let term = if self.is_busy(now) {
            BUSY_TERM
        } else {
            holder.idle_renewal * 2 + TERM_MARGIN
        };
        Some(TokenRequest {
            version: self.version,
            quota: self.quota,
            want,
            least,
            spent,
            moved: std::mem::take(&mut self.moved),
            membership: Some(Membership {
                holder: holder.id,
                entries: holder.entries,
                stamp: self.place.name_stamp(term),
                term,
            }),
        })
    }

    /// Applies the answer to the request with this number, unless it came too late; returns the requests
    /// that are settled.
    pub(super) fn apply(
        &mut self,
        now: Time,
        id: u64,
        grant: Grant,
        shares: Shares,
        rng: &mut fastrand::Rng,
    ) -> Vec<Settlement> {
        let Some(answered) = self.outstanding.take_if(|one| one.id == id) else {
            return Vec::new();
        };
        self.expire(now);
        let expires_at = answered.sent_at.after(GRANT_LIFETIME);
        let level = match answered.purpose {
            Purpose::Leave => {
                self.place.leave();
                Level::Unknown
            }
            _ if self.place.record_answer(now, grant.stamp) => Level::Unknown,
            Purpose::Tokens => Level::Told,
            Purpose::Renewal => Level::Unasked,
        };
        self.record_answer(now, grant, expires_at, level);
        self.settle(now, shares, rng)
    }

    fn record_answer(&mut self, now: Time, grant: Grant, expires_at: Time, level: Level) {
        self.answered_at = Some(now);
        self.holdings.add(now, grant.granted, expires_at);
        // A bucket that is below 0 grants nothing, so what it was told of is repaid.
        if grant.granted > 0 || grant.wait.is_zero() {
            self.debt = self.unreported;
        }
        match level {
            Level::Unasked => {}
            Level::Unknown => self.empty_until = Time::default(),
            Level::Told if grant.wait.is_zero() => {
                self.empty_until = Time::default();
                self.refused = 0;
            }
            Level::Told => {
                let period = grant.wait.clamp(MIN_ASK_INTERVAL, MAX_EMPTY_PERIOD);
                self.empty_until = now.after(period);
            }
        }
    }

    /// Charges the waiting requests for which there is enough, and refuses the others that the bucket was
    /// asked for if it had too little.
    fn settle(&mut self, now: Time, shares: Shares, rng: &mut fastrand::Rng) -> Vec<Settlement> {
        let is_empty = now < self.empty_until;
        let credit = if is_empty {
            0.0
        } else {
            shares.credit(self.quota)
        };
        let mut settled = Vec::new();
        for one in std::mem::take(&mut self.waiting) {
            let result = match self.spend(now, one.cost, credit) {
                Some(charge) => Ok(charge),
                None if is_empty && one.asked => Err(self.refuse(now, one.cost, now, shares, rng)),
                None => {
                    self.waiting.push_back(one);
                    continue;
                }
            };
            settled.push(Settlement {
                ticket: one.ticket,
                result,
            });
        }
        settled
    }

    /// Takes a request's cost from what is held, and the rest from the credit that is left.
    fn spend(&mut self, now: Time, cost: u64, credit: f64) -> Option<Charge> {
        let borrowed = cost.saturating_sub(self.held());
        if borrowed > 0 && (self.debt + borrowed) as f64 > credit {
            return None;
        }
        let taken = self.holdings.take(cost - borrowed);
        self.debt += borrowed;
        self.unreported += borrowed;
        self.expected.record(now, cost);
        Some(Charge {
            tokens: cost,
            expires_at: taken.unwrap_or(now.after(GRANT_LIFETIME)),
        })
    }

    fn spend_locally(&mut self, now: Time, cost: u64, shares: Shares) -> Option<Charge> {
        self.open_locally(now, shares);
        let want = cost.saturating_sub(self.held());
        let request = TokenRequest {
            version: self.version,
            quota: shares.part_of(self.quota),
            want,
            least: want,
            spent: std::mem::take(&mut self.unreported),
            moved: false,
            membership: None,
        };
        let grant = self.local.as_mut()?.ask(now, WHOLE, &request);
        self.record_answer(now, grant, now.after(GRANT_LIFETIME), Level::Told);
        self.spend(now, cost, 0.0)
    }

    /// Begins to fill the own part of the limit, which is used while no agent is linked.
    pub(super) fn open_locally(&mut self, now: Time, shares: Shares) {
        if self.local.is_some() {
            return;
        }
        self.void();
        self.place.leave();
        self.unreported = self.debt;
        self.empty_until = Time::default();
        let part = shares.part_of(self.quota);
        self.local = Some(Bucket::new(now, self.version, part));
    }

    /// Turns to the bucket at another agent, which is told of all that is not repaid.
    fn move_to(&mut self, agent: Name) {
        self.moved = self.place.agent().is_some() || self.answered_at.is_some();
        self.place.move_to(agent);
        self.local = None;
        self.unreported = self.debt;
        self.empty_until = Time::default();
    }

    /// Gives up the outstanding request; the credit that it reported is reported again.
    fn void(&mut self) -> Option<Name> {
        let voided = self.outstanding.take()?;
        self.unreported += voided.spent;
        Some(voided.agent)
    }

    /// Returns whether several requests of the tenant are expected in each term.
    fn is_busy(&self, now: Time) -> bool {
        self.demanded.prefetch(now) > 0
    }

    fn is_renewal_due(&self, now: Time, holder: &Holder) -> bool {
        // A short term ends before the next renewal of an idle account.
        let is_short = self.is_busy(now) || self.place.term() <= BUSY_TERM;
        let interval = if is_short {
            BUSY_RENEWAL
        } else {
            holder.idle_renewal
        };
        let is_old = self.renewed_at.is_none_or(|at| now >= at.after(interval));
        self.needs_ask(now) || (self.place.has_term() && is_old)
    }

    fn is_due(&self, now: Time) -> bool {
        let rested = self
            .asked_at
            .is_none_or(|at| now >= at.after(MIN_ASK_INTERVAL));
        let is_low = self.held() < self.expected.prefetch(now) / 2;
        rested && now >= self.empty_until && (self.unreported > 0 || is_low)
    }

    /// Counts a request that is refused and cannot be served before `not_before`. Callers that were refused before are
    /// expected to return first.
    fn refuse(
        &mut self,
        now: Time,
        cost: u64,
        not_before: Time,
        shares: Shares,
        rng: &mut fastrand::Rng,
    ) -> Refusal {
        let own_rate = self
            .expected
            .rate(now)
            .max(self.quota.rate / shares.count());
        self.refused = self.refused.saturating_add(cost);
        let queue = Duration::try_from_secs_f64(self.refused as f64 / own_rate);
        let queue = queue.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let wait = self.empty_until.max(not_before).since(now) + queue;
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
        self.refusal(now, wait + wait.mul_f64(rng.f64()))
    }

    fn refusal(&self, now: Time, retry_after: Duration) -> Refusal {
        Refusal {
            retry_after,
            left: self.held(),
            age: self.answered_at.map(|at| now.since(at)),
        }
    }

    /// Drops the granted tokens that have expired.
    pub(super) fn expire(&mut self, now: Time) {
        self.holdings.expire(now);
    }
}
