//! Guards against orders that exceed a runner's capacity, unload adapters in use, or put an older
//! version in place of a newer one.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::link::Capacity;
use serving::link::ModelSpec;
use serving::link::Usage;
use serving::load_scheduler::LoadScheduler;
use serving::load_scheduler::Order;
use serving::runner::EngineReport;
use serving::runner::VersionedAdapter;

const LATER: Duration = Duration::from_secs(10);

fn held(adapter: &str, version: u64) -> VersionedAdapter {
    VersionedAdapter {
        adapter: adapter.into(),
        version,
    }
}

fn report(adapters: &[(&str, u64)], coming: &[(&str, u64)]) -> EngineReport {
    let list = |list: &[(&str, u64)]| list.iter().map(|(a, v)| held(a, *v)).collect();
    EngineReport {
        models: vec!["m".into()],
        adapters: list(adapters),
        loading: list(coming),
        born: 1,
        ..EngineReport::default()
    }
}

fn slots(count: u32, report: EngineReport) -> LoadScheduler {
    let mut slots = LoadScheduler::default();
    slots.set_capacity(Capacity {
        weights_mb: 100.0,
        slots: count,
        models: vec![ModelSpec {
            name: "m".into(),
            weights_mb: 90.0,
            adapter_mb: 1.0,
        }],
    });
    slots.apply_report(Time::from_ms(0), report);
    slots
}

fn load(adapter: &str, version: Option<u64>) -> Option<Order> {
    let adapter = adapter.into();
    Some(Order::LoadAdapter { adapter, version })
}

fn unload(adapter: &str) -> Option<Order> {
    let adapter = adapter.into();
    Some(Order::UnloadAdapter { adapter })
}

