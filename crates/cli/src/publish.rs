//! `dotterelwheel publish DIR [--rebase]`

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
use crate::platform::Fetched;
use crate::platform::Platform;
use crate::platform::unreachable;
use crate::publishing;
use crate::report::Exit;
use crate::report::Report;

/// The arguments of `publish`.
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
    /// Whether to apply the edits to a newer generation.
    #[options(
        no_short,
        help = "apply the edits to a newer generation if they do not overlap"
    )]
    pub rebase: bool,
    /// The generation that the directory was based on.
    #[options(
        no_short,
        help = "the generation that the files were copied from, instead of the recorded one",
        meta = "GENERATION"
    )]
    pub base: Option<u64>,
    /// Who publishes.
    #[options(
        no_short,
        help = "the name in the history, by default the user's",
        meta = "NAME"
    )]
    pub publisher: Option<String>,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Publishes the files of a directory.
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
    let base = base(&args.dir, args.base, platform).await?;
    let known = platform.fetch(&base.own, &Default::default()).await;
    let known = known.map_err(|error| unreachable(&error))?;
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

/// Returns what a directory with this set is to be based on after publishing, if that changed.
async fn new_base(
    outcome: Outcome,
    set: &ObjectSet,
    platform: &Platform,
    known: &Fetched,
) -> Option<Base> {
    match outcome {
        Outcome::Published {
            row, own_digest, ..
        } => Some(Base {
            head: row.head,
            own: own_digest.to_string(),
        }),
        // The directory may be behind the head although all its edits are in force.
        Outcome::Unchanged(head) => {
            let fetched = platform.fetch(&head.digest, known).await;
            fetched
                .is_ok_and(|fetched| *fetched.set == *set)
                .then(|| Base::of(head))
        }
        _ => None,
    }
}

/// Returns the base that an option names, else the recorded one.
///
/// # Errors
///
/// The report of a base that cannot be read.
pub(crate) async fn base(
    dir: &std::path::Path,
    option: Option<u64>,
    platform: &Platform,
) -> Result<Base, Report> {
    match option {
        None => directory::read_base(dir),
        Some(0) => Ok(Base::default()),
        Some(number) => match platform.generation(number).await {
            Ok(Some(row)) => Ok(Base::of(row.head)),
            Ok(None) => Err(no_generation(number)),
            Err(error) => Err(unreachable(&error)),
        },
    }
}

/// Returns the report of a generation that was never published.
pub(crate) fn no_generation(number: u64) -> Report {
    let hint = "run `dotterelwheel history` for the published ones";
    let message = format!("generation {number} does not exist; {hint}");
    Report::error(Exit::Refused, message)
}
