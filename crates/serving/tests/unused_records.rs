//! Guards against records of services that the configuration does not name: they must change nothing, but not be
//! lost, since the service may be named later.

mod common;

use std::time::Duration;

use decision::collections::Set;
use decision::time::Time;
use serving::Name;
use serving::members::Change;
use serving::members::MemberRow;
use serving::members::Members;
use serving::runner::Member;
use serving::runner::Phase;
use serving::runner::VersionedAdapter;

const NOW: Time = Time::from_ms(1_000);
const CONTACT: Duration = Duration::from_millis(3_000);

fn after(ms: u64) -> Time {
    NOW.after(Duration::from_millis(ms))
}

fn named(services: &[&str]) -> Set<Name> {
    services.iter().map(|name| (*name).into()).collect()
}

/// Returns the list of an entry whose configuration names `chat`.
fn members() -> Members {
    let mut members = Members::new(CONTACT);
    members.store_answered(NOW);
    members.set_services(&named(&["chat"]));
    members
}

fn odd(id: &str, born: u64) -> Member {
    Member {
        service: "inventory".into(),
        phase: Phase::Draining,
        born,
        ..common::member(id)
    }
}

fn write(members: &mut Members, now: Time, member: Member) -> Vec<Change> {
    members.apply_rows(now, vec![MemberRow::Written(member)])
}

#[test]
fn record_is_used_when_its_service_is_named() {
    let mut members = members();
    let changes = write(&mut members, NOW, odd("r1", 1));
    assert!(
        matches!(&changes[..], [Change::Unused(unused)] if unused.kept),
        "{changes:?}"
    );
    assert_eq!(write(&mut members, NOW, odd("r1", 1)), [], "told once");
    assert_eq!(members.iter().count(), 0);
    let changes = members.set_services(&named(&["chat", "inventory"]));
    assert_eq!(changes, [Change::Present(odd("r1", 1))]);
    assert_eq!(members.unnamed_count(), 0);
    // The service is dropped and comes back; its runner has not left.
    assert_eq!(members.set_services(&named(&["chat"])), []);
    let changes = write(&mut members, NOW, odd("r1", 1));
    assert_eq!(changes, [Change::Renewed("r1".into())]);
    assert_eq!(members.iter().count(), 1);
}

#[test]
fn removed_record_is_forgotten() {
    let mut members = members();
    write(&mut members, NOW, odd("r1", 1));
    write(&mut members, NOW, odd("r2", 1));
    members.apply_rows(NOW, vec![MemberRow::Removed("r1".into())]);
    members.apply_snapshot(NOW, Vec::new());
    assert_eq!(members.unnamed_count(), 0);
    assert_eq!(members.set_services(&named(&["inventory"])), []);
}

/// The runner is gone until it writes its own record over the odd one, whatever start and phase that named.
#[test]
fn runner_overwrites_an_odd_record() {
    for born in [1, u64::MAX] {
        let mut members = members();
        write(&mut members, NOW, common::member("r1"));
        let changes = write(&mut members, NOW, odd("r1", born));
        assert!(matches!(&changes[..], [Change::Unused(_)]), "{changes:?}");
        let changes = write(&mut members, NOW, common::member("r1"));
        assert_eq!(changes, [Change::Present(common::member("r1"))]);
    }
}

/// A newer incarnation that does not write, while an older one does, is none.
#[test]
fn older_incarnation_that_writes_on_counts() {
    let mut members = members();
    write(&mut members, NOW, common::member("r1"));
    let newer = Member {
        born: u64::MAX,
        ..common::member("r1")
    };
    write(&mut members, NOW, newer.clone());
    // A write of the older one may have been delayed.
    assert_eq!(write(&mut members, after(100), common::member("r1")), []);
    assert_eq!(write(&mut members, after(1_300), common::member("r1")), []);
    let changes = write(&mut members, after(2_500), common::member("r1"));
    assert_eq!(changes, [Change::Present(common::member("r1"))]);

    // One that was written between two records of the newer one was delayed.
    write(&mut members, after(3_000), newer.clone());
    write(&mut members, after(4_000), common::member("r1"));
    write(&mut members, after(5_000), newer);
    assert_eq!(write(&mut members, after(6_500), common::member("r1")), []);
}

/// Records that are not kept must be read again when they may matter, and many must not fill the memory.
#[test]
fn records_beyond_the_bound_are_read_again() {
    let adapter = |index: u32| VersionedAdapter {
        adapter: format!("m/a{index}").into(),
        version: 1,
    };
    let large = |id: &str| Member {
        adapters: (0..1_000).map(adapter).collect(),
        ..odd(id, 1)
    };
    let mut members = members();
    for index in 0..200 {
        write(&mut members, NOW, large(&format!("r{index}")));
    }
    assert!(members.unnamed_count() < 60, "{}", members.unnamed_count());
    assert!(!members.needs_reread());
    let changes = members.set_services(&named(&["chat", "inventory"]));
    assert!(changes.len() >= 40);
    assert!(members.needs_reread());
    members.apply_snapshot(NOW, (0..200).map(|i| large(&format!("r{i}"))).collect());
    assert!(!members.needs_reread());
    assert_eq!(members.iter().count(), 200);
}
