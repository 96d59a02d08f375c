//! `dotterelwheel check DIR`: validates object files without contacting the platform.

use std::path::PathBuf;

use gumdrop::Options;
use objects::Severity;
use objects::has_errors;
use serde_json::json;

use crate::directory;
use crate::report::Exit;
use crate::report::Report;

/// Command-line arguments of `check`.
#[derive(Debug, Options)]
pub struct Args {
    /// Directory with the object files.
    #[options(free, required, help = "the directory with the object files")]
    pub dir: PathBuf,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Validates the object files of a directory. The exit code is 1 if there are errors and 0 if
/// there are only warnings.
pub fn run(args: &Args) -> Report {
    let loaded = match directory::load(&args.dir) {
        Ok(loaded) => loaded,
        Err(report) => return report.with_json(args.json, json!({})),
    };
    let count = |severity| {
        let findings = loaded.findings.iter();
        findings
            .filter(|finding| finding.severity == severity)
            .count()
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
