//! `dotterelwheel gateway`

use std::path::PathBuf;

use gumdrop::Options;

use crate::report::Exit;
use crate::report::Report;

/// The arguments of `gateway`.
#[derive(Debug, Options)]
pub struct Args {
    /// The settings file.
    #[options(
        no_short,
        help = "the settings file; by default the one that the platform names",
        meta = "FILE"
    )]
    pub config: Option<PathBuf>,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Runs an entry that calls runners directly, until SIGTERM.
pub async fn run(args: &Args) -> Report {
    let path = args.config.clone().unwrap_or_else(platform::settings::path);
    match ::gateway::process::run(&path).await {
        Ok(()) => Report::text(String::new()),
        Err(err) => Report::error(Exit::Usage, format!("{err:?}")),
    }
}
