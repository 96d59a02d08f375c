//! Draining and stopping an agent: refused jobs, work that is completed first, and when it exits.

mod harness;
use harness::*;

/// Guards against a planned stop that interrupts a request, accepts new jobs or keeps the lease.
#[test]
fn termination_signal_completes_all_jobs() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.service_time = Duration::from_secs(25);
    harness.dispatch(job(1, "a@1"));
    harness.dispatch(claimed(2, "a@1"));
    harness.advance(ms(500));
    harness.handle(Event::Drain(Reason::Signal, true));
    harness.dispatch(job(3, "a@1"));
    assert_eq!(harness.refusal(3), Some(Refusal::Draining));
    assert!(harness.core.report(harness.now).draining);
    harness.advance(ms(49_000));
    assert_eq!(harness.exited_at, None);
    assert!(!harness.lease_row.unwrap().1.released);
    harness.advance(ms(2_000));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    assert_eq!(harness.outcome(2), Some(Outcome::Ran));
    assert!(
        harness.lease_row.unwrap().1.released,
        "the lease is released"
    );
    assert!(harness.exited_at.is_some());
    let drain_logs = harness
        .logs
        .iter()
        .filter(|log| log.1.starts_with("draining"));
    assert_eq!(drain_logs.count(), 5, "one line every 10 s");
}

/// Guards against exiting before the outcome of a claimed job is in its claim row.
#[test]
fn claim_row_is_written_before_exit() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.dispatch(claimed(1, "a@1"));
    harness.advance(ms(300));
    harness.entry_reachable = false;
    harness.handle(Event::Drain(Reason::Leaving, true));
    harness.write_time = ms(2_000);
    harness.advance(ms(1_900));
    assert_eq!((harness.claim_writes.len(), harness.exited_at), (1, None));
    harness.advance(ms(300));
    assert!(harness.exited_at.is_some());
}

/// Guards against a stop that hangs because the table is down.
#[test]
fn table_outage_does_not_block_stop() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.table_up = false;
    harness.handle(Event::Drain(Reason::Signal, true));
    harness.advance(ms(5_000));
    assert!(harness.exited_at.is_some());
}

/// Guards against an agent that exits during a configured drain, or still refuses jobs after it.
#[test]
fn configured_drain_can_end() {
    let mut harness = Harness::new(config(1, 1, 8));
    let mut draining = config(1, 1, 8);
    draining.draining = true;
    draining.head.generation = 2;
    harness.handle(Event::Config(Box::new(draining)));
    harness.dispatch(job(1, "a@1"));
    assert_eq!(harness.refusal(1), Some(Refusal::Draining));
    harness.advance(ms(20_000));
    assert_eq!(harness.exited_at, None);
    // A late configuration of an older generation has no effect.
    harness.handle(Event::Config(Box::new(config(1, 1, 8))));
    harness.dispatch(job(2, "a@1"));
    assert_eq!(harness.refusal(2), Some(Refusal::Draining));
    let mut open = config(1, 1, 8);
    open.head.generation = 3;
    harness.handle(Event::Config(Box::new(open)));
    harness.dispatch(job(3, "a@1"));
    harness.advance(ms(1_000));
    assert_eq!(harness.outcome(3), Some(Outcome::Ran));
}

/// Guards against a withdrawn version that is unloaded during its last request or stays after it.
#[test]
fn withdrawn_version_is_unloaded_when_idle() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(290));
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
    harness.handle(Event::Config(Box::new(next)));
    harness.advance(ms(10));
    assert!(harness.unloads.is_empty());
    harness.advance(ms(200));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    assert_eq!(harness.unloads, [Name::from("a@1")]);
    assert_eq!(harness.resident, Set::default());
}
