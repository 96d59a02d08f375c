//! Every fault at every step, one at a time.

use faults::case::CASE_VARIABLE;
use faults::case::Case;
use faults::matrix::Step;
use faults::matrix::applicable_faults;

/// Guards against a single fault at any step that violates an invariant.
#[test]
fn single_faults_keep_invariants() {
    let mut failed = String::new();
    let (mut cases, mut not_injected) = (0, Vec::new());
    for step in Step::ALL {
        for fault in applicable_faults(*step) {
            let case = Case::single(*step, fault);
            let outcome = case.run(None);
            cases += 1;
            if !outcome.all_injected {
                not_injected.push(case.to_string());
            }
            if !outcome.violations.is_empty() {
                failed += &case.report(&outcome.violations);
            }
        }
    }
    println!("{cases} cases");
    assert!(
        not_injected.is_empty(),
        "faults not injected: {not_injected:#?}"
    );
    assert!(failed.is_empty(), "{failed}");
}

/// Runs the case in the environment variable `FAULTS_CASE`, to reproduce a failure. Does nothing if
/// it is not set.
#[test]
fn one_case() {
    let Ok(text) = std::env::var(CASE_VARIABLE) else {
        return;
    };
    let case = Case::parse(&text).expect("FAULTS_CASE has the form SEED,STEP/FAULT/SKIP,...");
    let outcome = case.run(None);
    println!("all faults injected: {}", outcome.all_injected);
    assert!(
        outcome.violations.is_empty(),
        "{}",
        case.report(&outcome.violations)
    );
}
