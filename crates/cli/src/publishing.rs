//! Executes the actions of the publishing state machine and reports its outcome.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use decision::ids::Head;
use decision::publish::Action;
use decision::publish::Event;
use decision::publish::GenerationRow;
use decision::publish::Outcome;
use decision::publish::Publisher;
use decision::publish::Request;
use decision::publish::Step;
use decision::time::Time;
use objects::Finding;
use objects::ObjectKey;
use serde_json::Value;
use serde_json::json;

use crate::platform::FetchedSet;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::describe_head;
use crate::report::Exit;
use crate::report::Report;

/// Publishes a request. Buckets that are in `known` already are not read again.
pub(crate) async fn publish(platform: &Platform, request: Request, known: &FetchedSet) -> Outcome {
    let start = Instant::now();
    let mut rng = fastrand::Rng::new();
    let (mut publisher, mut action) = Publisher::start(request, Time::default());
    loop {
        let event = match action {
            Action::Finish(outcome) => return *outcome,
            Action::Wait(pause) => {
                tokio::time::sleep(pause).await;
                Event::Waited
            }
            action => execute(platform, &action, known).await,
        };
        let now = Time::default().after(start.elapsed());
        action = publisher.handle(event, now, &mut rng);
    }
}

async fn execute(platform: &Platform, action: &Action, known: &FetchedSet) -> Event {
    let event = match action {
        Action::ReadHead => platform.read_head().await.map(Event::Head),
        Action::Fetch(head) => fetch(platform, head, known).await,
        Action::Store(upload) => platform.upload(upload).await.map(|()| Event::Stored),
        Action::Swap { expected, row } => Ok(swap(platform, *expected, row).await),
        Action::ReadBack(generation) => read_back(platform, *generation).await,
        Action::Wait(_) | Action::Finish(_) => Ok(Event::Waited),
    };
    event.unwrap_or_else(|error| Event::Failed(error.to_string()))
}

async fn fetch(
    platform: &Platform,
    head: &Head,
    known: &FetchedSet,
) -> Result<Event, PlatformError> {
    let fetched = platform.fetch_set(&head.digest, known).await?;
    Ok(Event::Fetched {
        manifest: Box::new(fetched.manifest),
        set: fetched.set,
    })
}

async fn swap(platform: &Platform, expected: u64, row: &GenerationRow) -> Event {
    match platform.swap_head(expected, row).await {
        Ok(true) => Event::Swapped,
        Ok(false) => Event::Conflict,
        Err(error) if error.had_no_effect() => Event::Failed(error.to_string()),
        Err(error) => Event::Unknown(error.to_string()),
    }
}

async fn read_back(platform: &Platform, generation: u64) -> Result<Event, PlatformError> {
    // The head row must be read before the generation, see `Action::ReadBack`.
    let row = platform.read_head().await?;
    let generation = platform.read_generation(generation).await?;
    Ok(Event::ReadBack {
        row,
        generation: generation.map(Box::new),
    })
}

/// Returns the current time in seconds since the Unix epoch.
pub(crate) fn unix_time() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or(Duration::ZERO).as_secs()
}

/// Returns the publisher's name: that of the option, else that in `USER`, else `operator`.
pub(crate) fn publisher_name(option: &Option<String>) -> String {
    let user = || std::env::var("USER").ok();
    let name = option.clone().or_else(user);
    name.filter(|name| !name.is_empty())
        .unwrap_or_else(|| "operator".to_owned())
}

/// Returns the report of an outcome. `hint` says how to go on after a conflict without overlap.
pub(crate) fn report(outcome: &Outcome, hint: &str, json: bool) -> Report {
    let (report, fields) = match outcome {
        Outcome::Published { row, warnings, .. } => published(row, warnings),
        Outcome::Unchanged(head) => unchanged(head),
        Outcome::Invalid(findings) => invalid(findings),
        Outcome::Conflict { head, overlap } => conflict(head, overlap, hint),
        Outcome::BaseMismatch(head) => base_mismatch(head),
        Outcome::Unreachable { step, reason } => unreachable(*step, reason),
        Outcome::Unknown { head, reason } => unknown(head, reason),
    };
    report.with_json(json, fields)
}

fn unchanged(head: &Head) -> (Report, Value) {
    let text = format!("nothing to publish, {} is in force", describe_head(head));
    let fields = json!({ "outcome": "unchanged", "head": head });
    (Report::text(text), fields)
}

fn invalid(findings: &[Finding]) -> (Report, Value) {
    let mut report = Report::findings(Exit::Refused, findings);
    report
        .errors
        .push("error: nothing was published".to_owned());
    let fields = json!({ "outcome": "invalid", "findings": findings });
    (report, fields)
}

fn base_mismatch(head: &Head) -> (Report, Value) {
    let message = format!(
        "the directory is based on a generation that this table does not have, {} is in force; \
         check `table` in the settings, or pass `--base GENERATION`",
        describe_head(head)
    );
    let fields = json!({ "outcome": "foreign base", "head": head });
    (Report::error(Exit::Conflict, message), fields)
}

fn unreachable(step: Step, reason: &str) -> (Report, Value) {
    let message = format!("{step}: {reason}; nothing was published, try again");
    let step = step.to_string();
    let fields = json!({ "outcome": "unreachable", "step": step, "reason": reason });
    (Report::error(Exit::Unreachable, message), fields)
}

fn unknown(head: &Head, reason: &str) -> (Report, Value) {
    let message = format!(
        "{reason}; {} may have been published; run the same command again, it does not publish \
         twice",
        describe_head(head)
    );
    let fields = json!({ "outcome": "unknown", "head": head, "reason": reason });
    (Report::error(Exit::Unreachable, message), fields)
}

fn published(row: &GenerationRow, warnings: &[Finding]) -> (Report, Value) {
    let mut report = Report::findings(Exit::Done, warnings);
    report.lines.push(format!(
        "published {}: {} added, {} removed, {} changed",
        describe_head(&row.head),
        row.added,
        row.removed,
        row.changed
    ));
    let fields = json!({ "outcome": "published", "generation": row, "findings": warnings });
    (report, fields)
}

fn conflict(head: &Head, overlap: &[ObjectKey], hint: &str) -> (Report, Value) {
    let mut errors: Vec<_> = overlap
        .iter()
        .map(|key| format!("error: {key}: changed here and in {}", describe_head(head)))
        .collect();
    let fix = match overlap.is_empty() {
        true => hint,
        false => "take over or revert these objects in the directory, then publish with `--rebase`",
    };
    errors.push(format!(
        "error: another publisher was first, {} is in force; nothing was published; {fix}",
        describe_head(head)
    ));
    let report = Report {
        exit: Exit::Conflict,
        lines: Vec::new(),
        errors,
    };
    let fields = json!({ "outcome": "conflict", "head": head, "overlap": overlap });
    (report, fields)
}
