//! Compares the policy of the decision crate with baselines on the same workload.

fn main() {
    if let Err(error) = bench::command::main() {
        eprintln!("{error}");
        std::process::exit(2);
    }
}
