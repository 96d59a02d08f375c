//! Measures the time and memory for reading, publishing and adopting a set of 26,000 adapters with
//! 52,000 versions.
//!
//! Run with `cargo run --release -p objects --example publish_cost`. If a directory is passed as
//! argument, the example only writes the set there, as input for the example `publish_time` of
//! `dotterelwheel`.

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use objects::Digest;
use objects::Manifest;
use objects::ObjectSet;
use objects::Snapshot;
use objects::apply_buckets;
use objects::changed_buckets;
use objects::diff;
use objects::load;
use objects::rebase;
use objects::validate;

const WORKSPACE_COUNT: usize = 400;
const ADAPTER_COUNT: usize = 26_000;
const ENDPOINT_COUNT: usize = 1_200;
const MODEL_COUNT: usize = 4;
/// The number of runs over which a time is averaged, after one warm-up run.
const ROUNDS: u32 = 5;
/// The number of sets over which memory is averaged.
const COPIES: i64 = 12;

fn main() {
    let text = generate_toml();
    if let Some(dir) = std::env::args().nth(1) {
        let path = std::path::Path::new(&dir).join("set.toml");
        return std::fs::write(path, text).expect("the directory can be written");
    }
    let loaded = load([("set.toml", &*text)]);
    assert!(loaded.findings.is_empty(), "{}", loaded.findings[0]);
    let set = loaded.set;
    measure("parse and validate TOML", || load([("set.toml", &*text)]));
    println!("objects: {}, TOML bytes: {}", set.len(), text.len());
    measure("validate", || validate(&set, &Default::default()));
    let old = measure("build snapshot", || Snapshot::build(&set, 0, "bench", 1));
    let sizes = old.buckets.iter().map(Vec::len);
    let total: usize = sizes.clone().sum();
    println!("manifest bytes: {}", old.manifest_bytes.len());
    println!(
        "bucket bytes: {total}, largest {}",
        sizes.max().unwrap_or(0)
    );

    let all: Vec<_> = old.buckets.iter().enumerate().collect();
    let read = || ObjectSet::from_buckets(&old.manifest, &all).expect("snapshot is complete");
    // These sets use up the memory that the allocator retained from the steps above, so that the
    // sets measured next grow the process.
    let retained: Vec<_> = (0..COPIES).map(|_| read()).collect();
    let before = resident_kb();
    let measured: Vec<_> = (0..COPIES).map(|_| read()).collect();
    let grown = (resident_kb() - before) / COPIES;
    println!("resident memory of one set: {grown} KB");
    assert!(
        retained
            .iter()
            .chain(&measured)
            .all(|adopted| *adopted == set)
    );
    measure("read whole snapshot", read);

    let mut edited = set.clone();
    withdraw(&mut edited, "adapter-00017@v1");
    let new = Snapshot::build(&edited, 1, "bench", 2);
    let changed = changed_buckets(&old.manifest, &new.manifest);
    let bytes: usize = changed
        .iter()
        .map(|bucket| new.buckets[*bucket].len())
        .sum();
    println!(
        "one change: {} bucket(s), {bytes} bytes, with manifest {}",
        changed.len(),
        bytes + new.manifest_bytes.len()
    );
    let fetched: Vec<_> = changed.iter().map(|b| (*b, &new.buckets[*b])).collect();
    let update =
        || apply_buckets(&set, &old.manifest, &new.manifest, &fetched).expect("buckets match");
    measure("apply one change", update);
    let _ = measure("decode manifest", || {
        Manifest::decode_checked(&new.manifest_bytes, new.digest)
    });
    measure("diff", || diff(&set, &edited));
    measure("rebase one edit", || {
        rebase(&set, &edited, &set).expect("no overlap")
    });
}

fn withdraw(set: &mut ObjectSet, name: &str) {
    let version = set.versions.get_mut(name).expect("version exists");
    Arc::make_mut(version).withdrawn = true;
}

fn measure<T>(step: &str, mut run: impl FnMut() -> T) -> T {
    let mut last = black_box(run());
    let start = Instant::now();
    for _ in 0..ROUNDS {
        last = black_box(run());
    }
    println!(
        "{step}: {:.2} ms",
        (start.elapsed() / ROUNDS).as_secs_f64() * 1e3
    );
    last
}

/// Returns the resident memory of this process in KB, read from `/proc/self/status`.
fn resident_kb() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn generate_toml() -> String {
    let mut text = String::new();
    for model in 0..MODEL_COUNT {
        let _ = writeln!(
            text,
            "[[model]]\nname = \"base-{model}\"\nbase = \"org/base-{model}\""
        );
    }
    for workspace in 0..WORKSPACE_COUNT {
        let _ = writeln!(
            text,
            "[[workspace]]\nname = \"ws-{workspace:03}\"\nrate = 50\ninflight = 100"
        );
    }
    for endpoint in 0..ENDPOINT_COUNT {
        let _ = writeln!(
            text,
            "[[endpoint]]\nname = \"runner-{endpoint:04}\"\nmodel = \"base-{}\"\n\
             region = \"region-{}\"\ndomain = \"domain-{:02}\"\nslots = 8\nbatch = 32\nqueue = 200",
            endpoint % MODEL_COUNT,
            endpoint % 7,
            endpoint % 28
        );
    }
    for adapter in 0..ADAPTER_COUNT {
        write_adapter(&mut text, adapter);
    }
    text
}

fn write_adapter(text: &mut String, adapter: usize) {
    let workspace = adapter % WORKSPACE_COUNT;
    let name = format!("adapter-{adapter:05}");
    let _ = writeln!(
        text,
        "[[adapter]]\nname = \"{name}\"\nmodel = \"base-{}\"\nworkspace = \"ws-{workspace:03}\"",
        adapter % MODEL_COUNT
    );
    for version in 1..=2 {
        let _ = writeln!(
            text,
            "[[version]]\nadapter = \"{name}\"\nversion = \"v{version}\"\n\
             weights = \"ws-{workspace:03}/{name}/{version}\"\ndigest = \"{}\"",
            Digest::of(format!("{name}@{version}").as_bytes())
        );
    }
    let _ = writeln!(
        text,
        "[[route]]\nname = \"route-{adapter:05}\"\nworkspace = \"ws-{workspace:03}\"\n\
         targets = [{{version = \"{name}@v2\", weight = 1}}]\ndeadline_ms = 30000"
    );
}
