//! Short runs of the measuring tool.

use bench::arrivals;
use bench::arrivals::Work;
use bench::baseline::Baseline;
use bench::baseline::Pick;
use bench::bound::Rule;
use bench::bound::bound;
use bench::measure::Figures;
use bench::ours::Ours;
use bench::sim::Fault;
use bench::sim::Policy;
use bench::sim::run;
use bench::site::Site;
use bench::site::site;

/// Returns a site with the work of a short run at twice the sustainable load, with an engine
/// restart in the middle.
fn overload(name: &str, seed: u64) -> (Site, Work) {
    let site = site(name).expect("the site exists");
    let mut work = arrivals::draw(&site, seed, 10, 2.0);
    work.restarts = vec![(decision::time::Time::from_ms(5_000), 1)];
    (site, work)
}

fn policies(site: &Site, seed: u64) -> Vec<Box<dyn Policy>> {
    vec![
        Box::new(Ours::new(site, seed)),
        Box::new(Baseline::new(site, Pick::Random, seed)),
        Box::new(Baseline::new(site, Pick::LeastLoaded, seed)),
        Box::new(Baseline::new(site, Pick::Rendezvous, seed)),
    ]
}

fn figures(site: &Site, work: &Work, seed: u64) -> Vec<Figures> {
    let run = |mut policy: Box<dyn Policy>| run(site, work, Fault::default(), &mut *policy);
    policies(site, seed).into_iter().map(run).collect()
}

/// Guards against figures that depend on anything but the seed, such as hash order or the clock.
#[test]
fn same_seed_gives_same_figures() {
    let (site, work) = overload("pinecrest", 3);
    assert_eq!(work, overload("pinecrest", 3).1);
    assert_ne!(work, overload("pinecrest", 4).1);
    assert_eq!(figures(&site, &work, 3), figures(&site, &work, 3));
}

/// Guards against requests that vanish from the figures, for example when their engine restarts
/// while they wait.
#[test]
fn every_arrival_is_counted_once() {
    for seed in 1..=2 {
        let (site, work) = overload("atlas", seed);
        for figures in figures(&site, &work, seed) {
            let ends = figures.finished + figures.missed_deadlines + figures.lost;
            assert_eq!(ends, work.requests.len(), "{figures:?}");
            assert_eq!(figures.requests, work.requests.len());
            assert_eq!(figures.doubled, 0);
        }
    }
}

/// Guards against a bound that a policy beats, which would make every distance from it wrong.
#[test]
fn no_policy_beats_the_bound() {
    for seed in 1..=2 {
        let (site, work) = overload("pinecrest", seed);
        let bound = bound(&site, &work, Rule::NextUse);
        for figures in figures(&site, &work, seed) {
            assert!(figures.stall_mean_ms >= bound.stall_mean_ms, "{figures:?}");
        }
    }
}

/// Guards against sites that differ in more than their declared sizes and the stall weight.
#[test]
fn sites_share_the_engine_model() {
    let [pinecrest, atlas] = ["pinecrest", "atlas"].map(|name| site(name).expect("it exists"));
    let model = |site: &Site| (site.step_us, site.seq_us, site.prefill_us, site.adapters);
    assert_eq!(model(&pinecrest), model(&atlas));
}
