//! The accounts of all tenants with a limit at one entry.
//!
//! Invariants: a tenant with a limit has an account, or its requests are refused; each ask goes to the agent
//! that is first in the rendezvous order of the tenant, or to the one before, so that it gives up the account's part.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use super::Account;
use super::Agents;
use super::Charge;
use super::Grant;
use super::Membership;
use super::Refusal;
use super::Shares;
use super::TokenRequest;
use super::account::Access;
use super::account::Holder;
use super::account::Step;
use crate::Name;
use crate::tenants::Quota;
use crate::tenants::Tenants;

/// The most accounts of an entry.
const MAX_ACCOUNTS: usize = 10_000;
/// The interval at which a limit is announced to its agent, so that the bucket of an idle tenant is kept.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);
/// The most limits that are announced at once, so that the queues of the links have room for them.
const MAX_ANNOUNCED: usize = 100;
/// The least interval at which the terms of idle accounts are renewed, and the greatest.
const MIN_IDLE_RENEWAL: Duration = Duration::from_millis(600);
const MAX_IDLE_RENEWAL: Duration = Duration::from_secs(30);
/// How many idle accounts are renewed in a second, if the interval allows it.
const IDLE_RENEWALS_PER_S: u32 = 30;
/// `Retry-After` of a tenant for which there is no place.
const NO_ACCOUNT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A message to the agent of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The runner whose agent is asked.
    pub agent: Name,
    /// The tenant.
    pub tenant: Name,
    /// The number that the answer repeats.
    pub id: u64,
    /// What is asked.
    pub request: TokenRequest,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is charged.
    Admitted(Charge),
    /// It waits under this ticket, until [`Accounts::apply`] settles it or [`Accounts::give_up`] ends the wait.
    Waits(u64),
    /// It is refused.
    Refused(Refusal),
}

/// The end of the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settlement {
    /// The ticket of the request.
    pub ticket: u64,
    /// What it was charged, or why it is refused.
    pub result: Result<Charge, Refusal>,
}

/// What follows a change: waits that end, and messages to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The waits that end.
    pub settled: Vec<Settlement>,
    /// The messages to send.
    pub asks: Vec<Ask>,
}

/// The account of a tenant, and when its limit was last announced to an agent.
#[derive(Debug)]
struct TenantAccount {
    account: Account,
    announced_at: Option<Time>,
}

/// The accounts of an entry, by tenant.
#[derive(Debug)]
pub struct Accounts {
    accounts: Map<Name, TenantAccount>,
    agents: Agents,
    shares: Shares,
    /// The number of this process, by which agents know it.
    holder: u64,
    next_id: u64,
}

impl Accounts {
    /// Creates an empty table. `holder` is a number that no other entry has.
    pub fn new(holder: u64, shares: Shares) -> Self {
        Accounts {
            accounts: Map::default(),
            agents: Agents::default(),
            shares,
            holder,
            next_id: 0,
        }
    }

    /// Returns whether no tenant has a limit.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the account of a tenant.
    pub fn get(&self, tenant: &str) -> Option<&Account> {
        self.accounts.get(tenant).map(|entry| &entry.account)
    }

    /// Sets the number of entries.
    pub fn set_entries(&mut self, entries: u32) {
        self.shares.entries = entries;
    }

    /// Applies the limits of a version of the configuration.
    pub fn set_limits(&mut self, version: u64, tenants: Option<&Tenants>) {
        let all = tenants.map_or(&[][..], Tenants::all);
        let limited = all.iter().filter_map(|tenant| {
            let quota = tenant.quota.filter(|quota| quota.rate > 0.0)?;
            Some((&tenant.name, quota))
        });
        let mut known = std::mem::take(&mut self.accounts);
        for (name, quota) in limited.take(MAX_ACCOUNTS) {
            let entry = match known.remove(name) {
                Some(mut entry) => {
                    entry.set_limit(version, quota);
                    entry
                }
                None => TenantAccount {
                    account: Account::new(name, version, quota),
                    announced_at: None,
                },
            };
            self.accounts.insert(name.clone(), entry);
        }
    }

    /// Records that the agent of a runner is linked and keeps buckets.
    pub fn link(&mut self, runner: &Name) {
        self.agents.add(runner);
    }

