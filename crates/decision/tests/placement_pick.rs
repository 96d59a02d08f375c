//! Endpoint selection: homes, replicas, breakers, draining and the order of reports.

mod common;

use std::time::Duration;

use common::*;
use decision::collections::Map;
use decision::collections::Set;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::placement::CostParams;
use decision::placement::EndpointId;
use decision::placement::EndpointOutcome;
use decision::placement::EndpointTable;
use decision::placement::Pick;
use decision::placement::PickArgs;
use decision::placement::PickError;
use decision::placement::Verdict;
use decision::route::Pool;
use decision::time::Time;
use objects::ObjectSet;

struct Fixture {
    table: EndpointTable,
    rng: fastrand::Rng,
    pool: Pool,
}

impl Fixture {
    fn new(set: &ObjectSet) -> Self {
        let mut table = EndpointTable::new("r".into(), "d0".into(), CostParams::default());
        table.apply_config(set, &all_live(set));
        Fixture {
            table,
            rng: fastrand::Rng::with_seed(1),
            pool: Pool::Model("m".into()),
        }
    }

    fn try_pick(
        &mut self,
        now: Time,
        version: &str,
        tried: &[EndpointId],
        repeatable: bool,
    ) -> Result<Pick, PickError> {
        let version: Name = version.into();
        let args = PickArgs {
            request: RequestId(1),
            pool: &self.pool,
            version: Some(&version),
            prefix: 0,
            tried,
            repeatable,
        };
        self.table.pick(now, &mut self.rng, &args)
    }

    fn pick(&mut self, now: Time, version: &str) -> Pick {
        self.try_pick(now, version, &[], true).unwrap()
    }

    fn finish(&mut self, now: Time, pick: &Pick, outcome: EndpointOutcome) {
        self.table.finish(now, &mut self.rng, pick, outcome);
    }
}

/// Guards against homes that all lie in one failure domain, whose loss would leave a version without
/// any replica.
#[test]
fn homes_spread_over_domains() {
    let set = sample_set(16, 40);
    let mut fixture = Fixture::new(&set);
    for version in set.versions.keys() {
        let homes = fixture.table.homes(&fixture.pool, version);
        let domains: Set<Name> = homes[..4]
            .iter()
            .map(|id| fixture.table.view(*id).object.domain.clone())
            .collect();
        assert_eq!(domains.len(), 4);
    }
}

/// Guards against a change of unrelated homes when one endpoint leaves, which would cause a burst of
/// loads.
#[test]
fn departure_moves_only_its_own_versions() {
    let set = sample_set(16, 200);
    let mut fixture = Fixture::new(&set);
    let removed = fixture.table.find("e3").unwrap();
    let mut before = Map::default();
    for version in set.versions.keys() {
        before.insert(
            version.clone(),
            fixture.table.homes(&fixture.pool, version)[0],
        );
    }
    let mut live = all_live(&set);
    live.remove("e3");
    fixture.table.apply_config(&set, &live);
    for (version, home) in before {
        let after = fixture.table.homes(&fixture.pool, &version)[0];
        assert!(home == removed || home == after, "{version} moved");
    }
}

/// Guards against requests for a version that is not resident anywhere going to different endpoints,
/// so that each of them loads it.
#[test]
fn requests_follow_a_load_in_progress() {
    let set = sample_set(14, 1);
    let mut fixture = Fixture::new(&set);
    let first = fixture.pick(Time::from_ms(0), "a0@1");
    assert!(first.needs_load);
    for ms in 1..10 {
        let next = fixture.pick(Time::from_ms(ms), "a0@1");
        assert_eq!((next.endpoint, next.needs_load), (first.endpoint, false));
    }
}

/// Guards against a version in high demand that stays on one endpoint while the queue there keeps
/// growing.
#[test]
fn replica_is_added_when_waiting_costs_more_than_a_load() {
    let set = sample_set(14, 1);
    let mut fixture = Fixture::new(&set);
    let version: Name = "a0@1".into();
    let homes = fixture.table.homes(&fixture.pool, &version);
    let name = fixture.table.view(homes[0]).object.name.clone();
    let mut busy = report(&name, 1, &["a0@1"]);
    busy.running = 16;
    fixture.table.apply_report(Time::from_ms(0), &busy);
    assert_eq!(fixture.pick(Time::from_ms(10), "a0@1").endpoint, homes[0]);
    let trace = fixture.table.traces().last().unwrap();
    assert_eq!(trace.candidates[1].verdict, Verdict::Gated);
    busy.seq = 2;
    busy.queued = 20;
    fixture.table.apply_report(Time::from_ms(20), &busy);
    assert_eq!(fixture.pick(Time::from_ms(30), "a0@1").endpoint, homes[1]);
}

/// Guards against picking an endpoint that refused a request as draining while the membership list
/// still shows it as live.
#[test]
fn refusal_as_draining_overrides_the_membership_list() {
    let set = sample_set(4, 1);
    let mut fixture = Fixture::new(&set);
    let pick = fixture.pick(Time::from_ms(0), "a0@1");
    let name = pick.name.clone();
    fixture.finish(Time::from_ms(1), &pick, EndpointOutcome::Draining);
    // This report was sent before the refusal, so it must not reset the draining state.
    fixture
        .table
        .apply_report(Time::from_ms(2), &report(&name, 1, &["a0@1"]));
    for ms in 3..100 {
        assert_ne!(
            fixture.pick(Time::from_ms(ms), "a0@1").endpoint,
            pick.endpoint
        );
    }
}

