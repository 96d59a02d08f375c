//! The membership list of runners, kept through outages of the store that holds it.
//!
//! Invariants: a record that expired during an outage of the store is kept for [`RETURN_GRACE`]
//! after the outage; if it is still missing then, its runner is removed. An older incarnation never
//! replaces a newer one with the same identifier.

use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

use crate::Name;
use crate::runner::Member;

/// Time after an outage of the store in which missing records are kept. Live runners write their
/// records again within about 2 s of the end of an outage.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// A change of the membership list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A runner joined, restarted or changed its record.
    Present(Member),
    /// The runner with this identifier was removed.
    Gone(Name),
}

/// The membership list as one entry process knows it.
#[derive(Debug, Default)]
pub struct Members {
    members: Map<Name, Member>,
    /// Runners whose records are missing since an outage, with the time at which that was seen.
    missing: Map<Name, Time>,
    store_down: bool,
    /// The end of the last outage of the store.
    store_back_at: Option<Time>,
}

impl Members {
    /// Records that the store did not answer.
    pub fn store_lost(&mut self) {
        self.store_down = true;
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now: Time) {
        if self.store_down {
            self.store_down = false;
            self.store_back_at = Some(now);
        }
    }

    /// Applies a record that was written. Returns `None` if the record is unchanged or belongs to
    /// an older incarnation than the known one.
    pub fn apply_write(&mut self, member: Member) -> Option<Change> {
        self.missing.remove(&member.id);
        let known = self.members.get(&member.id);
        if known.is_some_and(|known| known.born > member.born || *known == member) {
            return None;
        }
        self.members.insert(member.id.clone(), member.clone());
        Some(Change::Present(member))
    }

    /// Applies the removal of a record, or a record that cannot be decoded. Returns `None` if the
    /// runner is unknown or is kept for [`RETURN_GRACE`].
    pub fn apply_removal(&mut self, now: Time, id: &Name) -> Option<Change> {
        if !self.members.contains_key(id) {
            return None;
        }
        if self.in_return_grace(now) {
            self.missing.entry(id.clone()).or_insert(now);
            return None;
        }
        self.remove(id)
    }

    /// Applies the complete list of records.
    pub fn apply_snapshot(&mut self, now: Time, records: Vec<Member>) -> Vec<Change> {
        let present: Set<Name> = records.iter().map(|member| member.id.clone()).collect();
        let absent: Vec<Name> = self
            .members
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        let mut changes: Vec<Change> = records
            .into_iter()
            .filter_map(|member| self.apply_write(member))
            .collect();
        changes.extend(absent.iter().filter_map(|id| self.apply_removal(now, id)));
        changes
    }

    /// Removes the runners whose records are still missing after [`RETURN_GRACE`]. It must be
    /// called periodically.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.store_down || self.in_return_grace(now) {
            return Vec::new();
        }
        let expired: Vec<Name> = self.missing.keys().cloned().collect();
        expired.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the runners of the membership list.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    fn in_return_grace(&self, now: Time) -> bool {
        self.store_back_at
            .is_some_and(|back_at| now < back_at.after(RETURN_GRACE))
    }

    fn remove(&mut self, id: &Name) -> Option<Change> {
        self.missing.remove(id);
        self.members.remove(id)?;
        Some(Change::Gone(id.clone()))
    }
}