    /// Records that the link to the agent of a runner has ended; `by_agent` if the agent's end is closed, so that it
    /// counts this entry's parts of the limits no longer. Returns the asks of waiting requests.
    pub fn unlink(&mut self, now: Time, runner: &Name, by_agent: bool) -> Vec<Ask> {
        self.agents.remove(runner);
        let mut waiting = Vec::new();
        for (name, entry) in &mut self.accounts {
            entry.account.lose_agent(runner, by_agent);
            if entry.account.is_waiting() {
                waiting.push(name.clone());
            }
        }
        let asks = waiting.iter().filter_map(|name| self.ask(now, name, false));
        asks.collect()
    }

    /// Records that the link to the agent of a runner is about to be closed; returns the asks that take this entry's
    /// parts of the limits away from it.
    pub fn retire(&mut self, now: Time, runner: &Name) -> Vec<Ask> {
        self.agents.remove(runner);
        let holder = self.holder();
        let mut asks = Vec::new();
        for (name, entry) in &mut self.accounts {
            if !entry.account.place.is_at(runner) {
                continue;
            }
            if let Some((agent, request)) = entry.account.leave(now, self.next_id, &holder) {
                asks.push(Ask {
                    agent,
                    tenant: name.clone(),
                    id: self.next_id,
                    request,
                });
                self.next_id += 1;
            }
        }
        asks
    }

