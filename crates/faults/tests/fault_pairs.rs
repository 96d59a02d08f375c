//! Every pair of faults at every step: the same fault twice, and two different ones together.

use faults::case::Case;
use faults::case::failures;
use faults::matrix::Step;
use faults::matrix::faults_of;

/// Guards against two faults at one step that together break an invariant.
#[test]
fn pairs_keep_invariants() {
    let mut cases = Vec::new();
    for step in Step::ALL {
        let faults = faults_of(*step);
        for (index, first) in faults.iter().enumerate() {
            let pairs = faults[index..].iter();
            cases.extend(pairs.map(|second| Case::pair(*step, *first, *second)));
        }
    }
    let failed = failures(&cases);
    println!("{} cases", cases.len());
    assert!(
        failed.is_empty(),
        "{} failed:\n{}",
        failed.len(),
        failed.concat()
    );
}
