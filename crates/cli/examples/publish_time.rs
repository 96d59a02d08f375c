//! Measures the time to publish a directory over HTTP to stand-ins on loopback: the first
//! generation, then one changed line, then no change.
//!
//! Run it with `cargo run --release -p dotterelwheel --example publish_time DIR`. It edits the
//! directory. The example `publish_cost` of `objects` writes a set of 26,000 adapters.

use std::path::Path;
use std::time::Instant;

use cli::Report;
use standins::Objects;
use standins::Table;

#[tokio::main]
async fn main() {
    let dir = std::env::args().nth(1).expect("a directory is given");
    let (table, objects) = (Table::start().await, Objects::start().await);
    let config = Path::new(&dir).join("operator.conf");
    let addresses = format!(
        "table = \"{}\"\nobjects = \"{}\"\n",
        table.addr(),
        objects.addr()
    );
    std::fs::write(&config, addresses).expect("the directory can be written");
    let config = config.display().to_string();

    measure("first generation", &dir, &config, &table, &objects).await;
    edit(&Path::new(&dir).join("set.toml"));
    measure("one change", &dir, &config, &table, &objects).await;
    measure("no change", &dir, &config, &table, &objects).await;
    table.stop().await;
    objects.stop().await;
}

async fn measure(step: &str, dir: &str, config: &str, table: &Table, objects: &Objects) {
    let before = (table.counts(), objects.counts());
    let start = Instant::now();
    let args = ["publish", dir, "--config", config].map(str::to_owned);
    let report: Report = cli::run(&args).await;
    let elapsed = start.elapsed();
    let after = (table.counts(), objects.counts());
    println!(
        "{step}: {:.0} ms, {} row reads, {} commits, {} object reads, {} object writes; {}",
        elapsed.as_secs_f64() * 1e3,
        after.0.reads - before.0.reads,
        after.0.commits - before.0.commits,
        after.1.reads - before.1.reads,
        after.1.writes - before.1.writes,
        report.lines.concat() + &report.errors.concat()
    );
}

/// Changes the rate of the first workspace.
fn edit(path: &Path) {
    let text = std::fs::read_to_string(path).expect("the set can be read");
    let text = text.replacen("rate = 50", "rate = 51", 1);
    std::fs::write(path, text).expect("the set can be written");
}
