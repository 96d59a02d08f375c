//! `dotterelwheel audit show` and `dotterelwheel audit trace`: the records of one request or of
//! what ran under one declared object.

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
use crate::platform::unreachable;
use crate::report::Exit;
use crate::report::Report;

/// The timeout of one read of the object store.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The arguments of `audit show`.
#[derive(Debug, Options)]
pub struct ShowArgs {
    /// The request.
    #[options(free, required, help = "the request, as its receipt names it")]
    pub request: String,
    /// The settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// The arguments of `audit trace`.
#[derive(Debug, Options)]
pub struct TraceArgs {
    /// The kind and the name of the object.
    #[options(
        free,
        help = "the kind and the name of the object, as in its TOML table"
    )]
    pub object: Vec<String>,
    /// The settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the records of one request; exits with 1 if no record names it.
pub async fn show(args: &ShowArgs, platform: &Platform) -> Report {
    let Ok(request) = RequestId::try_from(args.request.clone()) else {
        let message = format!("`{}` is no request of 32 hex digits", args.request);
        return Report::error(Exit::Usage, message).with_json(args.json, json!({}));
    };
    let wanted = |record: &Record| match record {
        Record::Attempt(attempt) => attempt.request == request,
        Record::Command(_) => false,
    };
    let what = format!("request {request}");
    report(find(platform, wanted).await, &what, args.json)
}

/// Lists what ran under one object; exits with 1 if no record names it.
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
    let wanted = |record: &Record| match record {
        Record::Attempt(attempt) => attempt_names(attempt, kind, name),
        Record::Command(command) => command_names(command, kind, name),
    };
    let what = format!("{kind} `{name}`");
    report(find(platform, wanted).await, &what, args.json)
}

type Found = Result<Vec<(EntryPosition, Record)>, PlatformError>;

async fn find(platform: &Platform, wanted: impl Fn(&Record) -> bool) -> Found {
    Ok(::audit::search(platform.store(), wanted, READ_TIMEOUT).await?)
}

fn report(found: Found, what: &str, json: bool) -> Report {
    let found = match found {
        Ok(found) => found,
        Err(error) => return unreachable(&error).with_json(json, json!({})),
    };
    if found.is_empty() {
        let message = format!("no audit record names {what}");
        return Report::error(Exit::Refused, message).with_json(json, json!({ "records": [] }));
    }
    let rows = found
        .iter()
        .map(|(place, record)| json!({ "place": place.to_string(), "record": record }));
    let fields = json!({ "records": rows.collect::<Vec<_>>() });
    let lines = found.iter().map(|(place, record)| line(place, record));
    let report = Report {
        exit: Exit::Done,
        lines: lines.collect(),
        errors: Vec::new(),
    };
    report.with_json(json, fields)
}

fn attempt_names(attempt: &AttemptRecord, kind: ObjectKind, name: &str) -> bool {
    match kind {
        ObjectKind::Route => &*attempt.route == name,
        ObjectKind::Workspace => &*attempt.workspace == name,
        ObjectKind::Endpoint => attempt.endpoint.as_deref() == Some(name),
        ObjectKind::Adapter => {
            matches!(&attempt.target, Target::Version { name: served, .. } if is_of(served, name))
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

fn command_names(command: &CommandRecord, kind: ObjectKind, name: &str) -> bool {
    match kind {
        ObjectKind::Endpoint => &*command.endpoint == name,
        ObjectKind::Adapter => is_of(&command.version, name),
        ObjectKind::Version => &*command.version == name,
        _ => false,
    }
}

/// Returns whether a served name, `adapter@version`, is of this adapter.
fn is_of(served: &str, adapter: &str) -> bool {
    served
        .split_once('@')
        .is_some_and(|(name, _)| name == adapter)
}

fn line(place: &EntryPosition, record: &Record) -> String {
    match record {
        Record::Attempt(attempt) => attempt_line(place, attempt),
        Record::Command(command) => command_line(place, command),
    }
}

fn attempt_line(place: &EntryPosition, attempt: &AttemptRecord) -> String {
    let weights = match &attempt.target {
        Target::Version { digest, .. } => format!(" ({digest})"),
        Target::Model(_) | Target::Service(_) => String::new(),
    };
    let claim = attempt.claim.as_ref().map(|row| format!(", claim {row}"));
    let replay = if attempt.replay { ", replayed" } else { "" };
    format!(
        "{}  request {} attempt {}: {}{replay}; generation {}, route {}, {}{weights}, endpoint {}{}  [{place}]",
        utc(attempt.end),
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

fn command_line(place: &EntryPosition, command: &CommandRecord) -> String {
    let kind = match command.kind {
        CommandKind::Load => "load",
        CommandKind::Unload => "unload",
    };
    format!(
        "{}  {kind} of {} at {}: {}; generation {}, fencing token {}  [{place}]",
        utc(command.end),
        command.version,
        command.endpoint,
        command.error.as_deref().unwrap_or("done"),
        command.head.generation,
        command.fencing_token,
    )
}

fn utc(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok();
    let time = time.and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || format!("@{unix_ms}"),
        |time| time.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string(),
    )
}
