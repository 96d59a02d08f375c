//! Which runners the platform's membership names, through outages of the store that keeps it.
//!
//! Invariants: an entry that lapsed while the store was away stays for [`RETURN_GRACE`] after the
//! store's return; after that a missing entry is gone. An older incarnation never replaces a newer
//! one under the same id.

use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

use crate::Name;
use crate::runner::Member;

/// Live runners write their entry again within about two seconds of the store's return.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// A change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A runner is new, started again or says something new of itself.
    Present(Member),
    /// A runner is gone.
    Gone(Name),
}

/// The membership as one entry knows it.
#[derive(Debug, Default)]
pub struct Members {
    live: Map<Name, Member>,
    missing: Map<Name, Time>,
    away: bool,
    returned: Option<Time>,
}

impl Members {
    /// Notes that the store did not answer.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// Notes an answer of the store.
    pub fn store_answered(&mut self, now: Time) {
        if self.away {
            self.away = false;
            self.returned = Some(now);
        }
    }

    /// Applies one entry that was written.
    pub fn apply_write(&mut self, member: Member) -> Option<Change> {
        self.missing.remove(&member.id);
        let known = self.live.get(&member.id);
        if known.is_some_and(|known| known.born > member.born || *known == member) {
            return None;
        }
        self.live.insert(member.id.clone(), member.clone());
        Some(Change::Present(member))
    }

    /// Applies the removal of an entry, or one that cannot be read.
    pub fn apply_removal(&mut self, now: Time, id: &Name) -> Option<Change> {
        if !self.live.contains_key(id) {
            return None;
        }
        if self.in_grace(now) {
            self.missing.entry(id.clone()).or_insert(now);
            return None;
        }
        self.drop_member(id)
    }

    /// Applies all entries that exist at one moment.
    pub fn apply_snapshot(&mut self, now: Time, entries: Vec<Member>) -> Vec<Change> {
        let present: Set<Name> = entries.iter().map(|member| member.id.clone()).collect();
        let absent: Vec<Name> = self
            .live
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        let mut changes: Vec<Change> = entries
            .into_iter()
            .filter_map(|member| self.apply_write(member))
            .collect();
        changes.extend(absent.iter().filter_map(|id| self.apply_removal(now, id)));
        changes
    }

    /// Drops the entries that are still missing after the grace; call it now and then.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.away || self.in_grace(now) {
            return Vec::new();
        }
        let late: Vec<Name> = self.missing.keys().cloned().collect();
        late.iter().filter_map(|id| self.drop_member(id)).collect()
    }

    /// Returns the live runners.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.live.values()
    }

    fn in_grace(&self, now: Time) -> bool {
        self.returned
            .is_some_and(|returned| now < returned.after(RETURN_GRACE))
    }

    fn drop_member(&mut self, id: &Name) -> Option<Change> {
        self.missing.remove(id);
        self.live.remove(id)?;
        Some(Change::Gone(id.clone()))
    }
}
