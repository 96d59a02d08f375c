//! Loading of versions into the engine: load permits, slots, load commands and failures.

use std::time::Duration;

use fastrand::Rng;

use super::AgentCore;
use super::CommandFault;
use super::events::Action;
use crate::ids::Name;
use crate::job::Refusal;
use crate::job::Target;
use crate::permit::ClientStep;
use crate::permit::PermitClient;
use crate::permit::PermitReply;
use crate::permit::PermitRequest;
use crate::permit::rank_coordinators;
use crate::time::Time;

/// For how long jobs of a version are refused after [`LOAD_ATTEMPTS`] failed loads.
const REFUSAL_PERIOD: Duration = Duration::from_secs(2);

/// The time after the last failed load at which earlier failures of the version are forgotten.
const FAILURE_EXPIRY: Duration = Duration::from_secs(30);

/// The number of failed loads of a version after which its jobs are refused.
const LOAD_ATTEMPTS: u32 = 2;

/// The weight of a new sample in the moving average of the wait for a permit.
const PERMIT_SMOOTHING: f64 = 0.25;

/// A load permit: the coordinator that granted it, and its number there.
type Permit = (Name, u64);

/// A load that is being prepared or executed.
#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    pub(super) phase: LoadPhase,
    /// When the load was requested, or when the load command was sent.
    pub(super) since: Time,
    weights: Name,
    digest: Name,
}

#[derive(Clone, Debug)]
pub(super) enum LoadPhase {
    /// Requesting a permit.
    AwaitingPermit(PermitClient),
    /// QueuedJob for the named version to be unloaded.
    AwaitingSlot(Name, Option<Permit>),
    /// The load command was sent to the engine.
    Loading(Option<Permit>),
}

/// The recent load failures of a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadFailures {
    pub(super) count: u32,
    /// Whether new jobs for the version are refused.
    pub(super) refusing: bool,
    /// When the failures are forgotten and the refusal ends.
    pub(super) until: Time,
}

impl AgentCore {
    /// Starts and advances loads and unloads as far as the lease, slots and permits allow.
    pub(super) fn advance_loads(&mut self, now: Time, rng: &mut Rng, actions: &mut Vec<Action>) {
        if !self.engine_ready || !self.is_model() {
            return;
        }
        let Some(token) = self.lease.token(now) else {
            return;
        };
        self.unload_surplus(now, token, actions);
        self.drop_unneeded_loads(actions);
        self.update_forced_eviction(now);
        self.request_permits(now);
        self.advance_pending_loads(now, token, rng, actions);
    }

    /// Returns the expected time until an absent version is resident.
    pub(super) fn load_wait(&self, now: Time, name: &Name) -> Duration {
        let load = self.slots.load_time(now);
        let permit = Duration::from_secs_f64(self.permit_wait_ms / 1e3);
        match self.loads.get(name) {
            None => permit + load,
            Some(pending) => match pending.phase {
                LoadPhase::AwaitingPermit(_) => {
                    permit.saturating_sub(now.since(pending.since)) + load
                }
                LoadPhase::AwaitingSlot(..) => load,
                LoadPhase::Loading(_) => load.saturating_sub(now.since(pending.since)),
            },
        }
    }

    pub(super) fn on_load_ended(
        &mut self,
        now: Time,
        name: Name,
        result: Result<(), CommandFault>,
        actions: &mut Vec<Action>,
    ) {
        let Some(load) = self.loads.remove(&name) else {
            return;
        };
        let LoadPhase::Loading(permit) = load.phase else {
            self.loads.insert(name, load);
            return;
        };
        self.discard_pending_read(now);
        self.slots.end_load(now, &name, result.is_ok());
        actions.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
        match result {
            Ok(()) => {
                self.counters.loads += 1;
                self.load_failures.remove(&name);
                self.end_stall(now, &name);
            }
            Err(fault) => self.on_load_failed(now, name, fault, actions),
        }
    }

