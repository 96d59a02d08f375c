//! Mutants of the code under test, each of which the check of one invariant has to detect.

use faults::case::Case;
use faults::case::violates;
use faults::matrix::Fault;
use faults::matrix::Step;
use faults::mutant::Mutant;

/// Guards against a check that cannot fail: at least one case with each mutant has to violate the
/// invariant of the mutant.
#[test]
fn checks_detect_mutants() {
    let cases = [
        Case::single(Step::Dispatch, Fault::MessageTwice),
        Case::single(Step::Queue, Fault::MessageTwice),
        Case::single(Step::Stream, Fault::EngineRestart),
        Case::single(Step::Submit, Fault::AgentGone),
        Case::single(Step::Announce, Fault::ListLags),
        Case::single(Step::Apply, Fault::MessageLate),
    ];
    let mut undetected = Vec::new();
    for mutant in Mutant::ALL {
        let is_detected = cases.iter().any(|case| {
            violates(
                &case.run(Some(mutant)).violations,
                mutant.violated_invariant(),
            )
        });
        if !is_detected {
            undetected.push(mutant);
        }
    }
    assert!(
        undetected.is_empty(),
        "mutants not detected: {undetected:?}"
    );
}
