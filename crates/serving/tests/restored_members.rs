//! The membership after the store has come back from a copy. Guards against live runners that are
//! dropped because the copy does not have them, and against requests to runners that had left and are
//! back in it.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::members::Change;
use serving::members::MemberRow;
use serving::members::Members;
use serving::members::RETURN_GRACE;
use serving::members::RETURNED_RECORD_PERIOD;
use serving::runner::Member;
use serving::runner::Phase;

const CONTACT: Duration = Duration::from_millis(3_000);
const READ_AT: Time = Time::from_ms(10_000);
const RESTORED_AT: Time = Time::from_ms(10_900);

fn member(id: &str, born: u64, phase: Phase) -> Member {
    Member {
        id: id.into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "z".into(),
        slots: 4,
        phase,
        models: Vec::new(),
        adapters: Vec::new(),
        born,
    }
}

fn ready(id: &str) -> Member {
    member(id, 1, Phase::Ready)
}

/// Returns a membership of these runners, as read before the restore.
fn known(ids: &[&str]) -> Members {
    let mut members = Members::new(CONTACT);
    members.store_answered(READ_AT);
    members.apply_snapshot(READ_AT, ids.iter().map(|id| ready(id)).collect());
    members
}

fn ids(members: &Members) -> Vec<String> {
    let mut ids: Vec<String> = members.iter().map(|m| m.id.to_string()).collect();
    ids.sort();
    ids
}

/// Returns the membership after `gone` has left and a copy has brought back its record.
fn with_returned(gone: Phase) -> Members {
    let mut members = known(&["a", "b"]);
    members.apply_write(member("b", 1, gone));
    members.apply_removal(READ_AT, &Name::from("b"));
    let changes = members.apply_copy(RESTORED_AT, vec![ready("a"), ready("b")]);
    assert!(changes.is_empty(), "{changes:?}");
    members
}

#[test]
fn member_that_the_copy_lacks_is_kept_until_it_had_time_to_write_again() {
    let mut members = known(&["a", "b", "c", "d", "e"]);
    let copy = ["a", "b", "c", "d"].map(ready).to_vec();
    assert!(members.apply_copy(RESTORED_AT, copy).is_empty());
    assert_eq!(ids(&members).len(), 5);
    let due = members.next_expiry();
    assert_eq!(due, Some(RESTORED_AT.after(RETURN_GRACE)));
    let gone = members.expire(RESTORED_AT.after(RETURN_GRACE));
    assert_eq!(gone, [Change::Gone("e".into())]);
}

#[test]
fn member_that_writes_again_stays() {
    let mut members = known(&["a", "b"]);
    members.apply_copy(RESTORED_AT, vec![ready("a")]);
    members.apply_write(ready("b"));
    assert_eq!(members.next_expiry(), None);
    assert_eq!(ids(&members), ["a", "b"]);
}

#[test]
fn missing_member_is_not_kept_beyond_the_contact_bound() {
    let mut members = known(&["a", "b"]);
    members.apply_copy(Time::from_ms(12_500), vec![ready("a")]);
    assert_eq!(members.next_expiry(), Some(Time::from_ms(12_900)));
}

#[test]
fn member_that_only_the_copy_has_joins() {
    let mut members = known(&["a"]);
    let changes = members.apply_copy(RESTORED_AT, vec![ready("a"), ready("new")]);
    assert_eq!(changes, [Change::Present(ready("new"))]);
}

#[test]
fn returned_record_is_not_used_before_it_is_written_again() {
    let mut members = with_returned(Phase::Ready);
    assert_eq!(ids(&members), ["a"]);
    let changes = members.apply_rows(RESTORED_AT, vec![MemberRow::Written(ready("b"))]);
    assert_eq!(changes, [Change::Present(ready("b"))]);
    assert_eq!(members.next_expiry(), None);
}

#[test]
fn returned_record_that_the_store_drops_again_is_never_used() {
    let mut members = with_returned(Phase::Ready);
    let removed = MemberRow::Removed("b".into());
    assert!(members.apply_rows(RESTORED_AT, vec![removed]).is_empty());
    assert_eq!(members.next_expiry(), None);
    assert_eq!(ids(&members), ["a"]);
}

/// A live runner whose heartbeats leave its record as it is must not stay unused for ever.
#[test]
fn returned_record_that_stays_is_used() {
    let mut members = with_returned(Phase::Ready);
    let due = RESTORED_AT.after(RETURNED_RECORD_PERIOD);
    assert_eq!(members.next_expiry(), Some(due));
    assert_eq!(members.expire(due), [Change::Present(ready("b"))]);
}

#[test]
fn returned_record_stays_unused_through_another_full_read() {
    let mut members = with_returned(Phase::Ready);
    let later = RESTORED_AT.after(Duration::from_millis(500));
    let changes = members.apply_snapshot(later, vec![ready("a"), ready("b")]);
    assert!(changes.is_empty(), "{changes:?}");
    let changes = members.apply_snapshot(later, vec![ready("a")]);
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(members.returned_count(), 0);
}

#[test]
fn incarnation_that_had_drained_is_never_ready_again() {
    let mut members = with_returned(Phase::Draining);
    let changes = members.apply_rows(RESTORED_AT, vec![MemberRow::Written(ready("b"))]);
    assert_eq!(changes, [Change::Present(member("b", 1, Phase::Draining))]);
}

#[test]
fn next_incarnation_joins_at_once() {
    let mut members = known(&["a", "b"]);
    members.apply_removal(READ_AT, &Name::from("b"));
    let next = member("b", 2, Phase::Ready);
    let changes = members.apply_copy(RESTORED_AT, vec![ready("a"), next.clone()]);
    assert_eq!(changes, [Change::Present(next)]);
}

#[test]
fn draining_member_stays_so_although_the_copy_says_ready() {
    let mut members = known(&["a", "b"]);
    members.apply_write(member("b", 1, Phase::Draining));
    let changes = members.apply_copy(RESTORED_AT, vec![ready("a"), ready("b")]);
    assert!(changes.is_empty(), "{changes:?}");
    members.apply_removal(RESTORED_AT.after(CONTACT), &Name::from("b"));
    let changes = members.apply_rows(RESTORED_AT, vec![MemberRow::Written(ready("b"))]);
    assert_eq!(changes, [Change::Present(member("b", 1, Phase::Draining))]);
}
