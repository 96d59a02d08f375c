//! Stop and drain: what is refused, what is waited for, when the process may leave.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::time::Time;

/// The interval at which a draining agent logs what it waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why an agent takes no new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The endpoint object says so; the process stays.
    #[display("endpoint is draining")]
    Config,
    /// The instance is leaving.
    #[display("instance is leaving")]
    Leaving,
    /// The process got a termination signal.
    #[display("termination signal")]
    Signal,
}

const REASONS: [Reason; 3] = [Reason::Config, Reason::Leaving, Reason::Signal];

/// What is still in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Remaining {
    /// Queued jobs.
    pub queued: usize,
    /// Jobs at the engine.
    pub running: usize,
    /// Loads and unloads in progress.
    pub commands: usize,
    /// Outcomes that are not in their claim row yet.
    pub writes: usize,
}

impl Remaining {
    /// Returns whether nothing is in progress.
    pub fn is_empty(&self) -> bool {
        *self == Remaining::default()
    }
}

/// What a stopping agent does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Nothing.
    Nothing,
    /// Log what is waited for.
    Log,
    /// Release the lease.
    ReleaseLease,
    /// Exit the process; the lease is released.
    Exit,
}

/// The reasons for which an agent takes no new work.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    since: [Option<Time>; 3],
    logged: Option<Time>,
    releasing: bool,
}

impl Drain {
    /// Sets or clears a reason. A signal is never cleared, and nothing is cleared once the lease is
    /// being released.
    pub fn set_reason(&mut self, now: Time, reason: Reason, on: bool) {
        let since = &mut self.since[reason as usize];
        if on {
            since.get_or_insert(now);
        } else if reason != Reason::Signal && !self.releasing {
            *since = None;
        }
    }

    /// Returns whether new work is refused.
    pub fn refuses(&self) -> bool {
        self.since.iter().any(Option::is_some)
    }

    /// Returns whether the process exits once it is idle.
    pub fn exits_when_idle(&self) -> bool {
        self.reasons().any(|(reason, _)| reason != Reason::Config)
    }

    /// Returns the reasons and the times from which they hold.
    pub fn reasons(&self) -> impl Iterator<Item = (Reason, Time)> {
        REASONS
            .into_iter()
            .filter_map(|reason| Some((reason, self.since[reason as usize]?)))
    }

    /// Returns the next step. The lease is released only when nothing is in progress, and the
    /// process leaves only when the lease is `released`.
    pub fn step(&mut self, now: Time, remaining: Remaining, released: bool) -> DrainStep {
        if !self.refuses() {
            self.logged = None;
            return DrainStep::Nothing;
        }
        if remaining.is_empty() && self.exits_when_idle() {
            if !self.releasing {
                self.releasing = true;
                return DrainStep::ReleaseLease;
            }
            if released {
                return DrainStep::Exit;
            }
        }
        let due = self
            .logged
            .is_none_or(|last| now.since(last) >= LOG_INTERVAL);
        if remaining.is_empty() || !due {
            return DrainStep::Nothing;
        }
        self.logged = Some(now);
        DrainStep::Log
    }
}
