//! Claims of two entries with agents and a table that fail in every way.
//!
//! bolero's own engine draws its seeds from the system, so its generators are driven here from
//! bytes of a seeded generator.

mod claimants;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use claimants::Plan;
use claimants::Reply;
use claimants::World;

const SEED: u64 = 0x00c1_a155;
const CASES: usize = 4_000;
const BYTES: usize = 128;

fn check(world: &World) {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in &world.runs {
        runs.entry(&run.key).or_default().push(&run.body);
    }
    for (key, bodies) in &runs {
        assert_eq!(bodies.len(), 1, "{key} was submitted more than once");
    }
    for (index, call) in world.calls.iter().enumerate() {
        let ran = world.runs.iter().any(|run| {
            let sent = |named: &decision::claim::ClaimedAttempt| {
                (named.request, named.attempt) == (run.request, run.attempt)
            };
            run.key == call.key && call.dispatched.iter().any(sent)
        });
        let body = runs.get(&*call.key).map(|bodies| bodies[0]);
        match &call.reply {
            Some(Reply::NotRun) => assert!(!ran, "call {index} was answered as not run and ran"),
            Some(Reply::Whole) => assert!(ran, "call {index} was answered and did not run"),
            Some(Reply::Replay(stored)) => {
                assert_eq!(Some(&**stored), body);
                assert_eq!(
                    call.body, *stored,
                    "call {index} got the answer to another body"
                );
            }
            Some(Reply::Conflict) => {
                let other = world
                    .calls
                    .iter()
                    .any(|other| other.key == call.key && other.body != call.body);
                assert!(other, "call {index} conflicts with no other");
            }
            Some(Reply::Unknown) | None => {}
        }
    }
}

/// Guards against a request that runs twice, or is reported as not run and runs, when messages are
/// lost, late, duplicated and reordered, entries pause, agents restart, and the table fails or
/// loses its responses.
#[test]
fn no_claimed_request_runs_twice() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let options = Options::default().with_max_len(BYTES);
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..CASES {
        let bytes: Vec<u8> = (0..BYTES).map(|_| rng.u8(..)).collect();
        let mut driver = ByteSliceDriver::new(&bytes[..], &options);
        let Some(plan) = Plan::generate(&mut driver) else {
            continue;
        };
        let world = World::run(plan);
        check(&world);
        for call in &world.calls {
            *counts.entry(name(call.reply.as_ref())).or_default() += 1;
        }
    }
    // Every kind of answer must occur, or the faults do not reach the rules.
    for kind in ["whole", "replay", "not run", "unknown", "conflict"] {
        assert!(
            counts.get(kind).is_some_and(|count| *count > 100),
            "{counts:?}"
        );
    }
    println!("{counts:?}");
}

fn name(reply: Option<&Reply>) -> &'static str {
    match reply {
        Some(Reply::Whole) => "whole",
        Some(Reply::Replay(_)) => "replay",
        Some(Reply::NotRun) => "not run",
        Some(Reply::Unknown) => "unknown",
        Some(Reply::Conflict) => "conflict",
        None => "no answer",
    }
}
