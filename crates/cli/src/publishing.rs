//! Carries out the actions of the publishing state machine.

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

use crate::platform::Fetched;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::show;
use crate::report::Exit;
use crate::report::Report;

/// Publishes a request; `known` is a set that was read before.
pub(crate) async fn publish(platform: &Platform, request: Request, known: &Fetched) -> Outcome {
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
            action => carry_out(platform, &action, known).await,
        };
        let now = Time::default().after(start.elapsed());
        action = publisher.handle(event, now, &mut rng);
    }
}

async fn carry_out(platform: &Platform, action: &Action, known: &Fetched) -> Event {
    let event = match action {
        Action::ReadHead => platform.head().await.map(Event::Head),
        Action::Fetch(head) => fetch(platform, head, known).await,
        Action::Store(upload) => platform.upload(upload).await.map(|()| Event::Stored),
        Action::Swap { expected, row } => Ok(swap(platform, *expected, row).await),
        Action::ReadBack(generation) => read_back(platform, *generation).await,
        Action::Wait(_) | Action::Finish(_) => Ok(Event::Waited),
    };
    event.unwrap_or_else(|error| Event::Failed(error.to_string()))
}

async fn fetch(platform: &Platform, head: &Head, known: &Fetched) -> Result<Event, PlatformError> {
    let fetched = platform.fetch(&head.digest, known).await?;
    Ok(Event::Fetched {
        manifest: Box::new(fetched.manifest),
        set: fetched.set,
    })
}

async fn swap(platform: &Platform, expected: u64, row: &GenerationRow) -> Event {
    match platform.swap(expected, row).await {
        Ok(true) => Event::Swapped,
        Ok(false) => Event::ConditionFailed,
        Err(error) if error.had_no_effect() => Event::Failed(error.to_string()),
        Err(error) => Event::ResponseLost(error.to_string()),
    }
}

async fn read_back(platform: &Platform, generation: u64) -> Result<Event, PlatformError> {
    // The order matters, see `Action::ReadBack`.
    let row = platform.head().await?;
    let generation = platform.generation(generation).await?;
    Ok(Event::ReadBack {
        row,
        generation: generation.map(Box::new),
    })
}

/// Returns the present time in seconds since the Unix epoch.
pub(crate) fn unix_time() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or(Duration::ZERO).as_secs()
}

/// Returns the name under which this user publishes unless an option gives another one.
pub(crate) fn publisher_name(option: &Option<String>) -> String {
    let user = || std::env::var("USER").ok();
    let name = option.clone().or_else(user);
    name.filter(|name| !name.is_empty())
        .unwrap_or_else(|| "operator".to_owned())
}

/// Returns the report of an outcome; `hint` says what to do about a conflict.
pub(crate) fn report(outcome: &Outcome, hint: &str, json: bool) -> Report {
    let (report, fields) = match outcome {
        Outcome::Published { row, warnings, .. } => published(row, warnings),
        Outcome::Unchanged(head) => unchanged(head),
        Outcome::Invalid(findings) => invalid(findings),
        Outcome::Conflict { head, overlap } => conflict(head, overlap, hint),
        Outcome::BaseMismatch(head) => foreign(head),
        Outcome::Unreachable { step, reason } => unreachable(*step, reason),
        Outcome::Unknown { head, reason } => unknown(head, reason),
    };
    report.with_json(json, fields)
}

fn unchanged(head: &Head) -> (Report, Value) {
    let text = format!("nothing to publish, {} is in force", show(head));
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

fn foreign(head: &Head) -> (Report, Value) {
    let message = format!(
        "the directory is based on a generation that this table does not have, {} is in force; \
         check `table` in the settings, or pass `--base GENERATION`",
        show(head)
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
        show(head)
    );
    let fields = json!({ "outcome": "unknown", "head": head, "reason": reason });
    (Report::error(Exit::Unreachable, message), fields)
}

fn published(row: &GenerationRow, warnings: &[Finding]) -> (Report, Value) {
    let mut report = Report::findings(Exit::Done, warnings);
    report.lines.push(format!(
        "published {}: {} added, {} removed, {} changed",
        show(&row.head),
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
        .map(|key| format!("error: {key}: changed here and in {}", show(head)))
        .collect();
    let fix = match overlap.is_empty() {
        true => hint,
        false => "take over or revert these objects in the directory, then publish with `--rebase`",
    };
    errors.push(format!(
        "error: another publisher was first, {} is in force; nothing was published; {fix}",
        show(head)
    ));
    let report = Report {
        exit: Exit::Conflict,
        lines: Vec::new(),
        errors,
    };
    let fields = json!({ "outcome": "conflict", "head": head, "overlap": overlap });
    (report, fields)
}
