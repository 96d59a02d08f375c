//! Entries and agents that share the limits of tenants, without network or clocks: messages take
//! [`LATENCY_MS`], and what was admitted is kept with its time.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

mod faults;

use std::collections::BTreeMap;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serving::Name;
use serving::quota::Accounts;
use serving::quota::Ask;
use serving::quota::Buckets;
use serving::quota::Changes;
use serving::quota::Decision;
use serving::quota::Grant;
use serving::quota::Shares;
use serving::tenants::Quota;
use serving::tenants::QuotaUnit;
use serving::tenants::Tenant;
use serving::tenants::TenantSpec;
use serving::tenants::Tenants;

const LATENCY_MS: u64 = 2;
/// The longest wait of a request.
const MAX_WAIT_MS: u64 = 150;
const TICK_MS: u64 = 100;
const RELINK_MS: u64 = 250;
/// The least and the greatest delay of a message whose packet is lost.
const RESEND_MS: (u64, u64) = (200, 600);
/// What a tenant may use beyond its limit in a window, over all entries.
pub(crate) const SLACK: f64 = 110_000.0;
/// The window over which a limit is checked.
pub(crate) const WINDOW: Duration = Duration::from_secs(8);
const EXCESS: f64 = 0.1;

enum Event {
    Asked {
        entry: usize,
        ask: Ask,
    },
    Answered {
        entry: usize,
        from: usize,
        tenant: Name,
        id: u64,
        grant: Grant,
    },
    WaitOver {
        entry: usize,
        tenant: Name,
        ticket: u64,
    },
    Tick(usize),
    Relinked {
        entry: usize,
        agent: usize,
    },
}

struct AgentSim {
    name: Name,
    buckets: Buckets,
    /// Whether its process runs.
    is_up: bool,
    /// Until when it does nothing.
    frozen_until: Time,
}

struct EntrySim {
    /// The number of its process.
    holder: u64,
    accounts: Accounts,
    is_up: bool,
    waiting: Map<u64, (Name, u64)>,
}

/// Work that was admitted.
#[derive(Clone, Copy, Debug)]
struct Run {
    at: Time,
    tokens: u64,
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Direction {
    ToAgent,
    ToEntry,
}

/// What happens to messages on their way. Those of one link and direction arrive in their order.
#[derive(Default)]
struct Network {
    /// The share of messages of each entry that are sent again.
    loss: Map<usize, f64>,
    /// Until when the messages between an entry and an agent are held up.
    cut_until: Map<(usize, usize), Time>,
    last_arrival: Map<(usize, usize, Direction), Time>,
}

/// Entries and agents.
pub(crate) struct World {
    pub(crate) now: Time,
    /// Requests that were refused.
    pub(crate) refused: u64,
    /// Requests that waited for tokens.
    pub(crate) waited: u64,
    /// Messages from entries to agents.
    pub(crate) asks: u64,
    pub(crate) rng: fastrand::Rng,
    entries: Vec<EntrySim>,
    agents: Vec<AgentSim>,
    events: BTreeMap<(Time, u64), Event>,
    next_event: u64,
    holders: u64,
    runs: Map<Name, Vec<Run>>,
    limits: (u64, Tenants),
    network: Network,
}

/// Returns a limit whose burst is one second of its rate.
pub(crate) fn quota(rate: f64) -> Quota {
    Quota { rate, burst: rate }
}

/// Returns tenants that are named `t0`, `t1` and so on, with one limit each.
pub(crate) fn tenants(quotas: &[Quota]) -> Tenants {
    let spec = |(index, quota): (usize, &Quota)| TenantSpec {
        tenant: Tenant {
            name: format!("t{index}").into(),
            priority: None,
            quota: Some(*quota),
            unit: QuotaUnit::Tokens,
            plain_tokens: 200,
        },
        keys: vec![format!("key-{index}")],
    };
    let specs = quotas.iter().enumerate().map(spec).collect();
    Tenants::new(specs).expect("the tenants are consistent")
}

impl World {
    /// Starts entries and agents that are linked, and lets the buckets fill.
    pub(crate) fn new(entry_count: usize, agent_count: usize, quotas: &[Quota]) -> World {
        let mut world = World::unfilled(entry_count, agent_count, quotas);
        world.advance(3_000);
        world
    }

    /// Starts entries and agents that are linked, with empty buckets.
    pub(crate) fn unfilled(entry_count: usize, agent_count: usize, quotas: &[Quota]) -> World {
        let agents = (0..agent_count).map(|index| AgentSim {
            name: format!("r{index}").into(),
            buckets: Buckets::default(),
            is_up: true,
            frozen_until: Time::default(),
        });
        let mut world = World {
            now: Time::from_ms(1_000),
            refused: 0,
            waited: 0,
            asks: 0,
            rng: fastrand::Rng::with_seed(7),
            entries: Vec::new(),
            agents: agents.collect(),
            events: BTreeMap::new(),
            next_event: 0,
            holders: 0,
            runs: Map::default(),
            limits: (1, tenants(quotas)),
            network: Network::default(),
        };
        for _ in 0..entry_count {
            world.start_entry(entry_count);
        }
        world
    }

