//! The `dotterelwheel-agent` daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use agent::Agent;
use agent::Outside;
use agent::Settings;
use gumdrop::Options;
use process::shutdown::stop_signal;
use spdlog::info;

/// The agent beside one endpoint.
#[derive(Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// The settings file.
    #[options(meta = "FILE", default = "agent.toml")]
    config: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings: Settings = match process::settings::load(&arguments.config) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(2);
        }
    };
    if let Err(err) = process::logs::init(settings.log_form, settings.log_level) {
        eprintln!("log cannot be set up: {err}");
        return ExitCode::FAILURE;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agent cannot be started: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs until the agent has stopped by itself or after a signal.
async fn run(settings: Settings) -> std::io::Result<()> {
    let outside = Outside::http(&settings);
    let agent = Agent::start(settings, outside).await?;
    tokio::select! {
        signal = stop_signal() => {
            info!("stopping on {}", signal?);
            agent.drain();
            agent.left().await;
        }
        () = agent.left() => {}
    }
    agent.stop().await;
    info!("stopped");
    Ok(())
}
