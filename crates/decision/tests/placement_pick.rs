//! The choice of an endpoint.

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

struct Bench {
    places: EndpointTable,
    rng: fastrand::Rng,
    pool: Pool,
}

impl Bench {
    fn new(set: &ObjectSet) -> Self {
        let mut places = EndpointTable::new("r".into(), "d0".into(), CostParams::default());
        places.apply_config(set, &all_live(set));
        Bench {
            places,
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
        let want = PickArgs {
            request: RequestId(1),
            pool: &self.pool,
            version: Some(&version),
            prefix: 0,
            tried,
            repeatable,
        };
        self.places.pick(now, &mut self.rng, &want)
    }

    fn pick(&mut self, now: Time, version: &str) -> Pick {
        self.try_pick(now, version, &[], true).unwrap()
    }

    fn finish(&mut self, now: Time, pick: &Pick, end: EndpointOutcome) {
        self.places.finish(now, &mut self.rng, pick, end);
    }
}

/// Guards against homes that all lie in one failure domain, so that its loss makes a version cold.
#[test]
fn homes_spread_over_domains() {
    let set = sample_set(16, 40);
    let mut bench = Bench::new(&set);
    for version in set.versions.keys() {
        let homes = bench.places.homes(&bench.pool, version);
        let domains: Set<Name> = homes[..4]
            .iter()
            .map(|id| bench.places.view(*id).object.domain.clone())
            .collect();
        assert_eq!(domains.len(), 4);
    }
}

/// Guards against reshuffled homes, and so a storm of loads, when one endpoint leaves.
#[test]
fn departure_moves_only_its_own_versions() {
    let set = sample_set(16, 200);
    let mut bench = Bench::new(&set);
    let gone = bench.places.find("e3").unwrap();
    let mut before = Map::default();
    for version in set.versions.keys() {
        before.insert(version.clone(), bench.places.homes(&bench.pool, version)[0]);
    }
    let mut live = all_live(&set);
    live.remove("e3");
    bench.places.apply_config(&set, &live);
    for (version, home) in before {
        let after = bench.places.homes(&bench.pool, &version)[0];
        assert!(home == gone || home == after, "{version} moved");
    }
}

/// Guards against a cold version that each request sends to another endpoint while it loads.
#[test]
fn requests_follow_a_load_in_progress() {
    let set = sample_set(14, 1);
    let mut bench = Bench::new(&set);
    let first = bench.pick(Time::from_ms(0), "a0@1");
    assert!(first.needs_load);
    for ms in 1..10 {
        let next = bench.pick(Time::from_ms(ms), "a0@1");
        assert_eq!((next.endpoint, next.needs_load), (first.endpoint, false));
    }
}

/// Guards against a hot version that stays on one endpoint whose queue grows without end.
#[test]
fn replica_opens_when_waiting_costs_more_than_a_load() {
    let set = sample_set(14, 1);
    let mut bench = Bench::new(&set);
    let version: Name = "a0@1".into();
    let homes = bench.places.homes(&bench.pool, &version);
    let name = bench.places.view(homes[0]).object.name.clone();
    let mut busy = report(&name, 1, &["a0@1"]);
    busy.running = 16;
    bench.places.apply_report(Time::from_ms(0), &busy);
    assert_eq!(bench.pick(Time::from_ms(10), "a0@1").endpoint, homes[0]);
    let trace = bench.places.traces().last().unwrap();
    assert_eq!(trace.candidates[1].verdict, Verdict::Gated);
    busy.seq = 2;
    busy.queued = 20;
    bench.places.apply_report(Time::from_ms(20), &busy);
    assert_eq!(bench.pick(Time::from_ms(30), "a0@1").endpoint, homes[1]);
}

/// Guards against work for an endpoint that said it is leaving while the membership list lags.
#[test]
fn refusal_as_draining_outranks_the_list() {
    let set = sample_set(4, 1);
    let mut bench = Bench::new(&set);
    let pick = bench.pick(Time::from_ms(0), "a0@1");
    let name = pick.name.clone();
    bench.finish(Time::from_ms(1), &pick, EndpointOutcome::Draining);
    // A report that was sent before the refusal must not undo it.
    bench
        .places
        .apply_report(Time::from_ms(2), &report(&name, 1, &["a0@1"]));
    for ms in 3..100 {
        assert_ne!(
            bench.pick(Time::from_ms(ms), "a0@1").endpoint,
            pick.endpoint
        );
    }
}

/// Guards against a request on an endpoint that answered as another adapter, even as a last resort.
#[test]
fn wrong_adapter_bars_the_endpoint() {
    let set = sample_set(1, 1);
    let mut bench = Bench::new(&set);
    let pick = bench.pick(Time::from_ms(0), "a0@1");
    bench.finish(Time::from_ms(1), &pick, EndpointOutcome::WrongAdapter);
    let barred = bench.try_pick(Time::from_ms(2), "a0@1", &[], true);
    assert_eq!(barred.unwrap_err(), PickError::Exhausted);
    // A non-repeatable request must not be the probe.
    let later = Time::from_ms(8_000);
    bench
        .places
        .apply_report(later, &report("e0", 1, &["a0@1"]));
    assert!(bench.try_pick(later, "a0@1", &[], false).is_err());
    let probe = bench.pick(later, "a0@1");
    assert!(probe.probe);
    assert!(bench.try_pick(later, "a0@1", &[], true).is_err());
    bench.finish(
        later,
        &probe,
        EndpointOutcome::Success(Duration::from_millis(5)),
    );
    assert!(!bench.pick(later, "a0@1").probe);
}

/// Guards against an outage of the service because the breakers of all endpoints are open.
#[test]
fn open_breaker_is_the_last_resort() {
    let set = sample_set(2, 1);
    let mut bench = Bench::new(&set);
    let now = Time::from_ms(0);
    let first = bench.pick(now, "a0@1");
    for _ in 0..5 {
        let pick = bench.pick(now, "a0@1");
        if pick.endpoint == first.endpoint {
            bench.finish(now, &pick, EndpointOutcome::Failure);
        }
    }
    assert_ne!(bench.pick(now, "a0@1").endpoint, first.endpoint);
    let other = if first.name.as_ref() == "e0" {
        "e1"
    } else {
        "e0"
    };
    bench.places.set_link(other, None);
    assert_eq!(bench.pick(now, "a0@1").endpoint, first.endpoint);
}

/// Guards against a retry of a booking on the endpoint that it was already sent to.
#[test]
fn booking_never_returns_to_a_tried_endpoint() {
    let set = sample_set(2, 1);
    let mut bench = Bench::new(&set);
    let all = [
        bench.places.find("e0").unwrap(),
        bench.places.find("e1").unwrap(),
    ];
    for name in ["e0", "e1"] {
        bench
            .places
            .apply_report(Time::from_ms(0), &report(name, 1, &[]));
    }
    assert!(
        bench
            .try_pick(Time::from_ms(0), "a0@1", &all[..1], false)
            .is_ok()
    );
    assert!(
        bench
            .try_pick(Time::from_ms(0), "a0@1", &all, false)
            .is_err()
    );
    assert!(bench.try_pick(Time::from_ms(0), "a0@1", &all, true).is_ok());
}

/// Guards against a claim that names no incarnation, which any restart of the agent could run.
#[test]
fn booking_needs_a_known_incarnation() {
    let set = sample_set(1, 1);
    let mut bench = Bench::new(&set);
    let now = Time::from_ms(0);
    assert!(bench.try_pick(now, "a0@1", &[], false).is_err());
    bench.places.apply_report(now, &report("e0", 1, &[]));
    assert!(bench.try_pick(now, "a0@1", &[], false).is_ok());
}

/// Guards against a late report that hides a later one, and against a stale one after a restart.
#[test]
fn reports_apply_in_order() {
    let set = sample_set(1, 2);
    let mut bench = Bench::new(&set);
    assert!(
        bench
            .places
            .apply_report(Time::from_ms(0), &report("e0", 2, &["a0@1"]))
    );
    assert!(
        !bench
            .places
            .apply_report(Time::from_ms(1), &report("e0", 1, &["a1@1"]))
    );
    assert_eq!(bench.places.replicas("a0@1").len(), 1);
    assert!(bench.places.replicas("a1@1").is_empty());
    bench
        .places
        .set_link("e0", Some(decision::ids::Incarnation(2)));
    assert!(bench.places.replicas("a0@1").is_empty());
}

/// Guards against a herd: entries with the same lagged view must not all queue on one endpoint.
#[test]
fn own_picks_count_before_the_next_report() {
    let set = sample_set(4, 1);
    let mut bench = Bench::new(&set);
    for name in ["e0", "e1", "e2", "e3"] {
        bench
            .places
            .apply_report(Time::from_ms(0), &report(name, 1, &["a0@1"]));
    }
    let mut counts: Map<EndpointId, u32> = Map::default();
    for _ in 0..64 {
        *counts
            .entry(bench.pick(Time::from_ms(10), "a0@1").endpoint)
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

/// Guards against an entry that counts as ready while bookings have no agent incarnation to name.
#[test]
fn contact_needs_all_live_endpoints() {
    let set = sample_set(3, 4);
    let mut bench = Bench::new(&set);
    let names: Vec<Name> = set.endpoints.keys().cloned().collect();
    for name in &names {
        assert!(
            !bench.places.has_all_reports(),
            "before the report of {name}"
        );
        let report = report(name, 1, &[]);
        assert!(bench.places.apply_report(Time::from_ms(1), &report));
    }
    assert!(bench.places.has_all_reports());
}
