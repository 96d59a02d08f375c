//! Short runs of the simulation.

use bench::arrivals;
use bench::arrivals::Workload;
use bench::baseline::Baseline;
use bench::baseline::PickRule;
use bench::bound::EvictionRule;
use bench::bound::compute_bound;
use bench::decision_policy::DecisionPolicy;
use bench::measure::Figures;
use bench::sim::EngineFault;
use bench::sim::Policy;
use bench::sim::run;
use bench::site::Site;
use bench::site::find_site;

/// Returns a site and the workload of a short run at twice the sustainable rate, with one engine
/// restart in the middle.
fn overload(name: &str, seed: u64) -> (Site, Workload) {
    let site = find_site(name).expect("the site exists");
    let mut workload = arrivals::generate(&site, seed, 10, 2.0);
    workload.restarts = vec![(decision::time::Time::from_ms(5_000), 1)];
    (site, workload)
}

fn policies(site: &Site, seed: u64) -> Vec<Box<dyn Policy>> {
    vec![
        Box::new(DecisionPolicy::new(site, seed)),
        Box::new(Baseline::new(site, PickRule::Random, seed)),
        Box::new(Baseline::new(site, PickRule::LeastLoaded, seed)),
        Box::new(Baseline::new(site, PickRule::Rendezvous, seed)),
    ]
}

fn figures(site: &Site, workload: &Workload, seed: u64) -> Vec<Figures> {
    let run =
        |mut policy: Box<dyn Policy>| run(site, workload, EngineFault::default(), &mut *policy);
    policies(site, seed).into_iter().map(run).collect()
}

/// Guards against figures that depend on anything but the seed, such as the iteration order of hash
/// maps or the system clock.
#[test]
fn same_seed_gives_same_figures() {
    let (site, workload) = overload("pinecrest", 3);
    assert_eq!(workload, overload("pinecrest", 3).1);
    assert_ne!(workload, overload("pinecrest", 4).1);
    assert_eq!(figures(&site, &workload, 3), figures(&site, &workload, 3));
}

/// Guards against requests that are missing from the figures, for example because their engine
/// restarted while they were queued.
#[test]
fn every_arrival_is_counted_once() {
    for seed in 1..=2 {
        let (site, workload) = overload("atlas", seed);
        for figures in figures(&site, &workload, seed) {
            let ends = figures.finished + figures.missed_deadlines + figures.lost;
            assert_eq!(ends, workload.requests.len(), "{figures:?}");
            assert_eq!(figures.requests, workload.requests.len());
            assert_eq!(figures.doubled, 0);
        }
    }
}

/// Guards against a bound that a policy beats, which would make every comparison with it wrong.
#[test]
fn no_policy_beats_the_bound() {
    for seed in 1..=2 {
        let (site, workload) = overload("pinecrest", seed);
        let bound = compute_bound(&site, &workload, EvictionRule::FurthestNextUse);
        for figures in figures(&site, &workload, seed) {
            assert!(figures.stall_mean_ms >= bound.stall_mean_ms, "{figures:?}");
        }
    }
}

/// Guards against a difference in the engine model between sites that should differ only in their
/// size, their load and the stall weight.
#[test]
fn sites_share_the_engine_model() {
    let [pinecrest, atlas] = ["pinecrest", "atlas"].map(|name| find_site(name).expect("it exists"));
    let model = |site: &Site| (site.step_us, site.seq_us, site.prefill_us, site.adapters);
    assert_eq!(model(&pinecrest), model(&atlas));
}
