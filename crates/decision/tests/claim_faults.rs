//! Random faults of two entries, two agents and the table, checked for at-most-once execution.
//!
//! The engine of bolero takes its seeds from the system. To make the cases reproducible, its
//! generators are driven from the bytes of a seeded generator instead.

mod claimants;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use claimants::FaultPlan;
use claimants::Reply;
use claimants::Simulation;

const SEED: u64 = 0x00c1_a155;
const CASES: usize = 4_000;
const BYTES_PER_CASE: usize = 128;

fn check_invariants(simulation: &Simulation) {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in &simulation.runs {
        runs.entry(&run.key).or_default().push(&run.body);
    }
    for (key, bodies) in &runs {
        assert_eq!(bodies.len(), 1, "{key} was submitted more than once");
    }
    for (index, call) in simulation.calls.iter().enumerate() {
        let ran = simulation.runs.iter().any(|run| {
            let is_run = |dispatched: &decision::claim::ClaimedAttempt| {
                (dispatched.request, dispatched.attempt) == (run.request, run.attempt)
            };
            run.key == call.key && call.dispatched.iter().any(is_run)
        });
        let body = runs.get(&*call.key).map(|bodies| bodies[0]);
        match &call.reply {
            Some(Reply::NotRun) => assert!(!ran, "call {index} was reported as not run but ran"),
            Some(Reply::Complete) => assert!(ran, "call {index} was answered but did not run"),
            Some(Reply::Replay(stored)) => {
                assert_eq!(Some(&**stored), body);
                assert_eq!(
                    call.body, *stored,
                    "call {index} got the answer to a request with another body"
                );
            }
            Some(Reply::Conflict) => {
                let other = simulation
                    .calls
                    .iter()
                    .any(|other| other.key == call.key && other.body != call.body);
                assert!(
                    other,
                    "call {index} got a conflict without a call with another body"
                );
            }
            Some(Reply::Unknown) | None => {}
        }
    }
}

/// Guards against a request that runs twice, or runs although it is reported as not run, when
/// messages are lost, late, duplicated or reordered, entries pause, agents restart, and the table
/// fails or its responses are lost.
#[test]
fn no_claimed_request_runs_twice() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let options = Options::default().with_max_len(BYTES_PER_CASE);
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..CASES {
        let bytes: Vec<u8> = (0..BYTES_PER_CASE).map(|_| rng.u8(..)).collect();
        let mut driver = ByteSliceDriver::new(&bytes[..], &options);
        let Some(plan) = FaultPlan::generate(&mut driver) else {
            continue;
        };
        let simulation = Simulation::run(plan);
        check_invariants(&simulation);
        for call in &simulation.calls {
            *counts.entry(reply_name(call.reply.as_ref())).or_default() += 1;
        }
    }
    // Every kind of reply has to occur, or the faults do not exercise all rules.
    for kind in ["completed", "replay", "not run", "unknown", "conflict"] {
        assert!(
            counts.get(kind).is_some_and(|count| *count > 100),
            "{counts:?}"
        );
    }
    println!("{counts:?}");
}

fn reply_name(reply: Option<&Reply>) -> &'static str {
    match reply {
        Some(Reply::Complete) => "completed",
        Some(Reply::Replay(_)) => "replay",
        Some(Reply::NotRun) => "not run",
        Some(Reply::Unknown) => "unknown",
        Some(Reply::Conflict) => "conflict",
        None => "no answer",
    }
}
