//! Guards against entries whose view of a runner drifts from what its agent knows.

mod common;

use common::cases::each;
use common::fleet;
use common::state;
use decision::time::Time;
use serving::fleet::Fleet;
use serving::link::RunnerState;

fn view(fleet: &Fleet) -> Vec<(String, u64, bool)> {
    let runner = fleet.get("r0").expect("the runner");
    let held = runner.adapters.iter();
    let mut view: Vec<(String, u64, bool)> = held
        .map(|(name, hold)| (name.to_string(), hold.version, hold.ready_at.is_none()))
        .collect();
    view.sort();
    view
}

fn expected(state: &RunnerState) -> Vec<(String, u64, bool)> {
    let places = state.adapters.iter();
    places
        .map(|place| (place.adapter.to_string(), place.version, place.wait_ms == 0))
        .collect()
}

#[test]
fn changes_add_up_to_the_state() {
    each(|steps: Vec<Vec<(u8, u8, bool)>>| {
        let now = Time::from_ms(10);
        let mut fleet = fleet(1, now);
        let mut known: Option<RunnerState> = None;
        for step in steps {
            let next = random_state(&step);
            fleet.apply_update(now, "r0", &next.update_since(known.as_ref()));
            assert_eq!(view(&fleet), expected(&next));
            known = Some(next);
        }
    });
}

fn random_state(step: &[(u8, u8, bool)]) -> RunnerState {
    let mut places: Vec<(String, u64, u32)> = step
        .iter()
        .map(|(name, version, coming)| {
            let wait = if *coming { 100 } else { 0 };
            (format!("m/a{}", name % 8), u64::from(*version), wait)
        })
        .collect();
    places.sort();
    places.dedup_by(|a, b| a.0 == b.0);
    let places: Vec<(&str, u64, u32)> = places
        .iter()
        .map(|(name, version, wait)| (name.as_str(), *version, *wait))
        .collect();
    state(&places)
}

#[test]
fn only_news_are_told() {
    let before = state(&[("m/a", 1, 0), ("m/b", 1, 300)]);
    let after = state(&[("m/b", 1, 100), ("m/c", 2, 0)]);
    let update = after.update_since(Some(&before));
    let names: Vec<&str> = update
        .adapters
        .iter()
        .map(|place| &*place.adapter)
        .collect();
    assert_eq!(names, ["m/c"]);
    assert_eq!(update.removed.len(), 1);
    assert!(!update.full && update.models.is_none());
}

#[test]
fn arrivals_and_drains_are_urgent_and_load_is_not() {
    let before = state(&[("m/a", 1, 200)]);
    let mut after = before.clone();
    after.running = 9;
    assert!(!after.is_urgent_after(&before));
    after.draining = true;
    assert!(after.is_urgent_after(&before));
    assert!(state(&[("m/a", 1, 0)]).is_urgent_after(&before));
    assert!(!state(&[]).is_urgent_after(&before));
    // A request for an adapter that was unloaded would be turned away.
    assert!(state(&[]).is_urgent_after(&state(&[("m/a", 1, 0)])));
}

#[test]
fn restart_is_told_whole() {
    let before = state(&[("m/a", 1, 0)]);
    let mut after = state(&[]);
    after.born = 2;
    assert!(after.update_since(Some(&before)).full);
}

#[test]
fn assumed_adapter_is_kept_until_its_time_and_no_longer() {
    let now = Time::from_ms(10);
    let mut fleet = fleet(1, now);
    fleet.expect_adapter("r0", &"m/x".into(), 0, Time::from_ms(300));
    let same = state(&[]);
    fleet.apply_update(Time::from_ms(200), "r0", &same.update_since(Some(&same)));
    assert_eq!(view(&fleet).len(), 1);
    fleet.apply_update(Time::from_ms(300), "r0", &same.update_since(Some(&same)));
    assert!(view(&fleet).is_empty());
}
