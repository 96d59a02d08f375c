//! The membership list of runners, kept through outages of the store that holds it.
//!
//! Invariants: a record that may have expired during an outage of the store is kept for
//! [`RETURN_GRACE`] after the outage, but never beyond the bound within which an entry must be up to
//! date with a store that it reaches again; if it is still missing then, its runner is removed. An
//! older incarnation never replaces a newer one with the same identifier.

use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

use crate::Name;
use crate::runner::Member;

/// Time after an outage of the store in which missing records are kept. Live runners write their
/// records again within about 2 s of the end of an outage.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_000);
/// How long before the contact bound a record is no longer kept.
const CONTACT_MARGIN: Duration = Duration::from_millis(100);
/// The shortest outage in which records expire: an expired record was not written for three
/// heartbeats.
const MIN_OUTAGE: Duration = Duration::from_millis(2_000);
/// The share of the records that are missing after a shorter outage from which the store is assumed
/// to have dropped them; single runners leave without an outage.
const DROPPED_SHARE: f64 = 0.34;

/// A change of the membership list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A runner joined, restarted or changed its record.
    Present(Member),
    /// The runner with this identifier was removed.
    Gone(Name),
}

/// A changed row of the membership table.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberRow {
    /// The record was written.
    Written(Member),
    /// The record of this runner was removed, or cannot be decoded.
    Removed(Name),
}

/// The membership list as one entry process knows it.
#[derive(Debug)]
pub struct Members {
    /// The time within which an entry must be up to date with a store that it reaches again.
    contact: Duration,
    members: Map<Name, Member>,
    /// Runners whose records are missing since an outage.
    missing: Set<Name>,
    /// When the store last answered.
    answered_at: Time,
    /// When the last call without an answer began; `None` while the store answers.
    lost_at: Option<Time>,
    /// The length of the last outage, between two answers.
    outage: Duration,
    /// Until when missing records are kept.
    kept_until: Time,
}

impl Members {
    /// Creates an empty list. `contact` is the time within which an entry must be up to date with a
    /// store that it reaches again.
    pub fn new(contact: Duration) -> Self {
        Members {
            contact,
            members: Map::default(),
            missing: Set::default(),
            answered_at: Time::default(),
            lost_at: None,
            outage: Duration::ZERO,
            kept_until: Time::default(),
        }
    }

    /// Records that the store did not answer a call that began at `started_at`.
    pub fn store_lost(&mut self, started_at: Time) {
        self.lost_at = Some(started_at);
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now: Time) {
        if let Some(lost_at) = self.lost_at.take() {
            self.outage = now.since(self.answered_at);
            // The store may have been back since the failed call began.
            let bound = lost_at.after(self.contact.saturating_sub(CONTACT_MARGIN));
            self.kept_until = now.after(RETURN_GRACE).min(bound);
        }
        self.answered_at = now;
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
        if now < self.kept_until {
            self.missing.insert(id.clone());
            return None;
        }
        self.remove(id)
    }

    /// Applies changed rows in their order.
    pub fn apply_rows(&mut self, now: Time, rows: Vec<MemberRow>) -> Vec<Change> {
        let changes = rows.into_iter().filter_map(|row| match row {
            MemberRow::Written(member) => self.apply_write(member),
            MemberRow::Removed(id) => self.apply_removal(now, &id),
        });
        changes.collect()
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
        if !self.has_dropped(absent.len()) {
            self.kept_until = now;
        }
        let mut changes: Vec<Change> = records
            .into_iter()
            .filter_map(|member| self.apply_write(member))
            .collect();
        changes.extend(absent.iter().filter_map(|id| self.apply_removal(now, id)));
        changes
    }

    /// Removes the runners whose records are still missing when [`Members::next_expiry`] has come.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.next_expiry().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let expired: Vec<Name> = self.missing.iter().cloned().collect();
        expired.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns when missing records are no longer kept; `None` if none is missing, or while the store
    /// does not answer.
    pub fn next_expiry(&self) -> Option<Time> {
        let pending = self.lost_at.is_none() && !self.missing.is_empty();
        pending.then_some(self.kept_until)
    }

    /// Returns the number of runners whose records are missing.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Returns the runners of the membership list.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns whether the last outage may have expired `absent` records of live runners.
    fn has_dropped(&self, absent: usize) -> bool {
        let limit = self.members.len() as f64 * DROPPED_SHARE;
        self.outage >= MIN_OUTAGE || absent as f64 >= limit
    }

    fn remove(&mut self, id: &Name) -> Option<Change> {
        self.missing.remove(id);
        self.members.remove(id)?;
        Some(Change::Gone(id.clone()))
    }
}
