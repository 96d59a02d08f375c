//! Making versions resident: permits, loads, unloads, and the slots that they need.

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

/// The time for which jobs of a version are refused after its load failed twice.
const REFUSE_TIME: Duration = Duration::from_secs(2);

/// The time after which a failed load counts no more.
const FAILURE_TIME: Duration = Duration::from_secs(30);

/// The tries to load a version before its jobs are refused.
const LOAD_TRIES: u32 = 2;

/// The share of a new sample in the mean wait for a permit.
const SMOOTHING: f64 = 0.25;

/// A permit: the coordinator and the number of the grant.
type Permit = (Name, u64);

/// A version on its way into the engine.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) phase: Phase,
    pub(super) since: Time,
    weights: Name,
    digest: Name,
}

/// The step at which a load is.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// A permit is asked for.
    Permit(PermitClient),
    /// A victim is being unloaded.
    Slot(Name, Option<Permit>),
    /// The engine loads.
    Engine(Option<Permit>),
}

/// Failed loads of a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trouble {
    pub(super) failures: u32,
    /// Whether new jobs for the version are refused.
    pub(super) refusing: bool,
    pub(super) until: Time,
}

impl AgentCore {
    /// Starts and advances loads and unloads, as far as lease, slots and permits allow.
    pub(super) fn advance_loads(&mut self, now: Time, rng: &mut Rng, out: &mut Vec<Action>) {
        if !self.ready || !self.is_model() {
            return;
        }
        let Some(token) = self.lease.token(now) else {
            return;
        };
        self.unload_leavers(now, token, out);
        self.drop_unwanted(out);
        self.update_closing(now);
        self.start_asking(now);
        self.advance_asking(now, token, rng, out);
    }

    /// Returns the expected time until an absent version is resident.
    pub(super) fn load_wait(&self, now: Time, name: &Name) -> Duration {
        let load = self.slots.load_time(now);
        let permit = Duration::from_secs_f64(self.permit_ms / 1e3);
        match self.loads.get(name) {
            None => permit + load,
            Some(held) => match held.phase {
                Phase::Permit(_) => permit.saturating_sub(now.since(held.since)) + load,
                Phase::Slot(..) => load,
                Phase::Engine(_) => load.saturating_sub(now.since(held.since)),
            },
        }
    }

    pub(super) fn on_load_ended(
        &mut self,
        now: Time,
        name: Name,
        result: Result<(), CommandFault>,
        out: &mut Vec<Action>,
    ) {
        let Some(load) = self.loads.remove(&name) else {
            return;
        };
        let Phase::Engine(permit) = load.phase else {
            self.loads.insert(name, load);
            return;
        };
        self.note_command(now);
        self.slots.end_load(now, &name, result.is_ok());
        out.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
        match result {
            Ok(()) => {
                self.counters.loads += 1;
                self.trouble.remove(&name);
                self.end_stall(now, &name);
            }
            Err(fault) => self.on_load_failed(now, name, fault, out),
        }
    }

