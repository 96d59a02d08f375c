//! Measures how memory, message sizes and CPU time grow with the size of a deployment.
//!
//! `cargo run --release --example capacity -- --json` prints one JSON object as its last line:
//! `points` holds the value of each measure at each size, and `slopes` the least-squares line
//! through them. docs/CAPACITY.md is derived from these slopes.

mod agent;
mod config;
mod measure;
mod recovery;
mod routing;
mod sample;

use gumdrop::Options;
use serde_json::json;

use crate::measure::Series;

/// Command-line options.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print only the JSON object")]
    json: bool,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    let mut all: Vec<Series> = Vec::new();
    all.extend(config::measure());
    all.extend(routing::measure());
    all.extend(agent::measure());
    all.extend(recovery::measure());
    if !args.json {
        for series in &all {
            println!("{series}");
        }
    }
    let points: serde_json::Map<_, _> = all
        .iter()
        .map(|series| (series.name.to_owned(), json!(series.points)))
        .collect();
    let slopes: serde_json::Map<_, _> = all
        .iter()
        .map(|series| (series.name.to_owned(), json!(series.line())))
        .collect();
    println!("{}", json!({ "points": points, "slopes": slopes }));
}
