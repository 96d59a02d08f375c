//! What entries tell an agent of its runner: the identifier and the capacity of each incarnation.
//!
//! Invariants: only what was told of the incarnation that the runner itself reports has an effect, since an
//! entry may have read a record of another writer; what one link has told is forgotten with it, but for that of
//! the present incarnation.

use decision::collections::Map;

use crate::Name;
use crate::link::Capacity;
use crate::load_scheduler::LinkId;

/// An incarnation of the runner, as an entry knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ToldRunner {
    /// The identifier of the runner.
    pub runner: Name,
    /// The start of the incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// What the runner may hold.
    pub capacity: Capacity,
}

/// What all linked entries have told.
#[derive(Debug, Default)]
pub struct ToldRunners {
    links: Map<LinkId, ToldRunner>,
    /// The start of the incarnation that the runner last reported.
    reported: Option<u64>,
    /// What was told of that incarnation.
    current: Option<ToldRunner>,
}

impl ToldRunners {
    /// Records what an entry has told; returns the capacity if it is that of the present incarnation.
    pub fn record(&mut self, link: LinkId, told: ToldRunner) -> Option<Capacity> {
        let capacity = (self.reported == Some(told.born)).then(|| {
            self.current = Some(told.clone());
            told.capacity.clone()
        });
        self.links.insert(link, told);
        capacity
    }

    /// Records the incarnation that the runner reports; returns its capacity if it is another one than before and an
    /// entry has told of it.
    pub fn report(&mut self, born: u64) -> Option<Capacity> {
        if self.reported == Some(born) {
            return None;
        }
        self.reported = Some(born);
        let mut told = self.links.values();
        self.current = told.find(|told| told.born == born).cloned();
        self.current.as_ref().map(|told| told.capacity.clone())
    }

    /// Forgets what an entry has told whose connection has ended.
    pub fn end_link(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Returns the identifier of an incarnation if it is the present one and an entry has told it.
    pub fn runner(&self, born: u64) -> Option<&Name> {
        let current = self.current.as_ref().filter(|told| told.born == born);
        current.map(|told| &told.runner)
    }

    /// Returns the number of entries. One that has read several records with the runner's address has a link for
    /// each.
    pub fn entry_count(&self) -> u32 {
        let mut counts: Map<&Name, u32> = Map::default();
        for told in self.links.values() {
            *counts.entry(&told.runner).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}
