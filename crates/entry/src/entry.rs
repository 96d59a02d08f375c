//! Start and graceful stop of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use process::Node;
use process::NodeSettings;
use process::ops::OpsServer;
use process::ops::OpsState;
use prometheus::Registry;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::Server;

use crate::committer::Committer;
use crate::config_sync;
use crate::dump;
use crate::handler::EntryHandler;
use crate::metrics::Metrics;
use crate::polls;
use crate::server::Listener;
use crate::settings::ExternalServices;
use crate::settings::Settings;
use crate::shared::Shared;

/// Interval at which a stopping entry logs what it waits for.
const DRAIN_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which gauges are refreshed.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry. It must be stopped with [`Entry::stop`], which joins its tasks.
pub struct Entry {
    shared: Arc<Shared>,
    node: Node,
    listener: Listener,
    server: Server,
    ops: OpsServer,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    committer: tokio::task::JoinHandle<()>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a thread cannot be started or a metric cannot be
    /// registered.
    pub async fn start(settings: Settings, external: ExternalServices) -> std::io::Result<Entry> {
        let node = Node::start(NodeSettings {
            name: settings.name.as_str().into(),
            secret: settings.secret.clone(),
            seeds: settings.seeds.clone(),
            threads: settings.threads,
            table: external.table.clone(),
            objects: external.objects.clone(),
            members: external.members.clone(),
        })?;
        let registry = Registry::new();
        let metrics = Metrics::new(&registry).map_err(std::io::Error::other)?;
        let (committer, writer) = Committer::new(external.table.clone(), settings.limits.claims);
        let committer_task = tokio::spawn(writer);
        let shared = Arc::new(Shared::new(&settings, external, &node, committer, metrics));
        let handler = Arc::new(EntryHandler(shared.clone()));
        let threads = settings.threads;
        let server = Server::start(settings.peers, threads, &settings.secret, handler).await?;
        let ops = start_ops(&settings, &shared, registry).await?;
        let listener = Listener::start(settings.listen, shared.clone()).await?;
        let (stop, _) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(config_sync::run(shared.clone(), stop.subscribe()));
        tasks.spawn(polls::run(shared.clone(), stop.subscribe()));
        let (log, store) = (shared.audit.clone(), shared.external.objects.clone());
        tasks.spawn(async move { log.run(store).await });
        tasks.spawn(update_gauges(shared.clone(), stop.subscribe()));
        info!(
            "entry {} listens on {}", settings.name, listener.addr(),
            kv: { incarnation = node.identity.incarnation.to_string().as_str(), domain = settings.domain.as_str() }
        );
        Ok(Entry {
            shared,
            node,
            listener,
            server,
            ops,
            stop,
            tasks,
            committer: committer_task,
        })
    }

    /// Returns the address on which callers are served.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the address on which peers are served.
    pub fn peer_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the address of the metrics, health and dump endpoints.
    pub fn ops_addr(&self) -> SocketAddr {
        self.ops.addr()
    }

    /// Checks whether the entry is ready to serve.
    ///
    /// # Errors
    ///
    /// Returns what the entry is waiting for.
    pub fn readiness(&self) -> Result<(), String> {
        self.shared.readiness()
    }

    /// Returns the state as JSON, as served by `GET /dump`.
    pub fn dump(&self) -> String {
        dump::state(&self.shared)
    }

    /// Stops gracefully. There is no time limit for requests in progress.
    ///
    /// The entry first reports that it is not ready and keeps serving for
    /// [`EntryLimits::linger_ms`](crate::EntryLimits::linger_ms), so that the load balancer sends
    /// new requests elsewhere. It then stops listening, responds to the requests that it has
    /// accepted, stores the outcomes of claims and stops its tasks.
    pub async fn stop(mut self) {
        self.shared.stopping.cancel();
        tokio::time::sleep(Duration::from_millis(self.shared.limits.linger_ms)).await;
        let shared = self.shared.clone();
        let drained = async {
            self.listener.stop().await;
            shared.tasks.close();
            shared.tasks.wait().await;
        };
        wait_with_progress_log(&self.shared, drained).await;
        drop(shared);
        if let Err(err) = self.shared.audit.close().await {
            warn!("{err}");
        }
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        self.server.stop().await;
        self.ops.stop().await;
        // Drops the last handle to the committer, whose task then ends, and to the peer links.
        drop(self.shared);
        let _ = self.committer.await;
        self.node.stop().await;
        info!("entry stopped");
    }
}

/// Waits for `drained` and logs what is still in progress every [`DRAIN_LOG_INTERVAL`].
async fn wait_with_progress_log(shared: &Shared, drained: impl Future<Output = ()>) {
    tokio::pin!(drained);
    loop {
        match tokio::time::timeout(DRAIN_LOG_INTERVAL, drained.as_mut()).await {
            Ok(()) => return,
            Err(_) => {
                let inflight = shared.accounting().limits.inflight();
                let tasks = shared.tasks.len();
                info!("stopping: waiting for {inflight} requests in flight, {tasks} tasks");
            }
        }
    }
}

async fn start_ops(
    settings: &Settings,
    shared: &Arc<Shared>,
    registry: Registry,
) -> std::io::Result<OpsServer> {
    let (for_ready, for_dump) = (shared.clone(), shared.clone());
    let state = OpsState {
        registry,
        check_ready: Box::new(move || for_ready.readiness()),
        dump: Box::new(move || dump::state(&for_dump)),
        secret: settings.secret.clone(),
    };
    OpsServer::start(settings.http, state).await
}

async fn update_gauges(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    loop {
        let inflight = shared.accounting().limits.inflight();
        shared.metrics.set_gauge("requests", inflight as usize);
        shared.metrics.set_gauge("tasks", shared.tasks.len());
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            () = tokio::time::sleep(GAUGE_INTERVAL) => {}
        }
    }
}
