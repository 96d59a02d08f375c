//! What a run prints at its end.

use std::fmt::Write;

use crate::checks::Breach;
use crate::history::History;
use crate::plan;
use crate::plan::Size;

/// Breaches that are printed at most.
const MAX_BREACHES: usize = 20;

/// Returns the report of a run as text.
pub fn report(
    seed: u64,
    seconds: u64,
    scale: usize,
    history: &History,
    breaches: &[Breach],
) -> String {
    let mut text = String::new();
    let served = history.calls.iter().filter(|call| call.is_served()).count();
    let runs = history
        .arrivals
        .iter()
        .filter(|arrival| arrival.ran)
        .count();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "seed {seed}: {} requests, {served} served, {runs} runs, {} orders, {} disturbances, {} promises broken",
        history.calls.len(),
        history.orders.len(),
        history.spans.len(),
        breaches.len(),
    );
    for breach in breaches.iter().take(MAX_BREACHES) {
        let _ = writeln!(text, "broken: {breach}");
    }
    if !breaches.is_empty() {
        for (at, fault) in plan::plan(seed, seconds * 1_000, Size::USUAL.times(scale)) {
            let _ = writeln!(text, "fault at {at} ms: {fault}");
        }
        let _ = writeln!(
            text,
            "repeat: dotterelwheel-soak --seed {seed} --seconds {seconds} --scale {scale}"
        );
    }
    text
}
