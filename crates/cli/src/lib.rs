//! Commands of the `dotterelwheel` binary.
//!
//! Invariants: a command changes the platform only by publishing a generation. A refused command
//! changes neither the platform nor the operator's directory. With `--json`, standard output
//! consists of one JSON document.
//!
//! API boundary: [`run`] takes the arguments and returns a [`Report`]. Each command has a module
//! with its arguments and a `run` function, which accesses the platform through [`Platform`]. To
//! add a command, add a module and a variant of [`Command`].

pub mod audit;
pub mod audit_search;
pub mod check;
pub mod demo;
pub mod diff;
pub mod directory;
pub mod gateway;
pub mod history;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod publish;
mod publishing;
pub mod report;
pub mod rollback;
pub mod serve;

use gumdrop::Options;
pub use operator::OperatorSettings;
pub use platform::Platform;
pub use report::Exit;
pub use report::Report;
use serde_json::json;

/// Command-line arguments of the `dotterelwheel` binary.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print the usage and exit.
    #[options(help = "print this help; `COMMAND --help` prints the options of a command")]
    pub help: bool,
    /// Subcommand; `None` is a usage error unless `--help` is given.
    #[options(command)]
    pub command: Option<Command>,
}

/// Subcommands of the `dotterelwheel` binary.
#[derive(Debug, Options)]
pub enum Command {
    /// Handled by [`check::run`].
    #[options(help = "validate the object files of a directory")]
    Check(check::Args),
    /// Handled by [`diff::run`].
    #[options(help = "show what publishing a directory would change")]
    Diff(diff::Args),
    /// Handled by [`publish::run`].
    #[options(help = "publish a directory as a new generation")]
    Publish(publish::Args),
    /// Handled by [`rollback::run`].
    #[options(help = "publish an earlier generation as a new one")]
    Rollback(rollback::Args),
    /// Handled by [`history::run`].
    #[options(help = "list the published generations")]
    History(history::Args),
    /// Handled by [`peers::status`].
    #[options(help = "show the generation that each process has in force")]
    Status(peers::StatusArgs),
    /// Handled by [`peers::dump`].
    #[options(help = "print the state of one process")]
    Dump(peers::DumpArgs),
    /// Handled by [`audit`].
    #[options(help = "check and search the audit records")]
    Audit(audit::Args),
    /// Handled by [`serve::run`].
    #[options(help = "run an entry")]
    Serve(serve::Args),
    /// Handled by [`gateway::run`].
    #[options(help = "run an entry that calls the platform's runners directly")]
    Gateway(gateway::Args),
    /// Handled by [`demo::run`].
    #[options(help = "run a complete site with stand-ins in one process")]
    Demo(demo::Args),
}

const EXIT_CODES: &str = "Exit codes: 0 done, 1 findings or refusal, 2 usage, 3 platform \
                          unreachable, 4 conflict";

/// Runs the command given by `args`, which exclude the program name.
pub async fn run(args: &[String]) -> Report {
    let arguments = match Arguments::parse_args_default(args) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error.to_string()),
    };
    if arguments.help_requested() {
        return Report::text(help(&arguments));
    }
    match arguments.command {
        None => usage_error("a command is required"),
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Status(args)) => peers::status(&args).await,
        Some(Command::Dump(args)) => peers::dump(&args).await,
        Some(Command::Serve(args)) => serve::run(&args).await,
        Some(Command::Gateway(args)) => gateway::run(&args).await,
        Some(Command::Demo(args)) => demo::run(&args).await,
        Some(Command::Audit(args)) => match args.command {
            None => usage_error("a command of `audit` is required"),
            Some(audit::Command::Verify(args)) => {
                let run = async |platform| audit::verify(&args, &platform).await;
                with_platform(&args.config, args.json, run).await
            }
            Some(audit::Command::Show(args)) => {
                let run = async |platform| audit_search::show(&args, &platform).await;
                with_platform(&args.config, args.json, run).await
            }
            Some(audit::Command::Trace(args)) => {
                let run = async |platform| audit_search::trace(&args, &platform).await;
                with_platform(&args.config, args.json, run).await
            }
        },
        Some(Command::Diff(args)) => {
            let run = async |platform| diff::run(&args, &platform).await;
            with_platform(&args.config, args.json, run).await
        }
        Some(Command::Publish(args)) => {
            let run = async |platform| publish::run(&args, &platform).await;
            with_platform(&args.config, args.json, run).await
        }
        Some(Command::Rollback(args)) => {
            let run = async |platform| rollback::run(&args, &platform).await;
            with_platform(&args.config, args.json, run).await
        }
        Some(Command::History(args)) => {
            let run = async |platform| history::run(&args, &platform).await;
            with_platform(&args.config, args.json, run).await
        }
    }
}

async fn with_platform(
    config: &str,
    json: bool,
    run: impl AsyncFnOnce(Platform) -> Report,
) -> Report {
    match Platform::open(config) {
        Ok(platform) => run(platform).await,
        Err(report) => report.with_json(json, json!({})),
    }
}

fn usage_error(message: &str) -> Report {
    let hint = "run `dotterelwheel --help` for the commands and their options";
    Report::error(Exit::Usage, format!("{message}; {hint}"))
}

fn help(arguments: &Arguments) -> String {
    let name = arguments.command_name().unwrap_or("COMMAND");
    let mut text = format!("Usage: dotterelwheel {name} [OPTIONS]\n\n");
    text.push_str(arguments.self_usage());
    if let Some(commands) = arguments.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text.push_str("\n\n");
    text.push_str(EXIT_CODES);
    text
}