    fn on_load_failed(
        &mut self,
        now: Time,
        name: Name,
        fault: CommandFault,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Log(format!("failed to load {name}: {fault:?}")));
        if fault == CommandFault::Fenced {
            self.lease.on_fenced(now);
            return;
        }
        self.counters.load_failures += 1;
        let failures = self
            .load_failures
            .entry(name.clone())
            .or_insert(LoadFailures {
                count: 0,
                refusing: false,
                until: now,
            });
        failures.count += 1;
        failures.until = now.after(FAILURE_EXPIRY);
        if failures.count < LOAD_ATTEMPTS {
            return;
        }
        failures.count = 0;
        failures.refusing = true;
        failures.until = now.after(REFUSAL_PERIOD);
        let keys: Vec<_> = self.queue.iter_for(&name).map(|job| job.key).collect();
        for key in keys {
            self.queue.remove(key);
            self.drop_queued(now, key, Refusal::LoadFailed, actions);
        }
    }

    pub(super) fn on_permit(
        &mut self,
        now: Time,
        version: &Name,
        from: Name,
        reply: Option<PermitReply>,
        actions: &mut Vec<Action>,
    ) {
        let unused = match self.loads.get_mut(version).map(|load| &mut load.phase) {
            Some(LoadPhase::AwaitingPermit(client)) => client.on_reply(now, &from, reply),
            // A grant that is already in use may be reported again; it must not be returned.
            Some(LoadPhase::AwaitingSlot(_, Some(held)) | LoadPhase::Loading(Some(held)))
                if is_same_grant(&reply, &from, held) =>
            {
                None
            }
            _ => match reply {
                Some(PermitReply::Granted(grant)) => Some(grant.id),
                _ => None,
            },
        };
        actions.extend(unused.map(|id| Action::ReturnPermit(from, id)));
    }

    /// Drops loads that no job waits for any more, unless the load command was already sent.
    fn drop_unneeded_loads(&mut self, actions: &mut Vec<Action>) {
        let queue = &self.queue;
        let slots = &self.slots;
        self.loads.retain(|name, load| {
            let is_needed = queue.count_for(name) > 0 && !slots.is_resident(name);
            match &load.phase {
                LoadPhase::Loading(_) => true,
                _ if is_needed => true,
                LoadPhase::AwaitingPermit(client) => {
                    actions.extend(
                        client
                            .granted()
                            .map(|(from, id)| Action::ReturnPermit(from, id)),
                    );
                    false
                }
                LoadPhase::AwaitingSlot(_, permit) => {
                    let permit = permit.clone();
                    actions.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
                    false
                }
            }
        });
    }

    /// Starts a permit request for each version that jobs wait for, as far as slots can be found.
    fn request_permits(&mut self, now: Time) {
        let order = {
            let ready = |name: &Name| self.can_run(name);
            self.queue.load_order(now, ready)
        };
        let mut capacity = self.load_capacity();
        for name in order {
            if capacity == 0 {
                return;
            }
            if self.loads.contains_key(&name) || self.slots.state(&name).is_some() {
                continue;
            }
            let Some((weights, digest)) = self.weights_of(&name) else {
                continue;
            };
            let client = PermitClient::new(now, rank_coordinators("weights", &self.peers));
            let load = PendingLoad {
                phase: LoadPhase::AwaitingPermit(client),
                since: now,
                weights,
                digest,
            };
            self.loads.insert(name, load);
            capacity -= 1;
        }
    }

    fn advance_pending_loads(
        &mut self,
        now: Time,
        token: u64,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let mut names: Vec<Name> = self.loads.keys().cloned().collect();
        names.sort_unstable();
        for name in names {
            let Some(load) = self.loads.get_mut(&name) else {
                continue;
            };
            match &mut load.phase {
                LoadPhase::Loading(_) => {}
                LoadPhase::AwaitingSlot(victim, permit) => {
                    if self.slots.state(victim).is_none() {
                        let permit = permit.clone();
                        self.start_load(now, &name, permit, token, actions);
                    } else if self.slots.is_resident(victim) {
                        // The unload failed; try to evict another version.
                        let permit = permit.clone();
                        self.acquire_slot(now, &name, permit, token, actions);
                    }
                }
                LoadPhase::AwaitingPermit(_) => {
                    self.advance_permit(now, &name, token, rng, actions)
                }
            }
        }
    }

    fn advance_permit(
        &mut self,
        now: Time,
        name: &Name,
        token: u64,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let interval = self.fair_share_interval();
        let unpermitted_load_at = &mut self.unpermitted_load_at;
        let Some(load) = self.loads.get_mut(name) else {
            return;
        };
        let LoadPhase::AwaitingPermit(client) = &mut load.phase else {
            return;
        };
        let step = client.next_step(now, || {
            let jittered = interval.mul_f64(0.5 + rng.f64());
            *unpermitted_load_at = now.max(*unpermitted_load_at).after(jittered);
            unpermitted_load_at.since(now)
        });
        match step {
            ClientStep::Wait(_) => {}
            ClientStep::Request(to) => {
                let request = self.build_permit_request(now, name);
                actions.push(Action::RequestPermit(to, request));
            }
            ClientStep::Load(permit) => {
                let waited = now.since(load.since).as_secs_f64() * 1e3;
                self.permit_wait_ms += PERMIT_SMOOTHING * (waited - self.permit_wait_ms);
                self.acquire_slot(now, name, permit, token, actions);
            }
        }
    }

    /// Starts the load if a slot is free, otherwise evicts a version first. If no version can be
    /// evicted, drops the load and returns the permit.
    fn acquire_slot(
        &mut self,
        now: Time,
        name: &Name,
        permit: Option<Permit>,
        token: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.slots.free() > 0 {
            self.start_load(now, name, permit, token, actions);
            return;
        }
        let victim = self.slots.victim(now, |name| self.is_retained(name));
        if let Some(victim) = victim
            && self.unload(now, &victim, token, actions)
            && let Some(load) = self.loads.get_mut(name)
        {
            load.phase = LoadPhase::AwaitingSlot(victim, permit);
            return;
        }
        self.loads.remove(name);
        actions.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
    }

    fn start_load(
        &mut self,
        now: Time,
        name: &Name,
        permit: Option<Permit>,
        token: u64,
        actions: &mut Vec<Action>,
    ) {
        if !self.slots.start_load(now, name) {
            self.loads.remove(name);
            actions.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
            return;
        }
        self.discard_pending_read(now);
        if self
            .forced_eviction
            .as_ref()
            .is_some_and(|eviction| eviction.replacement == *name)
        {
            self.forced_eviction = None;
        }
        let Some(load) = self.loads.get_mut(name) else {
            return;
        };
        load.phase = LoadPhase::Loading(permit);
        load.since = now;
        actions.push(Action::Load {
            version: name.clone(),
            weights: load.weights.clone(),
            digest: load.digest.clone(),
            fencing: token,
        });
    }

    fn build_permit_request(&self, now: Time, name: &Name) -> PermitRequest {
        let jobs = self.queue.iter_for(name);
        let left = jobs.map(|job| job.deadline.since(now)).min();
        PermitRequest {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            version: name.clone(),
            waiting: self.queue.count_for(name) as u32,
            left: left.unwrap_or_default(),
            expected: self.slots.expected_uses(now, name),
        }
    }

    /// Returns the locator and digest of the version's weights, taken from a job that waits for it.
    fn weights_of(&self, name: &Name) -> Option<(Name, Name)> {
        let job = self.queue.iter_for(name).next()?;
        match &self.jobs.get(&job.key)?.job.target {
            Target::Version {
                weights, digest, ..
            } => Some((weights.clone(), digest.clone())),
            Target::Model(_) | Target::Service(_) => None,
        }
    }

    /// Returns the interval between loads if the agents of the region share the configured load
    /// rate equally.
    fn fair_share_interval(&self) -> Duration {
        let rate = self
            .config
            .as_ref()
            .map_or(0.0, |config| config.set.policy.loads_per_s);
        let agents = self.peers.len().max(1) as f64;
        Duration::from_secs_f64(agents / rate.max(0.001))
    }

    pub(super) fn loads_at_once(&self) -> usize {
        let config = self.config.as_ref();
        config.map_or(1, |config| config.set.policy.loads_at_once.max(1) as usize)
    }
}

fn is_same_grant(reply: &Option<PermitReply>, from: &Name, permit: &Permit) -> bool {
    match reply {
        Some(PermitReply::Granted(grant)) => permit.0 == *from && permit.1 == grant.id,
        _ => false,
    }
}
