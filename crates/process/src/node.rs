//! The parts of a process that the entry and the agent have in common.

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

/// The interval between reads of the membership list.
const MEMBERS_READ: Duration = Duration::from_secs(1);

/// The timeout of one read of the membership list.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node is started with.
pub struct NodeSettings {
    /// The name of the instance.
    pub name: Name,
    /// The secret that all processes share.
    pub secret: String,
    /// Peers to ask while the membership list is not known.
    pub seeds: Vec<SocketAddr>,
    /// The number of RPC threads for calls to peers.
    pub threads: usize,
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The membership list.
    pub members: Arc<dyn Members>,
}

/// A running node: connections to peers, membership view and configuration in force.
pub struct Node {
    /// Who this process is.
    pub identity: Identity,
    /// The monotonic clock.
    pub clock: Clock,
    /// The connections to peers.
    pub links: Links,
    /// The configuration in force.
    pub adopter: Arc<Adopter>,
    /// The membership view.
    pub members: watch::Receiver<Arc<Membership>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts the loops of a node with a new, random incarnation.
    ///
    /// # Errors
    ///
    /// Fails if an RPC thread cannot be started.
    pub fn start(settings: NodeSettings) -> std::io::Result<Node> {
        let incarnation = draw_incarnation();
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
        tasks.spawn(follow_members(settings.members, members, stopped));
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

    /// Stops the loops and joins them and the RPC threads.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        drop(self.adopter);
        self.links.stop().await;
    }
}

/// Draws an incarnation from the operating system's randomness. At-most-once depends on it: a
/// generator that is seeded from the clock could draw the same number on two instances.
fn draw_incarnation() -> Incarnation {
    let random = RandomState::new().hash_one(crate::clock::unix_ms());
    Incarnation(random.max(1))
}

async fn follow_members(
    list: Arc<dyn Members>,
    view: watch::Sender<Arc<Membership>>,
    mut stop: watch::Receiver<bool>,
) {
    let mut members = Membership::default();
    let mut failing = false;
    loop {
        match list.changes(members.version(), MEMBERS_TIMEOUT).await {
            Ok(changes) => {
                failing = false;
                if members.apply(changes) {
                    view.send_replace(Arc::new(members.clone()));
                }
            }
            Err(err) if !failing => {
                failing = true;
                warn!("membership list cannot be read: {err}");
            }
            Err(_) => {}
        }
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            () = tokio::time::sleep(MEMBERS_READ) => {}
        }
    }
}
