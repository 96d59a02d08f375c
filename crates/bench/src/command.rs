//! Command line of the `policy` example.

use std::collections::BTreeMap;

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::arrivals;
use crate::baseline::Baseline;
use crate::baseline::PickRule;
use crate::bound::EvictionRule;
use crate::bound::compute_bound;
use crate::decision_policy::DecisionPolicy;
use crate::sim::EngineFault;
use crate::sim::Policy;
use crate::sim::run;
use crate::site::Site;
use crate::site::find_site;

/// Options of the `policy` example; the `help` texts describe them.
#[derive(Clone, Debug, Options)]
pub struct Args {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the site, see [`find_site`].
    #[options(
        help = "pinecrest, atlas or fleet",
        meta = "SITE",
        default = "pinecrest"
    )]
    pub site: String,
    /// Seed of the workload and of the policies' random picks.
    #[options(help = "seed of the work", meta = "N", default = "1")]
    pub seed: u64,
    /// Period in which requests arrive, in seconds.
    #[options(help = "seconds of arrivals", meta = "T", default = "300")]
    pub seconds: u64,
    /// Arrival rate as a share of the sustainable rate.
    #[options(help = "share of the sustainable load", meta = "X", default = "0.8")]
    pub load: f64,
    /// Names of the policies to run, separated by commas; `None` runs the default ones.
    #[options(help = "only these policies, separated by commas", meta = "NAMES")]
    pub only: Option<String>,
    /// Replaces the site's sustainable rate, to search for its value.
    #[options(help = "requests/s at load 1 instead of the declared rate", meta = "R")]
    pub rate: Option<f64>,
    /// Replaces the site's `stall_weight`.
    #[options(
        help = "stall weight instead of the declared one",
        meta = "W",
        no_short
    )]
    pub stall_weight: Option<f64>,
    /// Factor on the step times of engine 0, at least 1.
    #[options(
        help = "factor on the step times of one engine",
        meta = "F",
        default = "1",
        no_short
    )]
    pub slowness: f64,
    /// Share of submissions to engine 0 that fail, between 0 and 1.
    #[options(
        help = "share of submissions to one engine that fail",
        meta = "X",
        default = "0",
        no_short
    )]
    pub failing: f64,
    /// Suppresses the lines for each policy.
    #[options(help = "print only the JSON line")]
    pub json: bool,
}

/// Last line of the output, printed as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Output {
    /// Name of the site.
    pub site: &'static str,
    /// Seed from the command line.
    pub seed: u64,
    /// Arrival rate as a share of the sustainable rate.
    pub load: f64,
    /// Figures of each policy by its name.
    pub policies: BTreeMap<&'static str, Value>,
}

/// Runs the command line and prints the figures.
///
/// # Errors
///
/// If the site is unknown or the figures cannot be encoded as JSON.
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

/// Runs all selected policies on the same workload.
///
/// # Errors
///
/// If the site is unknown or the figures cannot be encoded as JSON.
pub fn measure(args: &Args) -> Result<Output, String> {
    let mut site = find_site(&args.site).ok_or_else(|| {
        format!(
            "unknown site {:?}; expected pinecrest, atlas or fleet",
            args.site
        )
    })?;
    site.sustainable_rate = args.rate.unwrap_or(site.sustainable_rate);
    site.stall_weight = args.stall_weight.unwrap_or(site.stall_weight);
    let workload = arrivals::generate(&site, args.seed, args.seconds, args.load);
    let fault = EngineFault {
        slowness: args.slowness,
        failure_rate: args.failing,
    };
    let only: Option<Vec<&str>> = args.only.as_deref().map(|names| names.split(',').collect());
    let is_selected = |name: &str| only.as_ref().is_none_or(|names| names.contains(&name));
    let is_named = |name: &str| only.as_ref().is_some_and(|names| names.contains(&name));
    let mut policies = BTreeMap::new();
    for (name, new_policy) in POLICIES {
        if is_selected(name) {
            let figures = run(&site, &workload, fault, &mut *new_policy(&site, args.seed));
            policies.insert(*name, to_value(&figures)?);
        }
    }
    if only
        .as_ref()
        .is_some_and(|names| names.contains(&PLAIN_HEALTH))
    {
        let mut policy = DecisionPolicy::new(&site, args.seed).with_plain_health();
        policies.insert(
            PLAIN_HEALTH,
            to_value(&run(&site, &workload, fault, &mut policy))?,
        );
    }
    if is_selected("bound") {
        policies.insert(
            "bound",
            to_value(&compute_bound(
                &site,
                &workload,
                EvictionRule::FurthestNextUse,
            ))?,
        );
    }
    if is_named(POOLED) {
        policies.insert(
            POOLED,
            to_value(&compute_bound(
                &site,
                &workload,
                EvictionRule::LeastRecentlyUsed,
            ))?,
        );
    }
    Ok(Output {
        site: site.name,
        seed: args.seed,
        load: args.load,
        policies,
    })
}

// These variants run only when `--only` names them.
const PLAIN_HEALTH: &str = "plain_health";
const POOLED: &str = "pooled";

type PolicyFactory = fn(&Site, u64) -> Box<dyn Policy>;

const POLICIES: &[(&str, PolicyFactory)] = &[
    ("ours", |site, seed| {
        Box::new(DecisionPolicy::new(site, seed))
    }),
    ("random_lru", |site, seed| {
        Box::new(Baseline::new(site, PickRule::Random, seed))
    }),
    ("least_lru", |site, seed| {
        Box::new(Baseline::new(site, PickRule::LeastLoaded, seed))
    }),
    ("rendezvous_lru", |site, seed| {
        Box::new(Baseline::new(site, PickRule::Rendezvous, seed))
    }),
];

fn to_value(figures: &impl Serialize) -> Result<Value, String> {
    serde_json::to_value(figures).map_err(|error| error.to_string())
}