    fn start_entry(&mut self, entry_count: usize) {
        let index = self.entries.len();
        let holder = self.new_holder();
        let mut entry = EntrySim {
            holder,
            accounts: Accounts::new(holder, shares(entry_count)),
            is_up: true,
            waiting: Map::default(),
        };
        entry
            .accounts
            .set_limits(self.limits.0, Some(&self.limits.1));
        for agent in self.agents.iter().filter(|agent| agent.is_up) {
            entry.accounts.link(&agent.name);
        }
        self.entries.push(entry);
        let first_tick = 1 + self.rng.u64(..TICK_MS);
        self.schedule(first_tick, Event::Tick(index));
    }

    fn new_holder(&mut self) -> u64 {
        self.holders += 1;
        self.holders
    }

    /// Lets the agents see that the process of an entry has ended.
    fn close_links(&mut self, entry: usize) {
        let holder = self.entries[entry].holder;
        for agent in &mut self.agents {
            agent.buckets.close(self.now, holder);
        }
    }

    /// Puts the limits of a new version in force at all entries.
    pub(crate) fn set_limits(&mut self, quotas: &[Quota]) {
        self.limits = (self.limits.0 + 1, tenants(quotas));
        for entry in &mut self.entries {
            entry
                .accounts
                .set_limits(self.limits.0, Some(&self.limits.1));
        }
    }

    /// Returns when a message that is sent now arrives.
    fn arrival(&mut self, entry: usize, agent: usize, direction: Direction) -> Time {
        let ms = |ms| Duration::from_millis(ms);
        let resend = ms(self.rng.u64(RESEND_MS.0..RESEND_MS.1));
        let mut at = self.now.after(ms(LATENCY_MS));
        let loss = self.network.loss.get(&entry).copied().unwrap_or(0.0);
        if loss > 0.0 && self.rng.f64() < loss {
            at = at.after(resend);
        }
        let cut = self.network.cut_until.get(&(entry, agent)).copied();
        if let Some(until) = cut.filter(|until| *until > self.now) {
            at = at.max(until.after(resend));
        }
        let last = self.network.last_arrival.entry((entry, agent, direction));
        let last = last.or_default();
        *last = at.max(*last);
        *last
    }

    fn agent_index(&self, name: &Name) -> usize {
        let index = self.agents.iter().position(|agent| agent.name == *name);
        index.expect("asked agents exist")
    }

    /// Returns the agent that has the bucket of a tenant while all agents answer.
    pub(crate) fn holder(&mut self, tenant: &str) -> usize {
        let mut order = serving::quota::Agents::default();
        for agent in &self.agents {
            order.add(&agent.name);
        }
        let first = order.first(decision::hash::hash_text(tenant)).cloned();
        let found = self
            .agents
            .iter()
            .position(|agent| Some(&agent.name) == first.as_ref());
        found.expect("there is an agent")
    }

    /// Sends a request of a tenant to an entry.
    pub(crate) fn request(&mut self, entry: usize, tenant: &str, cost: u64) {
        let state = &mut self.entries[entry];
        if !state.is_up {
            return;
        }
        let tenant: Name = tenant.into();
        let (decision, ask) = state
            .accounts
            .charge(self.now, &tenant, cost, &mut self.rng);
        match decision {
            Decision::Admitted(_) => self.record_run(&tenant, cost),
            Decision::Refused(refusal) => {
                assert!(refusal.retry_after >= Duration::from_millis(150));
                assert!(refusal.retry_after <= Duration::from_secs(5));
                self.refused += 1;
            }
            Decision::Waits(ticket) => {
                state.waiting.insert(ticket, (tenant.clone(), cost));
                self.waited += 1;
                self.schedule(
                    MAX_WAIT_MS,
                    Event::WaitOver {
                        entry,
                        tenant,
                        ticket,
                    },
                );
            }
        }
        self.send(entry, ask);
    }

