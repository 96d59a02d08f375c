//! `dotterelwheel history`: lists the published generations.

use chrono::DateTime;
use decision::publish::GenerationRow;
use gumdrop::Options;
use serde_json::json;

use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable_report;
use crate::report::Report;

/// Command-line arguments of `history`.
#[derive(Debug, Options)]
pub struct Args {
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Maximum number of generations to list.
    #[options(
        no_short,
        help = "the number of generations",
        meta = "N",
        default = "20"
    )]
    pub limit: u64,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Lists the latest generations, newest first.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    let rows = match read_latest(args.limit, platform).await {
        Ok(rows) => rows,
        Err(error) => return unreachable_report(&error).with_json(args.json, json!({})),
    };
    let lines = match rows.is_empty() {
        true => "no generation to list".to_owned(),
        false => rows.iter().map(row_line).collect::<Vec<_>>().join("\n"),
    };
    Report::text(lines).with_json(args.json, json!({ "generations": rows }))
}

async fn read_latest(limit: u64, platform: &Platform) -> Result<Vec<GenerationRow>, PlatformError> {
    let newest = platform.read_head().await?.head.generation;
    let oldest = newest.saturating_sub(limit) + 1;
    platform.read_generations((oldest..=newest).rev()).await
}

fn row_line(row: &GenerationRow) -> String {
    let mut line = format!(
        "{:>6}  {}  {}  +{} -{} ~{}  {}",
        row.head.generation,
        format_utc(row.unix_time),
        row.head.digest,
        row.added,
        row.removed,
        row.changed,
        row.publisher
    );
    if let Some(restored) = row.restores {
        line.push_str(&format!("  (restores {restored})"));
    }
    line
}

fn format_utc(unix_time: u64) -> String {
    let time = i64::try_from(unix_time).ok();
    let time = time.and_then(|seconds| DateTime::from_timestamp(seconds, 0));
    time.map_or_else(
        || format!("@{unix_time}"),
        |time| time.format("%Y-%m-%dT%H:%M:%SZ").to_string(),
    )
}
