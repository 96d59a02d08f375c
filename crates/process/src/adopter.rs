//! The loop that discovers, fetches and applies new configurations.

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

/// Key of the table row that holds the newest published head.
pub const HEAD_KEY: &str = "config/head";

/// Interval between polls of [`Adoption::tick`] for due actions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one call to the table, the object store or a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of random peers that are tried for a blob which the object store does not return.
const MAX_BLOB_PEERS: usize = 3;

/// Why the configuration of a head could not be fetched.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
enum FetchError {
    #[display("blob {_0} was not found in the object store or at the peers tried")]
    Missing(#[error(not(source))] String),
    #[display("invalid snapshot: {_0}")]
    Snapshot(#[error(not(source))] String),
}

/// The services and peers that the adopter reads heads and blobs from.
#[derive(Clone)]
pub struct Sources {
    /// Table service, which stores the row [`HEAD_KEY`].
    pub table: Arc<dyn Table>,
    /// Object store, which stores manifests and buckets under their digests.
    pub objects: Arc<dyn ObjectStore>,
    /// Connections to peers, which also serve heads and blobs.
    pub links: Links,
    /// Addresses of peers that are used while the membership view is empty.
    pub seeds: Vec<SocketAddr>,
}

struct State {
    adoption: Adoption,
    snapshot: ConfigSnapshot,
    rng: fastrand::Rng,
}

/// Keeps the configuration of a process up to date and serves its blobs to peers.
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
    /// Creates an adopter without a configuration; it works only while [`Adopter::run`] runs.
    ///
    /// `name` is the name of this instance, `members` its membership view. `seed` initializes the
    /// random choice of peers and the jitter of table reads.
    pub fn new(
        name: &str,
        clock: Clock,
        sources: Sources,
        members: watch::Receiver<Arc<Membership>>,
        seed: u64,
    ) -> Arc<Adopter> {
        let state = State {
            adoption: Adoption::new(clock.now()),
            snapshot: ConfigSnapshot::default(),
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

    /// Returns a receiver of the configuration in force. Its value is the default configuration,
    /// with generation 0, until the first one is adopted.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Returns a receiver of whether the process may serve, see [`Adoption::is_ready`].
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Records the head of the peer named `from` and returns the head in force here.
    pub fn exchange_heads(&self, from: &str, peer_head: &Head) -> Head {
        let members = self.members.borrow().clone();
        let source = members
            .get(from)
            .map_or(Source::Message, |peer| Source::Peer(peer.peer));
        self.observe(peer_head, source);
        self.lock().adoption.head().clone()
    }

    /// Records the head that came with a message, if it is newer than the one in force here.
    pub fn observe_from_message(&self, head: &Head) {
        if head.generation > self.config.borrow().head.generation {
            self.observe(head, Source::Message);
        }
    }

    /// Returns the manifest or bucket with this digest, if it belongs to the configuration in force.
    pub fn blob(&self, digest: &str) -> Option<Bytes> {
        self.lock().snapshot.blob(digest)
    }

    /// Runs until `stop` becomes true, then aborts the calls in progress.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut tasks = JoinSet::new();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                _ = tick.tick() => {}
                _ = self.wake.notified() => {}
                Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
            }
            for action in self.due_actions() {
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

    fn due_actions(&self) -> Vec<Action> {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let State { adoption, rng, .. } = &mut *self.lock();
        adoption.tick(self.clock.now(), members.len(), &peers, rng)
    }

    /// Returns the other instances of the membership view, or the seeds while the view is empty.
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
                join_all(peers.into_iter().map(|addr| self.exchange_with(addr))).await;
            }
            Action::Fetch { head, source } => self.fetch(head, source).await,
        }
    }

    async fn read_table(&self) {
        let Ok(row) = self.sources.table.get(HEAD_KEY, CALL_TIMEOUT).await else {
            return;
        };
        let Some(row) = row else {
            return self.observe(&Head::default(), Source::Table);
        };
        match serde_json::from_slice::<Head>(&row.value) {
            Ok(head) => self.observe(&head, Source::Table),
            Err(err) => warn!("failed to decode the head row: {err}"),
        }
    }