    /// Lets time pass, and delivers what arrives meanwhile.
    pub(crate) fn advance(&mut self, ms: u64) {
        let until = self.now.after(Duration::from_millis(ms));
        while let Some(first) = self.events.first_entry()
            && first.key().0 <= until
        {
            let ((at, _), event) = first.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns the tokens of a tenant that were admitted since a time.
    pub(crate) fn used_since(&self, tenant: &str, since: Time) -> u64 {
        let runs = self.runs.get(tenant).into_iter().flatten();
        runs.filter(|run| run.at >= since)
            .map(|run| run.tokens)
            .sum()
    }

    /// Returns the most that a tenant used within [`WINDOW`].
    pub(crate) fn max_use(&self, tenant: &str) -> u64 {
        let Some(runs) = self.runs.get(tenant) else {
            return 0;
        };
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for run in runs {
            sum += run.tokens;
            while run.at.since(runs[first].at) > WINDOW {
                sum -= runs[first].tokens;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    /// Fails if a tenant with this limit used more than is allowed in a window.
    pub(crate) fn check_bound(&self, tenant: &str, quota: Quota) {
        let used = self.max_use(tenant) as f64;
        let allowed = bound(quota);
        assert!(used <= allowed, "{tenant} used {used} of {allowed}");
    }

    /// Returns the number of buckets of all agents.
    pub(crate) fn bucket_count(&self) -> usize {
        self.agents.iter().map(|agent| agent.buckets.len()).sum()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Asked { entry, ask } => self.answer(entry, ask),
            Event::Answered {
                entry,
                from,
                tenant,
                id,
                grant,
            } => {
                let state = &mut self.entries[entry];
                if !state.is_up || !self.agents[from].is_up {
                    return;
                }
                let runner = self.agents[from].name.clone();
                let changes =
                    state
                        .accounts
                        .apply(self.now, &runner, &tenant, id, grant, &mut self.rng);
                self.settle(entry, changes);
            }
            Event::WaitOver {
                entry,
                tenant,
                ticket,
            } => self.end_wait(entry, &tenant, ticket),
            Event::Tick(entry) if self.entries[entry].is_up => {
                let asks = self.entries[entry].accounts.due(self.now);
                self.send(entry, asks);
                self.schedule(TICK_MS, Event::Tick(entry));
            }
            Event::Tick(_) => {}
            Event::Relinked { entry, agent } => {
                if self.agents[agent].is_up {
                    let name = self.agents[agent].name.clone();
                    self.entries[entry].accounts.link(&name);
                }
            }
        }
    }

    fn answer(&mut self, entry: usize, ask: Ask) {
        let from = self.agent_index(&ask.agent);
        let agent = &mut self.agents[from];
        if !agent.is_up {
            return;
        }
        if agent.frozen_until > self.now {
            let resumes_at = agent.frozen_until;
            self.schedule_at(resumes_at, Event::Asked { entry, ask });
            return;
        }
        let grant = agent.buckets.ask(self.now, &ask.tenant, &ask.request);
        let (tenant, id) = (ask.tenant, ask.id);
        let arrival = self.arrival(entry, from, Direction::ToEntry);
        self.schedule_at(
            arrival,
            Event::Answered {
                entry,
                from,
                tenant,
                id,
                grant,
            },
        );
    }

    fn end_wait(&mut self, entry: usize, tenant: &Name, ticket: u64) {
        let state = &mut self.entries[entry];
        if state.waiting.remove(&ticket).is_none() || !state.is_up {
            return;
        }
        let (_, ask) = state
            .accounts
            .give_up(self.now, tenant, ticket, &mut self.rng);
        self.refused += 1;
        self.send(entry, ask);
    }

    fn settle(&mut self, entry: usize, changes: Changes) {
        for settled in changes.settled {
            let waiting = self.entries[entry].waiting.remove(&settled.ticket);
            let (tenant, cost) = waiting.expect("each wait ends once");
            match settled.result {
                Ok(charge) => {
                    assert_eq!(charge.tokens, cost);
                    self.record_run(&tenant, cost);
                }
                Err(_) => self.refused += 1,
            }
        }
        self.send(entry, changes.asks);
    }

    fn record_run(&mut self, tenant: &Name, tokens: u64) {
        let run = Run {
            at: self.now,
            tokens,
        };
        self.runs.entry(tenant.clone()).or_default().push(run);
    }

    fn send(&mut self, entry: usize, asks: impl IntoIterator<Item = Ask>) {
        for ask in asks {
            self.asks += 1;
            let agent = self.agent_index(&ask.agent);
            let arrival = self.arrival(entry, agent, Direction::ToAgent);
            self.schedule_at(arrival, Event::Asked { entry, ask });
        }
    }

    fn relink_later(&mut self, entry: usize, agent: usize) {
        let pause = 1 + self.rng.u64(..RELINK_MS);
        self.schedule(pause, Event::Relinked { entry, agent });
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now.after(Duration::from_millis(delay_ms)), event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }
}

/// Returns the most that a tenant may use within [`WINDOW`].
pub(crate) fn bound(quota: Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + EXCESS) + SLACK
}

fn shares(entry_count: usize) -> Shares {
    Shares {
        entries: u32::try_from(entry_count).expect("few entries"),
        slack: SLACK,
        excess_s: EXCESS * WINDOW.as_secs_f64(),
    }
}
