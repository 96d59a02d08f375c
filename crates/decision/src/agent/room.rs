//! Finding slots: which versions may leave, and which have to.

use std::time::Duration;

use super::AgentCore;
use super::CommandFault;
use super::events::Action;
use super::loads::Phase;
use crate::ids::Name;
use crate::time::Time;

/// The time until a failed unload is tried again; without it an engine that refuses would be asked
/// as fast as it answers.
const UNLOAD_RETRY: Duration = Duration::from_secs(1);

/// A version that has to leave for a job whose turn has come, although jobs still wait for it.
///
/// Jobs of the version whose own turn has come by the barrier still run, so that versions in equal
/// demand do not evict each other after every job; later ones wait for a new load.
#[derive(Clone, Debug)]
pub(super) struct Closing {
    pub(super) victim: Name,
    pub(super) wanted: Name,
    pub(super) barrier: Time,
}

impl AgentCore {
    /// Returns the number of loads and unloads that the engine was told.
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
        out: &mut Vec<Action>,
    ) {
        self.note_command(now);
        self.slots.end_unload(now, name, result.is_ok());
        if let Err(fault) = result {
            out.push(Action::Log(format!("unload of {name} failed: {fault:?}")));
            self.stuck.insert(name.clone(), now.after(UNLOAD_RETRY));
            if fault == CommandFault::Fenced {
                self.lease.on_fenced(now);
            }
        } else {
            self.counters.unloads += 1;
        }
    }

    pub(super) fn unload_leavers(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        let kept = |name: &Name| self.queue.count_for(name) > 0 || self.stuck.contains_key(name);
        let leavers = self.slots.unloadable(now, kept);
        for name in leavers {
            self.unload(now, &name, token, out);
        }
    }

    pub(super) fn unload(
        &mut self,
        now: Time,
        name: &Name,
        token: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.slots.start_unload(now, name) {
            return false;
        }
        self.note_command(now);
        self.start_stall(now, name);
        out.push(Action::Unload {
            version: name.clone(),
            fencing: token,
        });
        true
    }

    /// Returns the number of further loads that a slot can be found for.
    pub(super) fn room(&self) -> usize {
        let at_once = self.loads_at_once();
        let claimed = self
            .loads
            .values()
            .filter(|load| !matches!(load.phase, Phase::Engine(_)))
            .count();
        let slots = self.slots.free() + self.idle();
        slots
            .saturating_sub(claimed)
            .min(at_once.saturating_sub(self.loads.len()))
    }

    /// Returns the number of resident versions that may be evicted.
    pub(super) fn idle(&self) -> usize {
        self.slots
            .iter()
            .filter(|(name, _)| self.slots.is_resident(name))
            .filter(|(name, _)| self.slots.pins(name) == 0 && !self.is_kept(name))
            .count()
    }

    /// Returns whether an unpinned version is not to be unloaded now.
    pub(super) fn is_kept(&self, name: &Name) -> bool {
        self.is_promised(name) || self.stuck.contains_key(name)
    }

    /// Returns whether a queued job may rely on the version to stay.
    pub(super) fn is_promised(&self, name: &Name) -> bool {
        match &self.closing {
            Some(closing) if closing.victim == *name => {
                self.queue.has_job_due_by(name, closing.barrier)
            }
            _ => self.queue.count_for(name) > 0,
        }
    }

    /// Chooses a version to leave when the turn of a job has come and no slot can be found for it.
    pub(super) fn update_closing(&mut self, now: Time) {
        if let Some(held) = &self.closing {
            let wanted = self.queue.count_for(&held.wanted) > 0;
            if wanted && self.slots.is_resident(&held.victim) {
                return;
            }
            self.closing = None;
        }
        if self.slots.free() > 0 || self.idle() > 0 || self.commands() > 0 {
            return;
        }
        let first = self.queue.first_stalled(|name| self.is_ready(name));
        let Some(first) = first.filter(|job| job.overtake_deadline() <= now) else {
            return;
        };
        let wanted = first.name.clone();
        let victim = self.slots.least_valuable(now, |_| false);
        self.closing = victim.map(|victim| Closing {
            victim,
            wanted,
            barrier: now,
        });
    }
}
