//! `dotterelwheel check DIR`

use std::path::PathBuf;

use gumdrop::Options;
use objects::Severity;
use objects::has_errors;
use serde_json::json;

use crate::directory;
use crate::report::Exit;
use crate::report::Report;

/// The arguments of `check`.
#[derive(Debug, Options)]
pub struct Args {
    /// The directory.
    #[options(free, required, help = "the directory with the object files")]
    pub dir: PathBuf,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Validates the files of a directory. Errors give exit code 1, warnings alone 0.
pub fn run(args: &Args) -> Report {
    let loaded = match directory::load(&args.dir) {
        Ok(loaded) => loaded,
        Err(report) => return report.with_json(args.json, json!({})),
    };
    let count = |severity| {
        let findings = loaded.findings.iter();
        findings.filter(|found| found.severity == severity).count()
    };
    let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
    let exit = match has_errors(&loaded.findings) {
        true => Exit::Refused,
        false => Exit::Done,
    };
    let mut report = Report::findings(exit, &loaded.findings);
    let objects = loaded.set.len();
    report.lines.push(format!(
        "{objects} objects, {errors} errors, {warnings} warnings"
    ));
    let fields = json!({
        "objects": objects,
        "errors": errors,
        "warnings": warnings,
        "findings": loaded.findings,
    });
    report.with_json(args.json, fields)
}
