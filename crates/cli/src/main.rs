//! The `dotterelwheel` binary.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let report = cli::run(&args).await;
    for line in &report.errors {
        eprintln!("{line}");
    }
    for line in &report.lines {
        println!("{line}");
    }
    ExitCode::from(report.exit.code())
}
