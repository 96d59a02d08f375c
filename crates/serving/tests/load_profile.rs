//! Guards against estimates of load times and of the host memory that do not follow the runner.

use std::time::Duration;

use serving::load_profile::LoadObserver;
use serving::load_profile::MAX_PARALLEL_LOADS;
use serving::runner::VersionedAdapter;

const STORE_MS: u64 = 250;
const CACHED_MS: u64 = 25;

fn name(index: u32) -> String {
    format!("m/a{index}")
}

/// Loads an adapter in this time.
fn load(observer: &mut LoadObserver, index: u32, took_ms: u64) {
    let adapter = name(index);
    observer.record_start(&adapter.as_str().into());
    let loaded = VersionedAdapter {
        adapter: adapter.as_str().into(),
        version: 1,
    };
    observer.record_end(&loaded, Duration::from_millis(took_ms));
}

/// Loads and unloads adapters at a runner that keeps `kept` of them in its host memory. The adapters
/// are used in turn, so that each was unloaded `count - 1` unloads before it is loaded again.
fn cycle(observer: &mut LoadObserver, count: u32, kept: u32, rounds: u32) {
    for round in 0..rounds {
        for index in 0..count {
            let cached = round > 0 && count <= kept;
            load(observer, index, if cached { CACHED_MS } else { STORE_MS });
            observer.record_unload(name(index).as_str().into());
        }
    }
}

#[test]
fn host_memory_is_as_large_as_loads_show() {
    let mut observer = LoadObserver::default();
    cycle(&mut observer, 60, 40, 3);
    assert!(
        observer.profile().cached_adapters <= 59,
        "{:?}",
        observer.profile()
    );
    cycle(&mut observer, 20, 40, 3);
    assert!(
        observer.is_cached(&name(0)),
        "an adapter of a short cycle is in memory"
    );
    let mut larger = LoadObserver::default();
    cycle(&mut larger, 150, 200, 3);
    assert!(larger.profile().cached_adapters >= 150);
}

#[test]
fn load_times_of_the_store_and_of_the_memory_are_apart() {
    let mut observer = LoadObserver::default();
    cycle(&mut observer, 10, 40, 6);
    let profile = observer.profile();
    assert!(
        profile.store_ms >= 240 && profile.cached_ms <= 40,
        "{profile:?}"
    );
    assert!(observer.load_time(&name(0)) < observer.load_time(&name(999)));
}

/// When the runners together load more than the store carries at full speed, each load takes longer
/// in proportion, and more of them at once gain nothing.
#[test]
fn crowded_store_gets_fewer_loads_at_once() {
    let mut observer = LoadObserver::default();
    load(&mut observer, 0, STORE_MS);
    assert_eq!(observer.profile().parallel, MAX_PARALLEL_LOADS);
    for index in 1..6 {
        load(&mut observer, index, 4 * STORE_MS);
    }
    assert_eq!(observer.profile().parallel, 1);
    for index in 6..12 {
        load(&mut observer, index, STORE_MS);
    }
    assert_eq!(observer.profile().parallel, MAX_PARALLEL_LOADS);
}

/// A restart empties the host memory but does not change the hardware.
#[test]
fn restart_forgets_the_memory_and_keeps_the_times() {
    let mut observer = LoadObserver::default();
    cycle(&mut observer, 10, 40, 3);
    let profile = observer.profile();
    observer.reset();
    assert!(!observer.is_cached(&name(0)));
    assert_eq!(observer.profile(), profile);
}
