//! `dotterelwheel gateway`: runs an entry that calls runners directly.

use std::path::PathBuf;

use gumdrop::Options;

use crate::report::Exit;
use crate::report::Report;

/// Command-line arguments of `gateway`.
#[derive(Debug, Options)]
pub struct Args {
    /// Path of the TOML settings file; `None` takes the one that the platform names.
    #[options(
        no_short,
        help = "the settings file; by default the one that the platform names",
        meta = "FILE"
    )]
    pub config: Option<PathBuf>,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Runs an entry that calls runners directly until SIGTERM.
pub async fn run(args: &Args) -> Report {
    let path = args.config.clone().unwrap_or_else(platform::settings::path);
    match ::gateway::process::run(&path).await {
        Ok(()) => Report::text(String::new()),
        Err(err) => Report::error(Exit::Usage, format!("{err:?}")),
    }
}
