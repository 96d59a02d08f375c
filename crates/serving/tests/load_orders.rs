//! Guards against orders that exceed a runner's capacity, unload adapters in use, or put an older
//! version in place of a newer one.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::link::Capacity;
use serving::link::ModelSpec;
use serving::link::Usage;
use serving::runner::Held;
use serving::runner::Report;
use serving::slots::Order;
use serving::slots::Slots;

const LATER: Duration = Duration::from_secs(10);

fn held(adapter: &str, version: u64) -> Held {
    Held {
        adapter: adapter.into(),
        version,
    }
}

fn report(adapters: &[(&str, u64)], coming: &[(&str, u64)]) -> Report {
    let list = |list: &[(&str, u64)]| list.iter().map(|(a, v)| held(a, *v)).collect();
    Report {
        models: vec!["m".into()],
        adapters: list(adapters),
        coming: list(coming),
        born: 1,
        ..Report::default()
    }
}

fn slots(count: u32, report: Report) -> Slots {
    let mut slots = Slots::default();
    slots.set_capacity(Capacity {
        weights_mb: 100.0,
        slots: count,
        models: vec![ModelSpec {
            name: "m".into(),
            weights_mb: 90.0,
            adapter_mb: 1.0,
        }],
    });
    slots.reported(Time::from_ms(0), report);
    slots
}

fn load(adapter: &str, version: Option<u64>) -> Option<Order> {
    let adapter = adapter.into();
    Some(Order::Load { adapter, version })
}

fn unload(adapter: &str) -> Option<Order> {
    let adapter = adapter.into();
    Some(Order::Unload { adapter })
}

#[test]
fn empty_runner_gets_its_model_first() {
    let mut slots = slots(
        2,
        Report {
            born: 1,
            ..Report::default()
        },
    );
    slots.want(Time::from_ms(1), &"m/a".into(), 0, true);
    let model = Name::from("m");
    assert_eq!(
        slots.next(Time::from_ms(1)),
        Some(Order::LoadModel { model })
    );
    assert_eq!(
        slots.next(Time::from_ms(2)),
        None,
        "a model is not ordered twice at once"
    );
}

