//! Charges requests to the limits of their tenants, and exchanges the messages about them with agents.
//!
//! Invariants: a request beyond its limit costs one lookup of its tenant's account and nothing else; each
//! wait for tokens ends once, by an answer, its time limit or the end of the request; the lock of the accounts
//! is taken alone and not held across an await.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use decision::collections::Map;
use decision::hash;
use decision::time::Time;
use platform::ingress::LocalResponse;
use platform::ingress::RequestHead;
use platform::settings::Bounds;
use prometheus::IntCounter;
use serving::Name;
use serving::config::Route;
use serving::line_limit::LineLimit;
use serving::link::ToAgent;
use serving::quota::ANSWER_TIMEOUT;
use serving::quota::Accounts;
use serving::quota::Ask;
use serving::quota::Charge;
use serving::quota::Decision;
use serving::quota::Grant;
use serving::quota::Refusal;
use serving::quota::Settlement;
use serving::quota::Shares;
use serving::tenants::Tenant;
use serving::tenants::Tenants;
use spdlog::info;
use tokio::sync::oneshot;

use crate::entry::Entry;
use crate::line_limits::LineCause;
use crate::links::LinkNumber;
use crate::metrics::EntryMetrics;
use crate::recover::lock;

/// The interval at which limits are announced, terms renewed and overdue asks repeated.
const TICK: Duration = Duration::from_millis(100);
/// The same where no tenant has a limit.
const IDLE_TICK: Duration = Duration::from_millis(250);
/// The part of the latency objective that a request may wait for tokens, as a divisor.
const GOAL_DIVISOR: u32 = 4;
/// The most tenants with metrics and log lines of their own; the others share theirs.
const MAX_REPORTED: usize = 64;
/// The most log lines about one tenant in a second.
const MAX_TENANT_LINES: u32 = 20;
/// The name under which the other tenants are counted.
const OTHER_TENANTS: &str = "other";

/// The limits of tenants, as far as this entry knows and uses them.
pub(crate) struct Quotas {
    state: Mutex<QuotaState>,
}

struct QuotaState {
    accounts: Accounts,
    /// The number of the link to the agent of each runner that keeps buckets.
    links: Map<Name, LinkNumber>,
    /// The requests that wait for tokens, by their tickets.
    waiting: Map<u64, Waiting>,
    reports: Map<Name, TenantReport>,
    rng: fastrand::Rng,
}

struct Waiting {
    tenant: Name,
    sender: oneshot::Sender<Result<Charge, Refusal>>,
}

/// What is counted and logged of one tenant.
struct TenantReport {
    granted: IntCounter,
    refused: IntCounter,
    lines: LineLimit,
}

/// What a request was charged.
pub(crate) struct TokenCharge {
    tenant: Name,
    charge: Charge,
}

/// A request that waits for tokens; dropping it ends the wait.
struct TokenWait<'a> {
    entry: &'a Entry,
    tenant: Name,
    ticket: u64,
    settled: oneshot::Receiver<Result<Charge, Refusal>>,
}

impl Quotas {
    /// Creates an empty table for an entry of this name that knows of this number of entries.
    pub(crate) fn new(
        instance: &str,
        entries: u32,
        bounds: &Bounds,
        mut rng: fastrand::Rng,
    ) -> Quotas {
        let excess = bounds.quota_excess.unwrap_or(0.0);
        let shares = Shares {
            entries,
            slack: bounds.quota_slack.unwrap_or(0.0),
            excess_s: excess * bounds.quota_window_s.unwrap_or(0.0),
        };
        // Entries may draw the same numbers, and an entry may start again under its name.
        let holder = hash::combine(hash::hash_text(instance), rng.u64(..)).max(1);
        let state = QuotaState {
            accounts: Accounts::new(holder, shares),
            links: Map::default(),
            waiting: Map::default(),
            reports: Map::default(),
            rng,
        };
        Quotas {
            state: Mutex::new(state),
        }
    }

    /// Applies the limits of a configuration that takes effect.
    pub(crate) fn set_limits(&self, version: u64, tenants: Option<&Tenants>) {
        lock(&self.state).accounts.set_limits(version, tenants);
    }
}

