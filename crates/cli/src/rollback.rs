//! `dotterelwheel rollback GENERATION`

use std::sync::Arc;

use decision::publish::Request;
use gumdrop::Options;
use objects::SourceMap;
use serde_json::json;

use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::unreachable;
use crate::publish::no_generation;
use crate::publishing;
use crate::report::Report;

/// The arguments of `rollback`.
#[derive(Debug, Options)]
pub struct Args {
    /// The generation to restore.
    #[options(free, required, help = "the generation to restore")]
    pub generation: u64,
    /// The settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
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

/// Publishes the set of an earlier generation as a new generation.
pub async fn run(args: &Args, platform: &Platform) -> Report {
    match try_run(args, platform).await {
        Ok(Some(report)) => report,
        Ok(None) => no_generation(args.generation).with_json(args.json, json!({})),
        Err(error) => unreachable(&error).with_json(args.json, json!({})),
    }
}

async fn try_run(args: &Args, platform: &Platform) -> Result<Option<Report>, PlatformError> {
    let Some(row) = platform.generation(args.generation).await? else {
        return Ok(None);
    };
    let base = platform.head().await?.head;
    let before = platform.fetch(&base.digest, &Default::default()).await?;
    let target = platform.fetch(&row.head.digest, &before).await?;
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
