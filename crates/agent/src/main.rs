//! The `dotterelwheel-agent` daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use agent::Agent;
use agent::ExternalServices;
use agent::Settings;
use gumdrop::Options;
use process::shutdown::stop_signal;
use spdlog::info;
use tokio::runtime::Builder;

/// The agent beside one endpoint.
#[derive(Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// The settings file.
    #[options(meta = "FILE", default = "agent.toml")]
    config: PathBuf,
    /// What to run; by default the agent that carries requests to its endpoint.
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    /// Run the agent beside a runner of the users' platform, which entries call directly.
    #[options(help = "run the agent beside a runner that entries call directly")]
    Sidecar(SidecarArguments),
}

#[derive(Options)]
struct SidecarArguments {
    /// Print this help.
    help: bool,
    /// The settings file.
    #[options(
        meta = "FILE",
        help = "the settings file; by default the one that the platform names"
    )]
    config: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    // A sidecar gets a share of one core, where more threads would only add context switches.
    let mut builder = match arguments.command {
        Some(Command::Sidecar(_)) => Builder::new_current_thread(),
        None => Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("failed to start the async runtime: {err}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(start(arguments))
}

async fn start(arguments: Arguments) -> ExitCode {
    if let Some(Command::Sidecar(sidecar)) = arguments.command {
        let path = sidecar.config.unwrap_or_else(platform::settings::path);
        return match gateway::agent::run(&path).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("{report:?}");
                ExitCode::from(2)
            }
        };
    }
    let settings: Settings = match process::settings::load(&arguments.config) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(2);
        }
    };
    if let Err(err) = process::logs::init(settings.log_form, settings.log_level) {
        eprintln!("failed to set up logging: {err}");
        return ExitCode::FAILURE;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agent failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the agent until it drains by itself or a signal makes it drain.
async fn run(settings: Settings) -> std::io::Result<()> {
    let external = ExternalServices::http(&settings);
    let agent = Agent::start(settings, external).await?;
    tokio::select! {
        signal = stop_signal() => {
            info!("stopping on {}", signal?);
            agent.drain();
            agent.wait_drained().await;
        }
        () = agent.wait_drained() => {}
    }
    agent.stop().await;
    info!("stopped");
    Ok(())
}
