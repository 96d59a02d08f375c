//! `dotterelwheel rollback GENERATION`: publishes an earlier generation again.

use std::sync::Arc;

use decision::publish::Request;
use gumdrop::Options;
use objects::SourceMap;
use serde_json::json;

use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable_report;
use crate::publish::unknown_generation;
use crate::publishing;
use crate::report::Report;

/// Command-line arguments of `rollback`.
#[derive(Debug, Options)]
pub struct Args {
    /// Generation whose set is published again.
    #[options(free, required, help = "the generation to restore")]
    pub generation: u64,
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
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

/// Publishes the set of an earlier generation as a new generation.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    match try_run(args, platform).await {
        Ok(Some(report)) => report,
        Ok(None) => unknown_generation(args.generation).with_json(args.json, json!({})),
        Err(error) => unreachable_report(&error).with_json(args.json, json!({})),
    }
}

async fn try_run(args: &Args, platform: &Platform) -> Result<Option<Report>, PlatformError> {
    let Some(row) = platform.read_generation(args.generation).await? else {
        return Ok(None);
    };
    let base = platform.read_head().await?.head;
    let before = platform
        .fetch_set(&base.digest, &Default::default())
        .await?;
    let target = platform.fetch_set(&row.head.digest, &before).await?;
    let request = Request {
        base,
        base_set: before.set.clone(),
        set: target.set,
        sources: Arc::new(SourceMap::default()),
        rebase: false,
        publisher: publishing::publisher_name(&args.publisher).into(),
        unix_time: publishing::unix_time(),
        restores: Some(args.generation),
    };
    let outcome = publishing::publish(platform, request, &before).await;
    let hint = "run `dotterelwheel history`, then roll back again if it is still wanted";
    Ok(Some(publishing::report(&outcome, hint, args.json)))
}
