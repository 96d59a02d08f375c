//! Guards against fault schedules that differ between runs of one seed, refer to programs or
//! runners that do not exist, or omit kinds of faults.

use std::cmp::Ordering;
use std::mem::discriminant;

use soak::plan::DeploymentSize;
use soak::plan::Fault;
use soak::plan::fault_schedule;
use soak::plan::first_idle_limit;

#[test]
fn schedule_depends_on_the_seed() {
    let first = fault_schedule(7, 20_000, DeploymentSize::DEFAULT);
    assert_eq!(first, fault_schedule(7, 20_000, DeploymentSize::DEFAULT));
    assert_ne!(first, fault_schedule(8, 20_000, DeploymentSize::DEFAULT));
}

#[test]
fn longer_schedule_begins_with_the_shorter_one() {
    let short = fault_schedule(7, 10_000, DeploymentSize::DEFAULT);
    let long = fault_schedule(7, 20_000, DeploymentSize::DEFAULT);
    assert_eq!(short, long[..short.len()]);
    assert!(short.iter().all(|(at, _)| *at < 10_000));
}

#[test]
fn every_kind_of_fault_is_scheduled() {
    let mut kinds: Vec<_> = Vec::new();
    for seed in 0..20 {
        for (_, fault) in fault_schedule(seed, 20_000, DeploymentSize::DEFAULT) {
            let kind = discriminant(&fault);
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
    }
    assert_eq!(kinds.len(), 24);
}

#[test]
fn faults_refer_to_existing_targets() {
    let size = DeploymentSize::DEFAULT;
    for seed in 0..50 {
        for (_, fault) in fault_schedule(seed, 20_000, size) {
            let (index, count) = match fault {
                Fault::StoreLink(entry, ..)
                | Fault::StoreConnectionMuted(entry, _)
                | Fault::Reload(entry) => (entry, size.entries),
                Fault::AgentLink(agent, ..) => (agent, size.engines),
                Fault::RunnerLink(runner, ..)
                | Fault::RunnerCrash(runner, _)
                | Fault::RunnerFull(runner, _)
                | Fault::RunnerLimit(runner, ..)
                | Fault::RunnerLeaving(runner)
                | Fault::RunnerPause(runner, _)
                | Fault::RunnerSilent(runner, _)
                | Fault::AnswersSilent(runner, _)
                | Fault::AddressReuse(runner)
                | Fault::RunnerDrain(runner) => (runner, size.runners()),
                _ => continue,
            };
            assert!(index < count, "{fault}");
        }
    }
}

#[test]
fn runners_fall_silent_in_the_run_of_ci() {
    let faults = fault_schedule(1, 8_000, DeploymentSize::DEFAULT);
    let count = |is_kind: fn(&Fault) -> bool| faults.iter().filter(|(_, f)| is_kind(f)).count();
    assert!(count(|fault| matches!(fault, Fault::RunnerSilent(..))) > 0);
    assert!(count(|fault| matches!(fault, Fault::AnswersSilent(..))) > 0);
}

/// A silence of one runner, of some and of all, in a service of several.
#[test]
fn silences_concern_one_or_more_runners_at_the_same_moment() {
    let size = DeploymentSize::DEFAULT;
    let mut counts = Vec::new();
    for seed in 0..20 {
        let faults = fault_schedule(seed, 20_000, size);
        let silent = |(_, fault): &&_| matches!(fault, Fault::RunnerSilent(..));
        let at: Vec<_> = faults.iter().filter(silent).map(|(at, _)| *at).collect();
        counts.extend(at.chunk_by(|a, b| a == b).map(<[_]>::len));
    }
    for count in [1, 2, size.plain, size.engines] {
        assert!(counts.contains(&count), "{count} of {counts:?}");
    }
}

#[test]
fn manifests_raise_and_lower_the_idle_limit() {
    let mut changes = Vec::new();
    for seed in 0..20 {
        let faults = fault_schedule(seed, 20_000, DeploymentSize::DEFAULT);
        let limits = faults.iter().filter_map(|(_, fault)| match fault {
            Fault::NewManifest(limit) => Some(*limit),
            _ => None,
        });
        let mut limits: Vec<_> = limits.collect();
        limits.insert(0, first_idle_limit(seed));
        assert!(limits.iter().all(|limit| (600..3_000).contains(limit)));
        changes.extend(limits.windows(2).map(|pair| pair[1].cmp(&pair[0])));
    }
    for change in [Ordering::Less, Ordering::Greater] {
        assert!(changes.contains(&change), "{change:?}");
    }
}
