//! An entry's view of each runner: membership, adapters, load and health.
//!
//! Invariants: a view belongs to one incarnation of a runner; a restart with the same identifier
//! resets it. Every request counted by [`Fleet::begin_request`] is released once by
//! [`Fleet::end_request`]. A runner of a service that the configuration does not name affects no other.

mod address;
mod view;

use std::net::SocketAddr;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

pub use view::AdapterView;
pub use view::HealthSignal;
pub use view::Runner;

use self::address::Addresses;
use self::address::Claim;
use self::address::EventNumber;
use self::address::Rivals;
use crate::Name;
use crate::backpressure::Backpressure;
use crate::backpressure::NoticeChange;
use crate::backpressure::NoticeSource;
use crate::backpressure::Slot;
use crate::demand::Demand;
use crate::demand::RateLevel;
use crate::entry_count::EntryCount;
use crate::link::RunnerUpdate;
use crate::link::Usage;
use crate::runner::Member;
use crate::runner::Notice;
use crate::runner::Phase;
use crate::runner::RequestLoad;
use crate::silence::SilenceScope;

/// How long an agent that did not answer is not asked again. A connection in use that is silent is
/// closed after [`SILENCE_TIMEOUT`](crate::link::SILENCE_TIMEOUT).
const UNANSWERED_PERIOD: Duration = Duration::from_secs(1);

/// The most changes of addresses that are kept until they are taken.
const MAX_ADDRESS_CHANGES: usize = 64;

/// A runner that several records' claims to its address took out of use, or brought back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressChange {
    /// The identifier of the runner.
    pub runner: Name,
    /// Whether it is used now.
    pub used: bool,
}

/// A request counted at a runner, to be passed to [`Fleet::end_request`].
#[derive(Clone, Debug)]
pub struct InflightRequest {
    /// The identifier of the runner.
    pub runner: Name,
    /// The start of the runner's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    adapter: Option<Name>,
    begun_at: Time,
    prompt_tokens: u32,
    /// Whether `prompt_tokens` is still included in [`Runner::pending_prompt_tokens`].
    prompt_pending: bool,
}

/// An entry's view of all runners.
#[derive(Debug)]
pub struct Fleet {
    /// The failure domain of the entry.
    pub domain: Name,
    /// The recent demand for each adapter that a request was sent for.
    pub demand: Demand,
    /// What runners say of themselves.
    pub backpressure: Backpressure,
    /// The number of entries, this one included.
    pub entries: EntryCount,
    /// When a further replica of each adapter was last requested.
    pub(crate) last_replicated: Map<Name, Time>,
    /// Buffer for rendezvous hashes, kept to avoid an allocation per request.
    pub(crate) rank_buffer: Vec<u64>,
    runners: Map<Name, Runner>,
    /// The services of the configuration; `None` until it is known, when each service counts.
    services: Option<Set<Name>>,
    /// The runners of these services by address.
    addresses: Addresses,
    /// The number of the last event.
    last_event: EventNumber,
    address_changes: Vec<AddressChange>,
}

impl Fleet {
    /// Creates an empty fleet for an entry in this failure domain.
    pub fn new(domain: Name) -> Self {
        let entries = EntryCount::default();
        Fleet {
            domain,
            demand: Demand::default(),
            backpressure: Backpressure::new(entries.get()),
            entries,
            last_replicated: Map::default(),
            rank_buffer: Vec::new(),
            runners: Map::default(),
            services: None,
            addresses: Addresses::default(),
            last_event: 0,
            address_changes: Vec::new(),
        }
    }

    /// Returns the runner with this identifier.
    pub fn get(&self, id: &str) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Returns all known runners, including draining and replaced ones.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Sets the services of the configuration in force. Runners of others stay known, but affect no other.
    pub fn set_services(&mut self, now: Time, services: Set<Name>) {
        self.services = Some(services);
        self.addresses.clear();
        for runner in self.runners.values_mut() {
            let member = &runner.member;
            if is_named(self.services.as_ref(), &member.service) {
                self.addresses.add(member.addr, &member.id);
            }
            runner.replaced = runner.claim.is_displaced();
        }
        for addr in self.addresses.contested() {
            self.resolve(addr);
        }
        self.count_addresses(now);
    }

