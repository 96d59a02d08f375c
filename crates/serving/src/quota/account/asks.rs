//! What an account asks of the bucket, and what it makes of the answers.
//!
//! Invariants: at most one request to the bucket is outstanding; no other agent is asked while the one before may
//! count the account's part of the limit.

use std::time::Duration;

use decision::time::Time;

use super::Account;
use crate::Name;
use crate::quota::ANSWER_TIMEOUT;
use crate::quota::BUSY_TERM;
use crate::quota::GRANT_LIFETIME;
use crate::quota::Grant;
use crate::quota::Membership;
use crate::quota::Settlement;
use crate::quota::Shares;
use crate::quota::TokenRequest;

/// The shortest time between two asks that no request waits for, and for which a bucket counts as empty.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which the term of an account in use is renewed. Less than half of [`BUSY_TERM`], with the
/// time between two looks at it.
const BUSY_RENEWAL: Duration = Duration::from_millis(200);
/// How long the term of an idle account outlasts two renewals.
const TERM_MARGIN: Duration = Duration::from_millis(500);
/// The longest time for which a bucket counts as empty.
const MAX_EMPTY_PERIOD: Duration = Duration::from_secs(5);

/// A request to the bucket without an answer.
#[derive(Clone, Debug)]
pub(super) struct Outstanding {
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
pub(super) enum Level {
    /// Nothing, as the agent does not count the account's part of the limit yet, or not any more.
    Unknown,
    /// Nothing, as no tokens were asked for.
    Unasked,
    /// Whether it has what was asked for.
    Told,
}

/// What an agent is told of an entry.
#[derive(Clone, Copy, Debug)]
pub(in crate::quota) struct Holder {
    /// The number of the entry's process.
    pub(in crate::quota) id: u64,
    pub(in crate::quota) entries: u32,
    /// The interval at which the terms of idle accounts are renewed.
    pub(in crate::quota) idle_renewal: Duration,
}

impl Account {
    /// Returns the agent whose answer is overdue, if that is new. The answer is awaited for as long as the agent may
    /// count the account's part of the limit.
    pub(in crate::quota) fn take_overdue(&mut self, now: Time) -> Option<Name> {
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
    pub(in crate::quota) fn lose_agent(&mut self, runner: &Name, by_agent: bool) {
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

    /// Returns whether the bucket at this agent does not know of the account.
    pub(in crate::quota) fn is_unknown_to(&self, agent: &Name) -> bool {
        !self.place.is_at(agent)
    }

    /// Returns whether an ask is due that makes an agent count the account's part of the limit.
    pub(in crate::quota) fn needs_ask(&self, now: Time) -> bool {
        self.place.needs_ask(now)
    }

    /// Returns whether nothing is left to try until the agent that may count the account's part answers.
    pub(in crate::quota) fn is_overdue(&self) -> bool {
        self.outstanding.as_ref().is_some_and(|one| one.overdue)
    }

    /// Returns the request that takes the account's part of the limit away from the agent that it is at.
    pub(in crate::quota) fn leave(
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
    pub(in crate::quota) fn request(
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
    pub(in crate::quota) fn apply(
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

    pub(super) fn record_answer(
        &mut self,
        now: Time,
        grant: Grant,
        expires_at: Time,
        level: Level,
    ) {
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

    /// Turns to the bucket at another agent, which is told of all that is not repaid.
    fn move_to(&mut self, agent: Name) {
        self.moved = self.place.agent().is_some() || self.answered_at.is_some();
        self.place.move_to(agent);
        self.local = None;
        self.unreported = self.debt;
        self.empty_until = Time::default();
    }

    /// Gives up the outstanding request; the credit that it reported is reported again.
    pub(super) fn void(&mut self) -> Option<Name> {
        let voided = self.outstanding.take()?;
        self.unreported += voided.spent;
        Some(voided.agent)
    }

    /// Returns whether several requests of the tenant are expected in each term.
    pub(super) fn is_busy(&self, now: Time) -> bool {
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
}
