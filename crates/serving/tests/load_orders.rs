//! Guards against orders that exceed a runner's capacity, unload adapters in use, or replace a
//! version by an older one.

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

/// Longer than all timeouts and minimum intervals of the scheduler.
const LATER: Duration = Duration::from_secs(10);

fn versioned(adapter: &str, version: u64) -> VersionedAdapter {
    VersionedAdapter {
        adapter: adapter.into(),
        version,
    }
}

/// Returns a report of a runner that holds the model and these adapters, and is loading others;
/// each is given as name and version.
fn report(adapters: &[(&str, u64)], loading: &[(&str, u64)]) -> EngineReport {
    let versions = |list: &[(&str, u64)]| list.iter().map(|(a, v)| versioned(a, *v)).collect();
    EngineReport {
        models: vec!["m".into()],
        adapters: versions(adapters),
        loading: versions(loading),
        born: 1,
        ..EngineReport::default()
    }
}

/// Returns the scheduler of a runner with `slots` adapter slots, and memory for the model and 10
/// adapters.
fn scheduler(slots: u32, report: EngineReport) -> LoadScheduler {
    let mut scheduler = LoadScheduler::default();
    scheduler.set_capacity(Capacity {
        weights_mb: 100.0,
        slots,
        models: vec![ModelSpec {
            name: "m".into(),
            weights_mb: 90.0,
            adapter_mb: 1.0,
        }],
    });
    scheduler.apply_report(Time::from_ms(0), report);
    scheduler
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
fn model_is_loaded_before_adapters() {
    let mut scheduler = scheduler(
        2,
        EngineReport {
            born: 1,
            ..EngineReport::default()
        },
    );
    scheduler.request_adapter(Time::from_ms(1), &"m/a".into(), 0, true);
    let model = Name::from("m");
    assert_eq!(
        scheduler.next_order(Time::from_ms(1)),
        Some(Order::LoadModel { model })
    );
    assert_eq!(
        scheduler.next_order(Time::from_ms(2)),
        None,
        "the model is not ordered again immediately"
    );
}

#[test]
fn adapter_with_least_demand_is_evicted() {
    let mut scheduler = scheduler(2, report(&[("m/hot", 1), ("m/cold", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let usage = Usage {
        adapter: "m/hot".into(),
        inflight: 0,
        hits: 5,
    };
    scheduler.apply_usage(now, 1, &[usage]);
    scheduler.request_adapter(now, &"m/new".into(), 0, true);
    assert_eq!(scheduler.next_order(now), unload("m/cold"));
    scheduler.apply_report(now, report(&[("m/hot", 1)], &[]));
    assert_eq!(scheduler.next_order(now), load("m/new", None));
}

#[test]
fn loading_adapter_takes_a_slot() {
    let mut scheduler = scheduler(2, report(&[("m/a", 1)], &[("m/b", 1)]));
    let now = Time::from_ms(0).after(LATER);
    scheduler.request_adapter(now, &"m/new".into(), 0, true);
    assert_eq!(scheduler.next_order(now), unload("m/a"));
}

#[test]
fn adapter_in_use_is_never_unloaded() {
    let mut scheduler = scheduler(1, report(&[("m/a", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let usage = Usage {
        adapter: "m/a".into(),
        inflight: 1,
        hits: 0,
    };
    scheduler.apply_usage(now, 1, &[usage]);
    scheduler.request_adapter(now, &"m/new".into(), 0, true);
    assert_eq!(scheduler.next_order(now), None);
    scheduler.remove_link(1);
    assert_eq!(scheduler.next_order(now), unload("m/a"));
}

#[test]
fn adapters_are_limited_by_memory() {
    let mut scheduler = scheduler(99, report(&[], &[]));
    let names: Vec<String> = (0..10).map(|index| format!("m/a{index}")).collect();
    let full: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    scheduler.apply_report(Time::from_ms(1), report(&full, &[]));
    let now = Time::from_ms(0).after(LATER);
    scheduler.request_adapter(now, &"m/new".into(), 0, true);
    assert!(matches!(
        scheduler.next_order(now),
        Some(Order::UnloadAdapter { .. })
    ));
}

/// A model of the service that has to be loaded again must not exceed the memory that adapters have taken up since.
#[test]
fn model_is_loaded_beside_adapters_only_if_both_fit() {
    let mut scheduler = scheduler(99, report(&[("m/a", 1), ("m/b", 1)], &[]));
    let spec = |name: &str, weights_mb| ModelSpec {
        name: name.into(),
        weights_mb,
        adapter_mb: 1.0,
    };
    scheduler.set_capacity(Capacity {
        weights_mb: 100.0,
        slots: 99,
        models: vec![spec("m", 90.0), spec("n", 9.0)],
    });
    let now = Time::from_ms(0).after(LATER);
    assert!(matches!(
        scheduler.next_order(now),
        Some(Order::UnloadAdapter { .. })
    ));
    scheduler.apply_report(now, report(&[("m/b", 1)], &[]));
    let model = Name::from("n");
    assert_eq!(scheduler.next_order(now), Some(Order::LoadModel { model }));
}

#[test]
fn version_is_replaced_in_place_and_only_by_a_newer_one() {
    let mut scheduler = scheduler(1, report(&[("m/a", 2)], &[]));
    let now = Time::from_ms(0).after(LATER);
    scheduler.request_adapter(now, &"m/a".into(), 1, true);
    assert_eq!(scheduler.next_order(now), None);
    scheduler.request_adapter(now, &"m/a".into(), 3, false);
    scheduler.request_adapter(now, &"m/a".into(), 2, true);
    assert_eq!(scheduler.next_order(now), load("m/a", Some(3)));
}

#[test]
fn urgent_adapters_are_loaded_before_replicas() {
    let mut scheduler = scheduler(8, report(&[], &[]));
    scheduler.request_adapter(Time::from_ms(1), &"m/replica".into(), 0, false);
    scheduler.request_adapter(Time::from_ms(2), &"m/urgent".into(), 0, true);
    assert_eq!(
        scheduler.next_order(Time::from_ms(2)),
        load("m/urgent", None)
    );
}

#[test]
fn adapter_request_expires_without_renewal() {
    let mut scheduler = scheduler(8, report(&[], &[]));
    scheduler.request_adapter(Time::from_ms(0), &"m/a".into(), 0, true);
    assert!(scheduler.next_order(Time::from_ms(0)).is_some());
    assert_eq!(scheduler.next_order(Time::from_ms(0).after(LATER)), None);
}

#[test]
fn at_most_four_adapters_load_at_once() {
    let loading = [("m/a", 1), ("m/b", 1), ("m/c", 1), ("m/d", 1)];
    let mut scheduler = scheduler(8, report(&[], &loading));
    scheduler.request_adapter(Time::from_ms(0), &"m/e".into(), 0, true);
    assert_eq!(scheduler.next_order(Time::from_ms(0)), None);
}

#[test]
fn state_includes_queued_adapters_with_their_expected_wait() {
    let loading = [("m/a", 1), ("m/b", 1), ("m/c", 1), ("m/d", 1)];
    let mut scheduler = scheduler(8, report(&[("m/x", 1)], &loading));
    scheduler.request_adapter(Time::from_ms(0), &"m/e".into(), 0, true);
    scheduler.request_adapter(Time::from_ms(1), &"m/f".into(), 0, true);
    let state = scheduler.state(Time::from_ms(1), true, 1);
    let wait_ms = |name: &str| {
        let status = state
            .adapters
            .iter()
            .find(|status| &*status.adapter == name);
        status.map(|status| status.wait_ms)
    };
    assert_eq!(wait_ms("m/x"), Some(0));
    assert!(wait_ms("m/a") > Some(0));
    assert!(wait_ms("m/e") < wait_ms("m/f"));
}

#[test]
fn model_is_ordered_again_after_a_restart() {
    let mut scheduler = scheduler(2, report(&[("m/a", 1)], &[]));
    assert_eq!(scheduler.next_order(Time::from_ms(5)), None);
    scheduler.apply_report(
        Time::from_ms(10),
        EngineReport {
            born: 2,
            ..EngineReport::default()
        },
    );
    assert!(matches!(
        scheduler.next_order(Time::from_ms(10)),
        Some(Order::LoadModel { .. })
    ));
}

#[test]
fn draining_runner_gets_no_order() {
    let mut draining = report(&[], &[]);
    draining.draining = true;
    let mut scheduler = scheduler(2, draining);
    scheduler.request_adapter(Time::from_ms(0), &"m/a".into(), 0, true);
    assert_eq!(scheduler.next_order(Time::from_ms(0)), None);
}

#[test]
fn adapter_being_removed_is_not_reported_as_loaded() {
    // The runner reports an adapter until its requests have ended, but rejects new ones.
    let mut scheduler = scheduler(2, report(&[("m/old", 1), ("m/cold", 1)], &[]));
    let now = Time::from_ms(0).after(LATER);
    let replace = load("m/old", Some(2)).expect("some order");
    scheduler.order_accepted(now, &replace);
    scheduler.order_accepted(now, &unload("m/cold").expect("some order"));
    let state = scheduler.state(now, true, 1);
    let adapters: Vec<(&str, u64, bool)> = state
        .adapters
        .iter()
        .map(|status| (&*status.adapter, status.version, status.wait_ms > 0))
        .collect();
    assert_eq!(adapters, [("m/old", 2, true)]);
    scheduler.apply_report(now, report(&[("m/old", 2)], &[]));
    let state = scheduler.state(now, true, 1);
    assert_eq!((state.adapters.len(), state.adapters[0].wait_ms), (1, 0));
}

#[test]
fn adapter_is_reported_again_after_an_order_without_effect() {
    let unchanged = report(&[("m/a", 1)], &[]);
    let mut scheduler = scheduler(2, unchanged.clone());
    scheduler.order_accepted(Time::from_ms(0), &unload("m/a").expect("some order"));
    assert!(
        scheduler
            .state(Time::from_ms(1), true, 1)
            .adapters
            .is_empty()
    );
    let later = Time::from_ms(0).after(LATER);
    scheduler.apply_report(later, unchanged);
    assert_eq!(scheduler.state(later, true, 1).adapters.len(), 1);
}
