//! Adoption of configurations: which head to fetch, from where, and when a process is ready.
//!
//! Invariant `config-forward`: the generation of the head in force never decreases.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::Map;
use crate::ids::Head;
use crate::time::Time;

/// Shortest interval between table reads by one process, before jitter.
pub const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Head row reads per second by all processes of the fleet together.
pub const FLEET_READS_PER_S: u64 = 50;

/// Interval between exchanges of heads with one random peer.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between exchanges of heads while a process is not ready.
pub const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of random peers that a newly adopted head is pushed to.
pub const PUSH_PEERS: usize = 3;

/// Number of peers whose heads make a process ready while the table is unavailable.
pub const READY_PEERS: usize = 3;

/// Number of random peers in one exchange while a process is not ready.
const BOOTSTRAP_PEERS: usize = 8;

/// Delay between a failed fetch and the next one.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Where a head was learned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The table service.
    Table,
    /// A peer, which also stores the blobs of the head.
    Peer(SocketAddr),
    /// A message from a process whose address is not known.
    Message,
}

/// A peer to exchange heads with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddr<'a> {
    /// Address at which the peer accepts connections from other processes.
    pub addr: SocketAddr,
    /// Failure domain of the peer.
    pub domain: &'a str,
}

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head row from the table.
    ReadTable,
    /// Exchange heads with these peers.
    Exchange(Vec<SocketAddr>),
    /// Fetch the manifest and the changed buckets of this head, preferably from `source`.
    Fetch {
        /// Head to fetch.
        head: Head,
        /// Where the head was learned from.
        source: Source,
    },
}

/// The adoption state of one process.
#[derive(Debug)]
pub struct Adoption {
    head: Head,
    pending: Option<(Head, Source)>,
    fetching: bool,
    next_fetch: Time,
    table_read: bool,
    answered_domains: Map<SocketAddr, String>,
    ready: bool,
    /// The time of the next read of the head from the table.
    next_read: Time,
    next_exchange: Time,
}

impl Adoption {
    /// Creates the state of a process that started at `now` and has no configuration.
    pub fn new(now: Time) -> Self {
        Adoption {
            head: Head::default(),
            pending: None,
            fetching: false,
            next_fetch: now,
            table_read: false,
            answered_domains: Map::default(),
            ready: false,
            next_read: now,
            next_exchange: now,
        }
    }

    /// Returns the head in force, which is the default head before the first adoption.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns whether the process may serve. It becomes ready, and stays so, when the newest known
    /// head is in force and either the table was read or enough peers reported their heads:
    /// [`READY_PEERS`] of them, from at least two failure domains, or all if there are fewer.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the newest known head if it is not in force yet.
    pub fn pending_head(&self) -> Option<&Head> {
        self.pending.as_ref().map(|(head, _)| head)
    }

    /// Records a head learned from the table or a peer.
    pub fn observe(&mut self, head: &Head, source: Source, peers: &[PeerAddr<'_>]) {
        match source {
            Source::Table => self.table_read = true,
            Source::Message => {}
            Source::Peer(addr) => {
                if let Some(peer) = peers.iter().find(|peer| peer.addr == addr) {
                    self.answered_domains.insert(addr, peer.domain.to_owned());
                }
            }
        }
        let newest = self
            .pending
            .as_ref()
            .map_or(self.head.generation, |(newest, _)| newest.generation);
        if head.generation > newest {
            self.pending = Some((head.clone(), source));
        }
        self.update_ready(peers);
    }

    /// Records that `head` was fetched and verified. Returns whether to put it in force, which is
    /// not the case if a head at least as new is already in force.
    pub fn fetched(&mut self, head: &Head, peers: &[PeerAddr<'_>]) -> bool {
        self.fetching = false;
        let newer = head.generation > self.head.generation;
        if newer {
            self.head = head.clone();
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|(newest, _)| newest.generation <= self.head.generation)
        {
            self.pending = None;
        }
        self.update_ready(peers);
        newer
    }

    /// Records that a fetch failed; the next one prefers the object store to a peer.
    pub fn fetch_failed(&mut self, now: Time) {
        self.fetching = false;
        self.next_fetch = now.after(FETCH_RETRY_DELAY);
        if let Some((_, source)) = &mut self.pending {
            *source = Source::Table;
        }
    }

    /// Returns the actions due at `now`. `live_instances` is the number of live instances in the
    /// fleet.
    pub fn tick(
        &mut self,
        now: Time,
        live_instances: usize,
        peers: &[PeerAddr<'_>],
        rng: &mut fastrand::Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.next_read {
            self.next_read = now.after(read_interval(live_instances, rng));
            actions.push(Action::ReadTable);
        }
        if now >= self.next_exchange {
            let (interval, count) = if self.ready {
                (EXCHANGE_INTERVAL, 1)
            } else {
                (BOOTSTRAP_INTERVAL, BOOTSTRAP_PEERS)
            };
            self.next_exchange = now.after(interval);
            actions.extend(exchange_with_random_peers(peers, count, rng));
        }
        actions.extend(self.fetch(now));
        actions
    }

    /// Returns the due fetch, if any, and marks it as in progress.
    pub fn fetch(&mut self, now: Time) -> Option<Action> {
        if self.fetching || now < self.next_fetch {
            return None;
        }
        let (head, source) = self.pending.clone()?;
        self.fetching = true;
        Some(Action::Fetch { head, source })
    }

    /// Returns an exchange with random peers to push a head that was just put in force.
    pub fn push(peers: &[PeerAddr<'_>], rng: &mut fastrand::Rng) -> Option<Action> {
        exchange_with_random_peers(peers, PUSH_PEERS, rng)
    }

    fn update_ready(&mut self, peers: &[PeerAddr<'_>]) {
        if self.ready || self.pending.is_some() {
            return;
        }
        self.ready =
            self.table_read || (self.head.generation > 0 && self.enough_peers_answered(peers));
    }

    fn enough_peers_answered(&self, peers: &[PeerAddr<'_>]) -> bool {
        let count_domains = |names: &mut dyn Iterator<Item = &str>| {
            let mut names: Vec<&str> = names.collect();
            names.sort_unstable();
            names.dedup();
            names.len()
        };
        let known_domains = count_domains(&mut peers.iter().map(|peer| peer.domain));
        let heard_domains = count_domains(&mut self.answered_domains.values().map(String::as_str));
        self.answered_domains.len() >= READY_PEERS.min(peers.len()).max(1)
            && heard_domains >= known_domains.min(2)
    }
}

/// Returns the interval to the next table read, with a jitter of ±10%.
fn read_interval(live_instances: usize, rng: &mut fastrand::Rng) -> Duration {
    let fleet_interval = Duration::from_millis(live_instances as u64 * 1_000 / FLEET_READS_PER_S);
    MIN_READ_INTERVAL
        .max(fleet_interval)
        .mul_f64(0.9 + 0.2 * rng.f64())
}

fn exchange_with_random_peers(
    peers: &[PeerAddr<'_>],
    count: usize,
    rng: &mut fastrand::Rng,
) -> Option<Action> {
    let chosen: Vec<SocketAddr> = rng
        .choose_multiple(peers.iter(), count)
        .into_iter()
        .map(|peer| peer.addr)
        .collect();
    (!chosen.is_empty()).then_some(Action::Exchange(chosen))
}
