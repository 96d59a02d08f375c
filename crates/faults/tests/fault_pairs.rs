//! Every pair of faults at every step: the same fault twice, and two different ones together.

use faults::case::Case;
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
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let share = cases.len().div_ceil(threads);
    let failed: Vec<String> = std::thread::scope(|scope| {
        let parts = cases.chunks(share);
        let tasks: Vec<_> = parts.map(|part| scope.spawn(|| failures(part))).collect();
        tasks
            .into_iter()
            .flat_map(|task| task.join().expect("no case panics"))
            .collect()
    });
    println!("{} cases", cases.len());
    assert!(
        failed.is_empty(),
        "{} failed:\n{}",
        failed.len(),
        failed.concat()
    );
}

fn failures(cases: &[Case]) -> Vec<String> {
    let run = |case: &Case| {
        let found = case.run(None).violations;
        (!found.is_empty()).then(|| case.report(&found))
    };
    cases.iter().filter_map(run).collect()
}
