//! A running entry: its parts, their start and their stop.

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
use crate::dump;
use crate::follow;
use crate::handler::EntryHandler;
use crate::metrics::Metrics;
use crate::polls;
use crate::server::Listener;
use crate::settings::ExternalServices;
use crate::settings::Settings;
use crate::shared::Shared;

/// The interval at which a stopping entry logs what it waits for.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// The interval at which gauges are refreshed.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry.
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
    /// Fails if an address cannot be bound or a thread cannot be started.
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
        tasks.spawn(follow::run(shared.clone(), stop.subscribe()));
        tasks.spawn(polls::run(shared.clone(), stop.subscribe()));
        let (log, store) = (shared.audit.clone(), shared.external.objects.clone());
        tasks.spawn(async move { log.run(store).await });
        tasks.spawn(show_gauges(shared.clone(), stop.subscribe()));
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

    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the address for peers.
    pub fn peer_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the address for metrics, health and dump.
    pub fn ops_addr(&self) -> SocketAddr {
        self.ops.addr()
    }

    /// Returns whether the entry can serve, or what it waits for.
    pub fn readiness(&self) -> Result<(), String> {
        self.shared.readiness()
    }

    /// Returns the state as JSON, as `GET /dump` does.
    pub fn dump(&self) -> String {
        dump::state(&self.shared)
    }

    /// Stops gracefully: no request in progress is cut off, however long it takes.
    ///
    /// The entry first reports that it is not ready and goes on serving for the linger time, so
    /// that the balancer sends new requests elsewhere; then it stops listening, answers what it
    /// has accepted, stores the outcomes of claims and ends its parts.
    pub async fn stop(mut self) {
        self.shared.stopping.cancel();
        tokio::time::sleep(Duration::from_millis(self.shared.settings.linger_ms)).await;
        let shared = self.shared.clone();
        let drained = async {
            self.listener.stop().await;
            shared.tasks.close();
            shared.tasks.wait().await;
        };
        wait_logged(&self.shared, drained).await;
        drop(shared);
        if let Err(err) = self.shared.audit.close().await {
            warn!("{err}");
        }
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        self.server.stop().await;
        self.ops.stop().await;
        // The last handle to the writer of claims and to the links goes with the shared state.
        drop(self.shared);
        let _ = self.committer.await;
        self.node.stop().await;
        info!("entry stopped");
    }
}

/// Waits for `drained` and logs from time to time what is still in progress.
async fn wait_logged(shared: &Shared, drained: impl Future<Output = ()>) {
    tokio::pin!(drained);
    loop {
        match tokio::time::timeout(REPORT_INTERVAL, drained.as_mut()).await {
            Ok(()) => return,
            Err(_) => {
                let inflight = shared.book().limits.inflight();
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
    let (ready, dumped) = (shared.clone(), shared.clone());
    let state = OpsState {
        registry,
        check_ready: Box::new(move || ready.readiness()),
        dump: Box::new(move || dump::state(&dumped)),
        secret: settings.secret.clone(),
    };
    OpsServer::start(settings.http, state).await
}

async fn show_gauges(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    loop {
        let inflight = shared.book().limits.inflight();
        shared.metrics.set_present("requests", inflight as usize);
        shared.metrics.set_present("tasks", shared.tasks.len());
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            () = tokio::time::sleep(GAUGE_INTERVAL) => {}
        }
    }
}
