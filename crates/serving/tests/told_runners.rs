//! Guards against an agent that follows what an entry has read in a record of another writer.

use serving::link::Capacity;
use serving::told_runners::ToldRunner;
use serving::told_runners::ToldRunners;

fn told(runner: &str, born: u64, slots: u32) -> ToldRunner {
    let capacity = Capacity {
        weights_mb: 1_000.0,
        slots,
        models: Vec::new(),
    };
    ToldRunner {
        runner: runner.into(),
        born,
        capacity,
    }
}

/// A capacity of another service would overload the runner, and orders to another identifier are refused.
#[test]
fn only_the_reported_incarnation_counts() {
    let mut runners = ToldRunners::default();
    assert_eq!(runners.record(1, told("odd", 9, 400)), None);
    assert_eq!(runners.record(2, told("r1", 5, 4)), None);
    assert_eq!(runners.report(5), Some(told("r1", 5, 4).capacity));
    assert_eq!(runners.record(3, told("odd", 9, 400)), None);
    assert_eq!(runners.runner(5).map(|name| &**name), Some("r1"));
    assert_eq!(runners.report(5), None, "nothing is new");
    // It was told late.
    assert_eq!(runners.report(6), None);
    assert_eq!(runners.runner(6), None);
    let capacity = told("r2", 6, 5).capacity;
    assert_eq!(runners.record(4, told("r2", 6, 5)), Some(capacity));
}

#[test]
fn present_incarnation_outlasts_its_links() {
    let mut runners = ToldRunners::default();
    runners.record(1, told("r1", 5, 4));
    runners.report(5);
    runners.end_link(1);
    assert_eq!(runners.runner(5).map(|name| &**name), Some("r1"));
    assert_eq!(runners.entry_count(), 0);
}

/// What all entries share is divided by their number.
#[test]
fn entry_with_links_for_several_records_counts_once() {
    let mut runners = ToldRunners::default();
    for entry in 0..4 {
        runners.record(entry, told("r1", 5, 4));
        runners.record(100 + entry, told("odd", 9, 4));
    }
    assert_eq!(runners.entry_count(), 4);
    runners.end_link(0);
    runners.end_link(100);
    assert_eq!(runners.entry_count(), 3);
}
