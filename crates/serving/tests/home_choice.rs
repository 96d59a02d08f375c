//! Guards against adapters that wander between runners, and against requests to runners that leave.

mod common;

use std::time::Duration;

use common::chat;
use common::fleet;
use common::update;
use common::want;
use decision::collections::Map;
use decision::time::Time;
use serving::Name;
use serving::fleet::Fleet;
use serving::fleet::HealthSignal;
use serving::placement::Access;
use serving::placement::NoRunner;
use serving::placement::Placement;
use serving::placement::Requirements;
use serving::runner::Phase;

/// Returns the runner that a request is sent to.
fn choose(
    fleet: &mut Fleet,
    now: Time,
    rng: &mut fastrand::Rng,
    want: &Requirements<'_>,
) -> Placement {
    fleet.place(now, rng, want).expect("a runner")
}

#[test]
fn entries_choose_the_same_home_for_an_absent_adapter() {
    let now = Time::from_ms(10);
    for index in 0..200 {
        let artifact = chat(index);
        let mut homes = Vec::new();
        for seed in 0..4 {
            let mut fleet = fleet(9, now);
            let mut rng = fastrand::Rng::with_seed(seed);
            let placed = choose(&mut fleet, now, &mut rng, &want(&artifact, 0));
            assert_eq!(placed.access, Access::Absent);
            homes.push(placed.runner);
        }
        homes.dedup();
        assert_eq!(homes.len(), 1, "adapter {index} has several homes");
    }
}

#[test]
fn passing_load_does_not_move_a_home() {
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let home = choose(&mut fleet, now, &mut rng, &want(&artifact, 0)).runner;
    for _ in 0..30 {
        let lease = fleet.begin_request(&home, None, 400);
        assert!(lease.is_some());
    }
    let again = choose(&mut fleet, now, &mut rng, &want(&artifact, 0)).runner;
    assert_eq!(home, again);
}

#[test]
fn losing_a_runner_moves_only_its_adapters() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let homes = |fleet: &mut Fleet, rng: &mut fastrand::Rng| -> Map<u32, Name> {
        let place = |index| {
            (
                index,
                choose(fleet, now, rng, &want(&chat(index), 0)).runner,
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
fn holder_is_preferred_to_a_home() {
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let adapter = artifact.adapter.clone().expect("an adapter");
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let home = choose(&mut fleet, now, &mut rng, &want(&artifact, 0)).runner;
    let other = if &*home == "r0" { "r1" } else { "r0" };
    fleet.apply_update(now, other, &update(&[(&adapter, 1, 0)]));
    let placed = choose(&mut fleet, now, &mut rng, &want(&artifact, 0));
    assert_eq!(
        (&*placed.runner, placed.access),
        (other, Access::Ready { version: 1 })
    );
}

#[test]
fn outdated_version_is_not_ready() {
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let adapter = artifact.adapter.clone().expect("an adapter");
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(1, now);
    fleet.apply_update(now, "r0", &update(&[(&adapter, 1, 0)]));
    let placed = choose(&mut fleet, now, &mut rng, &want(&artifact, 2));
    assert_eq!(placed.access, Access::Absent);
}

#[test]
fn leaving_runner_is_never_chosen() {
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(1, now);
    let mut draining = update(&[]);
    draining.draining = true;
    fleet.apply_update(now, "r0", &draining);
    let refused = fleet.place(now, &mut rng, &want(&artifact, 0));
    assert_eq!(refused.err(), Some(NoRunner::Leaving));
    // A membership entry that was written before the drain does not take it back.
    let mut member = common::member("r0");
    member.phase = Phase::Ready;
    fleet.join(now, member);
    assert!(fleet.place(now, &mut rng, &want(&artifact, 0)).is_err());
}

#[test]
fn restart_under_the_same_id_empties_the_view() {
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let adapter = artifact.adapter.clone().expect("an adapter");
    let mut fleet = fleet(1, now);
    fleet.apply_update(now, "r0", &update(&[(&adapter, 1, 0)]));
    let lease = fleet
        .begin_request(&Name::from("r0"), None, 0)
        .expect("a lease");
    let mut member = common::member("r0");
    member.born = 99;
    fleet.join(now, member);
    let runner = fleet.get("r0").expect("the runner");
    assert!(runner.adapters.is_empty());
    assert_eq!(runner.inflight, 0);
    // The old incarnation's request ends without touching the new one's count.
    fleet.end_request(
        now,
        lease,
        HealthSignal::Success(Duration::ZERO),
        &mut fastrand::Rng::with_seed(1),
    );
    assert_eq!(fleet.get("r0").map(|runner| runner.inflight), Some(0));
}

#[test]
fn runner_whose_address_another_one_has_is_not_chosen() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, now);
    let mut successor = common::member("r9");
    successor.born = 5;
    successor.addr = common::member("r0").addr;
    fleet.join(now, successor.clone());
    for _ in 0..20 {
        let placed = fleet.place(now, &mut rng, &common::plain());
        assert_ne!(&*placed.expect("a runner").runner, "r0");
    }
    fleet.mark_replaced("r1");
    fleet.mark_replaced("r9");
    assert!(fleet.place(now, &mut rng, &common::plain()).is_err());
    // An entry of an older start may be read after the newer one.
    let mut late = common::member("r8");
    late.born = 0;
    late.addr = successor.addr;
    fleet.join(now, late);
    assert!(fleet.get("r8").is_some_and(|runner| runner.replaced));
}

#[test]
fn unreachable_runner_is_avoided_and_tried_again() {
    let now = Time::from_ms(10);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, now);
    fleet.observe(now, "r0", HealthSignal::Unreachable, &mut rng);
    let plain = common::plain();
    for _ in 0..20 {
        let placed = fleet.place(now, &mut rng, &plain).expect("a runner");
        assert_eq!(&*placed.runner, "r1");
    }
    fleet.leave("r1");
    assert!(
        fleet.place(now, &mut rng, &plain).is_ok(),
        "the last one is better than none"
    );
}

