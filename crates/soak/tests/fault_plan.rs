//! Guards against plans that change between runs of one seed, or that leave kinds of faults out.

use std::mem::discriminant;

use soak::plan::Fault;
use soak::plan::Size;
use soak::plan::plan;

#[test]
fn plan_follows_from_the_seed() {
    let first = plan(7, 20_000, Size::USUAL);
    assert_eq!(first, plan(7, 20_000, Size::USUAL));
    assert_ne!(first, plan(8, 20_000, Size::USUAL));
}

#[test]
fn longer_run_begins_like_a_shorter_one() {
    let short = plan(7, 10_000, Size::USUAL);
    let long = plan(7, 20_000, Size::USUAL);
    assert_eq!(short, long[..short.len()]);
    assert!(short.iter().all(|(at, _)| *at < 10_000));
}

#[test]
fn every_kind_of_fault_comes() {
    let mut kinds: Vec<_> = Vec::new();
    for seed in 0..20 {
        for (_, fault) in plan(seed, 20_000, Size::USUAL) {
            let kind = discriminant(&fault);
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
    }
    assert_eq!(kinds.len(), 15);
}

#[test]
fn faults_name_what_exists() {
    let size = Size::USUAL;
    for seed in 0..50 {
        for (_, fault) in plan(seed, 20_000, size) {
            let (index, count) = match fault {
                Fault::StoreLink(entry, ..) | Fault::Reload(entry) => (entry, size.entries),
                Fault::AgentLink(agent, ..) => (agent, size.engines),
                Fault::RunnerLink(runner, ..)
                | Fault::Crash(runner, _)
                | Fault::Full(runner, _)
                | Fault::Reuse(runner)
                | Fault::Drain(runner) => (runner, size.runners()),
                _ => continue,
            };
            assert!(index < count, "{fault}");
        }
    }
}
