//! The slot table: the choice of versions to evict, and reconciliation with the engine.

use std::time::Duration;

use decision::collections::Set;
use decision::ids::Name;
use decision::slots::SlotState;
use decision::slots::Slots;
use decision::time::Time;

fn loaded(limit: u32, names: &[&str]) -> Slots {
    let mut slots = Slots::new(limit);
    for name in names {
        let name: Name = (*name).into();
        assert!(slots.start_load(Time::default(), &name));
        slots.end_load(Time::from_ms(100), &name, true);
    }
    slots
}

/// Guards against evicting an adapter that a running or queued request uses.
#[test]
fn pinned_and_retained_versions_stay() {
    let mut slots = loaded(3, &["a@1", "b@1", "c@1"]);
    assert!(slots.pin(&"a@1".into()));
    let victim = slots.victim(Time::from_ms(200), |name| &**name == "b@1");
    assert_eq!(victim.as_deref(), Some("c@1"));
    assert!(!slots.start_unload(Time::from_ms(200), &"a@1".into()));
    slots.unpin("a@1");
    assert!(slots.start_unload(Time::from_ms(200), &"a@1".into()));
}

/// Guards against eviction by recency alone, which would evict a version in steady use and keep one
/// that was used only once, a moment ago.
#[test]
fn steadily_used_version_outlives_recent_one() {
    let mut slots = loaded(2, &["once@1", "steady@1"]);
    for at in 1..100 {
        slots.record_use(Time::from_ms(at * 1_000), &"steady@1".into());
    }
    slots.record_use(Time::from_ms(100_500), &"once@1".into());
    let victim = slots.victim(Time::from_ms(101_000), |_| false);
    assert_eq!(victim.as_deref(), Some("once@1"));
}

/// Guards against keeping a version that is cheap to reload instead of one that is expensive.
#[test]
fn costly_load_weighs_more() {
    let mut slots = Slots::new(2);
    for (name, load) in [("slow@1", 8_000), ("fast@1", 100)] {
        slots.record_use(Time::default(), &name.into());
        slots.start_load(Time::default(), &name.into());
        slots.end_load(Time::from_ms(load), &name.into(), true);
    }
    let victim = slots.victim(Time::from_ms(9_000), |_| false);
    assert_eq!(victim.as_deref(), Some("fast@1"));
}

/// Guards against a withdrawn version that stays loaded, and against one that is unloaded during its
/// last request.
#[test]
fn withdrawn_version_is_unloaded_after_last_request() {
    let mut slots = loaded(2, &["a@1", "b@1"]);
    slots.pin(&"a@1".into());
    slots.set_withdrawn(Set::from_iter([Name::from("a@1")]));
    let now = Time::from_ms(200);
    assert!(slots.unloadable(now, |_| false).is_empty());
    slots.unpin("a@1");
    assert!(slots.unloadable(now, |_| true).is_empty());
    assert_eq!(slots.unloadable(now, |_| false), [Name::from("a@1")]);
    assert_eq!(slots.victim(now, |_| false).as_deref(), Some("a@1"));
}

/// Guards against a table that disagrees with the engine after an engine restart or a command that
/// another client gave.
#[test]
fn reconcile_corrects_table_from_engine() {
    let mut slots = loaded(4, &["a@1", "b@1"]);
    slots.start_load(Time::from_ms(150), &"c@1".into());
    let drift = slots.reconcile(Time::from_ms(200), &["b@1".into(), "d@1".into()]);
    assert_eq!(drift.lost, [Name::from("a@1")]);
    assert_eq!(drift.found, [Name::from("d@1")]);
    assert_eq!(slots.state("a@1"), None);
    assert_eq!(slots.state("c@1"), Some(SlotState::Loading));
    assert!(slots.is_resident("d@1"));
}

/// Guards against one slow load that makes the agent refuse all later loads as too slow, so that it
/// never measures a fast one again.
#[test]
fn measured_load_time_decays() {
    let mut slots = Slots::new(1);
    slots.start_load(Time::default(), &"a@1".into());
    slots.end_load(Time::from_ms(60_000), &"a@1".into(), true);
    assert!(slots.load_time(Time::from_ms(60_000)) > Duration::from_secs(10));
    assert!(slots.load_time(Time::from_ms(160_000)) < Duration::from_millis(300));
}