    /// Applies a membership record.
    pub fn join(&mut self, now: Time, member: Member) {
        let id = member.id.clone();
        let before = self.runners.get(&id).map(|runner| &runner.member);
        let (before_addr, born) = (
            before.map(|known| known.addr),
            before.map(|known| known.born),
        );
        if born == Some(member.born) {
            if let Some(runner) = self.runners.get_mut(&id) {
                runner.update(member);
            }
            self.index(&id, before_addr);
            self.renew(now, &id);
            return;
        }
        let mut claim = Claim::new(self.next_event());
        if let Some(earlier) = self.outlived_claim(&id, member.addr) {
            claim.follow(&earlier);
        }
        let mut runner = Runner::new(now, member);
        runner.claim = claim;
        // The record may return after an outage of the store, and still say that the runner is ready.
        let member = &mut runner.member;
        if self.backpressure.is_leaving(&member.id, member.born) {
            member.phase = Phase::Draining;
        }
        self.runners.insert(id.clone(), runner);
        self.index(&id, before_addr);
        self.count_addresses(now);
    }

    /// Records that a runner has written its record again.
    pub fn renew(&mut self, now: Time, id: &str) {
        let event = self.next_event();
        if let Some(runner) = self.runners.get_mut(id) {
            runner.claim.renew(now, event);
            let addr = runner.member.addr;
            self.resolve(addr);
        }
    }

    /// Records that the runner `by` has answered in place of the runner `id`.
    pub fn displace(&mut self, now: Time, id: &str, by: &str) {
        let event = self.next_event();
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        runner.claim.displace(now);
        runner.replaced = true;
        let addr = runner.member.addr;
        if let Some(holder) = self.runners.get_mut(by)
            && holder.member.addr == addr
        {
            holder.claim.confirm(event);
        }
        self.resolve(addr);
    }

    fn next_event(&mut self) -> EventNumber {
        self.last_event += 1;
        self.last_event
    }

    /// Returns the claim of the known incarnation of a runner if it was to the same address and another runner has
    /// outlived it.
    fn outlived_claim(&self, id: &str, addr: SocketAddr) -> Option<Claim> {
        let known = self.runners.get(id)?;
        if known.member.addr != addr {
            return None;
        }
        let others = self.addresses.claimants(addr).iter();
        let mut others = others.filter(|other| &***other != id);
        let is_outlived = others.any(|other| {
            let other = self.runners.get(other);
            other.is_some_and(|other| other.claim.outlives(&known.claim))
        });
        is_outlived.then_some(known.claim)
    }

    /// Enters a runner under the address of its record, in place of the one before.
    fn index(&mut self, id: &Name, before: Option<SocketAddr>) {
        let Some(runner) = self.runners.get(id) else {
            return;
        };
        let addr = runner.member.addr;
        let is_named = is_named(self.services.as_ref(), &runner.member.service);
        if let Some(before) = before {
            self.addresses.remove(before, id);
            self.resolve(before);
        }
        if is_named {
            self.addresses.add(addr, id);
        }
        self.resolve(addr);
    }

    /// Decides again which of the runners of an address is used.
    fn resolve(&mut self, addr: SocketAddr) {
        let claimants = self.addresses.claimants(addr);
        let mut claims: Vec<(u64, Claim)> = claimants
            .iter()
            .filter_map(|id| self.runners.get(id))
            .map(|runner| (runner.member.born, runner.claim))
            .collect();
        let rivals = Rivals::new(&mut claims);
        for id in claimants {
            let Some(runner) = self.runners.get_mut(id) else {
                continue;
            };
            let used = rivals.allow(runner.member.born, &runner.claim);
            let is_changed = used == std::mem::replace(&mut runner.replaced, !used);
            if is_changed && self.address_changes.len() < MAX_ADDRESS_CHANGES {
                let runner = id.clone();
                self.address_changes.push(AddressChange { runner, used });
            }
        }
    }

