//! Every fault at every step, one at a time.

use faults::case::CASE;
use faults::case::Case;
use faults::matrix::Step;
use faults::matrix::faults_of;

/// Guards against a single fault at any step that breaks an invariant.
#[test]
fn single_faults_keep_invariants() {
    let mut failed = String::new();
    let (mut cases, mut missed) = (0, Vec::new());
    for step in Step::ALL {
        for fault in faults_of(*step) {
            let case = Case::single(*step, fault);
            let outcome = case.run(None);
            cases += 1;
            if !outcome.reached {
                missed.push(case.to_string());
            }
            if !outcome.violations.is_empty() {
                failed += &case.report(&outcome.violations);
            }
        }
    }
    println!("{cases} cases");
    assert!(missed.is_empty(), "faults not injected: {missed:#?}");
    assert!(failed.is_empty(), "{failed}");
}

/// Runs the case that the environment names; does nothing without one.
#[test]
fn one_case() {
    let Ok(text) = std::env::var(CASE) else {
        return;
    };
    let case = Case::parse(&text).expect("the case is SEED,STEP/FAULT/SKIP,...");
    let outcome = case.run(None);
    println!("all faults injected: {}", outcome.reached);
    assert!(
        outcome.violations.is_empty(),
        "{}",
        case.report(&outcome.violations)
    );
}
