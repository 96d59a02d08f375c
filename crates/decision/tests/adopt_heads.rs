//! Tests of the adoption of configurations from the table and from peers.

use std::net::SocketAddr;

use decision::adopt::Action;
use decision::adopt::Adoption;
use decision::adopt::PeerAddr;
use decision::adopt::Source;
use decision::ids::Head;
use decision::time::Time;

fn head(generation: u64) -> Head {
    Head {
        generation,
        digest: format!("sha256:{generation}"),
    }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn peers() -> Vec<PeerAddr<'static>> {
    let domains = ["a", "a", "b", "b"];
    let list = domains.iter().enumerate();
    list.map(|(number, domain)| PeerAddr {
        addr: addr(number as u16 + 1),
        domain,
    })
    .collect()
}

fn fetches(actions: &[Action]) -> Vec<u64> {
    let heads = actions.iter().filter_map(|action| match action {
        Action::Fetch { head, .. } => Some(head.generation),
        _ => None,
    });
    heads.collect()
}

/// Guards against an older configuration replacing a newer one (invariant `config-forward`).
#[test]
fn older_head_is_never_adopted() {
    let mut adoption = Adoption::new(Time(0));
    adoption.observe(&head(5), Source::Table, &peers());
    assert!(adoption.fetched(&head(5), &peers()));
    adoption.observe(&head(4), Source::Peer(addr(1)), &peers());
    assert_eq!(adoption.pending_head(), None);
    assert!(!adoption.fetched(&head(4), &peers()));
    assert_eq!(adoption.head().generation, 5);
}

/// Guards against a slow fetch of an older head dropping a newer head learned in the meantime.
#[test]
fn late_fetch_keeps_newer_pending_head() {
    let mut adoption = Adoption::new(Time(0));
    adoption.observe(&head(5), Source::Table, &peers());
    let mut rng = fastrand::Rng::with_seed(1);
    assert_eq!(fetches(&adoption.tick(Time(0), 4, &peers(), &mut rng)), [5]);
    adoption.observe(&head(7), Source::Peer(addr(2)), &peers());
    assert!(adoption.fetched(&head(5), &peers()));
    assert_eq!(adoption.pending_head(), Some(&head(7)));
    assert_eq!(fetches(&adoption.tick(Time(1), 4, &peers(), &mut rng)), [7]);
}

/// Guards against a restarted process that serves an outdated configuration while the table is
/// unavailable, because it heard from too few peers.
#[test]
fn restart_waits_for_peers() {
    let mut adoption = Adoption::new(Time(0));
    adoption.observe(&head(3), Source::Peer(addr(1)), &peers());
    adoption.fetched(&head(3), &peers());
    adoption.observe(&head(3), Source::Peer(addr(2)), &peers());
    assert!(
        !adoption.is_ready(),
        "two peers of one domain are not enough"
    );
    adoption.observe(&head(4), Source::Peer(addr(3)), &peers());
    assert!(
        !adoption.is_ready(),
        "generation 4 is known but not in force"
    );
    adoption.fetched(&head(4), &peers());
    assert!(adoption.is_ready());
}

/// Guards against a process that never becomes ready because no generation was published yet.
#[test]
fn empty_table_makes_ready() {
    let mut adoption = Adoption::new(Time(0));
    adoption.observe(&Head::default(), Source::Table, &[]);
    assert!(adoption.is_ready());
}

/// Guards against a failed fetch that is retried immediately or never.
#[test]
fn failed_fetch_is_retried_later() {
    let mut adoption = Adoption::new(Time(0));
    let mut rng = fastrand::Rng::with_seed(1);
    adoption.observe(&head(2), Source::Peer(addr(1)), &peers());
    assert_eq!(fetches(&adoption.tick(Time(0), 4, &peers(), &mut rng)), [2]);
    adoption.fetch_failed(Time(0));
    assert_eq!(adoption.fetch(Time::from_ms(100)), None);
    let retry = Action::Fetch {
        head: head(2),
        source: Source::Table,
    };
    assert_eq!(adoption.fetch(Time::from_ms(300)), Some(retry));
}

/// Guards against table reads per second that grow with the size of the fleet.
#[test]
fn fleet_reads_stay_bounded() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut adoption = Adoption::new(Time(0));
    let ticks = (0..600_000).step_by(100);
    let reads = ticks
        .flat_map(|ms| adoption.tick(Time::from_ms(ms), 1_550, &[], &mut rng))
        .filter(|action| *action == Action::ReadTable)
        .count();
    let fleet_reads_per_s = reads as f64 / 600.0 * 1_550.0;
    assert!(
        (40.0..60.0).contains(&fleet_reads_per_s),
        "{fleet_reads_per_s} reads/s"
    );
}
