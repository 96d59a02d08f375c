//! Drain and stop: what is refused, what is waited for, when the process leaves.

mod world;
use world::*;

/// Guards against a planned stop that cuts off a request, takes new work, or keeps the lease.
#[test]
fn signal_finishes_all_work() {
    let mut world = World::new(config(1, 1, 8));
    world.service_time = Duration::from_secs(25);
    world.dispatch(job(1, "a@1"));
    world.dispatch(claimed(2, "a@1"));
    world.run(ms(500));
    world.give(Event::Drain(Reason::Signal, true));
    world.dispatch(job(3, "a@1"));
    assert_eq!(world.refusal(3), Some(Refusal::Draining));
    assert!(world.core.report(world.now).draining);
    world.run(ms(49_000));
    assert_eq!(world.left, None);
    assert!(!world.row.unwrap().1.released);
    world.run(ms(2_000));
    assert_eq!(world.outcome(1), Some(Outcome::Ran));
    assert_eq!(world.outcome(2), Some(Outcome::Ran));
    assert!(world.row.unwrap().1.released, "the lease is given up");
    assert!(world.left.is_some());
    let waits = world
        .logs
        .iter()
        .filter(|log| log.1.starts_with("draining"));
    assert_eq!(waits.count(), 5, "one line every 10 s");
}

/// Guards against leaving before the outcome of an order is in its claim row.
#[test]
fn claim_row_is_written_before_leaving() {
    let mut world = World::new(config(1, 1, 8));
    world.dispatch(claimed(1, "a@1"));
    world.run(ms(300));
    world.delivering = false;
    world.give(Event::Drain(Reason::Leaving, true));
    world.write_time = ms(2_000);
    world.run(ms(1_900));
    assert_eq!((world.writes.len(), world.left), (1, None));
    world.run(ms(300));
    assert!(world.left.is_some());
}

/// Guards against a process that hangs at its stop because the table is down.
#[test]
fn table_outage_does_not_block_stop() {
    let mut world = World::new(config(1, 1, 8));
    world.table_up = false;
    world.give(Event::Drain(Reason::Signal, true));
    world.run(ms(5_000));
    assert!(world.left.is_some());
}

/// Guards against an endpoint that stays out of service, or exits, after a configured drain ends.
#[test]
fn configured_drain_can_end() {
    let mut world = World::new(config(1, 1, 8));
    let mut draining = config(1, 1, 8);
    draining.draining = true;
    draining.head.generation = 2;
    world.give(Event::Config(Box::new(draining)));
    world.dispatch(job(1, "a@1"));
    assert_eq!(world.refusal(1), Some(Refusal::Draining));
    world.run(ms(20_000));
    assert_eq!(world.left, None);
    // An older configuration that arrives late changes nothing.
    world.give(Event::Config(Box::new(config(1, 1, 8))));
    world.dispatch(job(2, "a@1"));
    assert_eq!(world.refusal(2), Some(Refusal::Draining));
    let mut open = config(1, 1, 8);
    open.head.generation = 3;
    world.give(Event::Config(Box::new(open)));
    world.dispatch(job(3, "a@1"));
    world.run(ms(1_000));
    assert_eq!(world.outcome(3), Some(Outcome::Ran));
}

/// Guards against a withdrawn version that leaves during its last request or stays after it.
#[test]
fn withdrawn_version_leaves_when_idle() {
    let mut world = World::new(config(2, 1, 8));
    world.dispatch(job(1, "a@1"));
    world.run(ms(290));
    let version = AdapterVersion {
        name: "a@1".into(),
        adapter: "a".into(),
        weights: "s".into(),
        digest: "d".into(),
        withdrawn: true,
    };
    let mut set = ObjectSet::default();
    set.versions.insert(version.name.clone(), Arc::new(version));
    let mut next = config(2, 1, 8);
    next.set = Arc::new(set);
    next.head = Head {
        generation: 1,
        digest: String::new(),
    };
    world.give(Event::Config(Box::new(next)));
    world.run(ms(10));
    assert!(world.unloads.is_empty());
    world.run(ms(200));
    assert_eq!(world.outcome(1), Some(Outcome::Ran));
    assert_eq!(world.unloads, [Name::from("a@1")]);
    assert_eq!(world.resident, Set::default());
}
