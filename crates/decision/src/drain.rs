//! Draining and graceful shutdown: when an agent refuses work, what it waits for and when it exits.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::time::Time;

/// Interval at which a draining agent logs the remaining work.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The reason why an agent accepts no new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The endpoint object is marked as draining; the process keeps running.
    #[display("endpoint is draining")]
    Config,
    /// The instance list shows the instance as leaving.
    #[display("instance is leaving")]
    Leaving,
    /// The process received a termination signal.
    #[display("termination signal")]
    Signal,
}

const REASONS: [Reason; 3] = [Reason::Config, Reason::Leaving, Reason::Signal];

/// The work that is still in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Remaining {
    /// Number of queued jobs.
    pub queued: usize,
    /// Number of jobs submitted to the engine.
    pub running: usize,
    /// Number of loads and unloads in progress.
    pub commands: usize,
    /// Number of outcomes not yet written to their claim rows.
    pub writes: usize,
}

impl Remaining {
    /// Returns whether no work is in progress.
    pub fn is_empty(&self) -> bool {
        *self == Remaining::default()
    }
}

/// The next step of a draining agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Do nothing for now.
    Nothing,
    /// Log the remaining work.
    Log,
    /// Release the lease; no work is in progress.
    ReleaseLease,
    /// Exit the process; no work is in progress and the lease is released.
    Exit,
}

/// The drain state of an agent.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    since: [Option<Time>; 3],
    last_log: Option<Time>,
    releasing_lease: bool,
}

impl Drain {
    /// Sets a reason if `active`, else clears it. A signal is never cleared, and no reason is
    /// cleared once the lease is being released.
    pub fn set_reason(&mut self, now: Time, reason: Reason, active: bool) {
        let since = &mut self.since[reason as usize];
        if active {
            since.get_or_insert(now);
        } else if reason != Reason::Signal && !self.releasing_lease {
            *since = None;
        }
    }

    /// Returns whether the agent refuses new work.
    pub fn refuses(&self) -> bool {
        self.since.iter().any(Option::is_some)
    }

    /// Returns whether the process exits once no work is in progress.
    pub fn exits_when_idle(&self) -> bool {
        self.reasons().any(|(reason, _)| reason != Reason::Config)
    }

    /// Returns the active reasons, each with the time since which it has been active.
    pub fn reasons(&self) -> impl Iterator<Item = (Reason, Time)> {
        REASONS
            .into_iter()
            .filter_map(|reason| Some((reason, self.since[reason as usize]?)))
    }

    /// Returns the next step. The lease is released only when no work is in progress, and the
    /// process exits only when the lease is `released`.
    pub fn step(&mut self, now: Time, remaining: Remaining, released: bool) -> DrainStep {
        if !self.refuses() {
            self.last_log = None;
            return DrainStep::Nothing;
        }
        if remaining.is_empty() && self.exits_when_idle() {
            if !self.releasing_lease {
                self.releasing_lease = true;
                return DrainStep::ReleaseLease;
            }
            if released {
                return DrainStep::Exit;
            }
        }
        let due = self
            .last_log
            .is_none_or(|last| now.since(last) >= LOG_INTERVAL);
        if remaining.is_empty() || !due {
            return DrainStep::Nothing;
        }
        self.last_log = Some(now);
        DrainStep::Log
    }
}
