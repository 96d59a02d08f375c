//! `dotterelwheel audit verify`

use std::collections::BTreeMap;
use std::time::Duration;

use ::audit::PublishedSet;
use ::audit::ReferenceData;
use gumdrop::Options;
use serde_json::json;

use crate::audit_search::ShowArgs;
use crate::audit_search::TraceArgs;
use crate::platform::Fetched;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable;
use crate::report::Exit;
use crate::report::Report;

/// The timeout of one read of the object store.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The arguments of `audit`.
#[derive(Debug, Options)]
pub struct Args {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands of `audit`.
#[derive(Debug, Options)]
pub enum Command {
    /// [`verify`].
    #[options(help = "check all audit records against the published generations")]
    Verify(VerifyArgs),
    /// [`crate::audit_search::show`].
    #[options(help = "show the records of one request")]
    Show(ShowArgs),
    /// [`crate::audit_search::trace`].
    #[options(help = "show what ran under one declared object")]
    Trace(TraceArgs),
}

/// The arguments of `audit verify`.
#[derive(Debug, Options)]
pub struct VerifyArgs {
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

/// Verifies all chains; exits with 1 if anything is wrong or was lost.
pub async fn verify(args: &VerifyArgs, platform: &Platform) -> Report {
    let found = match check(platform).await {
        Ok(found) => found,
        Err(error) => return unreachable(&error).with_json(args.json, json!({})),
    };
    let problems: Vec<_> = found.problems.iter().map(ToString::to_string).collect();
    let chains = found.chains.len();
    let open = found.chains.iter().filter(|chain| !chain.closed).count();
    let fields = json!({
        "records": found.record_count,
        "chains": chains,
        "open_chains": open,
        "problems": problems,
    });
    let summary = format!(
        "{} records in {chains} chains, {open} of them not closed; {} problems",
        found.record_count,
        problems.len()
    );
    let report = Report {
        exit: match problems.is_empty() {
            true => Exit::Done,
            false => Exit::Refused,
        },
        lines: vec![summary],
        errors: problems.iter().map(|p| format!("error: {p}")).collect(),
    };
    report.with_json(args.json, fields)
}

/// Compares all chains with all published generations.
pub(crate) async fn check(
    platform: &Platform,
) -> Result<::audit::VerificationReport, PlatformError> {
    let newest = platform.head().await?.head.generation;
    let rows = platform.generations(1..=newest).await?;
    let mut known = Fetched::default();
    let mut sets = Vec::new();
    for row in &rows {
        known = platform.fetch(&row.head.digest, &known).await?;
        sets.push(known.set.clone());
    }
    let published = rows.iter().zip(&sets).map(|(row, set)| {
        let digest = row.head.digest.as_str();
        (row.head.generation, PublishedSet { digest, set })
    });
    let expected = ReferenceData {
        published: published.collect::<BTreeMap<_, _>>(),
        known_tips: Vec::new(),
    };
    Ok(::audit::verify(platform.store(), &expected, READ_TIMEOUT).await?)
}
