//! Stand-ins of the platform, of runners and of clients for the scripts of the second review.
//!
//! It needs nothing but the standard library. `standins CASE RECORD` plays one case on loopback addresses with the
//! real programs as separate processes, writes what was sent, answered and run to RECORD, and exits with 1 if the
//! rule of the case was broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod cases;
mod http;
mod late_runner;
mod platform;
mod programs;
mod record;
mod runner;

use std::sync::Arc;

use record::Verdict;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::create(path));
    let verdict = match cases::play(case, trouble, &record) {
        Ok(verdict) => verdict,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            Verdict::NotRun
        }
    };
    record.line(&format!("result: {}", verdict.text()));
    println!("{case}: {}", verdict.text());
    std::process::exit(verdict.code());
}
