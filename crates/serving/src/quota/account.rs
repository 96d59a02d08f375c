//! What one entry may spend of a tenant's limit.
//!
//! Invariants: an account spends what it was granted and, without a grant, no more than its credit until that
//! is repaid; without an agent it spends its own part of the limit, once no agent counts that part any more; at most
//! one request to the bucket is outstanding; a request that waits is settled by an answer or given up by whoever waits.

mod asks;

use std::collections::VecDeque;
use std::time::Duration;

use decision::hash;
use decision::time::Time;

pub(super) use self::asks::Holder;
use self::asks::Level;
use self::asks::Outstanding;
use super::Bucket;
use super::GRANT_LIFETIME;
use super::Settlement;
use super::Shares;
use super::TokenRequest;
use super::holdings::Holdings;
use super::place::Place;
use super::use_estimate::UseEstimate;
use crate::tenants::Quota;

/// The interval at which one request asks an empty bucket.
const EMPTY_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The most requests that wait for tokens of one tenant.
const MAX_WAITING: usize = 256;
/// All of the limit that a bucket is for.
const WHOLE: f64 = 1.0;
/// Bounds of `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

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

    /// Returns whether a request waits.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
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
