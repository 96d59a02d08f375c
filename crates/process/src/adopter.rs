//! The loop that keeps the configuration in force up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use decision::adopt::Action;
use decision::adopt::Adoption;
use decision::adopt::PeerAddr;
use decision::adopt::Source;
use decision::ids::Head;
use decision::member::Membership;
use derive_more::Display;
use derive_more::Error;
use edges::store::ObjectStore;
use edges::table::Table;
use futures::future::join_all;
use objects::Digest;
use objects::Manifest;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::Links;

use crate::clock::Clock;
use crate::config::Config;
use crate::config::ConfigSnapshot;

/// The table row that holds the head in force.
pub const HEAD_KEY: &str = "config/head";

/// The interval at which due work is looked for.
const TICK: Duration = Duration::from_millis(100);

/// The timeout of one call to the table, the object store or a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The peers that are asked for a blob, beside the object store.
const BLOB_PEERS: usize = 3;

/// A head could not be fetched.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
enum FetchError {
    #[display("{_0} is held neither by the object store nor by the peers that were asked")]
    Missing(#[error(not(source))] String),
    #[display("bad snapshot: {_0}")]
    Snapshot(#[error(not(source))] String),
}

/// The outside systems that the adopter uses.
#[derive(Clone)]
pub struct Sources {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The connections to peers.
    pub links: Links,
    /// Peers to ask while the membership list is not known.
    pub seeds: Vec<SocketAddr>,
}

struct State {
    adoption: Adoption,
    held: ConfigSnapshot,
    rng: fastrand::Rng,
}

/// Keeps the configuration in force up to date and serves its blobs to peers.
pub struct Adopter {
    name: String,
    clock: Clock,
    sources: Sources,
    members: watch::Receiver<Arc<Membership>>,
    // The only lock of this module; it is never held across an await.
    state: Mutex<State>,
    config: watch::Sender<Arc<Config>>,
    ready: watch::Sender<bool>,
    wake: Notify,
}

impl Adopter {
    /// Returns an adopter that knows nothing yet; [`Adopter::run`] has to be driven.
    pub fn new(
        name: &str,
        clock: Clock,
        sources: Sources,
        members: watch::Receiver<Arc<Membership>>,
        seed: u64,
    ) -> Arc<Adopter> {
        let state = State {
            adoption: Adoption::new(clock.now()),
            held: ConfigSnapshot::default(),
            rng: fastrand::Rng::with_seed(seed),
        };
        Arc::new(Adopter {
            name: name.to_owned(),
            clock,
            sources,
            members,
            state: Mutex::new(state),
            config: watch::channel(Arc::default()).0,
            ready: watch::channel(false).0,
            wake: Notify::new(),
        })
    }

    /// Returns the configuration in force, and a way to wait for the next one.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Returns whether the process knows the configuration, and a way to wait for it.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Takes note of a head that a peer sent and returns the one in force here.
    pub fn exchange_heads(&self, from: &str, theirs: &Head) -> Head {
        let members = self.members.borrow().clone();
        let source = members
            .get(from)
            .map_or(Source::Message, |peer| Source::Peer(peer.peer));
        self.heard(theirs, source);
        self.lock().adoption.head().clone()
    }

    /// Takes note of a head that came with a message.
    pub fn observe_from_message(&self, head: &Head) {
        if head.generation > self.config.borrow().head.generation {
            self.heard(head, Source::Message);
        }
    }

    /// Returns the manifest or bucket with this digest.
    pub fn blob(&self, digest: &str) -> Option<Bytes> {
        self.lock().held.blob(digest)
    }

    /// Runs until `stop` becomes true.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut tasks = JoinSet::new();
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                _ = tick.tick() => {}
                _ = self.wake.notified() => {}
                Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
            }
            for action in self.due() {
                tasks.spawn(self.clone().perform(action));
            }
        }
        tasks.shutdown().await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    fn due(&self) -> Vec<Action> {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let State { adoption, rng, .. } = &mut *self.lock();
        adoption.tick(self.clock.now(), members.len(), &peers, rng)
    }

