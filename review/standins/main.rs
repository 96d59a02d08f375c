//! The stand-ins and the scripts of the review. Usage: `standins CASE RECORD`, in the root of the repository; the record
//! of the run is written to the file RECORD. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod bodies;
mod config;
mod http;
mod json;
mod poison;
mod repeats;
mod runner;
mod site;
mod store;

use std::path::Path;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(file)) = (words.next(), words.next()) else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let record = site::Record::new(&Path::new(&file));
    match case.as_str() {
        "bodies" => bodies::run(record),
        "config" => config::run(record),
        "poison" => poison::run(record),
        "repeats" => repeats::run(record),
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    }
}
