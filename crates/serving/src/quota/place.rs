//! Where the part of a limit is that belongs to one account.
//!
//! Each entry has an equal part of a tenant's limit. An agent fills its bucket by the parts of the entries that
//! are with it, each for a term that both know: it ends a fixed time after the answer that the entry's last ask
//! names. An entry turns to another agent only when its term at the one before has ended, so that all agents
//! together never grant more than the limit, whatever messages are lost or late.
//!
//! Invariant: the time until which an agent may count the part, by the agent's clock, is never after
//! [`Place::bound_until`] by the entry's, as the answer that it counts from was sent before it was received.

use std::time::Duration;

use decision::time::Time;

use crate::Name;

/// An answer of an agent, which the next ask names.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// When the agent sent it, by the agent's clock.
    sent: u64,
    received_at: Time,
    /// Whether an ask has named it.
    named: bool,
}

/// The agent that may count an account's part, and until when.
#[derive(Debug, Default)]
pub(super) struct Place {
    /// The agent that was last asked.
    agent: Option<Name>,
    /// Its last answer; `None` if it has not answered, or keeps no terms.
    stamp: Option<Stamp>,
    bound_until: Time,
    /// The last term.
    term: Duration,
}

impl Place {
    pub(super) fn agent(&self) -> Option<&Name> {
        self.agent.as_ref()
    }

    pub(super) fn is_at(&self, agent: &Name) -> bool {
        self.agent.as_ref() == Some(agent)
    }

    /// Returns the last term.
    pub(super) fn term(&self) -> Duration {
        self.term
    }

    /// Returns until when the agent that was last asked may count the part.
    pub(super) fn bound_until(&self) -> Time {
        self.bound_until
    }

    /// Returns whether no agent counts the part any more.
    pub(super) fn is_free(&self, now: Time) -> bool {
        now >= self.bound_until
    }

    /// Turns to another agent, which does not count the part before it has answered once.
    pub(super) fn move_to(&mut self, agent: Name) {
        *self = Place {
            agent: Some(agent),
            ..Place::default()
        };
    }

    /// Records that an ask with this term is sent; returns the answer that it names, 0 for none.
    pub(super) fn name_stamp(&mut self, term: Duration) -> u64 {
        let Some(stamp) = &mut self.stamp else {
            return 0;
        };
        stamp.named = true;
        self.term = term;
        let end = stamp.received_at.after(term);
        self.bound_until = self.bound_until.max(end);
        stamp.sent
    }

    /// Records an answer of the agent that was last asked; returns whether it is its first one.
    pub(super) fn record_answer(&mut self, now: Time, sent: u64) -> bool {
        if sent == 0 {
            return false;
        }
        let stamp = Stamp {
            sent,
            received_at: now,
            named: false,
        };
        self.stamp.replace(stamp).is_none()
    }

    /// Returns whether the agent does not count the part yet, though it has answered.
    pub(super) fn needs_ask(&self, now: Time) -> bool {
        self.is_free(now) && self.stamp.is_some_and(|stamp| !stamp.named)
    }

    /// Returns whether the agent keeps terms.
    pub(super) fn has_term(&self) -> bool {
        self.stamp.is_some()
    }

    /// Records that the agent does not count the part any more: it has said so, or its end of the link is closed.
    pub(super) fn leave(&mut self) {
        *self = Place::default();
    }

    /// Records that the link to the agent has ended, which the agent may not know.
    pub(super) fn lose_link(&mut self) {
        self.stamp = None;
    }
}