    /// Returns the peers of the membership view, or the seeds while the view is empty.
    fn peers<'a>(&self, members: &'a Membership) -> Vec<PeerAddr<'a>> {
        if members.is_empty() {
            let seeds = self.sources.seeds.iter();
            return seeds
                .map(|addr| PeerAddr {
                    addr: *addr,
                    domain: "",
                })
                .collect();
        }
        let others = members.iter().filter(|peer| peer.name != self.name);
        others
            .map(|peer| PeerAddr {
                addr: peer.peer,
                domain: &peer.domain,
            })
            .collect()
    }

    async fn perform(self: Arc<Self>, action: Action) {
        match action {
            Action::ReadTable => self.read_table().await,
            Action::Exchange(peers) => {
                join_all(peers.into_iter().map(|addr| self.ask(addr))).await;
            }
            Action::Fetch { head, source } => self.fetch(head, source).await,
        }
    }

    async fn read_table(&self) {
        let Ok(row) = self.sources.table.get(HEAD_KEY, CALL_TIMEOUT).await else {
            return;
        };
        let Some(row) = row else {
            return self.heard(&Head::default(), Source::Table);
        };
        match serde_json::from_slice::<Head>(&row.value) {
            Ok(head) => self.heard(&head, Source::Table),
            Err(err) => warn!("head row cannot be read: {err}"),
        }
    }

    async fn ask(&self, addr: SocketAddr) {
        let ours = self.lock().adoption.head().clone();
        if let Ok(theirs) = self
            .sources
            .links
            .peer(addr)
            .exchange_heads(&ours, CALL_TIMEOUT)
            .await
        {
            self.heard(&theirs, Source::Peer(addr));
        }
    }

    fn heard(&self, head: &Head, source: Source) {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let (ready, wanted) = {
            let adoption = &mut self.lock().adoption;
            adoption.observe(head, source, &peers);
            (adoption.is_ready(), adoption.pending_head().is_some())
        };
        self.ready
            .send_if_modified(|before| std::mem::replace(before, ready) != ready);
        if wanted {
            self.wake.notify_one();
        }
    }

    async fn fetch(&self, head: Head, source: Source) {
        match self.fetch_held(&head, source).await {
            Ok(held) => self.put_in_force(head, held).await,
            Err(err) => {
                self.lock().adoption.fetch_failed(self.clock.now());
                let generation = head.generation;
                warn!("configuration not fetched: {err}", kv: { generation });
            }
        }
    }

    async fn fetch_held(&self, head: &Head, source: Source) -> Result<ConfigSnapshot, FetchError> {
        let bad = |err: objects::SnapshotError| FetchError::Snapshot(err.to_string());
        let digest: Digest = head.digest.parse().map_err(bad)?;
        let bytes = self.fetch_blob(digest, source).await?;
        let manifest = Manifest::decode_checked(&bytes, digest).map_err(bad)?;
        if manifest.generation() != head.generation {
            let found = manifest.generation();
            let message = format!("manifest of generation {found} under {}", head.generation);
            return Err(FetchError::Snapshot(message));
        }
        let held = self.lock().held.clone();
        let missing = held.missing_buckets(&manifest);
        let buckets = missing
            .iter()
            .map(|(_, digest)| self.fetch_blob(*digest, source));
        let mut fetched = Vec::with_capacity(missing.len());
        for ((bucket, _), data) in missing.iter().zip(join_all(buckets).await) {
            fetched.push((*bucket, data?));
        }
        let apply = move || held.with_buckets(bytes, manifest, fetched);
        let advanced = tokio::task::spawn_blocking(apply).await;
        advanced
            .map_err(|err| FetchError::Snapshot(err.to_string()))?
            .map_err(bad)
    }

    /// Fetches a blob from the peer that told of it, the object store or other peers, in this order.
    async fn fetch_blob(&self, digest: Digest, source: Source) -> Result<Bytes, FetchError> {
        let name = digest.to_string();
        if let Source::Peer(addr) = source
            && let Some(data) = self.ask_blob(addr, digest, &name).await
        {
            return Ok(data);
        }
        let stored = self
            .sources
            .objects
            .get(&digest.store_key(), CALL_TIMEOUT)
            .await;
        if let Ok(Some(data)) = stored
            && Digest::of(&data) == digest
        {
            return Ok(data);
        }
        for addr in self.some_peers() {
            if let Some(data) = self.ask_blob(addr, digest, &name).await {
                return Ok(data);
            }
        }
        Err(FetchError::Missing(name))
    }

    async fn ask_blob(&self, addr: SocketAddr, digest: Digest, name: &str) -> Option<Bytes> {
        let data = self
            .sources
            .links
            .peer(addr)
            .blob(name, CALL_TIMEOUT)
            .await
            .ok()??;
        (Digest::of(&data) == digest).then_some(data)
    }

    fn some_peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let chosen = self.lock().rng.choose_multiple(peers.iter(), BLOB_PEERS);
        chosen.into_iter().map(|peer| peer.addr).collect()
    }

    async fn put_in_force(&self, head: Head, held: ConfigSnapshot) {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let push = {
            let state = &mut *self.lock();
            if !state.adoption.fetched(&head, &peers) {
                return;
            }
            let set = held.set().clone();
            state.held = held;
            // Sent under the lock, so that receivers see generations in order.
            self.config.send_replace(Arc::new(Config {
                head: head.clone(),
                set,
            }));
            let ready = state.adoption.is_ready();
            self.ready
                .send_if_modified(|before| std::mem::replace(before, ready) != ready);
            Adoption::push(&peers, &mut state.rng)
        };
        let (generation, digest) = (head.generation, head.digest.as_str());
        info!("configuration in force", kv: { generation, digest });
        if let Some(Action::Exchange(peers)) = push {
            join_all(peers.into_iter().map(|addr| self.ask(addr))).await;
        }
    }
}
