//! `dotterelwheel audit show` and `dotterelwheel audit trace`: search the audit records by request
//! or by declared object.

use std::time::Duration;

use ::audit::AttemptRecord;
use ::audit::CommandKind;
use ::audit::CommandRecord;
use ::audit::EntryPosition;
use ::audit::Record;
use chrono::DateTime;
use decision::ids::RequestId;
use decision::job::Target;
use gumdrop::Options;
use objects::ObjectKind;
use serde_json::json;

use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable_report;
use crate::report::Exit;
use crate::report::Report;

/// Timeout of one read from the object store.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Command-line arguments of `audit show`.
#[derive(Debug, Options)]
pub struct ShowArgs {
    /// Request identifier of 32 hexadecimal digits.
    #[options(
        free,
        required,
        help = "the identifier of the request, as on its receipt"
    )]
    pub request: String,
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Command-line arguments of `audit trace`.
#[derive(Debug, Options)]
pub struct TraceArgs {
    /// Kind and name of the object, two operands.
    #[options(
        free,
        help = "the kind and the name of the object, as in its TOML table"
    )]
    pub object: Vec<String>,
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the attempts recorded for one request. The exit code is 1 if there are none.
pub async fn show(args: &ShowArgs, platform: &Platform) -> Report {
    let Ok(request) = RequestId::try_from(args.request.clone()) else {
        let message = format!("`{}` is no request of 32 hex digits", args.request);
        return Report::error(Exit::Usage, message).with_json(args.json, json!({}));
    };
    let matches_record = |record: &Record| match record {
        Record::Attempt(attempt) => attempt.request == request,
        Record::Command(_) => false,
    };
    let subject = format!("request {request}");
    search_report(
        find_records(platform, matches_record).await,
        &subject,
        args.json,
    )
}

/// Shows the attempts and commands that involve one object. The exit code is 1 if there are none.
pub async fn trace(args: &TraceArgs, platform: &Platform) -> Report {
    let [kind, name] = args.object.as_slice() else {
        let message = "`audit trace` takes a kind and a name, for example `version care@v1`";
        return Report::error(Exit::Usage, message).with_json(args.json, json!({}));
    };
    let Some(kind) = ObjectKind::ALL
        .into_iter()
        .find(|item| item.as_str() == kind)
    else {
        let kinds = ObjectKind::ALL.map(ObjectKind::as_str).join(", ");
        let message = format!("unknown kind `{kind}`; use one of: {kinds}");
        return Report::error(Exit::Usage, message).with_json(args.json, json!({}));
    };
    let matches_record = |record: &Record| match record {
        Record::Attempt(attempt) => attempt_references(attempt, kind, name),
        Record::Command(command) => command_references(command, kind, name),
    };
    let subject = format!("{kind} `{name}`");
    search_report(
        find_records(platform, matches_record).await,
        &subject,
        args.json,
    )
}

type SearchResult = Result<Vec<(EntryPosition, Record)>, PlatformError>;

async fn find_records(
    platform: &Platform,
    matches_record: impl Fn(&Record) -> bool,
) -> SearchResult {
    Ok(::audit::search(platform.store(), matches_record, READ_TIMEOUT).await?)
}

fn search_report(found: SearchResult, subject: &str, json: bool) -> Report {
    let found = match found {
        Ok(found) => found,
        Err(error) => return unreachable_report(&error).with_json(json, json!({})),
    };
    if found.is_empty() {
        let message = format!("no audit record names {subject}");
        return Report::error(Exit::Refused, message).with_json(json, json!({ "records": [] }));
    }
    let rows = found
        .iter()
        .map(|(position, record)| json!({ "place": position.to_string(), "record": record }));
    let fields = json!({ "records": rows.collect::<Vec<_>>() });
    let lines = found
        .iter()
        .map(|(position, record)| record_line(position, record));
    let report = Report {
        exit: Exit::Done,
        lines: lines.collect(),
        errors: Vec::new(),
    };
    report.with_json(json, fields)
}

fn attempt_references(attempt: &AttemptRecord, kind: ObjectKind, name: &str) -> bool {
    match kind {
        ObjectKind::Route => &*attempt.route == name,
        ObjectKind::Workspace => &*attempt.workspace == name,
        ObjectKind::Endpoint => attempt.endpoint.as_deref() == Some(name),
        ObjectKind::Adapter => {
            matches!(
                &attempt.target,
                Target::Version { name: served, .. } if is_version_of(served, name)
            )
        }
        ObjectKind::Version => {
            matches!(&attempt.target, Target::Version { name: served, .. } if &**served == name)
        }
        ObjectKind::Service => {
            matches!(&attempt.target, Target::Service(service) if &**service == name)
        }
        ObjectKind::Model => matches!(&attempt.target, Target::Model(model) if &**model == name),
        ObjectKind::Policy => false,
    }
}

fn command_references(command: &CommandRecord, kind: ObjectKind, name: &str) -> bool {
    match kind {
        ObjectKind::Endpoint => &*command.endpoint == name,
        ObjectKind::Adapter => is_version_of(&command.version, name),
        ObjectKind::Version => &*command.version == name,
        _ => false,
    }
}

/// Returns whether the served name `adapter@version` belongs to this adapter.
fn is_version_of(served: &str, adapter: &str) -> bool {
    served
        .split_once('@')
        .is_some_and(|(name, _)| name == adapter)
}

fn record_line(position: &EntryPosition, record: &Record) -> String {
    match record {
        Record::Attempt(attempt) => attempt_line(position, attempt),
        Record::Command(command) => command_line(position, command),
    }
}

fn attempt_line(position: &EntryPosition, attempt: &AttemptRecord) -> String {
    let weights = match &attempt.target {
        Target::Version { digest, .. } => format!(" ({digest})"),
        Target::Model(_) | Target::Service(_) => String::new(),
    };
    let claim = attempt.claim.as_ref().map(|row| format!(", claim {row}"));
    let replay = if attempt.replay { ", replayed" } else { "" };
    format!(
        "{}  request {} attempt {}: {}{replay}; generation {}, route {}, {}{weights}, endpoint {}{}  [{position}]",
        format_utc(attempt.end),
        attempt.request,
        attempt.attempt,
        attempt.outcome,
        attempt.head.generation,
        attempt.route,
        attempt.target.served_name(),
        attempt.endpoint.as_deref().unwrap_or("none"),
        claim.unwrap_or_default(),
    )
}

fn command_line(position: &EntryPosition, command: &CommandRecord) -> String {
    let kind = match command.kind {
        CommandKind::Load => "load",
        CommandKind::Unload => "unload",
    };
    format!(
        "{}  {kind} of {} at {}: {}; generation {}, fencing token {}  [{position}]",
        format_utc(command.end),
        command.version,
        command.endpoint,
        command.error.as_deref().unwrap_or("done"),
        command.head.generation,
        command.fencing_token,
    )
}

fn format_utc(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok();
    let time = time.and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || format!("@{unix_ms}"),
        |time| time.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string(),
    )
}
