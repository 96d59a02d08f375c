//! `dotterelwheel publish DIR [--rebase]`: publishes a directory as a new generation.

use std::path::PathBuf;
use std::sync::Arc;

use decision::publish::Outcome;
use decision::publish::Request;
use gumdrop::Options;
use objects::ObjectSet;
use objects::has_errors;
use serde_json::json;

use crate::directory;
use crate::directory::Base;
use crate::platform::FetchedSet;
use crate::platform::Platform;
use crate::platform::unreachable_report;
use crate::publishing;
use crate::report::Exit;
use crate::report::Report;

/// Command-line arguments of `publish`.
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
    /// Apply the edits to the generation in force if it is newer than the base.
    #[options(
        no_short,
        help = "apply the edits to a newer generation if they do not overlap"
    )]
    pub rebase: bool,
    /// Generation that the files were copied from: `None` takes the recorded one, 0 means that
    /// they were copied from none.
    #[options(
        no_short,
        help = "the generation that the files were copied from, instead of the recorded one",
        meta = "GENERATION"
    )]
    pub base: Option<u64>,
    /// Name recorded in the history; `None` takes the one in `USER`.
    #[options(
        no_short,
        help = "the name in the history, by default the user's",
        meta = "NAME"
    )]
    pub publisher: Option<String>,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Publishes the files of a directory and records the new base in it.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    match try_run(args, platform).await {
        Ok(report) => report,
        Err(report) => report.with_json(args.json, json!({})),
    }
}

async fn try_run(args: &Args, platform: &Platform) -> Result<Report, Report> {
    let loaded = directory::load(&args.dir)?;
    if has_errors(&loaded.findings) {
        let outcome = Outcome::Invalid(loaded.findings);
        return Ok(publishing::report(&outcome, "", args.json));
    }
    let base = resolve_base(&args.dir, args.base, platform).await?;
    let known = platform
        .fetch_set(&base.own_digest, &Default::default())
        .await;
    let known = known.map_err(|error| unreachable_report(&error))?;
    let request = Request {
        base: base.head,
        base_set: known.set.clone(),
        set: Arc::new(loaded.set),
        sources: Arc::new(loaded.sources),
        rebase: args.rebase,
        publisher: publishing::publisher_name(&args.publisher).into(),
        unix_time: publishing::unix_time(),
        restores: None,
    };
    let set = request.set.clone();
    let outcome = publishing::publish(platform, request, &known).await;
    let hint = "run `dotterelwheel diff` to see both sides, then publish with `--rebase`";
    let mut report = publishing::report(&outcome, hint, args.json);
    if let Some(base) = new_base(outcome, &set, platform, &known).await
        && let Err(error) = directory::write_base(&args.dir, &base)
    {
        let generation = base.head.generation;
        report.errors.push(format!(
            "warning: write {}: {error}; pass `--base {generation}` the next time",
            args.dir.join(directory::BASE_FILE).display()
        ));
    }
    Ok(report)
}

/// Returns the new base of a directory with this set, or `None` if the base stays the same.
async fn new_base(
    outcome: Outcome,
    set: &ObjectSet,
    platform: &Platform,
    known: &FetchedSet,
) -> Option<Base> {
    match outcome {
        Outcome::Published {
            row, own_digest, ..
        } => Some(Base {
            head: row.head,
            own_digest: own_digest.to_string(),
        }),
        // The head may have objects that the directory lacks, although all its edits are in force.
        Outcome::Unchanged(head) => {
            let fetched = platform.fetch_set(&head.digest, known).await;
            fetched
                .is_ok_and(|fetched| *fetched.set == *set)
                .then(|| Base::from_head(head))
        }
        _ => None,
    }
}

/// Returns the base given by the option `--base`, or the recorded one without it.
///
/// # Errors
///
/// Returns a report if the base cannot be read or does not exist.
pub(crate) async fn resolve_base(
    dir: &std::path::Path,
    option: Option<u64>,
    platform: &Platform,
) -> Result<Base, Report> {
    match option {
        None => directory::read_base(dir),
        Some(0) => Ok(Base::default()),
        Some(number) => match platform.read_generation(number).await {
            Ok(Some(row)) => Ok(Base::from_head(row.head)),
            Ok(None) => Err(unknown_generation(number)),
            Err(error) => Err(unreachable_report(&error)),
        },
    }
}

/// Returns the report for a generation that was never published.
pub(crate) fn unknown_generation(number: u64) -> Report {
    let hint = "run `dotterelwheel history` for the published ones";
    let message = format!("generation {number} does not exist; {hint}");
    Report::error(Exit::Refused, message)
}
