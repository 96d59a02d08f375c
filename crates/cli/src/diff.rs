//! `dotterelwheel diff DIR`: shows what publishing a directory would change.

use std::path::PathBuf;

use decision::ids::Head;
use gumdrop::Options;
use objects::Diff;
use objects::ObjectKey;
use objects::ObjectSet;
use objects::has_errors;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::directory;
use crate::platform::Platform;
use crate::platform::describe_head;
use crate::platform::unreachable_report;
use crate::publish::resolve_base;
use crate::report::Exit;
use crate::report::Report;

/// Command-line arguments of `diff`.
#[derive(Debug, Options)]
pub struct Args {
    /// Directory with the object files.
    #[options(free, required, help = "the directory with the object files")]
    pub dir: PathBuf,
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Generation that the files were copied from: `None` takes the recorded one, 0 means that
    /// they were copied from none.
    #[options(
        no_short,
        help = "the generation that the files were copied from, instead of the recorded one",
        meta = "GENERATION"
    )]
    pub base: Option<u64>,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the edits of a directory and the changes that others have published since its base.
///
/// The exit code is 1 if the files have errors and 4 if both sides changed the same object.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    match try_run(args, platform).await {
        Ok(report) => report,
        Err(report) => report.with_json(args.json, json!({})),
    }
}

async fn try_run(args: &Args, platform: &Platform) -> Result<Report, Report> {
    let loaded = directory::load(&args.dir)?;
    let base = resolve_base(&args.dir, args.base, platform).await?;
    let failed = |error| unreachable_report(&error);
    let head = platform.read_head().await.map_err(failed)?.head;
    let before = platform
        .fetch_set(&base.own_digest, &Default::default())
        .await;
    let before = before.map_err(failed)?;
    let old = platform.fetch_set(&base.head.digest, &before).await;
    let old = old.map_err(failed)?.set;
    let theirs = platform.fetch_set(&head.digest, &before).await;
    let theirs = theirs.map_err(failed)?.set;

    let comparison = Comparison {
        edits: objects::diff(&before.set, &loaded.set),
        since: objects::diff(&old, &theirs),
        overlap: objects::rebase(&before.set, &loaded.set, &theirs)
            .err()
            .unwrap_or_default(),
        base: base.head,
        head,
    };
    let mut report = Report::findings(Exit::Done, &loaded.findings);
    let edits = diff_lines(&comparison.edits, &before.set, &loaded.set);
    comparison.add_to(
        &mut report,
        edits,
        diff_lines(&comparison.since, &old, &theirs),
    );
    report.exit = match (has_errors(&loaded.findings), comparison.overlap.is_empty()) {
        (true, _) => Exit::Refused,
        (false, false) => Exit::Conflict,
        (false, true) => Exit::Done,
    };
    let mut fields = json!(comparison);
    fields["findings"] = json!(loaded.findings);
    Ok(report.with_json(args.json, fields))
}

/// Local edits and the changes published by others since the base.
#[derive(Serialize)]
struct Comparison {
    base: Head,
    head: Head,
    edits: Diff,
    since: Diff,
    overlap: Vec<ObjectKey>,
}

impl Comparison {
    fn add_to(&self, report: &mut Report, edits: Vec<String>, since: Vec<String>) {
        let title = format!("edits based on {}:", describe_head(&self.base));
        report.lines.push(title);
        report.lines.extend(edits);
        if self.head != self.base {
            let title = format!("published since, up to {}:", describe_head(&self.head));
            report.lines.push(title);
            report.lines.extend(since);
        }
        let overlap = self.overlap.iter();
        report
            .errors
            .extend(overlap.map(|key| format!("error: {key}: changed on both sides")));
    }
}

fn diff_lines(diff: &Diff, old: &ObjectSet, new: &ObjectSet) -> Vec<String> {
    let mut lines = Vec::new();
    if diff.is_empty() {
        lines.push("  nothing".to_owned());
    }
    lines.extend(diff.added.iter().map(|key| format!("  + {key}")));
    lines.extend(diff.removed.iter().map(|key| format!("  - {key}")));
    for key in &diff.changed {
        let fields = changed_fields(key, old, new);
        lines.push(format!("  ~ {key}: {}", fields.join(", ")));
    }
    lines
}

/// Returns the changed fields of an object, with their old and new values as stored. A field with
/// its default value is not stored and is shown as `default`.
fn changed_fields(key: &ObjectKey, old: &ObjectSet, new: &ObjectSet) -> Vec<String> {
    let fields = |set: &ObjectSet| match set.get(key).map(|object| to_fields(&object)) {
        Some(Value::Object(fields)) => fields,
        _ => Default::default(),
    };
    let (old, new) = (fields(old), fields(new));
    let names = old
        .keys()
        .chain(new.keys().filter(|name| !old.contains_key(*name)));
    let value_text = |value: Option<&Value>| value.map_or("default".to_owned(), Value::to_string);
    names
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| {
            format!(
                "{name} {} -> {}",
                value_text(old.get(name)),
                value_text(new.get(name))
            )
        })
        .collect()
}

/// Returns the fields of an object without the enclosing kind of the stored form.
fn to_fields(object: &impl Serialize) -> Value {
    match serde_json::to_value(object) {
        Ok(Value::Object(kinds)) => kinds.into_iter().next().map_or(Value::Null, |(_, v)| v),
        _ => Value::Null,
    }
}
