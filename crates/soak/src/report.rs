//! The report of a run.

use std::fmt::Write;

use crate::checks::Violation;
use crate::history::History;
use crate::plan;
use crate::plan::DeploymentSize;

/// The maximum number of violations that are listed.
const MAX_VIOLATIONS: usize = 20;

/// Formats the summary of a run; if there are violations, also these, the injected faults and the
/// command that repeats the run.
pub fn report(
    seed: u64,
    seconds: u64,
    scale: usize,
    history: &History,
    violations: &[Violation],
) -> String {
    let mut text = String::new();
    let served = history.calls.iter().filter(|call| call.is_served()).count();
    let runs = history
        .attempts
        .iter()
        .filter(|attempt| attempt.ran)
        .count();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "seed {seed}: {} requests, {served} served, {runs} runs, {} orders, {} fault periods, {} violations",
        history.calls.len(),
        history.orders.len(),
        history.fault_periods.len(),
        violations.len(),
    );
    for violation in violations.iter().take(MAX_VIOLATIONS) {
        let _ = writeln!(text, "broken: {violation}");
    }
    if !violations.is_empty() {
        for (at, fault) in
            plan::fault_schedule(seed, seconds * 1_000, DeploymentSize::DEFAULT.scaled(scale))
        {
            let _ = writeln!(text, "fault at {at} ms: {fault}");
        }
        let _ = writeln!(
            text,
            "repeat: dotterelwheel-soak --seed {seed} --seconds {seconds} --scale {scale}"
        );
    }
    text
}
