//! Measures the policy of the decision crate against baselines on the same arrivals.

fn main() {
    if let Err(error) = bench::command::main() {
        eprintln!("{error}");
        std::process::exit(2);
    }
}
