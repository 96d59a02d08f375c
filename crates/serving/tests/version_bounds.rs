//! Guards against requests that run on an adapter version older than the allowed minimum.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::versions::Versions;

const GRACE: Duration = Duration::from_millis(3_500);

#[test]
fn older_version_is_allowed_only_within_the_grace_period() {
    let adapter = Name::from("m/a1");
    let mut versions = Versions::default();
    assert_eq!(versions.min_version(Time::from_ms(0), &adapter, GRACE), 0);
    assert!(versions.announce(Some(Time::from_ms(1_000)), &adapter, 2));
    assert_eq!(
        versions.min_version(Time::from_ms(4_499), &adapter, GRACE),
        0
    );
    assert_eq!(
        versions.min_version(Time::from_ms(4_500), &adapter, GRACE),
        2
    );
}

#[test]
fn each_announcement_has_its_own_grace_period() {
    let adapter = Name::from("m/a1");
    let mut versions = Versions::default();
    versions.announce(Some(Time::from_ms(0)), &adapter, 2);
    versions.announce(Some(Time::from_ms(2_000)), &adapter, 3);
    assert_eq!(
        versions.min_version(Time::from_ms(3_400), &adapter, GRACE),
        0
    );
    assert_eq!(
        versions.min_version(Time::from_ms(3_500), &adapter, GRACE),
        2
    );
    assert_eq!(
        versions.min_version(Time::from_ms(5_500), &adapter, GRACE),
        3
    );
}

#[test]
fn newest_version_never_decreases() {
    let adapter = Name::from("m/a1");
    let mut versions = Versions::default();
    assert!(versions.announce(Some(Time::from_ms(0)), &adapter, 5));
    assert!(!versions.announce(Some(Time::from_ms(10)), &adapter, 4));
    assert!(!versions.announce(Some(Time::from_ms(20)), &adapter, 5));
    assert_eq!(versions.newest(&adapter), 5);
}

#[test]
fn replicas_are_updated_in_order_of_their_position() {
    let adapter = Name::from("m/a1");
    let mut versions = Versions::default();
    versions.announce(Some(Time::from_ms(0)), &adapter, 2);
    let spread = Duration::from_millis(2_000);
    let due = |ms, position| {
        let outdated = versions.outdated(Time::from_ms(ms), spread, |_| Some(position));
        !outdated.is_empty()
    };
    assert!(due(0, 0.0));
    assert!(!due(900, 0.5));
    assert!(due(1_000, 0.5));
}

#[test]
fn version_of_unknown_age_is_mandatory_immediately() {
    let adapter = Name::from("m/a1");
    let mut versions = Versions::default();
    // An entry that has just started reads a version that may have been announced long ago.
    assert!(versions.announce(None, &adapter, 4));
    assert_eq!(versions.min_version(Time::from_ms(1), &adapter, GRACE), 4);
}

/// Guards against versions that follow each other so fast that none of them ever becomes mandatory.
#[test]
fn versions_in_quick_succession_become_mandatory() {
    for interval in [10, 100, 250, 400, 1_000] {
        let adapter = Name::from("m/a1");
        let mut versions = Versions::default();
        for number in 0..200 {
            let now = Time::from_ms(number * interval);
            versions.announce(Some(now), &adapter, number + 1);
            let old = now.since(Time::default()).saturating_sub(GRACE);
            let expected = old.as_millis() as u64 / interval;
            let oldest = versions.min_version(now, &adapter, GRACE);
            assert!(oldest >= expected, "{interval} {number}: {oldest}");
        }
    }
}

/// Guards against replicas that are never updated because each version puts off the update to the one
/// before.
#[test]
fn replicas_are_updated_in_a_quick_succession() {
    let adapter = Name::from("m/a1");
    let mut versions = Versions::default();
    let spread = Duration::from_millis(2_000);
    let mut behind = 0;
    for number in 1..=40 {
        let now = Time::from_ms(number * 400);
        versions.announce(Some(now), &adapter, number);
        let due = versions.outdated(now, spread, |_| Some(1.0));
        behind = due.first().map_or(number, |(_, version)| number - version);
    }
    assert!(behind <= 5, "{behind} versions behind");
}
