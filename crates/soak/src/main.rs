//! The command line of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;
use error_stack::ResultExt;
use gumdrop::Options;
use soak::checks::violations;
use soak::harness::Paths;
use soak::harness::RunError;
use soak::harness::run;
use soak::plan::DeploymentSize;
use soak::report::report;

/// The largest value of `--scale`.
const MAX_SCALE: usize = 20;

/// Injects faults into the real programs and checks what they guarantee.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "the seconds of faults per seed", default = "20", meta = "T")]
    seconds: u64,
    #[options(
        help = "the number of consecutive seeds, run one after the other",
        default = "1",
        meta = "N"
    )]
    count: u64,
    #[options(
        no_short,
        help = "the multiple of the default size, at most 20",
        default = "1",
        meta = "N"
    )]
    scale: usize,
    #[options(
        help = "the directory of the programs under test; this program's own by default",
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
    match run_seeds(&args).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} of {} seeds violated a guarantee", args.count);
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("the run could not be completed: {report:?}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds; returns how many violated a guarantee.
async fn run_seeds(args: &Args) -> Result<u64, Report<RunError>> {
    let own = std::env::current_exe().change_context(RunError::Files)?;
    let own = own.parent().map(PathBuf::from).unwrap_or_default();
    let programs = args.programs.clone().unwrap_or(own);
    let logs = args.logs.clone();
    let logs = logs.unwrap_or_else(|| std::env::temp_dir().join("dotterelwheel-soak"));
    // Every entry and every runner has its own address, of which there are about 250.
    let scale = args.scale.clamp(1, MAX_SCALE);
    let size = DeploymentSize::DEFAULT.scaled(scale);
    let mut failed = 0;
    for seed in args.seed..args.seed + args.count {
        let paths = Paths {
            programs: programs.clone(),
            logs: logs.join(format!("{seed}-{}", std::process::id())),
        };
        let history = run(seed, args.seconds * 1_000, size, &paths).await?;
        let violations = violations(&history);
        print!(
            "{}",
            report(seed, args.seconds, scale, &history, &violations)
        );
        if violations.is_empty() {
            std::fs::remove_dir_all(&paths.logs).change_context(RunError::Files)?;
        } else {
            println!("logs: {}", paths.logs.display());
            failed += 1;
        }
    }
    Ok(failed)
}