#[test]
fn empty_runner_gets_its_model_first() {
    let mut slots = slots(
        2,
        EngineReport {
            born: 1,
            ..EngineReport::default()
        },
    );
    slots.request_adapter(Time::from_ms(1), &"m/a".into(), 0, true);
    let model = Name::from("m");
    assert_eq!(
        slots.next_order(Time::from_ms(1)),
        Some(Order::LoadModel { model })
    );
    assert_eq!(
        slots.next_order(Time::from_ms(2)),
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
    slots.apply_usage(now, 1, &[usage]);
    slots.request_adapter(now, &"m/new".into(), 0, true);
    assert_eq!(slots.next_order(now), unload("m/cold"));
    slots.apply_report(now, report(&[("m/hot", 1)], &[]));
    assert_eq!(slots.next_order(now), load("m/new", None));
}

#[test]
fn adapters_on_their_way_take_a_slot() {
    let mut slots = slots(2, report(&[("m/a", 1)], &[("m/b", 1)]));
    let now = Time::from_ms(0).after(LATER);
    slots.request_adapter(now, &"m/new".into(), 0, true);
    assert_eq!(slots.next_order(now), unload("m/a"));
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
    slots.apply_usage(now, 1, &[usage]);
    slots.request_adapter(now, &"m/new".into(), 0, true);
    assert_eq!(slots.next_order(now), None);
    slots.remove_link(1);
    assert_eq!(slots.next_order(now), unload("m/a"));
}

#[test]
fn memory_bounds_the_adapters_too() {
    let mut slots = slots(99, report(&[], &[]));
    let names: Vec<String> = (0..10).map(|index| format!("m/a{index}")).collect();
    let full: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    slots.apply_report(Time::from_ms(1), report(&full, &[]));
    let now = Time::from_ms(0).after(LATER);
    slots.request_adapter(now, &"m/new".into(), 0, true);
    assert!(matches!(
        slots.next_order(now),
        Some(Order::UnloadAdapter { .. })
    ));
}

#[test]
fn newer_version_replaces_in_place_and_never_goes_back() {
    let mut slots = slots(1, report(&[("m/a", 2)], &[]));
    let now = Time::from_ms(0).after(LATER);
    slots.request_adapter(now, &"m/a".into(), 1, true);
    assert_eq!(slots.next_order(now), None);
    slots.request_adapter(now, &"m/a".into(), 3, false);
    slots.request_adapter(now, &"m/a".into(), 2, true);
    assert_eq!(slots.next_order(now), load("m/a", Some(3)));
}

#[test]
fn waiting_requests_come_before_replicas() {
    let mut slots = slots(8, report(&[], &[]));
    slots.request_adapter(Time::from_ms(1), &"m/replica".into(), 0, false);
    slots.request_adapter(Time::from_ms(2), &"m/urgent".into(), 0, true);
    assert_eq!(slots.next_order(Time::from_ms(2)), load("m/urgent", None));
}

#[test]
fn demand_that_nobody_renews_ends() {
    let mut slots = slots(8, report(&[], &[]));
    slots.request_adapter(Time::from_ms(0), &"m/a".into(), 0, true);
    assert!(slots.next_order(Time::from_ms(0)).is_some());
    assert_eq!(slots.next_order(Time::from_ms(0).after(LATER)), None);
}

#[test]
fn no_more_than_four_adapters_are_on_their_way() {
    let coming = [("m/a", 1), ("m/b", 1), ("m/c", 1), ("m/d", 1)];
    let mut slots = slots(8, report(&[], &coming));
    slots.request_adapter(Time::from_ms(0), &"m/e".into(), 0, true);
    assert_eq!(slots.next_order(Time::from_ms(0)), None);
}

#[test]
fn entries_see_the_queue_with_expected_times() {
    let coming = [("m/a", 1), ("m/b", 1), ("m/c", 1), ("m/d", 1)];
    let mut slots = slots(8, report(&[("m/x", 1)], &coming));
    slots.request_adapter(Time::from_ms(0), &"m/e".into(), 0, true);
    slots.request_adapter(Time::from_ms(1), &"m/f".into(), 0, true);
    let state = slots.state(Time::from_ms(1), true, 1);
    let wait = |name: &str| {
        let place = state.adapters.iter().find(|place| &*place.adapter == name);
        place.map(|place| place.wait_ms)
    };
    assert_eq!(wait("m/x"), Some(0));
    assert!(wait("m/a") > Some(0));
    assert!(wait("m/e") < wait("m/f"));
}

#[test]
fn restarted_runner_is_ordered_its_model_again() {
    let mut slots = slots(2, report(&[("m/a", 1)], &[]));
    assert_eq!(slots.next_order(Time::from_ms(5)), None);
    slots.apply_report(
        Time::from_ms(10),
        EngineReport {
            born: 2,
            ..EngineReport::default()
        },
    );
    assert!(matches!(
        slots.next_order(Time::from_ms(10)),
        Some(Order::LoadModel { .. })
    ));
}

#[test]
fn draining_runner_gets_no_order() {
    let mut draining = report(&[], &[]);
    draining.draining = true;
    let mut slots = slots(2, draining);
    slots.request_adapter(Time::from_ms(0), &"m/a".into(), 0, true);
    assert_eq!(slots.next_order(Time::from_ms(0)), None);
}

#[test]
fn adapter_that_makes_way_is_not_told_as_there() {
    // The runner reports an adapter until its requests have ended, but turns new ones away.
    let mut slots = slots(2, report(&[("m/old", 1), ("m/cold", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let replace = load("m/old", Some(2)).expect("an order");
    slots.order_accepted(now, &replace);
    slots.order_accepted(now, &unload("m/cold").expect("an order"));
    let state = slots.state(now, true, 1);
    let places: Vec<(&str, u64, bool)> = state
        .adapters
        .iter()
        .map(|place| (&*place.adapter, place.version, place.wait_ms > 0))
        .collect();
    assert_eq!(places, [("m/old", 2, true)]);
    slots.apply_report(now, report(&[("m/old", 2)], &[]));
    let state = slots.state(now, true, 1);
    assert_eq!((state.adapters.len(), state.adapters[0].wait_ms), (1, 0));
}

#[test]
fn order_without_effect_does_not_hide_an_adapter_for_ever() {
    let held = report(&[("m/a", 1)], &[]);
    let mut slots = slots(2, held.clone());
    slots.order_accepted(Time::from_ms(0), &unload("m/a").expect("an order"));
    assert!(slots.state(Time::from_ms(1), true, 1).adapters.is_empty());
    let later = Time::from_ms(0).after(LATER);
    slots.apply_report(later, held);
    assert_eq!(slots.state(later, true, 1).adapters.len(), 1);
}
