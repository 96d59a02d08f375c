//! Deliberate faults in the code under test, which the checks have to catch.

use faults::case::Case;
use faults::case::breaks;
use faults::matrix::Fault;
use faults::matrix::Step;
use faults::mutant::Mutant;

/// Guards against a check that cannot fail: each mutant has to break the invariant that it is for.
#[test]
fn checks_catch_mutants() {
    let cases = [
        Case::single(Step::Dispatch, Fault::MessageTwice),
        Case::single(Step::Queue, Fault::MessageTwice),
        Case::single(Step::Stream, Fault::EngineRestart),
        Case::single(Step::Submit, Fault::AgentGone),
        Case::single(Step::Announce, Fault::ListLags),
        Case::single(Step::Apply, Fault::MessageLate),
    ];
    let mut missed = Vec::new();
    for mutant in Mutant::ALL {
        let caught = cases
            .iter()
            .any(|case| breaks(&case.run(Some(mutant)).violations, mutant.breaks()));
        if !caught {
            missed.push(mutant);
        }
    }
    assert!(missed.is_empty(), "mutants not caught: {missed:?}");
}
