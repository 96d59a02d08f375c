//! `dotterelwheel audit verify`: checks the audit records against the published generations.

use std::collections::BTreeMap;
use std::time::Duration;

use ::audit::PublishedSet;
use ::audit::ReferenceData;
use gumdrop::Options;
use serde_json::json;

use crate::audit_search::ShowArgs;
use crate::audit_search::TraceArgs;
use crate::platform::FetchedSet;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable_report;
use crate::report::Exit;
use crate::report::Report;

/// Timeout of one read from the object store.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Command-line arguments of `audit`.
#[derive(Debug, Options)]
pub struct Args {
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Subcommand; `None` is a usage error unless `--help` is given.
    #[options(command)]
    pub command: Option<Command>,
}

/// Subcommands of `audit`.
#[derive(Debug, Options)]
pub enum Command {
    /// Handled by [`verify`].
    #[options(help = "check all audit records against the published generations")]
    Verify(VerifyArgs),
    /// Handled by [`crate::audit_search::show`].
    #[options(help = "show the records of one request")]
    Show(ShowArgs),
    /// Handled by [`crate::audit_search::trace`].
    #[options(help = "show what ran under one declared object")]
    Trace(TraceArgs),
}

/// Command-line arguments of `audit verify`.
#[derive(Debug, Options)]
pub struct VerifyArgs {
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

/// Verifies all audit chains. The exit code is 1 if records are wrong, missing or lost.
pub async fn verify(args: &VerifyArgs, platform: &Platform) -> Report {
    let verified = match verify_chains(platform).await {
        Ok(verified) => verified,
        Err(error) => return unreachable_report(&error).with_json(args.json, json!({})),
    };
    let problems: Vec<_> = verified.problems.iter().map(ToString::to_string).collect();
    let chains = verified.chains.len();
    let open = verified.chains.iter().filter(|chain| !chain.closed).count();
    let fields = json!({
        "records": verified.record_count,
        "chains": chains,
        "open_chains": open,
        "problems": problems,
    });
    let summary = format!(
        "{} records in {chains} chains, {open} of them not closed; {} problems",
        verified.record_count,
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

/// Verifies all audit chains against all published generations.
pub(crate) async fn verify_chains(
    platform: &Platform,
) -> Result<::audit::VerificationReport, PlatformError> {
    let newest = platform.read_head().await?.head.generation;
    let rows = platform.read_generations(1..=newest).await?;
    let mut known = FetchedSet::default();
    let mut sets = Vec::new();
    for row in &rows {
        known = platform.fetch_set(&row.head.digest, &known).await?;
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
