//! Guards against a runner that lives and is not used, because a record of another one names its address.

mod common;

use std::time::Duration;

use decision::collections::Set;
use decision::time::Time;
use serving::fleet::Fleet;
use serving::runner::Member;

const NOW: Time = Time::from_ms(1_000);

/// Returns a record at the address of `r0`.
fn rival(id: &str, born: u64) -> Member {
    Member {
        addr: common::member("r0").addr,
        born,
        ..common::member(id)
    }
}

fn after(ms: u64) -> Time {
    NOW.after(Duration::from_millis(ms))
}

/// Returns the identifiers of the runners that are used, in order.
fn used(fleet: &Fleet) -> Vec<String> {
    let used = fleet.runners().filter(|runner| runner.accepts_requests());
    let mut ids: Vec<String> = used.map(|runner| runner.member.id.to_string()).collect();
    ids.sort();
    ids
}

fn fleet(members: &[Member]) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for member in members {
        fleet.join(NOW, member.clone());
    }
    fleet
}

/// A runner that was started again elsewhere leaves its record at an address that another one uses.
#[test]
fn later_runner_holds_the_address() {
    for order in [[5, 1], [1, 5]] {
        let members = order.map(|born| rival(&format!("r{born}"), born));
        assert_eq!(used(&fleet(&members)), ["r5"]);
    }
}

#[test]
fn runner_that_writes_on_is_used_again() {
    let mut fleet = fleet(&[rival("r0", 1), rival("r9", 5)]);
    fleet.renew(after(100), "r0");
    assert_eq!(used(&fleet), ["r0", "r9"]);
    // The answer tells which of them is there.
    fleet.displace(after(200), "r9", "r0");
    assert_eq!(used(&fleet), ["r0"]);
}

#[test]
fn runner_is_used_again_when_the_other_record_goes() {
    let mut fleet = fleet(&[rival("r0", 1), rival("r9", 5)]);
    fleet.leave("r9");
    assert_eq!(used(&fleet), ["r0"]);
}

#[test]
fn runner_that_answers_is_used_again() {
    let mut fleet = fleet(&[rival("r0", 1), rival("r9", 5)]);
    fleet.record_heard(after(10), "r0", 1);
    assert_eq!(used(&fleet), ["r0", "r9"]);
    fleet.record_heard(after(10), "r0", 7);
}

/// A record that is written with another start each time must not take the address each time.
#[test]
fn further_starts_of_an_outlived_record_change_nothing() {
    let mut fleet = fleet(&[rival("r0", 1), rival("r9", 5)]);
    fleet.renew(after(100), "r0");
    for born in 6..20 {
        fleet.join(after(100 * born), rival("r9", born));
        assert!(used(&fleet).contains(&"r0".to_owned()), "{born}");
    }
}

/// Another runner has answered: the record is believed again only when it is written after a while, and less
/// often each time.
#[test]
fn displaced_runner_is_tried_seldom() {
    let mut fleet = fleet(&[rival("r0", 1), rival("r9", 5)]);
    fleet.renew(NOW, "r0");
    let (mut tries, mut now) = (0, NOW);
    for _ in 0..100 {
        now = now.after(Duration::from_millis(1_200));
        fleet.renew(now, "r9");
        fleet.renew(now, "r0");
        if used(&fleet).contains(&"r9".to_owned()) {
            tries += 1;
            fleet.displace(now, "r9", "r0");
        }
        assert!(used(&fleet).contains(&"r0".to_owned()));
    }
    assert!((2..=8).contains(&tries), "{tries} tries in 120 s");
}

#[test]
fn unnamed_services_claim_nothing() {
    let odd = Member {
        service: "inventory".into(),
        ..rival("r9", 5)
    };
    let mut fleet = fleet(&[rival("r0", 1), odd]);
    assert_eq!(used(&fleet), ["r9"], "no configuration is known");
    let named = |names: &[&str]| names.iter().map(|name| (*name).into()).collect::<Set<_>>();
    fleet.set_services(NOW, named(&["chat"]));
    assert!(used(&fleet).contains(&"r0".to_owned()));
    fleet.set_services(NOW, named(&["chat", "inventory"]));
    assert_eq!(used(&fleet), ["r9"]);
    fleet.set_services(NOW, named(&["chat"]));
    assert!(used(&fleet).contains(&"r0".to_owned()));
}

/// What entries share must not shrink with records that name no runner of its own.
#[test]
fn entries_are_assumed_by_addresses() {
    let mut fleet = fleet(&[]);
    fleet.set_services(NOW, ["chat".into()].into_iter().collect());
    let before = fleet.entries.get();
    for index in 0..100 {
        fleet.join(NOW, rival(&format!("r{}", 100 + index), 5));
        let odd = Member {
            service: "inventory".into(),
            ..common::member(&format!("r{}", 300 + index))
        };
        fleet.join(NOW, odd);
    }
    assert_eq!(fleet.entries.get(), before);
}
