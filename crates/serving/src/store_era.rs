//! Tells from the answers of the platform's store whether it has come back from a copy of its rows.
//!
//! The store names an era in its answers. The era rises when the store comes back from a copy: the
//! latest changes are then lost, and their versions are given out again, so that what was read in one
//! era cannot be compared with, or continued in, another one.
//!
//! Invariants: the number of restores never falls; a delayed answer of before a
//! restore is not taken for one of after it.
//!
//! API boundary: one tracker per process records every answer of the store.

use std::time::Duration;

use decision::time::Time;
use derive_more::Display;

/// The era that the store names in an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

/// The number of restores that this process has seen. What was read under one number fits
/// together.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestoreCount(pub u64);

/// What an answer says of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The answer belongs to the known era, or names none.
    None,
    /// The store has come back from a copy since this era.
    Restored(Era),
    /// The answer was given before the last restore and says nothing of the present rows.
    Outdated,
}

/// The era of the store, as the answers of all calls tell.
#[derive(Debug, Default)]
pub struct EraTracker {
    /// The last known era, and when an answer first named it; `None` until an answer names one.
    current: Option<(Era, Time)>,
    restores: RestoreCount,
    restored_at: Option<Time>,
}

impl EraTracker {
    /// Records the era of an answer at `now` to a call that began at `started_at`.
    ///
    /// Answers may overtake each other, so that a lower era is an old answer if its call began before
    /// the known era was seen. If it began later, the store has started to count anew.
    pub fn record(&mut self, started_at: Time, now: Time, era: Option<Era>) -> EraChange {
        let Some(era) = era else {
            return EraChange::None;
        };
        let Some((known, seen_at)) = self.current else {
            self.current = Some((era, now));
            return EraChange::None;
        };
        if era == known {
            return EraChange::None;
        }
        if era < known && started_at < seen_at {
            return EraChange::Outdated;
        }
        self.current = Some((era, now));
        self.restores = RestoreCount(self.restores.0 + 1);
        self.restored_at = Some(now);
        EraChange::Restored(known)
    }

    /// Returns the number of restores that were seen.
    pub fn restores(&self) -> RestoreCount {
        self.restores
    }

    /// Returns whether the last restore was seen at least `period` ago.
    pub fn is_settled(&self, now: Time, period: Duration) -> bool {
        self.restored_at.is_none_or(|at| now.since(at) >= period)
    }
}
