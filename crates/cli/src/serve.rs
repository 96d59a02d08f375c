//! `dotterelwheel serve`: runs an entry.

use std::path::Path;

use entry::Entry;
use entry::ExternalServices;
use entry::Settings;
use gumdrop::Options;
use process::logs;
use process::settings;
use process::shutdown;
use spdlog::info;

use crate::report::Exit;
use crate::report::Report;

/// Command-line arguments of `serve`.
#[derive(Debug, Options)]
pub struct Args {
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "entry.toml"
    )]
    pub config: String,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Runs an entry until SIGTERM or SIGINT, then finishes all requests in progress and exits.
pub async fn run(args: &Args) -> Report {
    let settings: Settings = match settings::load(Path::new(&args.config)) {
        Ok(settings) => settings,
        Err(err) => return Report::error(Exit::Usage, format!("{err:?}")),
    };
    if let Err(err) = logs::init(settings.log_form, settings.log_level) {
        return Report::error(Exit::Usage, format!("failed to set up logging: {err}"));
    }
    let external = ExternalServices::http(&settings);
    let entry = match Entry::start(settings, external).await {
        Ok(entry) => entry,
        Err(err) => return Report::error(Exit::Usage, format!("failed to start the entry: {err}")),
    };
    let signal = shutdown::stop_signal().await;
    info!("graceful stop", kv: { signal = signal.as_ref().map_or("none", |name| *name) });
    entry.stop().await;
    match signal {
        Ok(_) => Report {
            exit: Exit::Done,
            lines: Vec::new(),
            errors: Vec::new(),
        },
        Err(err) => Report::error(Exit::Usage, format!("failed to wait for a signal: {err}")),
    }
}
