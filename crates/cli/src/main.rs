//! The `dotterelwheel` binary.

use std::process::ExitCode;

use tokio::runtime::Builder;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    // A gateway instance has a share of one core, where more threads would only add context
    // switches.
    let mut builder = match args.first().map(String::as_str) {
        Some("gateway") => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("failed to set up the runtime: {err}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(cli::run(&args));
    for line in &report.errors {
        eprintln!("{line}");
    }
    for line in &report.lines {
        println!("{line}");
    }
    ExitCode::from(report.exit.code())
}
