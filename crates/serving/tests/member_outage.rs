//! Guards against removing live runners because of a store outage, and against keeping those that
//! have left.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::members::Change;
use serving::members::Members;
use serving::runner::Member;
use serving::runner::Phase;

fn member(id: &str, born: u64) -> Member {
    Member {
        id: id.into(),
        service: "chat".into(),
        addr: "10.0.0.1:80".parse().expect("valid address"),
        domain: "z".into(),
        slots: 4,
        phase: Phase::Ready,
        models: Vec::new(),
        adapters: Vec::new(),
        born,
    }
}

/// The bound after which an entry that can reach the store again has to be up to date with it.
const CONTACT: Duration = Duration::from_millis(3_000);

fn ids(members: &Members) -> Vec<String> {
    let mut ids: Vec<String> = members.iter().map(|member| member.id.to_string()).collect();
    ids.sort();
    ids
}

/// Returns a membership list with the runners `a` and `b` and no outage so far.
fn members_a_and_b() -> Members {
    let mut members = Members::new(CONTACT);
    members.store_answered(Time::from_ms(0));
    members.apply_snapshot(Time::from_ms(0), vec![member("a", 1), member("b", 1)]);
    members
}

/// Returns a membership list with the runners `r0` to `r7`, as it was read at the time 0.
fn members_eight() -> Members {
    let mut members = Members::new(CONTACT);
    members.store_answered(Time::from_ms(0));
    members.apply_snapshot(Time::from_ms(0), records(0..8));
    members
}

fn records(numbers: std::ops::Range<u32>) -> Vec<Member> {
    numbers
        .map(|number| member(&format!("r{number}"), 1))
        .collect()
}

#[test]
fn removal_without_an_outage_takes_effect_immediately() {
    let mut members = members_a_and_b();
    let change = members.apply_removal(Time::from_ms(5), &Name::from("a"));
    assert_eq!(change, Some(Change::Gone("a".into())));
    assert_eq!(ids(&members), ["b"]);
}

#[test]
fn records_that_expired_in_an_outage_are_kept_for_two_seconds() {
    let mut members = members_a_and_b();
    members.store_lost(Time::from_ms(59_900));
    assert!(members.expire(Time::from_ms(60_000)).is_empty());
    members.store_answered(Time::from_ms(60_000));
    assert!(
        members
            .apply_snapshot(Time::from_ms(60_000), vec![member("b", 1)])
            .is_empty()
    );
    assert!(members.expire(Time::from_ms(61_900)).is_empty());
    assert_eq!(ids(&members), ["a", "b"]);
    let gone = members.expire(Time::from_ms(62_000));
    assert_eq!(gone, [Change::Gone("a".into())]);
}

#[test]
fn record_written_again_after_an_outage_is_kept() {
    let mut members = members_a_and_b();
    members.store_lost(Time::from_ms(9_900));
    members.store_answered(Time::from_ms(10_000));
    members.apply_snapshot(Time::from_ms(10_000), Vec::new());
    members.apply_write(member("a", 1));
    let gone = members.expire(Time::from_ms(12_100));
    assert_eq!(gone, [Change::Gone("b".into())]);
    assert_eq!(ids(&members), ["a"]);
}

#[test]
fn record_of_an_older_incarnation_is_ignored() {
    let mut members = members_a_and_b();
    assert!(members.apply_write(member("a", 7)).is_some());
    assert_eq!(members.apply_write(member("a", 3)), None);
    assert_eq!(
        members.iter().find(|m| &*m.id == "a").map(|m| m.born),
        Some(7)
    );
}

/// Guards against requests to a runner that left while the entry alone could not read the store: one
/// failed read is no outage that expires records.
#[test]
fn removal_beside_a_short_loss_takes_effect_immediately() {
    let mut members = members_eight();
    members.store_lost(Time::from_ms(900));
    members.store_answered(Time::from_ms(1_000));
    let gone = members.apply_snapshot(Time::from_ms(1_000), records(1..8));
    assert_eq!(gone, [Change::Gone("r0".into())]);
    let gone = members.apply_removal(Time::from_ms(1_100), &Name::from("r1"));
    assert_eq!(gone, Some(Change::Gone("r1".into())));
}

/// Guards against removing all runners when the store has dropped their records in a moment's outage.
#[test]
fn records_that_are_missing_together_are_kept_after_a_short_loss() {
    let mut members = members_eight();
    members.store_lost(Time::from_ms(900));
    members.store_answered(Time::from_ms(1_000));
    assert!(
        members
            .apply_snapshot(Time::from_ms(1_000), records(4..8))
            .is_empty()
    );
    assert_eq!(members.iter().count(), 8);
    assert_eq!(members.expire(Time::from_ms(3_000)).len(), 4);
}

/// Guards against requests to a runner that left, after the bound for an entry that reaches the store
/// again. A call that failed late shows that the store may have been back since the call began.
#[test]
fn missing_records_are_not_kept_beyond_the_contact_bound() {
    let mut members = members_eight();
    let failed_at = Time::from_ms(10_000);
    members.store_lost(failed_at);
    let answered_at = Time::from_ms(12_750);
    members.store_answered(answered_at);
    assert!(
        members
            .apply_snapshot(answered_at, records(1..8))
            .is_empty()
    );
    let due = members.next_expiry().expect("a record is missing");
    assert!(due < failed_at.after(CONTACT), "kept until {due:?}");
    assert!(members.expire(Time(due.0 - 1)).is_empty());
    assert_eq!(members.expire(due), [Change::Gone("r0".into())]);
    assert_eq!(members.next_expiry(), None);
}
