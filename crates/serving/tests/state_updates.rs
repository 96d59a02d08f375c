//! Guards against an entry's view of a runner that differs from the state of the runner's agent.

mod common;

use common::cases::for_each_case;
use common::fleet;
use common::state;
use decision::time::Time;
use serving::fleet::Fleet;
use serving::link::FromAgent;
use serving::link::RunnerState;
use serving::link::RunnerUpdate;
use serving::link::ToAgent;

/// Returns the entry's view of `r0`: name and version of each adapter, and whether it is loaded.
fn view(fleet: &Fleet) -> Vec<(String, u64, bool)> {
    let runner = fleet.get("r0").expect("r0 is in the fleet");
    let adapters = runner.adapters.iter();
    let mut view: Vec<(String, u64, bool)> = adapters
        .map(|(name, adapter)| {
            (
                name.to_string(),
                adapter.version,
                adapter.ready_at.is_none(),
            )
        })
        .collect();
    view.sort();
    view
}

fn expected(state: &RunnerState) -> Vec<(String, u64, bool)> {
    let adapters = state.adapters.iter();
    adapters
        .map(|status| {
            (
                status.adapter.to_string(),
                status.version,
                status.wait_ms == 0,
            )
        })
        .collect()
}

#[test]
fn updates_reproduce_the_state() {
    for_each_case(|steps: Vec<Vec<(u8, u8, bool)>>| {
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

/// Builds a state from random triples of name, version and whether the adapter is loading.
fn random_state(step: &[(u8, u8, bool)]) -> RunnerState {
    let mut adapters: Vec<(String, u64, u32)> = step
        .iter()
        .map(|(name, version, loading)| {
            let wait_ms = if *loading { 100 } else { 0 };
            (format!("m/a{}", name % 8), u64::from(*version), wait_ms)
        })
        .collect();
    adapters.sort();
    adapters.dedup_by(|a, b| a.0 == b.0);
    let adapters: Vec<(&str, u64, u32)> = adapters
        .iter()
        .map(|(name, version, wait_ms)| (name.as_str(), *version, *wait_ms))
        .collect();
    state(&adapters)
}

#[test]
fn update_contains_only_changes() {
    let before = state(&[("m/a", 1, 0), ("m/b", 1, 300)]);
    let after = state(&[("m/b", 1, 100), ("m/c", 2, 0)]);
    let update = after.update_since(Some(&before));
    let names: Vec<&str> = update
        .adapters
        .iter()
        .map(|status| &*status.adapter)
        .collect();
    assert_eq!(names, ["m/c"]);
    assert_eq!(update.removed.len(), 1);
    assert!(!update.full && update.models.is_none());
}

#[test]
fn loaded_adapters_and_drains_are_urgent_and_load_is_not() {
    let before = state(&[("m/a", 1, 200)]);
    let mut after = before.clone();
    after.running = 9;
    assert!(!after.is_urgent_after(&before));
    after.draining = true;
    assert!(after.is_urgent_after(&before));
    assert!(state(&[("m/a", 1, 0)]).is_urgent_after(&before));
    assert!(!state(&[]).is_urgent_after(&before));
    // A request for an unloaded adapter would be rejected.
    assert!(state(&[]).is_urgent_after(&state(&[("m/a", 1, 0)])));
}

#[test]
fn restart_causes_a_full_update() {
    let before = state(&[("m/a", 1, 0)]);
    let mut after = state(&[]);
    after.born = 2;
    assert!(after.update_since(Some(&before)).full);
}

#[test]
fn assumed_adapter_is_kept_until_its_expected_time() {
    let now = Time::from_ms(10);
    let mut fleet = fleet(1, now);
    fleet.expect_adapter("r0", &"m/x".into(), 0, Time::from_ms(300));
    let unchanged = state(&[]);
    fleet.apply_update(
        Time::from_ms(200),
        "r0",
        &unchanged.update_since(Some(&unchanged)),
    );
    assert_eq!(view(&fleet).len(), 1);
    fleet.apply_update(
        Time::from_ms(300),
        "r0",
        &unchanged.update_since(Some(&unchanged)),
    );
    assert!(view(&fleet).is_empty());
}

/// During a rolling update, entries and agents of two releases talk to each other.
#[test]
fn other_releases_understand_the_lines() {
    let update = state(&[("m/a", 1, 0)]).update_since(None);
    let line = serde_json::to_string(&FromAgent::Update(Box::new(update.clone())));
    let line = line.expect("plain data");
    let older: RunnerUpdate = serde_json::from_str(&line).expect("the same object");
    assert_eq!(older, update);
    let line = r#"{"b":1,"u":true,"r":2,"q":0,"f":3,"e":4,"w":true,"p":[{"a":"m/a","v":1}]}"#;
    let parsed: FromAgent = serde_json::from_str(line).expect("an older agent's update");
    let FromAgent::Update(older) = parsed else {
        panic!("not an update");
    };
    assert!(!older.admits && older.loads.is_none() && older.rate == 0);
}

/// Guards against a malformed line that ends more than its connection.
#[test]
fn malformed_lines_are_errors() {
    for_each_case(|bytes: Vec<u8>| {
        let _ = serde_json::from_slice::<FromAgent>(&bytes);
        let _ = serde_json::from_slice::<ToAgent>(&bytes);
    });
    assert!(serde_json::from_str::<FromAgent>(r#"{"ok":[-1]}"#).is_err());
    assert!(serde_json::from_str::<ToAgent>(r#"{"ask":{"i":1}}"#).is_err());
}

/// Guards against requests that wait for the admission of an agent that is gone, stuck or of an older
/// release.
#[test]
fn only_an_agent_that_answers_is_asked_for_admissions() {
    let now = Time::from_ms(10_000);
    let mut fleet = fleet(1, now);
    let admits = |fleet: &Fleet, now| {
        let runner = fleet.get("r0").expect("r0 is in the fleet");
        runner.admits_prompts(now)
    };
    assert!(admits(&fleet, now));
    fleet.mark_unanswered(now, "r0");
    assert!(!admits(&fleet, Time::from_ms(10_900)));
    assert!(admits(&fleet, Time::from_ms(11_000)));
    fleet.set_linked("r0", false);
    assert!(!admits(&fleet, Time::from_ms(12_000)));
    let mut older = state(&[]).update_since(None);
    older.admits = false;
    fleet.apply_update(Time::from_ms(13_000), "r0", &older);
    assert!(!admits(&fleet, Time::from_ms(13_000)));
}
