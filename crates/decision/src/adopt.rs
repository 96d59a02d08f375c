//! Adoption of configurations: which head to fetch, from whom, and when a process is ready.
//!
//! The invariant `config-forward`: the head in force never moves to a lower generation.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::Map;
use crate::ids::Head;
use crate::time::Time;

/// The shortest interval between table reads of one process.
pub const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// The table reads per second that the whole fleet makes for heads.
pub const FLEET_READS_PER_S: u64 = 50;

/// The interval between exchanges of heads with one random peer.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// The interval between questions to all peers while a process does not know the head yet.
pub const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(500);

/// The peers that are told of a newly adopted head.
pub const PUSH_PEERS: usize = 3;

/// The peers whose answers make a process ready while the table is down.
pub const READY_PEERS: usize = 3;

/// The peers that a process asks at once while it does not know the head.
const BOOTSTRAP_PEERS: usize = 8;

/// The pause after a failed fetch.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Where a head was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The table service.
    Table,
    /// A peer, which also holds the blobs.
    Peer(SocketAddr),
    /// A message whose sender's address is not known.
    Message,
}

/// A peer that may be asked for its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddr<'a> {
    /// The peer address.
    pub addr: SocketAddr,
    /// The failure domain.
    pub domain: &'a str,
}

/// What the process has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head row of the table.
    ReadTable,
    /// Exchange heads with these peers.
    Exchange(Vec<SocketAddr>),
    /// Fetch the manifest and the changed buckets of this head, preferably from `source`.
    Fetch {
        /// The head to fetch.
        head: Head,
        /// Who told of it.
        source: Source,
    },
}

/// The adoption state of one process.
#[derive(Debug)]
pub struct Adoption {
    head: Head,
    wanted: Option<(Head, Source)>,
    fetching: bool,
    paused: Time,
    table: bool,
    answers: Map<SocketAddr, String>,
    ready: bool,
    read: Time,
    exchange: Time,
}

impl Adoption {
    /// Returns the state of a process that started at `now` and knows nothing.
    pub fn new(now: Time) -> Self {
        Adoption {
            head: Head::default(),
            wanted: None,
            fetching: false,
            paused: now,
            table: false,
            answers: Map::default(),
            ready: false,
            read: now,
            exchange: now,
        }
    }

    /// Returns the head in force.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns whether the process knows the configuration well enough to serve.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the newest head that was heard and is not in force yet.
    pub fn pending_head(&self) -> Option<&Head> {
        self.wanted.as_ref().map(|(head, _)| head)
    }

    /// Takes note of a head from a peer or from the table.
    pub fn observe(&mut self, head: &Head, source: Source, peers: &[PeerAddr<'_>]) {
        match source {
            Source::Table => self.table = true,
            Source::Message => {}
            Source::Peer(addr) => {
                if let Some(peer) = peers.iter().find(|peer| peer.addr == addr) {
                    self.answers.insert(addr, peer.domain.to_owned());
                }
            }
        }
        let best = self
            .wanted
            .as_ref()
            .map_or(self.head.generation, |(best, _)| best.generation);
        if head.generation > best {
            self.wanted = Some((head.clone(), source));
        }
        self.update_ready(peers);
    }

    /// Takes note that `head` was fetched and checked. Returns whether it is to be put in force;
    /// a head that was overtaken by a newer one is not.
    pub fn fetched(&mut self, head: &Head, peers: &[PeerAddr<'_>]) -> bool {
        self.fetching = false;
        let newer = head.generation > self.head.generation;
        if newer {
            self.head = head.clone();
        }
        if self
            .wanted
            .as_ref()
            .is_some_and(|(best, _)| best.generation <= self.head.generation)
        {
            self.wanted = None;
        }
        self.update_ready(peers);
        newer
    }

    /// Takes note that a fetch failed; the next one prefers the object store.
    pub fn fetch_failed(&mut self, now: Time) {
        self.fetching = false;
        self.paused = now.after(FETCH_RETRY_DELAY);
        if let Some((_, source)) = &mut self.wanted {
            *source = Source::Table;
        }
    }

    /// Returns what to do at `now`. `live` is the number of live instances in the fleet.
    pub fn tick(
        &mut self,
        now: Time,
        live: usize,
        peers: &[PeerAddr<'_>],
        rng: &mut fastrand::Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.read {
            self.read = now.after(read_interval(live, rng));
            actions.push(Action::ReadTable);
        }
        if now >= self.exchange {
            let (step, count) = if self.ready {
                (EXCHANGE_INTERVAL, 1)
            } else {
                (BOOTSTRAP_INTERVAL, BOOTSTRAP_PEERS)
            };
            self.exchange = now.after(step);
            actions.extend(exchange(peers, count, rng));
        }
        actions.extend(self.fetch(now));
        actions
    }

    /// Returns the fetch that is due, if there is one.
    pub fn fetch(&mut self, now: Time) -> Option<Action> {
        if self.fetching || now < self.paused {
            return None;
        }
        let (head, source) = self.wanted.clone()?;
        self.fetching = true;
        Some(Action::Fetch { head, source })
    }

    /// Returns the peers to tell of a head that was just put in force.
    pub fn push(peers: &[PeerAddr<'_>], rng: &mut fastrand::Rng) -> Option<Action> {
        exchange(peers, PUSH_PEERS, rng)
    }

    fn update_ready(&mut self, peers: &[PeerAddr<'_>]) {
        if self.ready || self.wanted.is_some() {
            return;
        }
        self.ready = self.table || (self.head.generation > 0 && self.enough_answers(peers));
    }

    fn enough_answers(&self, peers: &[PeerAddr<'_>]) -> bool {
        let domains = |names: &mut dyn Iterator<Item = &str>| {
            let mut names: Vec<&str> = names.collect();
            names.sort_unstable();
            names.dedup();
            names.len()
        };
        let known = domains(&mut peers.iter().map(|peer| peer.domain));
        let heard = domains(&mut self.answers.values().map(String::as_str));
        self.answers.len() >= READY_PEERS.min(peers.len()).max(1) && heard >= known.min(2)
    }
}

/// Returns the interval to the next table read, with a tenth of jitter either way.
fn read_interval(live: usize, rng: &mut fastrand::Rng) -> Duration {
    let fleet = Duration::from_millis(live as u64 * 1_000 / FLEET_READS_PER_S);
    MIN_READ_INTERVAL.max(fleet).mul_f64(0.9 + 0.2 * rng.f64())
}

fn exchange(peers: &[PeerAddr<'_>], count: usize, rng: &mut fastrand::Rng) -> Option<Action> {
    let chosen: Vec<SocketAddr> = rng
        .choose_multiple(peers.iter(), count)
        .into_iter()
        .map(|peer| peer.addr)
        .collect();
    (!chosen.is_empty()).then_some(Action::Exchange(chosen))
}