/// Guards against picking an endpoint that responded with a wrong adapter, even as a last resort.
#[test]
fn wrong_adapter_excludes_the_endpoint() {
    let set = sample_set(1, 1);
    let mut fixture = Fixture::new(&set);
    let pick = fixture.pick(Time::from_ms(0), "a0@1");
    fixture.finish(Time::from_ms(1), &pick, EndpointOutcome::WrongAdapter);
    let excluded = fixture.try_pick(Time::from_ms(2), "a0@1", &[], true);
    assert_eq!(excluded.unwrap_err(), PickError::Exhausted);
    // A non-repeatable request must not be the probe.
    let later = Time::from_ms(8_000);
    fixture
        .table
        .apply_report(later, &report("e0", 1, &["a0@1"]));
    assert!(fixture.try_pick(later, "a0@1", &[], false).is_err());
    let probe = fixture.pick(later, "a0@1");
    assert!(probe.probe);
    assert!(fixture.try_pick(later, "a0@1", &[], true).is_err());
    fixture.finish(
        later,
        &probe,
        EndpointOutcome::Success(Duration::from_millis(5)),
    );
    assert!(!fixture.pick(later, "a0@1").probe);
}

/// Guards against refusing all requests because the breakers of all remaining endpoints are open.
#[test]
fn open_breaker_is_the_last_resort() {
    let set = sample_set(2, 1);
    let mut fixture = Fixture::new(&set);
    let now = Time::from_ms(0);
    let first = fixture.pick(now, "a0@1");
    for _ in 0..5 {
        let pick = fixture.pick(now, "a0@1");
        if pick.endpoint == first.endpoint {
            fixture.finish(now, &pick, EndpointOutcome::Failure);
        }
    }
    assert_ne!(fixture.pick(now, "a0@1").endpoint, first.endpoint);
    let other = if first.name.as_ref() == "e0" {
        "e1"
    } else {
        "e0"
    };
    fixture.table.set_link(other, None);
    assert_eq!(fixture.pick(now, "a0@1").endpoint, first.endpoint);
}

/// Guards against a retry of a booking at an endpoint to which it was already sent.
#[test]
fn booking_never_returns_to_a_tried_endpoint() {
    let set = sample_set(2, 1);
    let mut fixture = Fixture::new(&set);
    let all = [
        fixture.table.find("e0").unwrap(),
        fixture.table.find("e1").unwrap(),
    ];
    for name in ["e0", "e1"] {
        fixture
            .table
            .apply_report(Time::from_ms(0), &report(name, 1, &[]));
    }
    assert!(
        fixture
            .try_pick(Time::from_ms(0), "a0@1", &all[..1], false)
            .is_ok()
    );
    assert!(
        fixture
            .try_pick(Time::from_ms(0), "a0@1", &all, false)
            .is_err()
    );
    assert!(
        fixture
            .try_pick(Time::from_ms(0), "a0@1", &all, true)
            .is_ok()
    );
}

/// Guards against a claim that names no incarnation, so that any later incarnation of the agent
/// could run it.
#[test]
fn booking_needs_a_known_incarnation() {
    let set = sample_set(1, 1);
    let mut fixture = Fixture::new(&set);
    let now = Time::from_ms(0);
    assert!(fixture.try_pick(now, "a0@1", &[], false).is_err());
    fixture.table.apply_report(now, &report("e0", 1, &[]));
    assert!(fixture.try_pick(now, "a0@1", &[], false).is_ok());
}

/// Guards against an older report that replaces a newer one, and against versions that a report showed
/// before the agent restarted.
#[test]
fn reports_are_applied_in_order() {
    let set = sample_set(1, 2);
    let mut fixture = Fixture::new(&set);
    assert!(
        fixture
            .table
            .apply_report(Time::from_ms(0), &report("e0", 2, &["a0@1"]))
    );
    assert!(
        !fixture
            .table
            .apply_report(Time::from_ms(1), &report("e0", 1, &["a1@1"]))
    );
    assert_eq!(fixture.table.replicas("a0@1").len(), 1);
    assert!(fixture.table.replicas("a1@1").is_empty());
    fixture
        .table
        .set_link("e0", Some(decision::ids::Incarnation(2)));
    assert!(fixture.table.replicas("a0@1").is_empty());
}

/// Guards against a thundering herd: while reports lag, entries must not send all requests to the same
/// endpoint.
#[test]
fn own_picks_count_before_the_next_report() {
    let set = sample_set(4, 1);
    let mut fixture = Fixture::new(&set);
    for name in ["e0", "e1", "e2", "e3"] {
        fixture
            .table
            .apply_report(Time::from_ms(0), &report(name, 1, &["a0@1"]));
    }
    let mut counts: Map<EndpointId, u32> = Map::default();
    for _ in 0..64 {
        *counts
            .entry(fixture.pick(Time::from_ms(10), "a0@1").endpoint)
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

/// Guards against an entry that counts as ready while claims of bookings cannot name the incarnation
/// of every agent.
#[test]
fn has_all_reports_needs_every_live_endpoint() {
    let set = sample_set(3, 4);
    let mut fixture = Fixture::new(&set);
    let names: Vec<Name> = set.endpoints.keys().cloned().collect();
    for name in &names {
        assert!(
            !fixture.table.has_all_reports(),
            "before the report of {name}"
        );
        let report = report(name, 1, &[]);
        assert!(fixture.table.apply_report(Time::from_ms(1), &report));
    }
    assert!(fixture.table.has_all_reports());
}
