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
/// For how long an older incarnation must write its record before it counts in place of a newer one, which does
/// not write. A write that was delayed comes once.
const OLDER_PERIOD: Duration = Duration::from_millis(2_000);
/// The most names in the records of unnamed services that are kept.
const MAX_UNNAMED_NAMES: usize = 50_000;

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
    /// The runner has written its record again, without a change.
    Renewed(Name),
    /// The runner with this identifier was removed.
    Gone(Name),
    /// The record names no runner to use, so that one which had its identifier is gone.
    Unused(UnusedRecord),
}

/// A record of a service that the configuration does not name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusedRecord {
    /// The identifier of the runner.
    pub id: Name,
    /// The service.
    pub service: Name,
    /// Whether it is kept until its service is named; if not, all records are to be read again then.
    pub kept: bool,
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
    /// The services of the configuration; `None` until it is known, when each service counts.
    services: Option<Set<Name>>,
    /// The records of other services.
    unnamed: Map<Name, Member>,
    /// The number of names in them.
    unnamed_names: usize,
    /// Whether records were left out of them.
    is_incomplete: bool,
    /// Whether one that was left out may be of a service that was named since.
    rereads: bool,
    /// The older incarnations that write their records though a newer one is known, and since when.
    older: Map<Name, (u64, Time)>,
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
            services: None,
            unnamed: Map::default(),
            unnamed_names: 0,
            is_incomplete: false,
            rereads: false,
            older: Map::default(),
        }
    }

    /// Sets the services of the configuration in force; returns the runners of those that are new.
    pub fn set_services(&mut self, services: &Set<Name>) -> Vec<Change> {
        let known = self.services.replace(services.clone());
        let is_new = |service| known.as_ref().is_some_and(|known| !known.contains(service));
        self.rereads |= self.is_incomplete && services.iter().any(is_new);
        let named = self.unnamed.values().filter(|m| self.is_named(&m.service));
        let named: Vec<Member> = named.cloned().collect();
        let changes = named.into_iter().filter_map(|m| self.apply_write(m));
        changes.collect()
    }

    /// Returns whether all records are to be read again: a service is new, and records were left out that may name
    /// it.
    pub fn needs_reread(&self) -> bool {
        self.rereads
    }

    fn is_named(&self, service: &Name) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
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
        let was_unnamed = self.remove_unnamed(&member.id);
        let known = self.members.get(&member.id);
        // A runner whose service is dropped stays known, as the service may come back.
        let is_used = known.is_some_and(|known| known.service == member.service);
        if !is_used && !self.is_named(&member.service) {
            return self.set_aside(member, was_unnamed.as_ref());
        }
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

    /// Keeps a record of an unnamed service, if there is room, in place of that of the runner with this identifier.
    fn set_aside(&mut self, member: Member, before: Option<&Member>) -> Option<Change> {
        let is_new = before != Some(&member);
        let unused = UnusedRecord {
            id: member.id.clone(),
            service: member.service.clone(),
            kept: self.unnamed_names + name_count(&member) <= MAX_UNNAMED_NAMES,
        };
        if unused.kept {
            self.unnamed_names += name_count(&member);
            self.unnamed.insert(member.id.clone(), member);
        }
        self.is_incomplete |= !unused.kept;
        let was_used = self.members.remove(&unused.id).is_some();
        (was_used || is_new).then_some(Change::Unused(unused))
    }

    fn remove_unnamed(&mut self, id: &Name) -> Option<Member> {
        let member = self.unnamed.remove(id)?;
        self.unnamed_names -= name_count(&member);
        Some(member)
    }

    /// Applies a changed row in the order in which it was written: the runner lives that has written it.
    fn apply_written_row(&mut self, now: Time, member: Member) -> Option<Change> {
        let (id, born) = (member.id.clone(), member.born);
        let known = self.members.get(&id);
        let is_older = known.is_some_and(|known| known.born > born);
        let is_renewal = known.is_some_and(|known| known.born == born);
        if is_older && self.is_named(&member.service) {
            let (older, since) = self.older.get(&id).copied().unwrap_or((born, now));
            if older != born || now < since.after(OLDER_PERIOD) {
                let since = if older == born { since } else { now };
                self.older.insert(id, (born, since));
                return None;
            }
            // Nothing of the newer one remains, such as its drain.
            self.members.remove(&id);
        }
        self.older.remove(&id);
        let change = self.apply_write(member);
        change.or(is_renewal.then_some(Change::Renewed(id)))
    }

    /// Applies the removal of a record, or a record that cannot be decoded. Returns `None` if the
    /// runner is unknown or is kept for [`RETURN_GRACE`].
    pub fn apply_removal(&mut self, now: Time, id: &Name) -> Option<Change> {
        self.returned.remove(id);
        self.remove_unnamed(id);
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
            MemberRow::Written(member) => self.apply_written_row(now, member),
            MemberRow::Removed(id) => self.apply_removal(now, &id),
        });
        changes.collect()
    }

    /// Applies the complete list of records.
    pub fn apply_snapshot(&mut self, now: Time, records: Vec<Member>) -> Vec<Change> {
        self.forget_unnamed(&records);
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
        self.forget_unnamed(&records);
        let absent = self.absent(&records);
        self.replace_records(now, records, &absent)
    }

    /// Drops the records of unnamed services that are not in the complete list.
    fn forget_unnamed(&mut self, records: &[Member]) {
        let present: Set<&Name> = records.iter().map(|member| &member.id).collect();
        self.unnamed.retain(|id, _| present.contains(id));
        self.unnamed_names = self.unnamed.values().map(name_count).sum();
        self.is_incomplete = false;
        self.rereads = false;
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

    /// Returns the number of kept records of services that the configuration does not name.
    pub fn unnamed_count(&self) -> usize {
        self.unnamed.len()
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
        self.older.remove(id);
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

/// Returns the number of names in a record, by which its size is bounded.
fn name_count(member: &Member) -> usize {
    1 + member.models.len() + member.adapters.len()
}
