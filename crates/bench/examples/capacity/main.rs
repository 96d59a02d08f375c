//! Measures what state, messages and decisions cost as their number grows.
//!
//! `cargo run --release --example capacity -- --json` prints one JSON object on its last line:
//! under `points` what was measured at each size, and under `slopes` the least-squares slope of
//! each measure over its sizes. docs/CAPACITY.md is worked out from these slopes.

mod agent;
mod config;
mod measure;
mod routing;
mod sample;

use gumdrop::Options;
use serde_json::json;

use crate::measure::Series;

/// The command line.
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
