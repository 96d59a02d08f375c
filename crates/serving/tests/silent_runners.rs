//! Runners that do not answer their agents for a while.

mod common;

use common::artifact;
use common::fleet;
use common::requirements;
use common::state;
use decision::time::Time;
use serving::fleet::Fleet;
use serving::link::RunnerState;
use serving::placement::NoRunner;

const NOW: Time = Time::from_ms(10);

fn apply(fleet: &mut Fleet, id: &str, state: &RunnerState) {
    fleet.apply_update(NOW, id, &state.update_since(None));
}

/// Returns the state of a runner that holds an adapter and does not answer its agent.
fn silent() -> RunnerState {
    RunnerState {
        up: false,
        ..state(&[("m/a1", 1, 0)])
    }
}

/// Guards against requests that are refused at once because no runner answers its agent.
#[test]
fn silent_runner_is_used_if_no_other_is_left() {
    let mut fleet = fleet(2, NOW);
    apply(&mut fleet, "r0", &silent());
    apply(&mut fleet, "r1", &silent());
    let mut rng = fastrand::Rng::with_seed(1);
    let adapter = artifact(1);
    let placement = fleet.place(NOW, &mut rng, &requirements(&adapter, 0));
    assert!(placement.is_ok_and(|placement| placement.silent));
}

/// Guards against requests that are sent to a silent runner while another one answers.
#[test]
fn silent_runner_is_avoided_while_another_one_answers() {
    let mut fleet = fleet(3, NOW);
    apply(&mut fleet, "r0", &silent());
    apply(&mut fleet, "r2", &silent());
    let mut rng = fastrand::Rng::with_seed(1);
    let adapter = artifact(1);
    for _ in 0..50 {
        let placement = fleet.place(NOW, &mut rng, &requirements(&adapter, 0));
        let placement = placement.expect("a runner answers");
        assert_eq!(
            (&*placement.runner, placement.silent),
            ("r1", false),
            "the silent runner was chosen"
        );
    }
}

/// Guards against requests that are sent to a runner whose process has ended, and against a wait for a
/// load there.
#[test]
fn ended_runner_is_not_used() {
    let mut fleet = fleet(1, NOW);
    apply(&mut fleet, "r0", &state(&[("m/a1", 1, 0)]).into_ended());
    let mut rng = fastrand::Rng::with_seed(1);
    for index in [1, 2] {
        let adapter = artifact(index);
        let placement = fleet.place(NOW, &mut rng, &requirements(&adapter, 0));
        assert_eq!(placement, Err(NoRunner::Exhausted), "a{index}");
    }
}

/// Guards against what is forgotten with a runner's silence, and against a runner that is lost for good
/// because it once refused a connection.
#[test]
fn runner_that_answers_again_is_used_as_before() {
    let mut fleet = fleet(1, NOW);
    let answering = state(&[("m/a1", 1, 0)]);
    let states = [
        answering.clone(),
        silent(),
        answering.clone(),
        answering.clone().into_ended(),
        answering,
    ];
    let mut known: Option<&RunnerState> = None;
    for state in &states {
        fleet.apply_update(NOW, "r0", &state.update_since(known));
        known = Some(state);
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let adapter = artifact(1);
    let placement = fleet.place(NOW, &mut rng, &requirements(&adapter, 0));
    let placement = placement.expect("the runner answers");
    assert!(!placement.silent);
    assert_eq!(placement.access.to_string(), "ready");
}