    fn holder(&self) -> Holder {
        let accounts = u32::try_from(self.accounts.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * accounts / IDLE_RENEWALS_PER_S;
        Holder {
            id: self.holder,
            entries: self.shares.entries.max(1),
            idle_renewal: interval.clamp(MIN_IDLE_RENEWAL, MAX_IDLE_RENEWAL),
        }
    }

    /// Returns whom an account may ask.
    fn access(&self, now: Time, account: &Account) -> Access {
        let place = &account.place;
        let is_free = place.is_free(now);
        match self.agents.first(account.key) {
            Some(agent) if is_free || place.is_at(agent) => Access::Agent,
            Some(_) if !account.is_overdue() && self.may_leave(account) => Access::Agent,
            None if is_free => Access::Local,
            Some(_) | None => Access::Blocked(place.bound_until()),
        }
    }

    fn may_leave(&self, account: &Account) -> bool {
        let agent = account.place.agent();
        agent.is_some_and(|agent| self.agents.answers(agent))
    }

    /// Charges a request of a tenant with a limit; returns with the decision what to ask for.
    pub fn charge(
        &mut self,
        now: Time,
        tenant: &Name,
        cost: u64,
        rng: &mut fastrand::Rng,
    ) -> (Decision, Option<Ask>) {
        let Some(entry) = self.accounts.get(tenant) else {
            return (Decision::Refused(no_account()), None);
        };
        let access = self.access(now, &entry.account);
        let Some(entry) = self.accounts.get_mut(tenant) else {
            return (Decision::Refused(no_account()), None);
        };
        let ticket = self.next_id;
        self.next_id += 1;
        let account = &mut entry.account;
        let step = account.charge(now, ticket, cost, access, self.shares, rng);
        let decision = match step {
            Step::Admitted(charge) => Decision::Admitted(charge),
            Step::Waits => Decision::Waits(ticket),
            Step::Refused(refusal) => return (Decision::Refused(refusal), None),
        };
        (decision, self.ask(now, tenant, false))
    }

    /// Gives back what a request was charged that was not sent to a runner.
    pub fn refund(&mut self, now: Time, tenant: &str, charge: Charge) {
        if let Some(entry) = self.accounts.get_mut(tenant) {
            entry.account.refund(now, charge);
        }
    }

    /// Applies an answer of an agent.
    pub fn apply(
        &mut self,
        now: Time,
        runner: &str,
        tenant: &Name,
        id: u64,
        grant: Grant,
        rng: &mut fastrand::Rng,
    ) -> Changes {
        self.agents.mark_answering(now, runner, id);
        let Some(entry) = self.accounts.get_mut(tenant) else {
            return Changes::default();
        };
        let settled = entry.account.apply(now, id, grant, self.shares, rng);
        let ask = if entry.account.is_waiting() || entry.account.needs_ask(now) {
            self.ask(now, tenant, false)
        } else {
            None
        };
        Changes {
            settled,
            asks: ask.into_iter().collect(),
        }
    }

    /// Ends the wait of a request that was not settled in time; `None` if it was settled meanwhile.
    pub fn give_up(
        &mut self,
        now: Time,
        tenant: &Name,
        ticket: u64,
        rng: &mut fastrand::Rng,
    ) -> (Option<Refusal>, Option<Ask>) {
        let Some(entry) = self.accounts.get_mut(tenant) else {
            return (Some(no_account()), None);
        };
        let refusal = entry.account.give_up(now, ticket, self.shares, rng);
        (refusal, self.ask(now, tenant, false))
    }

    /// Returns the messages that are due without a request: limits to announce, overdue asks, and asks for silent
    /// agents. To be called a few times a second.
    pub fn due(&mut self, now: Time) -> Vec<Ask> {
        let names: Vec<Name> = self.accounts.keys().cloned().collect();
        let mut asks = Vec::new();
        let mut announced = 0;
        for name in &names {
            let is_due = self.is_announcement_due(now, name) && announced < MAX_ANNOUNCED;
            announced += usize::from(is_due);
            asks.extend(self.ask(now, name, is_due));
        }
        asks.extend(self.probes(now, names.first()));
        asks
    }

    fn is_announcement_due(&mut self, now: Time, tenant: &Name) -> bool {
        let Some(entry) = self.accounts.get_mut(tenant) else {
            return false;
        };
        entry.account.expire(now);
        let Some(agent) = self.agents.first(entry.account.key) else {
            if entry.account.place.is_free(now) {
                entry.account.open_locally(now, self.shares);
            }
            return false;
        };
        entry.account.is_unknown_to(agent)
            || entry
                .announced_at
                .is_none_or(|at| now >= at.after(ANNOUNCE_INTERVAL))
    }

    /// Returns asks for nothing, which only show whether silent agents answer again.
    fn probes(&mut self, now: Time, tenant: Option<&Name>) -> Vec<Ask> {
        let known = tenant.and_then(|name| self.accounts.get_key_value(name));
        let Some((tenant, entry)) = known else {
            return Vec::new();
        };
        let request = TokenRequest {
            version: entry.account.version,
            quota: entry.account.quota,
            want: 0,
            least: 0,
            spent: 0,
            moved: false,
            membership: Some(Membership {
                holder: self.holder,
                entries: 0,
                stamp: 0,
                term: Duration::ZERO,
            }),
        };
        let id = self.next_id;
        self.next_id += 1;
        let silent = self.agents.due_probes(now, id).into_iter();
        let probes = silent.map(|agent| Ask {
            agent,
            tenant: tenant.clone(),
            id,
            request,
        });
        probes.collect()
    }

    /// Returns the message to the agent that has the bucket of a tenant, if one is due or `forced`.
    fn ask(&mut self, now: Time, tenant: &Name, forced: bool) -> Option<Ask> {
        let entry = self.accounts.get_mut(tenant)?;
        if let Some(silent) = entry.account.take_overdue(now) {
            self.agents.mark_silent(now, &silent);
        }
        let agent = self.agents.first(entry.account.key)?.clone();
        let id = self.next_id;
        let is_elsewhere = entry.account.is_unknown_to(&agent);
        if is_elsewhere && !entry.account.place.is_free(now) {
            return self.ask_to_leave(now, tenant, id);
        }
        let holder = self.holder();
        let entry = self.accounts.get_mut(tenant)?;
        if is_elsewhere {
            // The account may turn to the agent without an ask, and is to be announced to it then.
            entry.announced_at = None;
        }
        let request = entry.account.request(now, &agent, id, forced, &holder)?;
        self.next_id += 1;
        entry.announced_at = Some(now);
        Some(Ask {
            agent,
            tenant: tenant.clone(),
            id,
            request,
        })
    }

    /// Returns the message that takes the account's part of the limit away from the agent before, if that answers.
    fn ask_to_leave(&mut self, now: Time, tenant: &Name, id: u64) -> Option<Ask> {
        let holder = self.holder();
        let entry = self.accounts.get(tenant)?;
        if !self.may_leave(&entry.account) {
            return None;
        }
        let entry = self.accounts.get_mut(tenant)?;
        let (agent, request) = entry.account.leave(now, id, &holder)?;
        self.next_id += 1;
        Some(Ask {
            agent,
            tenant: tenant.clone(),
            id,
            request,
        })
    }
}

impl TenantAccount {
    fn set_limit(&mut self, version: u64, quota: Quota) {
        if self.account.quota != quota {
            self.announced_at = None;
        }
        self.account.version = version;
        self.account.quota = quota;
    }
}

fn no_account() -> Refusal {
    Refusal {
        retry_after: NO_ACCOUNT_RETRY_AFTER,
        left: 0,
        age: None,
    }
}
