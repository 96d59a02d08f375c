//! Rendering of the matrix as a Markdown table.

use crate::matrix::Cell;
use crate::matrix::Fault;
use crate::matrix::Step;
use crate::matrix::cell;

/// Returns the matrix: rows are steps, columns are faults, and a cell names its tests or says why
/// it does not apply.
pub fn render() -> String {
    let heads: Vec<String> = Fault::ALL.iter().map(ToString::to_string).collect();
    let mut text = format!("| Step | {} |\n", heads.join(" | "));
    text += &format!("|{}\n", " --- |".repeat(heads.len() + 1));
    for step in Step::ALL {
        let cells = Fault::ALL.iter().map(|fault| match cell(*step, *fault) {
            Cell::Applies => "`single_faults`, `fault_pairs`",
            Cell::Excluded(reason) => reason,
        });
        let row: Vec<&str> = cells.collect();
        text += &format!("| {step} | {} |\n", row.join(" | "));
    }
    text
}
