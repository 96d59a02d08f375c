//! Drain and stop: what is refused, what is waited for, when the process leaves.

mod harness;
use harness::*;

/// Guards against a planned stop that cuts off a request, takes new work, or keeps the lease.
#[test]
fn signal_finishes_all_work() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.service_time = Duration::from_secs(25);
    harness.dispatch(job(1, "a@1"));
    harness.dispatch(claimed(2, "a@1"));
    harness.run(ms(500));
    harness.give(Event::Drain(Reason::Signal, true));
    harness.dispatch(job(3, "a@1"));
    assert_eq!(harness.refusal(3), Some(Refusal::Draining));
    assert!(harness.core.report(harness.now).draining);
    harness.run(ms(49_000));
    assert_eq!(harness.left, None);
    assert!(!harness.row.unwrap().1.released);
    harness.run(ms(2_000));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    assert_eq!(harness.outcome(2), Some(Outcome::Ran));
    assert!(harness.row.unwrap().1.released, "the lease is given up");
    assert!(harness.left.is_some());
    let waits = harness
        .logs
        .iter()
        .filter(|log| log.1.starts_with("draining"));
    assert_eq!(waits.count(), 5, "one line every 10 s");
}

/// Guards against leaving before the outcome of an order is in its claim row.
#[test]
fn claim_row_is_written_before_leaving() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.dispatch(claimed(1, "a@1"));
    harness.run(ms(300));
    harness.delivering = false;
    harness.give(Event::Drain(Reason::Leaving, true));
    harness.write_time = ms(2_000);
    harness.run(ms(1_900));
    assert_eq!((harness.writes.len(), harness.left), (1, None));
    harness.run(ms(300));
    assert!(harness.left.is_some());
}

/// Guards against a process that hangs at its stop because the table is down.
#[test]
fn table_outage_does_not_block_stop() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.table_up = false;
    harness.give(Event::Drain(Reason::Signal, true));
    harness.run(ms(5_000));
    assert!(harness.left.is_some());
}

/// Guards against an endpoint that stays out of service, or exits, after a configured drain ends.
#[test]
fn configured_drain_can_end() {
    let mut harness = Harness::new(config(1, 1, 8));
    let mut draining = config(1, 1, 8);
    draining.draining = true;
    draining.head.generation = 2;
    harness.give(Event::Config(Box::new(draining)));
    harness.dispatch(job(1, "a@1"));
    assert_eq!(harness.refusal(1), Some(Refusal::Draining));
    harness.run(ms(20_000));
    assert_eq!(harness.left, None);
    // An older configuration that arrives late changes nothing.
    harness.give(Event::Config(Box::new(config(1, 1, 8))));
    harness.dispatch(job(2, "a@1"));
    assert_eq!(harness.refusal(2), Some(Refusal::Draining));
    let mut open = config(1, 1, 8);
    open.head.generation = 3;
    harness.give(Event::Config(Box::new(open)));
    harness.dispatch(job(3, "a@1"));
    harness.run(ms(1_000));
    assert_eq!(harness.outcome(3), Some(Outcome::Ran));
}

/// Guards against a withdrawn version that leaves during its last request or stays after it.
#[test]
fn withdrawn_version_leaves_when_idle() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(job(1, "a@1"));
    harness.run(ms(290));
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
    harness.give(Event::Config(Box::new(next)));
    harness.run(ms(10));
    assert!(harness.unloads.is_empty());
    harness.run(ms(200));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    assert_eq!(harness.unloads, [Name::from("a@1")]);
    assert_eq!(harness.resident, Set::default());
}
