//! The agents that an entry may ask for tokens, and which of them has the bucket of a tenant.
//!
//! Invariant: entries that are linked to the same agents choose the same one for a tenant.

use std::time::Duration;

use decision::hash;
use decision::time::Time;

use super::ANSWER_TIMEOUT;
use crate::Name;

/// The interval at which an agent that did not answer is asked again.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two missing answers of an agent within which only an answer in time shows that it answers
/// again. A single late answer may be the fault of this entry.
const DOUBT_PERIOD: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Agent {
    runner: Name,
    key: u64,
    /// Whether it did not answer the last ask.
    silent: bool,
    /// When it last became silent; `None` if it never did.
    silent_at: Option<Time>,
    /// Whether it became silent twice within [`DOUBT_PERIOD`].
    doubted: bool,
    probed_at: Time,
    /// The number of the last ask that only shows whether it answers.
    probe: Option<u64>,
}

/// The agents that this entry is linked to and that keep buckets.
#[derive(Debug, Default)]
pub struct Agents {
    agents: Vec<Agent>,
}

impl Agents {
    /// Adds the agent of a runner; returns whether it is new.
    pub fn add(&mut self, runner: &Name) -> bool {
        if self.agents.iter().any(|agent| agent.runner == *runner) {
            return false;
        }
        self.agents.push(Agent {
            runner: runner.clone(),
            key: hash::hash_text(runner),
            silent: false,
            silent_at: None,
            doubted: false,
            probed_at: Time::default(),
            probe: None,
        });
        true
    }

    /// Removes the agent of a runner; returns whether it was there.
    pub fn remove(&mut self, runner: &str) -> bool {
        let before = self.agents.len();
        self.agents.retain(|agent| &*agent.runner != runner);
        self.agents.len() < before
    }

    /// Returns the agent that has the bucket of the tenant with this hash: the first in the rendezvous order
    /// of those that answer. `None` if none does.
    pub fn first(&self, tenant: u64) -> Option<&Name> {
        let answering = self.agents.iter().filter(|agent| !agent.silent);
        answering
            .max_by_key(|agent| hash::combine(tenant, agent.key))
            .map(|agent| &agent.runner)
    }

    /// Returns whether an agent is linked and answers.
    pub(super) fn answers(&self, runner: &str) -> bool {
        let mut agents = self.agents.iter();
        agents.any(|agent| &*agent.runner == runner && !agent.silent)
    }

    /// Records that an agent did not answer in time. It is asked again only to see whether it answers.
    pub(super) fn mark_silent(&mut self, now: Time, runner: &str) {
        if let Some(agent) = self.find(runner)
            && !agent.silent
        {
            let before = agent.silent_at.replace(now);
            agent.doubted = before.is_some_and(|at| now < at.after(DOUBT_PERIOD));
            agent.silent = true;
            agent.probed_at = now;
            agent.probe = None;
        }
    }

    /// Records that an agent has answered the ask with this number.
    pub(super) fn mark_answering(&mut self, now: Time, runner: &str, id: u64) {
        if let Some(agent) = self.find(runner) {
            let in_time = agent.probe == Some(id) && now < agent.probed_at.after(ANSWER_TIMEOUT);
            agent.silent &= agent.doubted && !in_time;
        }
    }

    /// Returns the silent agents that are to be asked again now, with an ask of this number.
    pub(super) fn due_probes(&mut self, now: Time, id: u64) -> Vec<Name> {
        let due = self
            .agents
            .iter_mut()
            .filter(|agent| agent.silent && now >= agent.probed_at.after(PROBE_INTERVAL));
        due.map(|agent| {
            agent.probed_at = now;
            agent.probe = Some(id);
            agent.runner.clone()
        })
        .collect()
    }

    fn find(&mut self, runner: &str) -> Option<&mut Agent> {
        let mut agents = self.agents.iter_mut();
        agents.find(|agent| &*agent.runner == runner)
    }
}