    fn on_load_failed(
        &mut self,
        now: Time,
        name: Name,
        fault: CommandFault,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Log(format!("load of {name} failed: {fault:?}")));
        if fault == CommandFault::Fenced {
            self.lease.on_fenced(now);
            return;
        }
        self.counters.load_failures += 1;
        let trouble = self.trouble.entry(name.clone()).or_insert(Trouble {
            failures: 0,
            refusing: false,
            until: now,
        });
        trouble.failures += 1;
        trouble.until = now.after(FAILURE_TIME);
        if trouble.failures < LOAD_TRIES {
            return;
        }
        trouble.failures = 0;
        trouble.refusing = true;
        trouble.until = now.after(REFUSE_TIME);
        let keys: Vec<_> = self.queue.iter_for(&name).map(|job| job.key).collect();
        for key in keys {
            self.queue.remove(key);
            self.drop_queued(now, key, Refusal::LoadFailed, out);
        }
    }

    pub(super) fn on_permit(
        &mut self,
        now: Time,
        version: &Name,
        from: Name,
        reply: Option<PermitReply>,
        out: &mut Vec<Action>,
    ) {
        let late = match self.loads.get_mut(version).map(|load| &mut load.phase) {
            Some(Phase::Permit(asking)) => asking.on_reply(now, &from, reply),
            // The grant that is in use may be told twice.
            Some(Phase::Slot(_, Some(held)) | Phase::Engine(Some(held)))
                if is_grant(&reply, &from, held) =>
            {
                None
            }
            _ => match reply {
                Some(PermitReply::Granted(grant)) => Some(grant.id),
                _ => None,
            },
        };
        out.extend(late.map(|id| Action::ReturnPermit(from, id)));
    }

    /// Drops loads that no job waits for any more and that the engine was not told yet.
    fn drop_unwanted(&mut self, out: &mut Vec<Action>) {
        let queue = &self.queue;
        let slots = &self.slots;
        self.loads.retain(|name, load| {
            let wanted = queue.count_for(name) > 0 && !slots.is_resident(name);
            match &load.phase {
                Phase::Engine(_) => true,
                _ if wanted => true,
                Phase::Permit(asking) => {
                    out.extend(
                        asking
                            .granted()
                            .map(|(from, id)| Action::ReturnPermit(from, id)),
                    );
                    false
                }
                Phase::Slot(_, permit) => {
                    let permit = permit.clone();
                    out.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
                    false
                }
            }
        });
    }

    /// Asks for a permit for each version that jobs wait for and that a slot can be found for.
    fn start_asking(&mut self, now: Time) {
        let order = {
            let ready = |name: &Name| self.is_ready(name);
            self.queue.load_order(now, ready)
        };
        let mut room = self.room();
        for name in order {
            if room == 0 {
                return;
            }
            if self.loads.contains_key(&name) || self.slots.state(&name).is_some() {
                continue;
            }
            let Some((weights, digest)) = self.weights(&name) else {
                continue;
            };
            let asking = PermitClient::new(now, rank_coordinators("weights", &self.peers));
            let load = Load {
                phase: Phase::Permit(asking),
                since: now,
                weights,
                digest,
            };
            self.loads.insert(name, load);
            room -= 1;
        }
    }

    fn advance_asking(&mut self, now: Time, token: u64, rng: &mut Rng, out: &mut Vec<Action>) {
        let mut names: Vec<Name> = self.loads.keys().cloned().collect();
        names.sort_unstable();
        for name in names {
            let Some(load) = self.loads.get_mut(&name) else {
                continue;
            };
            match &mut load.phase {
                Phase::Engine(_) => {}
                Phase::Slot(victim, permit) => {
                    if self.slots.state(victim).is_none() {
                        let permit = permit.clone();
                        self.start_load(now, &name, permit, token, out);
                    } else if self.slots.is_resident(victim) {
                        // The unload failed; another victim may leave.
                        let permit = permit.clone();
                        self.take_slot(now, &name, permit, token, out);
                    }
                }
                Phase::Permit(_) => self.advance_permit(now, &name, token, rng, out),
            }
        }
    }

    fn advance_permit(
        &mut self,
        now: Time,
        name: &Name,
        token: u64,
        rng: &mut Rng,
        out: &mut Vec<Action>,
    ) {
        let interval = self.share_interval();
        let alone = &mut self.alone;
        let Some(load) = self.loads.get_mut(name) else {
            return;
        };
        let Phase::Permit(asking) = &mut load.phase else {
            return;
        };
        let step = asking.next_step(now, || {
            let jittered = interval.mul_f64(0.5 + rng.f64());
            *alone = now.max(*alone).after(jittered);
            alone.since(now)
        });
        match step {
            ClientStep::Wait(_) => {}
            ClientStep::Request(to) => {
                let ask = self.ask(now, name);
                out.push(Action::AskPermit(to, ask));
            }
            ClientStep::Load(permit) => {
                let waited = now.since(load.since).as_secs_f64() * 1e3;
                self.permit_ms += SMOOTHING * (waited - self.permit_ms);
                self.take_slot(now, name, permit, token, out);
            }
        }
    }

    /// Finds a slot for a load that may go ahead; without one the permit is returned.
    fn take_slot(
        &mut self,
        now: Time,
        name: &Name,
        permit: Option<Permit>,
        token: u64,
        out: &mut Vec<Action>,
    ) {
        if self.slots.free() > 0 {
            self.start_load(now, name, permit, token, out);
            return;
        }
        let victim = self.slots.victim(now, |name| self.is_kept(name));
        if let Some(victim) = victim
            && self.unload(now, &victim, token, out)
            && let Some(load) = self.loads.get_mut(name)
        {
            load.phase = Phase::Slot(victim, permit);
            return;
        }
        self.loads.remove(name);
        out.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
    }

    fn start_load(
        &mut self,
        now: Time,
        name: &Name,
        permit: Option<Permit>,
        token: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.slots.start_load(now, name) {
            self.loads.remove(name);
            out.extend(permit.map(|(from, id)| Action::ReturnPermit(from, id)));
            return;
        }
        self.note_command(now);
        if self
            .closing
            .as_ref()
            .is_some_and(|held| held.wanted == *name)
        {
            self.closing = None;
        }
        let Some(load) = self.loads.get_mut(name) else {
            return;
        };
        load.phase = Phase::Engine(permit);
        load.since = now;
        out.push(Action::Load {
            version: name.clone(),
            weights: load.weights.clone(),
            digest: load.digest.clone(),
            fencing: token,
        });
    }

    fn ask(&self, now: Time, name: &Name) -> PermitRequest {
        let jobs = self.queue.iter_for(name);
        let left = jobs.map(|job| job.deadline.since(now)).min();
        PermitRequest {
            endpoint: self.endpoint.clone(),
            incarnation: self.own,
            version: name.clone(),
            waiting: self.queue.count_for(name) as u32,
            left: left.unwrap_or_default(),
            expected: self.slots.expected_uses(now, name),
        }
    }

    /// Returns locator and digest of the version, as a job that waits for it tells them.
    fn weights(&self, name: &Name) -> Option<(Name, Name)> {
        let job = self.queue.iter_for(name).next()?;
        match &self.jobs.get(&job.key)?.job.target {
            Target::Version {
                weights, digest, ..
            } => Some((weights.clone(), digest.clone())),
            Target::Model(_) | Target::Service(_) => None,
        }
    }

    /// Returns the interval of loads at this agent's share of the region's rate.
    fn share_interval(&self) -> Duration {
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

fn is_grant(reply: &Option<PermitReply>, from: &Name, held: &Permit) -> bool {
    match reply {
        Some(PermitReply::Granted(grant)) => held.0 == *from && held.1 == grant.id,
        _ => false,
    }
}
