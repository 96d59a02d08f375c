//! The membership list of runners, kept through outages of the store that holds it.
//!
//! Invariants: a record that may have expired during an outage of the store is kept for
//! [`RETURN_GRACE`] after the outage, but never beyond the bound within which an entry must be up to
//! date with a store that it reaches again; if it is still missing then, its runner is removed. An
//! older incarnation never replaces a newer one with the same identifier; a record that a copy of the
//! store brings back after its removal names no runner to use until it is written again or stays; the
//! number of remembered removals is bounded.

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

use crate::Name;
use crate::runner::Member;
use crate::runner::Phase;

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

/// How long a removed record that a copy of the store brings back is not used. The store removes it
/// again within three heartbeats unless its runner lives.
pub const RETURNED_RECORD_PERIOD: Duration = Duration::from_millis(6_000);
/// The most removed records that are remembered; the oldest is forgotten first.
const MAX_REMOVED: usize = 1_024;

/// How much of the membership table has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// The changes since the last read.
    Changes,
    /// All records.
    All,
    /// All records, for the first time since the store came back from a copy.
    Copy,
}

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

/// A record that was removed.
#[derive(Debug)]
struct Removed {
    id: Name,
    born: u64,
    /// The last phase of the runner.
    phase: Phase,
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
    /// The records that were removed, the oldest first.
    removed: VecDeque<Removed>,
    /// Removed records that a copy of the store has brought back, and from when they count.
    returned: Map<Name, (Member, Time)>,
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
            removed: VecDeque::new(),
            returned: Map::default(),
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
    pub fn apply_write(&mut self, mut member: Member) -> Option<Change> {
        self.missing.remove(&member.id);
        self.returned.remove(&member.id);
        let known = self.members.get(&member.id);
        // A copy of the store may have the record of before the drain.
        let same = known.filter(|known| known.born == member.born);
        let removed = self.removal(&member).map(|removed| removed.phase);
        if same.map(|known| known.phase).or(removed) == Some(Phase::Draining) {
            member.phase = Phase::Draining;
        }
        if known.is_some_and(|known| known.born > member.born || *known == member) {
            return None;
        }
        self.members.insert(member.id.clone(), member.clone());
        Some(Change::Present(member))
    }

    /// Applies the removal of a record, or a record that cannot be decoded. Returns `None` if the
    /// runner is unknown or is kept for [`RETURN_GRACE`].
    pub fn apply_removal(&mut self, now: Time, id: &Name) -> Option<Change> {
        self.returned.remove(id);
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
        let absent = self.absent(&records);
        if !self.has_dropped(absent.len()) {
            self.kept_until = now;
        }
        self.replace_records(now, records, &absent)
    }

    /// Applies the complete list of records after the store has come back from a copy. Live runners that
    /// the copy does not have write their records again, and runners that have left since are back in
    /// it for a while.
    pub fn apply_copy(&mut self, now: Time, records: Vec<Member>) -> Vec<Change> {
        // The store may have been back since its last answer.
        let back_at = self.lost_at.take().unwrap_or(self.answered_at);
        let bound = back_at.after(self.contact.saturating_sub(CONTACT_MARGIN));
        self.kept_until = now.after(RETURN_GRACE).min(bound);
        self.answered_at = now;
        let counts_from = now.after(RETURNED_RECORD_PERIOD);
        for member in &records {
            let is_removed = self.removal(member).is_some();
            if is_removed && !self.members.contains_key(&member.id) {
                let returned = (member.clone(), counts_from);
                self.returned.insert(member.id.clone(), returned);
            }
        }
        let absent = self.absent(&records);
        self.replace_records(now, records, &absent)
    }

    fn absent(&self, records: &[Member]) -> Vec<Name> {
        let present: Set<&Name> = records.iter().map(|member| &member.id).collect();
        let known = self.members.keys().chain(self.returned.keys());
        known.filter(|id| !present.contains(id)).cloned().collect()
    }

    fn replace_records(&mut self, now: Time, records: Vec<Member>, absent: &[Name]) -> Vec<Change> {
        let mut changes = Vec::new();
        for member in records {
            let returned = self.returned.get(&member.id);
            if returned.is_none_or(|(returned, _)| returned.born != member.born) {
                changes.extend(self.apply_write(member));
            }
        }
        changes.extend(absent.iter().filter_map(|id| self.apply_removal(now, id)));
        changes
    }

    /// Removes the runners whose records are still missing when they are no longer kept, and takes the
    /// returned records that have stayed.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.lost_at.is_some() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if now >= self.kept_until {
            let expired: Vec<Name> = self.missing.iter().cloned().collect();
            changes.extend(expired.iter().filter_map(|id| self.remove(id)));
        }
        let stayed = self.returned.values().filter(|(_, from)| now >= *from);
        let stayed: Vec<Member> = stayed.map(|(member, _)| member.clone()).collect();
        changes.extend(stayed.into_iter().filter_map(|m| self.apply_write(m)));
        changes
    }

    /// Returns when [`Members::expire`] changes something; `None` if nothing is pending, or while the
    /// store does not answer.
    pub fn next_expiry(&self) -> Option<Time> {
        if self.lost_at.is_some() {
            return None;
        }
        let missing = (!self.missing.is_empty()).then_some(self.kept_until);
        let returned = self.returned.values().map(|(_, from)| *from);
        missing.into_iter().chain(returned).min()
    }

    /// Returns the number of runners whose records are missing.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Returns the number of removed records that a copy of the store has brought back.
    pub fn returned_count(&self) -> usize {
        self.returned.len()
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
        let member = self.members.remove(id)?;
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(Removed {
            id: id.clone(),
            born: member.born,
            phase: member.phase,
        });
        Some(Change::Gone(id.clone()))
    }

    /// Returns the last removal of this incarnation's record, if there was one.
    fn removal(&self, member: &Member) -> Option<&Removed> {
        let mut removed = self.removed.iter().rev();
        removed.find(|removed| removed.id == member.id && removed.born == member.born)
    }
}
