//! `dotterelwheel diff DIR`

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
use crate::platform::show;
use crate::platform::unreachable;
use crate::publish::base;
use crate::report::Exit;
use crate::report::Report;

/// The arguments of `diff`.
#[derive(Debug, Options)]
pub struct Args {
    /// The directory.
    #[options(free, required, help = "the directory with the object files")]
    pub dir: PathBuf,
    /// The settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// The generation that the directory was based on.
    #[options(
        no_short,
        help = "the generation that the files were copied from, instead of the recorded one",
        meta = "GENERATION"
    )]
    pub base: Option<u64>,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the edits of a directory and what was published since it was last published. Errors in
/// the files give exit code 1; edits on both sides of one object give 4.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    match try_run(args, platform).await {
        Ok(report) => report,
        Err(report) => report.with_json(args.json, json!({})),
    }
}

async fn try_run(args: &Args, platform: &Platform) -> Result<Report, Report> {
    let loaded = directory::load(&args.dir)?;
    let base = base(&args.dir, args.base, platform).await?;
    let failed = |error| unreachable(&error);
    let head = platform.head().await.map_err(failed)?.head;
    let before = platform.fetch(&base.own, &Default::default()).await;
    let before = before.map_err(failed)?;
    let old = platform.fetch(&base.head.digest, &before).await;
    let old = old.map_err(failed)?.set;
    let theirs = platform.fetch(&head.digest, &before).await;
    let theirs = theirs.map_err(failed)?.set;

    let compared = Compared {
        edits: objects::diff(&before.set, &loaded.set),
        since: objects::diff(&old, &theirs),
        overlap: objects::rebase(&before.set, &loaded.set, &theirs)
            .err()
            .unwrap_or_default(),
        base: base.head,
        head,
    };
    let mut report = Report::findings(Exit::Done, &loaded.findings);
    let edits = lines(&compared.edits, &before.set, &loaded.set);
    compared.describe(&mut report, edits, lines(&compared.since, &old, &theirs));
    report.exit = match (has_errors(&loaded.findings), compared.overlap.is_empty()) {
        (true, _) => Exit::Refused,
        (false, false) => Exit::Conflict,
        (false, true) => Exit::Done,
    };
    let mut fields = json!(compared);
    fields["findings"] = json!(loaded.findings);
    Ok(report.with_json(args.json, fields))
}

/// The edits of a directory beside those of others.
#[derive(Serialize)]
struct Compared {
    base: Head,
    head: Head,
    edits: Diff,
    since: Diff,
    overlap: Vec<ObjectKey>,
}

impl Compared {
    fn describe(&self, report: &mut Report, edits: Vec<String>, since: Vec<String>) {
        let title = format!("edits based on {}:", show(&self.base));
        report.lines.push(title);
        report.lines.extend(edits);
        if self.head != self.base {
            let title = format!("published since, up to {}:", show(&self.head));
            report.lines.push(title);
            report.lines.extend(since);
        }
        let overlap = self.overlap.iter();
        report
            .errors
            .extend(overlap.map(|key| format!("error: {key}: changed on both sides")));
    }
}

fn lines(diff: &Diff, old: &ObjectSet, new: &ObjectSet) -> Vec<String> {
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

/// Returns the fields in which an object differs, with both values as they are stored. A field at
/// its default is not stored and shown as `default`.
fn changed_fields(key: &ObjectKey, old: &ObjectSet, new: &ObjectSet) -> Vec<String> {
    let fields = |set: &ObjectSet| match set.get(key).map(|object| to_fields(&object)) {
        Some(Value::Object(fields)) => fields,
        _ => Default::default(),
    };
    let (old, new) = (fields(old), fields(new));
    let names = old
        .keys()
        .chain(new.keys().filter(|name| !old.contains_key(*name)));
    let show = |value: Option<&Value>| value.map_or("default".to_owned(), Value::to_string);
    names
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| format!("{name} {} -> {}", show(old.get(name)), show(new.get(name))))
        .collect()
}

/// Returns the fields of an object, without the kind under which they are stored.
fn to_fields(object: &impl Serialize) -> Value {
    match serde_json::to_value(object) {
        Ok(Value::Object(kinds)) => kinds.into_iter().next().map_or(Value::Null, |(_, v)| v),
        _ => Value::Null,
    }
}
