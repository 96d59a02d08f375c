//! The command line of the example `policy`.

use std::collections::BTreeMap;

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::arrivals;
use crate::baseline::Baseline;
use crate::baseline::Pick;
use crate::bound::Rule;
use crate::bound::bound;
use crate::ours::Ours;
use crate::sim::Fault;
use crate::sim::Policy;
use crate::sim::run;
use crate::site::Site;
use crate::site::site;

/// Options of the example `policy`.
#[derive(Clone, Debug, Options)]
pub struct Args {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The site.
    #[options(
        help = "pinecrest, atlas or fleet",
        meta = "SITE",
        default = "pinecrest"
    )]
    pub site: String,
    /// The seed of the work.
    #[options(help = "seed of the work", meta = "N", default = "1")]
    pub seed: u64,
    /// The length of the run.
    #[options(help = "seconds of arrivals", meta = "T", default = "300")]
    pub seconds: u64,
    /// The share of the sustainable load.
    #[options(help = "share of the sustainable load", meta = "X", default = "0.8")]
    pub load: f64,
    /// Only these policies, separated by commas.
    #[options(help = "only these policies, separated by commas", meta = "NAMES")]
    pub only: Option<String>,
    /// Another sustainable rate, to find the declared one.
    #[options(help = "requests/s at load 1 instead of the declared rate", meta = "R")]
    pub rate: Option<f64>,
    /// Another stall weight, for trials.
    #[options(
        help = "stall weight instead of the declared one",
        meta = "W",
        no_short
    )]
    pub stall_weight: Option<f64>,
    /// A slow engine.
    #[options(
        help = "factor on the step times of one engine",
        meta = "F",
        default = "1",
        no_short
    )]
    pub slowness: f64,
    /// A failing engine.
    #[options(
        help = "share of submissions to one engine that fail",
        meta = "X",
        default = "0",
        no_short
    )]
    pub failing: f64,
    /// Print only the JSON line.
    #[options(help = "print only the JSON line")]
    pub json: bool,
}

/// The last line of the output.
#[derive(Clone, Debug, Serialize)]
pub struct Output {
    /// The site.
    pub site: &'static str,
    /// The seed.
    pub seed: u64,
    /// The share of the sustainable load.
    pub load: f64,
    /// The figures by policy.
    pub policies: BTreeMap<&'static str, Value>,
}

/// Parses the command line, measures and prints.
pub fn main() -> Result<(), String> {
    let args = Args::parse_args_default_or_exit();
    let output = measure(&args)?;
    if !args.json {
        for (name, figures) in &output.policies {
            println!("{name:<16} {figures}");
        }
    }
    println!(
        "{}",
        serde_json::to_string(&output).map_err(|error| error.to_string())?
    );
    Ok(())
}

/// Measures all chosen policies on the same work.
pub fn measure(args: &Args) -> Result<Output, String> {
    let mut site = site(&args.site).ok_or_else(|| format!("no site is named {}", args.site))?;
    site.sustainable = args.rate.unwrap_or(site.sustainable);
    site.stall_weight = args.stall_weight.unwrap_or(site.stall_weight);
    let work = arrivals::draw(&site, args.seed, args.seconds, args.load);
    let fault = Fault {
        slowness: args.slowness,
        failing: args.failing,
    };
    let only: Option<Vec<&str>> = args.only.as_deref().map(|names| names.split(',').collect());
    let chosen = |name: &str| only.as_ref().is_none_or(|names| names.contains(&name));
    let named = |name: &str| only.as_ref().is_some_and(|names| names.contains(&name));
    let mut policies = BTreeMap::new();
    for (name, make) in POLICIES {
        if chosen(name) {
            let figures = run(&site, &work, fault, &mut *make(&site, args.seed));
            policies.insert(*name, value(&figures)?);
        }
    }
    if only
        .as_ref()
        .is_some_and(|names| names.contains(&PLAIN_HEALTH))
    {
        let mut policy = Ours::new(&site, args.seed).with_plain_health();
        policies.insert(PLAIN_HEALTH, value(&run(&site, &work, fault, &mut policy))?);
    }
    if chosen("bound") {
        policies.insert("bound", value(&bound(&site, &work, Rule::NextUse))?);
    }
    if named(POOLED) {
        policies.insert(POOLED, value(&bound(&site, &work, Rule::LastUse))?);
    }
    Ok(Output {
        site: site.name,
        seed: args.seed,
        load: args.load,
        policies,
    })
}

/// Variants that run only when `--only` names them.
const PLAIN_HEALTH: &str = "plain_health";
const POOLED: &str = "pooled";

type Make = fn(&Site, u64) -> Box<dyn Policy>;

const POLICIES: &[(&str, Make)] = &[
    ("ours", |site, seed| Box::new(Ours::new(site, seed))),
    ("random_lru", |site, seed| {
        Box::new(Baseline::new(site, Pick::Random, seed))
    }),
    ("least_lru", |site, seed| {
        Box::new(Baseline::new(site, Pick::LeastLoaded, seed))
    }),
    ("rendezvous_lru", |site, seed| {
        Box::new(Baseline::new(site, Pick::Rendezvous, seed))
    }),
];

fn value(figures: &impl Serialize) -> Result<Value, String> {
    serde_json::to_value(figures).map_err(|error| error.to_string())
}