impl QuotaState {
    /// Returns what is counted of a tenant; the report of all others if there are too many.
    fn report(&mut self, metrics: &EntryMetrics, tenant: &Name) -> &mut TenantReport {
        let is_new = !self.reports.contains_key(tenant);
        let name = if is_new && self.reports.len() >= MAX_REPORTED {
            OTHER_TENANTS.into()
        } else {
            tenant.clone()
        };
        let counter = |result: &str| {
            let labels = [&*name, result];
            metrics.quota_tokens.with_label_values(&labels)
        };
        let report = self.reports.entry(name.clone());
        report.or_insert_with(|| TenantReport {
            granted: counter("granted"),
            refused: counter("refused"),
            lines: LineLimit::new(MAX_TENANT_LINES),
        })
    }

    /// Passes their results to the requests whose waits end.
    fn settle(&mut self, now: Time, settled: Vec<Settlement>) {
        for settlement in settled {
            let Some(waiting) = self.waiting.remove(&settlement.ticket) else {
                continue;
            };
            // The request may have ended meanwhile.
            if let Err(Ok(charge)) = waiting.sender.send(settlement.result) {
                self.accounts.refund(now, &waiting.tenant, charge);
            }
        }
    }
}

/// Charges a request to its tenant's limit before its body is read. Returns `None` if it has no limit.
///
/// # Errors
///
/// Fails with the answer to a request beyond the limit.
pub(crate) async fn charge(
    entry: &Entry,
    tenant: Option<&Arc<Tenant>>,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<TokenCharge>, LocalResponse> {
    let limited = tenant.filter(|tenant| tenant.quota.is_some_and(|quota| quota.rate > 0.0));
    let Some(tenant) = limited else {
        return Ok(None);
    };
    let cost = tenant.cost(&head.request);
    let result = match entry.begin_charge(&tenant.name, cost) {
        ChargeStep::Done(result) => result,
        ChargeStep::Waits(wait) => wait.finish(max_wait(route, head)).await,
    };
    entry.report_charge(&tenant.name, cost, head, &result);
    match result {
        Ok(charge) => Ok(Some(TokenCharge {
            tenant: tenant.name.clone(),
            charge,
        })),
        Err(refusal) => Err(LocalResponse::OverQuota(refusal.retry_after)),
    }
}

/// Returns how long a request may wait for tokens.
fn max_wait(route: &Route, head: &RequestHead) -> Duration {
    let goal = Some(route.goal).filter(|goal| !goal.is_zero());
    let bounds = [goal, head.request.timeout];
    let shares = bounds
        .into_iter()
        .flatten()
        .map(|bound| bound / GOAL_DIVISOR);
    shares.fold(ANSWER_TIMEOUT, Duration::min)
}

enum ChargeStep<'a> {
    Done(Result<Charge, Refusal>),
    Waits(TokenWait<'a>),
}

impl TokenWait<'_> {
    async fn finish(mut self, max_wait: Duration) -> Result<Charge, Refusal> {
        let answered = tokio::time::timeout(max_wait, &mut self.settled).await;
        if let Ok(Ok(result)) = answered {
            return result;
        }
        match self.entry.end_wait(&self.tenant, self.ticket) {
            Some(refusal) => Err(refusal),
            // It was settled after the timeout and before the wait was ended.
            None => match self.settled.try_recv() {
                Ok(result) => result,
                Err(_) => Err(Refusal::default()),
            },
        }
    }
}

/// A request that ends while it waits takes no tokens, also if the wait was settled just before.
impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.entry.end_wait(&self.tenant, self.ticket);
        if let Ok(Ok(charge)) = self.settled.try_recv() {
            let tenant = self.tenant.clone();
            self.entry.refund(&TokenCharge { tenant, charge });
        }
    }
}

