//! Guards against adapters that move between runners without need, and against requests to draining
//! or replaced runners.

mod common;

use std::time::Duration;

use common::artifact;
use common::fleet;
use common::requirements;
use common::update;
use decision::collections::Map;
use decision::time::Time;
use serving::Name;
use serving::demand::RateLevel;
use serving::fleet::Fleet;
use serving::fleet::HealthSignal;
use serving::placement::Access;
use serving::placement::NoRunner;
use serving::placement::Placement;
use serving::placement::Requirements;
use serving::runner::Phase;

/// Returns the placement of a request that some runner can serve.
fn choose(
    fleet: &mut Fleet,
    now: Time,
    rng: &mut fastrand::Rng,
    requirements: &Requirements<'_>,
) -> Placement {
    fleet
        .place(now, rng, requirements)
        .expect("some runner is eligible")
}

#[test]
fn entries_choose_the_same_home_for_an_absent_adapter() {
    let now = Time::from_ms(10);
    for index in 0..200 {
        let artifact = artifact(index);
        let mut homes = Vec::new();
        for seed in 0..4 {
            let mut fleet = fleet(9, now);
            let mut rng = fastrand::Rng::with_seed(seed);
            let placement = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0));
            assert_eq!(placement.access, Access::Absent);
            homes.push(placement.runner);
        }
        homes.dedup();
        assert_eq!(
            homes.len(),
            1,
            "entries chose different homes for adapter {index}"
        );
    }
}

#[test]
fn short_lived_load_does_not_change_the_home() {
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let home = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0)).runner;
    for _ in 0..30 {
        let request = fleet.begin_request(now, &home, common::BORN, None, 400, None);
        assert!(request.is_some());
    }
    let again = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0)).runner;
    assert_eq!(home, again);
}

#[test]
fn loss_of_a_runner_moves_only_its_adapters() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let homes = |fleet: &mut Fleet, rng: &mut fastrand::Rng| -> Map<u32, Name> {
        let place = |index| {
            (
                index,
                choose(fleet, now, rng, &requirements(&artifact(index), 0)).runner,
            )
        };
        (0..300).map(place).collect()
    };
    let before = homes(&mut fleet, &mut rng);
    fleet.leave("r3");
    let after = homes(&mut fleet, &mut rng);
    for (index, home) in before {
        if &*home != "r3" {
            assert_eq!(home, after[&index]);
        }
    }
}

#[test]
fn replica_is_preferred_to_the_home() {
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let adapter = artifact
        .adapter
        .clone()
        .expect("the artifact has an adapter");
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let home = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0)).runner;
    let other = if &*home == "r0" { "r1" } else { "r0" };
    fleet.apply_update(now, other, &update(&[(&adapter, 1, 0)]));
    let placement = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0));
    assert_eq!(
        (&*placement.runner, placement.access),
        (other, Access::Ready { version: 1 })
    );
}

#[test]
fn outdated_version_counts_as_absent() {
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let adapter = artifact
        .adapter
        .clone()
        .expect("the artifact has an adapter");
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(1, now);
    fleet.apply_update(now, "r0", &update(&[(&adapter, 1, 0)]));
    let placement = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 2));
    assert_eq!(placement.access, Access::Absent);
}

#[test]
fn draining_runner_is_never_chosen() {
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(1, now);
    let mut draining = update(&[]);
    draining.draining = true;
    fleet.apply_update(now, "r0", &draining);
    let refused = fleet.place(now, &mut rng, &requirements(&artifact, 0));
    assert_eq!(refused.err(), Some(NoRunner::Leaving));
    // A membership record that was written before the drain does not revoke it.
    let mut member = common::member("r0");
    member.phase = Phase::Ready;
    fleet.join(now, member);
    assert!(
        fleet
            .place(now, &mut rng, &requirements(&artifact, 0))
            .is_err()
    );
}

#[test]
fn restart_with_the_same_id_resets_the_view() {
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let adapter = artifact
        .adapter
        .clone()
        .expect("the artifact has an adapter");
    let mut fleet = fleet(1, now);
    fleet.apply_update(now, "r0", &update(&[(&adapter, 1, 0)]));
    let request = fleet
        .begin_request(now, &Name::from("r0"), common::BORN, None, 0, None)
        .expect("r0 is in the fleet");
    let mut member = common::member("r0");
    member.born = 99;
    fleet.join(now, member);
    let runner = fleet.get("r0").expect("r0 is in the fleet");
    assert!(runner.adapters.is_empty());
    assert_eq!(runner.inflight, 0);
    // The end of a request to the old incarnation does not change the count of the new one.
    fleet.end_request(
        now,
        request,
        HealthSignal::Success(Duration::ZERO),
        &mut fastrand::Rng::with_seed(1),
    );
    assert_eq!(fleet.get("r0").map(|runner| runner.inflight), Some(0));
}

#[test]
fn runner_whose_address_a_newer_one_uses_is_not_chosen() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, now);
    let mut successor = common::member("r9");
    successor.born = 5;
    successor.addr = common::member("r0").addr;
    fleet.join(now, successor.clone());
    for _ in 0..20 {
        let placement = fleet.place(now, &mut rng, &common::no_model());
        assert_ne!(&*placement.expect("some runner is eligible").runner, "r0");
    }
    fleet.displace(now, "r1", "");
    fleet.displace(now, "r9", "");
    assert!(fleet.place(now, &mut rng, &common::no_model()).is_err());
    // The membership record of an older runner may be read after that of the newer one.
    let mut older = common::member("r8");
    older.born = 0;
    older.addr = successor.addr;
    fleet.join(now, older);
    assert!(fleet.get("r8").is_some_and(|runner| runner.replaced));
}