#[test]
fn popular_adapter_of_a_busy_runner_gets_more_holders() {
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let adapter = artifact.adapter.clone().expect("an adapter");
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    fleet.apply_update(now, "r0", &update(&[(&adapter, 1, 0)]));
    fleet.demand.record(now, &adapter, 30);
    fleet.demand.record(now, &"m/others".into(), 70);
    let idle = choose(&mut fleet, now, &mut rng, &want(&artifact, 0));
    assert_eq!(idle.replica, None, "an idle holder needs no help");
    for _ in 0..20 {
        let lease = fleet.begin_request(&"r0".into(), None, 0);
        assert!(lease.is_some());
    }
    let placed = choose(&mut fleet, now, &mut rng, &want(&artifact, 0));
    assert_eq!(&*placed.runner, "r0");
    assert!(placed.replica.is_some_and(|replica| &*replica != "r0"));
    let again = choose(&mut fleet, now, &mut rng, &want(&artifact, 0));
    assert_eq!(again.replica, None, "holders are added one at a time");
}

#[test]
fn caller_returns_when_the_first_runner_has_the_model() {
    // After a power loss all runners are empty, and each load of the model takes as long.
    let artifact = chat(1);
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
        let placed = fleet.place(now, &mut rng, &want(&artifact, 0));
        placed.map_err(|cause| cause.retry_after(now, ms(600)))
    };
    assert_eq!(refused(1_250), Err(Some(ms(350))), "the first one's load");
    assert_eq!(refused(1_900), Err(Some(ms(0))), "it is overdue");
}

#[test]
fn home_with_a_long_queue_of_loads_passes_adapters_on() {
    // A crash wave sends the adapters of several runners to the homes that are left.
    let now = Time::from_ms(10);
    let artifact = chat(1);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(9, now);
    let home = choose(&mut fleet, now, &mut rng, &want(&artifact, 0)).runner;
    let names: Vec<String> = (100..114).map(|index| format!("m/a{index}")).collect();
    let coming: Vec<(&str, u64, u32)> = names.iter().map(|name| (name.as_str(), 1, 300)).collect();
    fleet.apply_update(now, &home, &update(&coming));
    let placed = choose(&mut fleet, now, &mut rng, &want(&artifact, 0));
    assert_ne!(placed.runner, home);
}
