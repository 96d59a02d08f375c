//! `dotterelwheel history`

use chrono::DateTime;
use decision::publish::GenerationRow;
use gumdrop::Options;
use serde_json::json;

use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable;
use crate::report::Report;

/// The arguments of `history`.
#[derive(Debug, Options)]
pub struct Args {
    /// The settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// The number of generations to list.
    #[options(
        no_short,
        help = "the number of generations",
        meta = "N",
        default = "20"
    )]
    pub limit: u64,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Lists the latest generations, the newest first.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    let rows = match read(args.limit, platform).await {
        Ok(rows) => rows,
        Err(error) => return unreachable(&error).with_json(args.json, json!({})),
    };
    let lines = match rows.is_empty() {
        true => "no generation to list".to_owned(),
        false => rows.iter().map(line).collect::<Vec<_>>().join("\n"),
    };
    Report::text(lines).with_json(args.json, json!({ "generations": rows }))
}

async fn read(limit: u64, platform: &Platform) -> Result<Vec<GenerationRow>, PlatformError> {
    let newest = platform.head().await?.head.generation;
    let oldest = newest.saturating_sub(limit) + 1;
    platform.generations((oldest..=newest).rev()).await
}

fn line(row: &GenerationRow) -> String {
    let mut line = format!(
        "{:>6}  {}  {}  +{} -{} ~{}  {}",
        row.head.generation,
        utc(row.unix_time),
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

fn utc(unix_time: u64) -> String {
    let time = i64::try_from(unix_time).ok();
    let time = time.and_then(|seconds| DateTime::from_timestamp(seconds, 0));
    time.map_or_else(
        || format!("@{unix_time}"),
        |time| time.format("%Y-%m-%dT%H:%M:%SZ").to_string(),
    )
}