/// A record of another writer may claim the address of a live runner.
#[test]
fn runner_that_answers_in_place_of_a_newer_record_is_chosen_again() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(1, now);
    let mut odd = common::member("r9");
    odd.born = 5;
    odd.addr = common::member("r0").addr;
    fleet.join(now, odd);
    fleet.displace(now, "r9", "r7");
    assert!(fleet.place(now, &mut rng, &common::no_model()).is_err());
    fleet.displace(now, "r9", "r0");
    let placement = fleet.place(now, &mut rng, &common::no_model());
    assert_eq!(&*placement.expect("r0 is back").runner, "r0");
}

#[test]
fn unreachable_runner_is_chosen_only_as_a_last_resort() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, now);
    fleet.observe(now, "r0", HealthSignal::Unreachable, &mut rng);
    let requirements = common::no_model();
    for _ in 0..20 {
        let placement = fleet
            .place(now, &mut rng, &requirements)
            .expect("r1 is eligible");
        assert_eq!(&*placement.runner, "r1");
    }
    fleet.leave("r1");
    assert!(
        fleet.place(now, &mut rng, &requirements).is_ok(),
        "a runner with an open breaker is chosen if there is no other"
    );
}

#[test]
fn adapter_in_demand_gets_more_replicas_when_its_runner_is_busy() {
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let adapter = artifact
        .adapter
        .clone()
        .expect("the artifact has an adapter");
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let mut in_demand = update(&[(&adapter, 1, 0)]);
    in_demand.rate = 30;
    in_demand.adapters[0].rate = RateLevel::default().follow(30.0);
    fleet.apply_update(now, "r0", &in_demand);
    let mut others = update(&[]);
    others.rate = 70;
    fleet.apply_update(now, "r1", &others);
    let idle = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0));
    assert_eq!(
        idle.replica, None,
        "no replica is added while the only one is idle"
    );
    for _ in 0..20 {
        let request = fleet.begin_request(now, &"r0".into(), common::BORN, None, 0, None);
        assert!(request.is_some());
    }
    let placement = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0));
    assert_eq!(&*placement.runner, "r0");
    assert!(placement.replica.is_some_and(|replica| &*replica != "r0"));
    let again = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0));
    assert_eq!(again.replica, None, "replicas are added one at a time");
}

#[test]
fn refused_caller_retries_when_the_first_runner_has_loaded_the_model() {
    // After a power failure, no runner holds the model, and loading it takes the same time at each.
    let artifact = artifact(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = Fleet::new("z".into());
    for (id, ms) in [("r0", 1_000), ("r1", 1_200)] {
        let mut member = common::member(id);
        member.models.clear();
        fleet.join(Time::from_ms(ms), member);
    }
    let ms = Duration::from_millis;
    let mut refused = |at| {
        let now = Time::from_ms(at);
        let placement = fleet.place(now, &mut rng, &requirements(&artifact, 0));
        placement.map_err(|cause| cause.retry_after(now, ms(600)))
    };
    assert_eq!(
        refused(1_250),
        Err(Some(ms(350))),
        "remaining load time of the first runner"
    );
    assert_eq!(refused(1_900), Err(Some(ms(0))), "the load is overdue");
}

#[test]
fn adapter_is_not_loaded_at_a_home_with_a_long_load_queue() {
    // After several runners have crashed, the remaining ones become the homes of all their
    // adapters.
    let now = Time::from_ms(10);
    let artifact = artifact(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let home = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0)).runner;
    let names: Vec<String> = (100..114).map(|index| format!("m/a{index}")).collect();
    let loading: Vec<(&str, u64, u32)> = names.iter().map(|name| (name.as_str(), 1, 300)).collect();
    fleet.apply_update(now, &home, &update(&loading));
    let placement = choose(&mut fleet, now, &mut rng, &requirements(&artifact, 0));
    assert_ne!(placement.runner, home);
}

/// Guards against requests to the incarnation before a restart, which was chosen and may be leaving,
/// and to a runner that began to leave while the request waited for its admission or a connection.
#[test]
fn request_is_not_begun_at_a_runner_that_changed_since_its_choice() {
    let now = Time::from_ms(10);
    let mut fleet = fleet(2, now);
    let (restarted, leaving) = (Name::from("r0"), Name::from("r1"));
    let mut member = common::member("r0");
    member.born = common::BORN + 1;
    fleet.join(now, member);
    assert!(
        fleet
            .begin_request(now, &restarted, common::BORN, None, 0, None)
            .is_none()
    );
    assert!(
        fleet
            .begin_request(now, &restarted, common::BORN + 1, None, 0, None)
            .is_some()
    );
    let mut member = common::member("r1");
    member.phase = Phase::Draining;
    fleet.join(now, member);
    assert!(
        fleet
            .begin_request(now, &leaving, common::BORN, None, 0, None)
            .is_none()
    );
}
