//! Every pair of faults that apply to a step, at every step. A pair can consist of the same fault
//! twice.

use faults::case::Case;
use faults::case::run_all;
use faults::matrix::Step;
use faults::matrix::applicable_faults;

/// Guards against two faults at one step that together violate an invariant.
#[test]
fn pairs_keep_invariants() {
    let mut cases = Vec::new();
    for step in Step::ALL {
        let faults = applicable_faults(*step);
        for (index, first) in faults.iter().enumerate() {
            let pairs = faults[index..].iter();
            cases.extend(pairs.map(|second| Case::pair(*step, *first, *second)));
        }
    }
    let failed = run_all(&cases);
    println!("{} cases", cases.len());
    assert!(
        failed.is_empty(),
        "{} failed:\n{}",
        failed.len(),
        failed.concat()
    );
}
