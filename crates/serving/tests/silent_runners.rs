//! Runners that do not answer their agents for a while.

mod common;

use std::time::Duration;

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

/// Guards against requests that are refused while a lost connection to the only agent is opened again, and
/// against waits for an agent that is gone.
#[test]
fn agent_without_a_connection_is_awaited_for_a_while() {
    // How long ago the agent was heard, and whether it is awaited.
    for (silence_ms, awaited) in [(0, true), (3_900, true), (4_000, false)] {
        let mut fleet = fleet(1, NOW);
        fleet.set_linked("r0", false);
        let mut rng = fastrand::Rng::with_seed(1);
        let now = NOW.after(Duration::from_millis(silence_ms));
        let placement = fleet.place(now, &mut rng, &requirements(&artifact(1), 0));
        assert_eq!(placement.is_ok(), awaited, "after {silence_ms} ms");
    }
}

/// Guards against adapters that are awaited at an agent without a connection while another one has one.
#[test]
fn connected_agent_is_asked_first() {
    let mut fleet = fleet(3, NOW);
    fleet.set_linked("r0", false);
    fleet.set_linked("r1", false);
    let mut rng = fastrand::Rng::with_seed(1);
    for index in 0..50 {
        let placement = fleet.place(NOW, &mut rng, &requirements(&artifact(index), 0));
        let placement = placement.expect("an agent is connected");
        assert_eq!(&*placement.runner, "r2");
    }
}
