//! Guards against removing live runners because of a store outage, and against keeping dead ones.

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

fn ids(members: &Members) -> Vec<String> {
    let mut ids: Vec<String> = members.iter().map(|member| member.id.to_string()).collect();
    ids.sort();
    ids
}

/// Returns a membership list with the runners `a` and `b` and no outage so far.
fn members_a_and_b() -> Members {
    let mut members = Members::default();
    members.store_answered(Time::from_ms(0));
    members.apply_snapshot(Time::from_ms(0), vec![member("a", 1), member("b", 1)]);
    members
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
    members.store_lost();
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
    members.store_lost();
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
