//! Adoption of configurations from the table and from peers.

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

/// Guards against an older configuration that replaces a newer one (`config-forward`).
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

/// Guards against a slow fetch of an older head that ends after a newer one was put in force.
#[test]
fn late_fetch_keeps_newer_wish() {
    let mut adoption = Adoption::new(Time(0));
    adoption.observe(&head(5), Source::Table, &peers());
    let mut rng = fastrand::Rng::with_seed(1);
    assert_eq!(fetches(&adoption.tick(Time(0), 4, &peers(), &mut rng)), [5]);
    adoption.observe(&head(7), Source::Peer(addr(2)), &peers());
    assert!(adoption.fetched(&head(5), &peers()));
    assert_eq!(adoption.pending_head(), Some(&head(7)));
    assert_eq!(fetches(&adoption.tick(Time(1), 4, &peers(), &mut rng)), [7]);
}

/// Guards against a restarted process that serves under a configuration it only guesses.
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
        "generation 4 is known of and not in force"
    );
    adoption.fetched(&head(4), &peers());
    assert!(adoption.is_ready());
}

/// Guards against a process that never becomes ready because nothing was published yet.
#[test]
fn empty_table_makes_ready() {
    let mut adoption = Adoption::new(Time(0));
    adoption.observe(&Head::default(), Source::Table, &[]);
    assert!(adoption.is_ready());
}

/// Guards against a failed fetch that is repeated at once or forgotten.
#[test]
fn failed_fetch_is_repeated_later() {
    let mut adoption = Adoption::new(Time(0));
    let mut rng = fastrand::Rng::with_seed(1);
    adoption.observe(&head(2), Source::Peer(addr(1)), &peers());
    assert_eq!(fetches(&adoption.tick(Time(0), 4, &peers(), &mut rng)), [2]);
    adoption.fetch_failed(Time(0));
    assert_eq!(adoption.fetch(Time::from_ms(100)), None);
    let again = Action::Fetch {
        head: head(2),
        source: Source::Table,
    };
    assert_eq!(adoption.fetch(Time::from_ms(300)), Some(again));
}

/// Guards against a fleet whose table reads grow with its size.
#[test]
fn fleet_reads_stay_bounded() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut adoption = Adoption::new(Time(0));
    let ticks = (0..600_000).step_by(100);
    let reads = ticks
        .flat_map(|ms| adoption.tick(Time::from_ms(ms), 1_550, &[], &mut rng))
        .filter(|action| *action == Action::ReadTable)
        .count();
    let fleet = reads as f64 / 600.0 * 1_550.0;
    assert!((40.0..60.0).contains(&fleet), "{fleet} reads/s");
}