    async fn exchange_with(&self, addr: SocketAddr) {
        let own_head = self.lock().adoption.head().clone();
        if let Ok(peer_head) = self
            .sources
            .links
            .peer(addr)
            .exchange_heads(&own_head, CALL_TIMEOUT)
            .await
        {
            self.observe(&peer_head, Source::Peer(addr));
        }
    }

    fn observe(&self, head: &Head, source: Source) {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let (ready, has_pending) = {
            let adoption = &mut self.lock().adoption;
            adoption.observe(head, source, &peers);
            (adoption.is_ready(), adoption.pending_head().is_some())
        };
        self.ready
            .send_if_modified(|before| std::mem::replace(before, ready) != ready);
        if has_pending {
            self.wake.notify_one();
        }
    }

    async fn fetch(&self, head: Head, source: Source) {
        match self.fetch_snapshot(&head, source).await {
            Ok(snapshot) => self.put_in_force(head, snapshot).await,
            Err(err) => {
                self.lock().adoption.fetch_failed(self.clock.now());
                let generation = head.generation;
                warn!("failed to fetch configuration: {err}", kv: { generation });
            }
        }
    }

    async fn fetch_snapshot(
        &self,
        head: &Head,
        source: Source,
    ) -> Result<ConfigSnapshot, FetchError> {
        let invalid = |err: objects::SnapshotError| FetchError::Snapshot(err.to_string());
        let digest: Digest = head.digest.parse().map_err(invalid)?;
        let bytes = self.fetch_blob(digest, source).await?;
        let manifest = Manifest::decode_checked(&bytes, digest).map_err(invalid)?;
        if manifest.generation() != head.generation {
            let found = manifest.generation();
            let message = format!(
                "manifest has generation {found}, expected {}",
                head.generation
            );
            return Err(FetchError::Snapshot(message));
        }
        let current = self.lock().snapshot.clone();
        let missing = current.missing_buckets(&manifest);
        let buckets = missing
            .iter()
            .map(|(_, digest)| self.fetch_blob(*digest, source));
        let mut fetched = Vec::with_capacity(missing.len());
        for ((bucket, _), data) in missing.iter().zip(join_all(buckets).await) {
            fetched.push((*bucket, data?));
        }
        let apply = move || current.with_buckets(bytes, manifest, fetched);
        let advanced = tokio::task::spawn_blocking(apply).await;
        advanced
            .map_err(|err| FetchError::Snapshot(err.to_string()))?
            .map_err(invalid)
    }

    /// Fetches a blob and checks its digest. Tries the peer that the head was learned from, then the
    /// object store, then up to [`MAX_BLOB_PEERS`] random peers.
    async fn fetch_blob(&self, digest: Digest, source: Source) -> Result<Bytes, FetchError> {
        let name = digest.to_string();
        if let Source::Peer(addr) = source
            && let Some(data) = self.fetch_blob_from(addr, digest, &name).await
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
        for addr in self.random_peers() {
            if let Some(data) = self.fetch_blob_from(addr, digest, &name).await {
                return Ok(data);
            }
        }
        Err(FetchError::Missing(name))
    }

    async fn fetch_blob_from(&self, addr: SocketAddr, digest: Digest, name: &str) -> Option<Bytes> {
        let data = self
            .sources
            .links
            .peer(addr)
            .blob(name, CALL_TIMEOUT)
            .await
            .ok()??;
        (Digest::of(&data) == digest).then_some(data)
    }

    fn random_peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let chosen = self
            .lock()
            .rng
            .choose_multiple(peers.iter(), MAX_BLOB_PEERS);
        chosen.into_iter().map(|peer| peer.addr).collect()
    }

    async fn put_in_force(&self, head: Head, snapshot: ConfigSnapshot) {
        let members = self.members.borrow().clone();
        let peers = self.peers(&members);
        let push = {
            let state = &mut *self.lock();
            if !state.adoption.fetched(&head, &peers) {
                return;
            }
            let set = snapshot.set().clone();
            state.snapshot = snapshot;
            // Sent while the lock is held, so that receivers see generations in increasing order.
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
            join_all(peers.into_iter().map(|addr| self.exchange_with(addr))).await;
        }
    }
}