impl Entry {
    fn begin_charge(&self, tenant: &Name, cost: u64) -> ChargeStep<'_> {
        let now = self.now();
        let mut state = lock(&self.quotas.state);
        let QuotaState { accounts, rng, .. } = &mut *state;
        let (decision, ask) = accounts.charge(now, tenant, cost, rng);
        let step = match decision {
            Decision::Admitted(charge) => ChargeStep::Done(Ok(charge)),
            Decision::Refused(refusal) => ChargeStep::Done(Err(refusal)),
            Decision::Waits(ticket) => {
                let (sender, settled) = oneshot::channel();
                let tenant = tenant.clone();
                let waiting = Waiting {
                    tenant: tenant.clone(),
                    sender,
                };
                state.waiting.insert(ticket, waiting);
                ChargeStep::Waits(TokenWait {
                    entry: self,
                    tenant,
                    ticket,
                    settled,
                })
            }
        };
        drop(state);
        self.send_asks(ask);
        step
    }

    /// Ends the wait of a request; `None` if it has ended.
    fn end_wait(&self, tenant: &Name, ticket: u64) -> Option<Refusal> {
        let now = self.now();
        let mut state = lock(&self.quotas.state);
        state.waiting.remove(&ticket)?;
        let QuotaState { accounts, rng, .. } = &mut *state;
        let (refusal, ask) = accounts.give_up(now, tenant, ticket, rng);
        drop(state);
        self.send_asks(ask);
        refusal
    }

    /// Gives back what a request was charged that has not run.
    pub(crate) fn refund(&self, charge: &TokenCharge) {
        let now = self.now();
        let accounts = &mut lock(&self.quotas.state).accounts;
        accounts.refund(now, &charge.tenant, charge.charge);
    }

    fn report_charge(
        &self,
        tenant: &Name,
        cost: u64,
        head: &RequestHead,
        result: &Result<Charge, Refusal>,
    ) {
        let now = self.now();
        let mut state = lock(&self.quotas.state);
        let report = state.report(&self.metrics, tenant);
        let refusal = match result {
            Ok(_) => {
                report.granted.inc_by(cost);
                return;
            }
            Err(refusal) => refusal,
        };
        report.refused.inc_by(cost);
        let Some(omitted) = report.lines.admit(now) else {
            return;
        };
        drop(state);
        info!("request refused, over quota", kv: {
            id = &*head.request.id, tenant = &**tenant, tokens = cost, left = refusal.left,
            report_ms = refusal.age.map_or(0, |age| age.as_millis() as u64),
            retry_ms = refusal.retry_after.as_millis() as u64, omitted
        });
    }

    /// Records that a runner's agent keeps the buckets of tenants, and the link to it.
    pub(crate) fn add_quota_agent(&self, runner: &Name, link: LinkNumber) {
        let mut state = lock(&self.quotas.state);
        state.links.insert(runner.clone(), link);
        state.accounts.link(runner);
    }

    /// Records that a link to a runner's agent has ended; `by_agent` if the agent's end is closed. Its buckets may have
    /// ended with it.
    pub(crate) fn lose_quota_agent(&self, runner: &Name, link: LinkNumber, by_agent: bool) {
        let now = self.now();
        let mut state = lock(&self.quotas.state);
        if state.links.get(runner) != Some(&link) {
            return;
        }
        state.links.remove(runner);
        let asks = state.accounts.unlink(now, runner, by_agent);
        drop(state);
        self.send_asks(asks);
    }

    /// Takes this entry's parts of the limits away from a runner's agent, whose link is about to be closed.
    pub(crate) fn leave_quota_agent(&self, runner: &Name) {
        let now = self.now();
        let asks = lock(&self.quotas.state).accounts.retire(now, runner);
        self.send_asks(asks);
    }

    /// Applies the answer of a runner's agent.
    pub(crate) fn apply_grant(&self, runner: &str, tenant: &Name, id: u64, grant: Grant) {
        let now = self.now();
        let mut state = lock(&self.quotas.state);
        let QuotaState { accounts, rng, .. } = &mut *state;
        let changes = accounts.apply(now, runner, tenant, id, grant, rng);
        state.settle(now, changes.settled);
        drop(state);
        self.send_asks(changes.asks);
    }

    fn send_asks(&self, asks: impl IntoIterator<Item = Ask>) {
        for ask in asks {
            self.report_move(&ask);
            let runner = ask.agent.clone();
            self.links.tell(&runner, ToAgent::Tokens(ask.into()));
        }
    }
}

impl Entry {
    /// Logs that this entry turns to another agent with its part of a limit.
    fn report_move(&self, ask: &Ask) {
        if !ask.request.moved {
            return;
        }
        let line = self.lines.admit(self.now(), LineCause::QuotaAgent);
        if let Some(omitted) = line {
            let (tenant, runner) = (&*ask.tenant, &*ask.agent);
            info!("turned to another agent for tokens", kv: { tenant, runner, omitted });
        }
    }
}

/// Announces limits to agents and repeats overdue asks, in a loop.
pub(crate) async fn keep_quotas(entry: Arc<Entry>) {
    loop {
        let is_idle = lock(&entry.quotas.state).accounts.is_empty();
        tokio::time::sleep(if is_idle { IDLE_TICK } else { TICK }).await;
        let entries = entry.state().fleet.entries.get();
        let now = entry.now();
        let asks = {
            let accounts = &mut lock(&entry.quotas.state).accounts;
            accounts.set_entries(entries);
            accounts.due(now)
        };
        entry.send_asks(asks);
    }
}
