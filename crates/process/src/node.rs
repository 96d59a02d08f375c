//! The background tasks and peer connections that every entry and agent runs.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decision::ids::Incarnation;
use decision::ids::Name;
use decision::member::Membership;
use edges::members::Members;
use edges::store::ObjectStore;
use edges::table::Table;
use spdlog::warn;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::Identity;
use wire::Links;

use crate::adopter::Adopter;
use crate::adopter::Sources;
use crate::clock::Clock;

/// Interval between reads of the membership list.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one read of the membership list.
const MEMBERS_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Parameters of [`Node::start`].
pub struct NodeSettings {
    /// Name of the instance, as in the membership list.
    pub name: Name,
    /// Secret that all processes share and send when they connect to a peer.
    pub secret: String,
    /// Addresses of peers that are used while the membership view is empty.
    pub seeds: Vec<SocketAddr>,
    /// Number of RPC threads for calls to peers; 0 is taken as 1.
    pub threads: usize,
    /// Table service, which stores the newest head.
    pub table: Arc<dyn Table>,
    /// Object store, which stores the blobs of configurations.
    pub objects: Arc<dyn ObjectStore>,
    /// Membership list, which is read once a second.
    pub members: Arc<dyn Members>,
}

/// A running node: the connections to peers, the membership view and the configuration in force.
pub struct Node {
    /// Name and incarnation that this process sends to its peers.
    pub identity: Identity,
    /// Monotonic clock, which reads zero at the start of the node.
    pub clock: Clock,
    /// Connections to peers.
    pub links: Links,
    /// Source of the configuration in force and of its blobs.
    pub adopter: Arc<Adopter>,
    /// Membership view; empty until the list was first read.
    pub members: watch::Receiver<Arc<Membership>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts the tasks of a node with a new, random incarnation.
    ///
    /// # Errors
    ///
    /// Fails if an RPC thread cannot be started.
    pub fn start(settings: NodeSettings) -> std::io::Result<Node> {
        let incarnation = random_incarnation();
        let identity = Identity {
            name: settings.name.clone(),
            incarnation,
        };
        let links = Links::start(settings.threads, identity.clone(), &settings.secret)?;
        let clock = Clock::start();
        let (members, view) = watch::channel(Arc::default());
        let sources = Sources {
            table: settings.table,
            objects: settings.objects,
            links: links.clone(),
            seeds: settings.seeds,
        };
        let adopter = Adopter::new(&settings.name, clock, sources, view.clone(), incarnation.0);
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(adopter.clone().run(stopped.clone()));
        tasks.spawn(poll_members(settings.members, members, stopped));
        Ok(Node {
            identity,
            clock,
            links,
            adopter,
            members: view,
            stop,
            tasks,
        })
    }

    /// Stops and joins the tasks, then the RPC threads.
    ///
    /// The RPC threads are joined only if no clone of [`Node::links`] or [`Node::adopter`] is left.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        drop(self.adopter);
        self.links.stop().await;
    }
}

/// Returns a random incarnation. The randomness comes from the operating system, as at-most-once
/// execution depends on distinct incarnations: a generator seeded from the clock could return the
/// same number on two instances.
fn random_incarnation() -> Incarnation {
    let random = RandomState::new().hash_one(crate::clock::unix_ms());
    Incarnation(random.max(1))
}

async fn poll_members(
    list: Arc<dyn Members>,
    view: watch::Sender<Arc<Membership>>,
    mut stop: watch::Receiver<bool>,
) {
    let mut members = Membership::default();
    let mut failing = false;
    loop {
        match list.changes(members.version(), MEMBERS_READ_TIMEOUT).await {
            Ok(changes) => {
                failing = false;
                if members.apply(changes) {
                    view.send_replace(Arc::new(members.clone()));
                }
            }
            Err(err) if !failing => {
                failing = true;
                warn!("failed to read the membership list: {err}");
            }
            Err(_) => {}
        }
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            () = tokio::time::sleep(MEMBERS_READ_INTERVAL) => {}
        }
    }
}
