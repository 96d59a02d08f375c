//! The command line of the soak.

use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;
use error_stack::ResultExt;
use gumdrop::Options;
use soak::checks::breaches;
use soak::plan::Size;
use soak::report::report;
use soak::world::Failure;
use soak::world::Paths;
use soak::world::run;

/// The largest deployment, in times of the usual one.
const MAX_SCALE: usize = 20;

/// Plays faults against the real programs and checks their promises.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "how long each seed's faults last", default = "20", meta = "T")]
    seconds: u64,
    #[options(
        help = "how many seeds are played, one after the other",
        default = "1",
        meta = "N"
    )]
    count: u64,
    #[options(
        no_short,
        help = "how many times the usual size, at most 20",
        default = "1",
        meta = "N"
    )]
    scale: usize,
    #[options(
        help = "the directory with the two programs; this program's own by default",
        meta = "DIR"
    )]
    programs: Option<PathBuf>,
    #[options(
        help = "the directory for logs; those of failed seeds are kept",
        meta = "DIR"
    )]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match play(&args).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} of {} seeds broke a promise", args.count);
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("the run could not be played: {report:?}");
            ExitCode::from(2)
        }
    }
}

/// Plays all seeds; returns how many broke a promise.
async fn play(args: &Args) -> Result<u64, Report<Failure>> {
    let own = std::env::current_exe().change_context(Failure::Files)?;
    let own = own.parent().map(PathBuf::from).unwrap_or_default();
    let programs = args.programs.clone().unwrap_or(own);
    let logs = args.logs.clone();
    let logs = logs.unwrap_or_else(|| std::env::temp_dir().join("dotterelwheel-soak"));
    // Each entry and runner has an address of its own, and there are 250 of them.
    let scale = args.scale.clamp(1, MAX_SCALE);
    let size = Size::USUAL.times(scale);
    let mut failed = 0;
    for seed in args.seed..args.seed + args.count {
        let paths = Paths {
            programs: programs.clone(),
            logs: logs.join(format!("{seed}-{}", std::process::id())),
        };
        let history = run(seed, args.seconds * 1_000, size, &paths).await?;
        let breaches = breaches(&history);
        print!("{}", report(seed, args.seconds, scale, &history, &breaches));
        if breaches.is_empty() {
            std::fs::remove_dir_all(&paths.logs).change_context(Failure::Files)?;
        } else {
            println!("logs: {}", paths.logs.display());
            failed += 1;
        }
    }
    Ok(failed)
}