    /// Returns the runners that have gained or lost their address to others since the last call.
    pub fn take_address_changes(&mut self) -> Vec<AddressChange> {
        std::mem::take(&mut self.address_changes)
    }

    fn count_addresses(&mut self, now: Time) {
        self.entries.record_runners(self.addresses.len());
        self.backpressure.set_entries(now, self.entries.get());
    }

    /// Removes a runner that left the membership list.
    pub fn leave(&mut self, id: &str) {
        if let Some(runner) = self.runners.remove(id) {
            self.addresses.remove(runner.member.addr, id);
            self.resolve(runner.member.addr);
        }
    }

    /// Applies an update of a runner's agent; returns whether requests that wait for an adapter
    /// there should choose a runner again. An update about another incarnation changes only the
    /// number of entries.
    pub fn apply_update(&mut self, now: Time, id: &str, update: &RunnerUpdate) -> bool {
        self.entries.record(now, update.entries);
        self.backpressure.set_entries(now, self.entries.get());
        match self.runners.get_mut(id) {
            Some(runner) if update.born == runner.member.born => runner.apply_update(now, update),
            _ => false,
        }
    }

    /// Records whether this entry is connected to a runner's agent.
    pub fn set_linked(&mut self, id: &str, linked: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.linked = linked;
        }
    }

    /// Records that a runner's agent did not answer when it was asked for an admission. Until
    /// [`UNANSWERED_PERIOD`] has passed, requests do not wait for it.
    pub fn mark_unanswered(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.unasked_until = now.after(UNANSWERED_PERIOD);
        }
    }

    /// Records the load that a runner reported with the answer that [`Fleet::record_heard`] was last told
    /// of; its age is counted from then.
    pub fn record_load(&mut self, id: &str, load: RequestLoad) {
        if let Some(runner) = self.runners.get_mut(id) {
            let reported_at = runner.heard_at.unwrap_or_default();
            runner.record_load(reported_at, load);
        }
    }

    /// Records that a runner rejected a request because it does not hold the adapter.
    pub fn remove_adapter(&mut self, id: &str, adapter: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.adapters.remove(adapter);
        }
    }

    /// Records that an adapter is expected at a runner at the time `ready_at`.
    pub fn expect_adapter(&mut self, id: &str, adapter: &Name, version: u64, ready_at: Time) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        let view = AdapterView {
            version,
            ready_at: Some(ready_at),
            assumed: true,
            rate: RateLevel::default(),
        };
        runner.adapters.insert(adapter.clone(), view);
    }

    /// Records what a runner says of itself; returns what that changes.
    pub fn record_notice(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        source: NoticeSource<'_>,
        notice: &Notice,
    ) -> Vec<NoticeChange> {
        let changes = self.backpressure.record(now, rng, source, notice);
        if changes.contains(&NoticeChange::Leaving)
            && let Some(runner) = self.runners.get_mut(source.runner)
            && runner.member.born == source.born
        {
            runner.member.phase = Phase::Draining;
        }
        changes
    }

    /// Counts a request that is about to be sent to the incarnation of a runner that started at
    /// `born`, and uses its slot there; `None` if that one is gone, accepts no requests, or wants none
    /// now.
    pub fn begin_request(
        &mut self,
        now: Time,
        id: &Name,
        born: u64,
        adapter: Option<&Name>,
        prompt_tokens: u32,
        slot: Option<&Slot>,
    ) -> Option<InflightRequest> {
        let runner = self.runners.get_mut(id)?;
        if runner.member.born != born || !runner.accepts_requests() {
            return None;
        }
        if !self.backpressure.take(now, id, born, slot) {
            return None;
        }
        runner.inflight += 1;
        runner.pending_prompt_tokens = runner.pending_prompt_tokens.saturating_add(prompt_tokens);
        if let Some(adapter) = adapter {
            let usage = runner.usage(adapter);
            usage.inflight += 1;
            usage.hits += 1;
            self.demand.record(now, adapter, 1);
        }
        Some(InflightRequest {
            runner: id.clone(),
            adapter: adapter.cloned(),
            born: runner.member.born,
            begun_at: now,
            prompt_tokens,
            prompt_pending: true,
        })
    }

    /// Records that the runner has responded or sent the first event of a stream.
    pub fn mark_answered(&mut self, request: &mut InflightRequest) {
        if !request.prompt_pending {
            return;
        }
        request.prompt_pending = false;
        if let Some(runner) = self.runner_of(request) {
            runner.pending_prompt_tokens = runner
                .pending_prompt_tokens
                .saturating_sub(request.prompt_tokens);
        }
    }

    /// Removes a request from the runner's counts and records how it ended.
    pub fn end_request(
        &mut self,
        now: Time,
        mut request: InflightRequest,
        signal: HealthSignal,
        rng: &mut fastrand::Rng,
    ) {
        self.mark_answered(&mut request);
        let Some(runner) = self.runner_of(&request) else {
            return;
        };
        runner.inflight = runner.inflight.saturating_sub(1);
        if let Some(adapter) = &request.adapter {
            let usage = runner.usage(adapter);
            usage.inflight = usage.inflight.saturating_sub(1);
        }
        if matches!(signal, HealthSignal::Success(_)) {
            runner.load.record_stay(now, now.since(request.begun_at));
        }
        runner.observe(now, signal, rng);
    }

    /// Records a health signal of a runner to which no request was sent.
    pub fn observe(&mut self, now: Time, id: &str, signal: HealthSignal, rng: &mut fastrand::Rng) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.observe(now, signal, rng);
        }
    }

    /// Records that a part of an answer has come from an incarnation of a runner.
    pub fn record_heard(&mut self, now: Time, id: &str, born: u64) {
        let event = self.next_event();
        if let Some(runner) = self.runners.get_mut(id)
            && runner.member.born == born
        {
            runner.heard_at = Some(now);
            runner.claim.confirm(event);
            if runner.replaced {
                let addr = runner.member.addr;
                self.resolve(addr);
            }
        }
    }

    /// Records that an attempt at an incarnation of a runner is silent since a time; returns what is silent.
    pub fn observe_silence(
        &mut self,
        now: Time,
        since: Time,
        id: &str,
        born: u64,
        rng: &mut fastrand::Rng,
    ) -> SilenceScope {
        match self.runners.get_mut(id) {
            Some(runner) if runner.member.born == born => runner.observe_silence(now, since, rng),
            _ => SilenceScope::Runner,
        }
    }

    /// Returns how this entry has used a runner's adapters since the last call, and resets the
    /// hits.
    pub fn take_usage(&mut self, id: &str) -> Vec<Usage> {
        let Some(runner) = self.runners.get_mut(id) else {
            return Vec::new();
        };
        let usages: Vec<Usage> = runner
            .usage
            .values()
            .filter(|usage| usage.hits > 0 || usage.inflight > 0)
            .cloned()
            .collect();
        runner.usage.retain(|_, usage| usage.inflight > 0);
        for usage in runner.usage.values_mut() {
            usage.hits = 0;
        }
        usages
    }

    fn runner_of(&mut self, request: &InflightRequest) -> Option<&mut Runner> {
        let runner = self.runners.get_mut(&request.runner)?;
        (runner.member.born == request.born).then_some(runner)
    }
}

/// Returns whether runners of a service are used; `services` is `None` while that is not known.
fn is_named(services: Option<&Set<Name>>, service: &Name) -> bool {
    services.is_none_or(|services| services.contains(service))
}
