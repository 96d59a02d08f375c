//! Unloading of versions: which may be evicted for a load, and which have to be.

use std::time::Duration;

use super::AgentCore;
use super::CommandFault;
use super::events::Action;
use super::loads::LoadPhase;
use crate::ids::Name;
use crate::time::Time;

/// The delay before a failed unload is retried. Without it, an engine that rejects unloads would
/// receive the next one as soon as it has responded to the last.
const UNLOAD_RETRY: Duration = Duration::from_secs(1);

/// The eviction of a version that queued jobs still need, for a job whose overtake deadline has
/// passed and for which no slot can be found otherwise.
///
/// Jobs of the victim whose overtake deadline passed by the cutoff still run first, so that
/// versions in equal demand do not evict each other after every job. Later jobs wait until the
/// victim is loaded again.
#[derive(Clone, Debug)]
pub(super) struct ForcedEviction {
    pub(super) victim: Name,
    /// The version to load in place of the victim.
    pub(super) replacement: Name,
    pub(super) cutoff: Time,
}

impl AgentCore {
    /// Returns the number of loads and unloads that the engine is executing.
    pub(super) fn commands(&self) -> usize {
        use crate::slots::SlotState::Resident;
        let slots = self.slots.iter();
        slots.filter(|(_, slot)| slot.state != Resident).count()
    }

    pub(super) fn on_unload_ended(
        &mut self,
        now: Time,
        name: &Name,
        result: Result<(), CommandFault>,
        actions: &mut Vec<Action>,
    ) {
        self.discard_pending_read(now);
        self.slots.end_unload(now, name, result.is_ok());
        if let Err(fault) = result {
            actions.push(Action::Log(format!("failed to unload {name}: {fault:?}")));
            self.unload_retries
                .insert(name.clone(), now.after(UNLOAD_RETRY));
            if fault == CommandFault::Fenced {
                self.lease.on_fenced(now);
            }
        } else {
            self.counters.unloads += 1;
        }
    }

    /// Unloads versions that are withdrawn or exceed the number of slots, once they are idle.
    pub(super) fn unload_surplus(&mut self, now: Time, token: u64, actions: &mut Vec<Action>) {
        let retained =
            |name: &Name| self.queue.count_for(name) > 0 || self.unload_retries.contains_key(name);
        let surplus = self.slots.unloadable(now, retained);
        for name in surplus {
            self.unload(now, &name, token, actions);
        }
    }

    /// Sends an unload command if the version is resident and no running job uses it; returns whether
    /// the command was sent.
    pub(super) fn unload(
        &mut self,
        now: Time,
        name: &Name,
        token: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.slots.start_unload(now, name) {
            return false;
        }
        self.discard_pending_read(now);
        self.start_stall(now, name);
        actions.push(Action::Unload {
            version: name.clone(),
            fencing: token,
        });
        true
    }

    /// Returns how many further loads may be started: as many as slots can be found for, up to the
    /// limit of concurrent loads.
    pub(super) fn load_capacity(&self) -> usize {
        let at_once = self.loads_at_once();
        let unstarted = self
            .loads
            .values()
            .filter(|load| !matches!(load.phase, LoadPhase::Loading(_)))
            .count();
        let slots = self.slots.free() + self.evictable();
        slots
            .saturating_sub(unstarted)
            .min(at_once.saturating_sub(self.loads.len()))
    }

    /// Returns the number of resident versions that may be evicted.
    pub(super) fn evictable(&self) -> usize {
        self.slots
            .iter()
            .filter(|(name, _)| self.slots.is_resident(name))
            .filter(|(name, _)| self.slots.pins(name) == 0 && !self.is_retained(name))
            .count()
    }

    /// Returns whether a version must not be unloaded now even if no running job uses it.
    pub(super) fn is_retained(&self, name: &Name) -> bool {
        self.is_reserved(name) || self.unload_retries.contains_key(name)
    }

    /// Returns whether the version is reserved for queued jobs and therefore stays in the engine.
    pub(super) fn is_reserved(&self, name: &Name) -> bool {
        match &self.forced_eviction {
            Some(eviction) if eviction.victim == *name => {
                self.queue.has_job_due_by(name, eviction.cutoff)
            }
            _ => self.queue.count_for(name) > 0,
        }
    }

    /// Chooses a version to evict when the overtake deadline of a job has passed and no slot can be
    /// found for it.
    pub(super) fn update_forced_eviction(&mut self, now: Time) {
        if let Some(eviction) = &self.forced_eviction {
            let is_needed = self.queue.count_for(&eviction.replacement) > 0;
            if is_needed && self.slots.is_resident(&eviction.victim) {
                return;
            }
            self.forced_eviction = None;
        }
        if self.slots.free() > 0 || self.evictable() > 0 || self.commands() > 0 {
            return;
        }
        let first = self.queue.first_stalled(|name| self.can_run(name));
        let Some(first) = first.filter(|job| job.overtake_deadline() <= now) else {
            return;
        };
        let replacement = first.name.clone();
        let victim = self.slots.least_valuable(now, |_| false);
        self.forced_eviction = victim.map(|victim| ForcedEviction {
            victim,
            replacement,
            cutoff: now,
        });
    }
}
