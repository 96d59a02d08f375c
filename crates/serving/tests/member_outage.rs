//! Guards against losing live runners with an outage of the store, and against keeping gone ones.

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
        addr: "10.0.0.1:80".parse().expect("an address"),
        domain: "z".into(),
        slots: 4,
        phase: Phase::Ready,
        models: Vec::new(),
        adapters: Vec::new(),
        born,
    }
}

fn names(members: &Members) -> Vec<String> {
    let mut names: Vec<String> = members.iter().map(|member| member.id.to_string()).collect();
    names.sort();
    names
}

fn known() -> Members {
    let mut members = Members::default();
    members.store_answered(Time::from_ms(0));
    members.apply_snapshot(Time::from_ms(0), vec![member("a", 1), member("b", 1)]);
    members
}

#[test]
fn removal_in_calm_times_counts_at_once() {
    let mut members = known();
    let change = members.apply_removal(Time::from_ms(5), &Name::from("a"));
    assert_eq!(change, Some(Change::Gone("a".into())));
    assert_eq!(names(&members), ["b"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_have_two_seconds_to_return() {
    let mut members = known();
    members.store_lost();
    assert!(members.expire(Time::from_ms(60_000)).is_empty());
    members.store_answered(Time::from_ms(60_000));
    assert!(
        members
            .apply_snapshot(Time::from_ms(60_000), vec![member("b", 1)])
            .is_empty()
    );
    assert!(members.expire(Time::from_ms(61_900)).is_empty());
    assert_eq!(names(&members), ["a", "b"]);
    let gone = members.expire(Time::from_ms(62_000));
    assert_eq!(gone, [Change::Gone("a".into())]);
}

#[test]
fn returned_entry_is_not_dropped_afterwards() {
    let mut members = known();
    members.store_lost();
    members.store_answered(Time::from_ms(10_000));
    members.apply_snapshot(Time::from_ms(10_000), Vec::new());
    members.apply_write(member("a", 1));
    let gone = members.expire(Time::from_ms(12_100));
    assert_eq!(gone, [Change::Gone("b".into())]);
    assert_eq!(names(&members), ["a"]);
}

#[test]
fn entry_of_an_older_incarnation_changes_nothing() {
    let mut members = known();
    assert!(members.apply_write(member("a", 7)).is_some());
    assert_eq!(members.apply_write(member("a", 3)), None);
    assert_eq!(
        members.iter().find(|m| &*m.id == "a").map(|m| m.born),
        Some(7)
    );
}