#[test]
fn full_runner_unloads_the_least_used_adapter() {
    let mut slots = slots(2, report(&[("m/hot", 1), ("m/cold", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let usage = Usage {
        adapter: "m/hot".into(),
        inflight: 0,
        hits: 5,
    };
    slots.used(now, 1, &[usage]);
    slots.want(now, &"m/new".into(), 0, true);
    assert_eq!(slots.next(now), unload("m/cold"));
    slots.reported(now, report(&[("m/hot", 1)], &[]));
    assert_eq!(slots.next(now), load("m/new", None));
}

#[test]
fn adapters_on_their_way_take_a_slot() {
    let mut slots = slots(2, report(&[("m/a", 1)], &[("m/b", 1)]));
    let now = Time::from_ms(0).after(LATER);
    slots.want(now, &"m/new".into(), 0, true);
    assert_eq!(slots.next(now), unload("m/a"));
}

#[test]
fn adapter_in_use_is_never_unloaded() {
    let mut slots = slots(1, report(&[("m/a", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let usage = Usage {
        adapter: "m/a".into(),
        inflight: 1,
        hits: 0,
    };
    slots.used(now, 1, &[usage]);
    slots.want(now, &"m/new".into(), 0, true);
    assert_eq!(slots.next(now), None);
    slots.unlinked(1);
    assert_eq!(slots.next(now), unload("m/a"));
}

#[test]
fn memory_bounds_the_adapters_too() {
    let mut slots = slots(99, report(&[], &[]));
    let names: Vec<String> = (0..10).map(|index| format!("m/a{index}")).collect();
    let full: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    slots.reported(Time::from_ms(1), report(&full, &[]));
    let now = Time::from_ms(0).after(LATER);
    slots.want(now, &"m/new".into(), 0, true);
    assert!(matches!(slots.next(now), Some(Order::Unload { .. })));
}

#[test]
fn newer_version_replaces_in_place_and_never_goes_back() {
    let mut slots = slots(1, report(&[("m/a", 2)], &[]));
    let now = Time::from_ms(0).after(LATER);
    slots.want(now, &"m/a".into(), 1, true);
    assert_eq!(slots.next(now), None);
    slots.want(now, &"m/a".into(), 3, false);
    slots.want(now, &"m/a".into(), 2, true);
    assert_eq!(slots.next(now), load("m/a", Some(3)));
}

#[test]
fn waiting_requests_come_before_replicas() {
    let mut slots = slots(8, report(&[], &[]));
    slots.want(Time::from_ms(1), &"m/replica".into(), 0, false);
    slots.want(Time::from_ms(2), &"m/urgent".into(), 0, true);
    assert_eq!(slots.next(Time::from_ms(2)), load("m/urgent", None));
}

#[test]
fn demand_that_nobody_renews_ends() {
    let mut slots = slots(8, report(&[], &[]));
    slots.want(Time::from_ms(0), &"m/a".into(), 0, true);
    assert!(slots.next(Time::from_ms(0)).is_some());
    assert_eq!(slots.next(Time::from_ms(0).after(LATER)), None);
}

#[test]
fn no_more_than_four_adapters_are_on_their_way() {
    let coming = [("m/a", 1), ("m/b", 1), ("m/c", 1), ("m/d", 1)];
    let mut slots = slots(8, report(&[], &coming));
    slots.want(Time::from_ms(0), &"m/e".into(), 0, true);
    assert_eq!(slots.next(Time::from_ms(0)), None);
}

#[test]
fn entries_see_the_queue_with_expected_times() {
    let coming = [("m/a", 1), ("m/b", 1), ("m/c", 1), ("m/d", 1)];
    let mut slots = slots(8, report(&[("m/x", 1)], &coming));
    slots.want(Time::from_ms(0), &"m/e".into(), 0, true);
    slots.want(Time::from_ms(1), &"m/f".into(), 0, true);
    let state = slots.state(Time::from_ms(1), true, 1);
    let wait = |name: &str| {
        let place = state.places.iter().find(|place| &*place.adapter == name);
        place.map(|place| place.wait_ms)
    };
    assert_eq!(wait("m/x"), Some(0));
    assert!(wait("m/a") > Some(0));
    assert!(wait("m/e") < wait("m/f"));
}

#[test]
fn restarted_runner_is_ordered_its_model_again() {
    let mut slots = slots(2, report(&[("m/a", 1)], &[]));
    assert_eq!(slots.next(Time::from_ms(5)), None);
    slots.reported(
        Time::from_ms(10),
        Report {
            born: 2,
            ..Report::default()
        },
    );
    assert!(matches!(
        slots.next(Time::from_ms(10)),
        Some(Order::LoadModel { .. })
    ));
}

#[test]
fn draining_runner_gets_no_order() {
    let mut draining = report(&[], &[]);
    draining.draining = true;
    let mut slots = slots(2, draining);
    slots.want(Time::from_ms(0), &"m/a".into(), 0, true);
    assert_eq!(slots.next(Time::from_ms(0)), None);
}

#[test]
fn adapter_that_makes_way_is_not_told_as_there() {
    // The runner reports an adapter until its requests have ended, but turns new ones away.
    let mut slots = slots(2, report(&[("m/old", 1), ("m/cold", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let replace = load("m/old", Some(2)).expect("an order");
    slots.accepted(now, &replace);
    slots.accepted(now, &unload("m/cold").expect("an order"));
    let state = slots.state(now, true, 1);
    let places: Vec<(&str, u64, bool)> = state
        .places
        .iter()
        .map(|place| (&*place.adapter, place.version, place.wait_ms > 0))
        .collect();
    assert_eq!(places, [("m/old", 2, true)]);
    slots.reported(now, report(&[("m/old", 2)], &[]));
    let state = slots.state(now, true, 1);
    assert_eq!((state.places.len(), state.places[0].wait_ms), (1, 0));
}

#[test]
fn order_without_effect_does_not_hide_an_adapter_for_ever() {
    let held = report(&[("m/a", 1)], &[]);
    let mut slots = slots(2, held.clone());
    slots.accepted(Time::from_ms(0), &unload("m/a").expect("an order"));
    assert!(slots.state(Time::from_ms(1), true, 1).places.is_empty());
    let later = Time::from_ms(0).after(LATER);
    slots.reported(later, held);
    assert_eq!(slots.state(later, true, 1).places.len(), 1);
}
