//! A running agent: its parts, their start and their stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decision::agent::Event;
use decision::drain::Reason;
use decision::member::Membership;
use process::Adopter;
use process::Node;
use process::NodeSettings;
use process::ops::OpsServer;
use process::ops::OpsState;
use prometheus::Registry;
use prometheus::core::Collector;
use prometheus::core::Desc;
use prometheus::proto::MetricFamily;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use wire::Server;

use crate::external::ExternalServices;
use crate::handler::AgentHandler;
use crate::metrics::Metrics;
use crate::permits::Permits;
use crate::region::Region;
use crate::settings::Settings;
use crate::shell::Shell;

/// The interval of the core's ticks: loads wait up to one tick for a permit's answer to be used.
const TICK: Duration = Duration::from_millis(10);

/// A running agent.
pub struct Agent {
    shell: Arc<Shell>,
    node: Node,
    server: Server,
    ops: OpsServer,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    /// The writer of the audit log, which outlives the other tasks.
    writer: JoinHandle<()>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub async fn start(settings: Settings, external: ExternalServices) -> std::io::Result<Agent> {
        let node = start_node(&settings, &external)?;
        let metrics = Metrics::new().map_err(std::io::Error::other)?;
        let permits = Permits::new(
            node.identity.name.clone(),
            node.identity.incarnation,
            node.clock.now(),
            node.links.clone(),
            node.members.clone(),
        );
        let store = external.objects.clone();
        let shell = Shell::new(
            node.identity.clone(),
            node.clock,
            external,
            permits,
            metrics.clone(),
        );
        let ops = start_ops(&settings, &shell, &node, metrics).await?;
        let server = start_server(&settings, &shell, &node).await?;
        let (stop, _) = watch::channel(false);
        let region = Region::new(settings.name.clone(), settings.region.clone());
        let tasks = start_loops(&shell, &node, region, &stop);
        let log = shell.audit().clone();
        let writer = tokio::spawn(async move { log.run(store).await });
        info!(
            "agent of {} listens on {}", settings.name, server.addr(),
            kv: { incarnation = node.identity.incarnation.to_string().as_str(), domain = settings.domain.as_str() }
        );
        Ok(Agent {
            shell,
            node,
            server,
            ops,
            stop,
            tasks,
            writer,
        })
    }

    /// Returns the address for peers.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the address for metrics, health and dump.
    pub fn ops_addr(&self) -> SocketAddr {
        self.ops.addr()
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> decision::ids::Incarnation {
        self.node.identity.incarnation
    }

    /// Starts a graceful stop: no new work is taken, all accepted work is finished.
    pub fn drain(&self) {
        self.shell.event(Event::Drain(Reason::Signal, true));
    }

    /// Waits until the agent has finished its work, for whatever reason it stops.
    pub async fn wait_drained(&self) {
        self.shell.wait_drained().await;
    }

    /// Ends the process's parts after [`Agent::wait_drained`]; before it, running work is broken off.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        self.shell.abort();
        self.shell.join().await;
        self.server.stop().await;
        if let Err(err) = self.shell.audit().close().await {
            warn!("{err}");
        }
        let _ = self.writer.await;
        self.ops.stop().await;
        // The connections to peers end only when nothing else refers to them.
        drop(self.shell);
        self.node.stop().await;
    }
}

fn start_node(settings: &Settings, external: &ExternalServices) -> std::io::Result<Node> {
    Node::start(NodeSettings {
        name: settings.name.as_str().into(),
        secret: settings.secret.clone(),
        seeds: settings.seeds.clone(),
        threads: settings.threads,
        table: external.table.clone(),
        objects: external.objects.clone(),
        members: external.members.clone(),
    })
}

/// Starts the loops that feed the core with configurations, membership and time.
fn start_loops(
    shell: &Arc<Shell>,
    node: &Node,
    region: Region,
    stop: &watch::Sender<bool>,
) -> JoinSet<()> {
    let (adopter, members) = (node.adopter.clone(), node.members.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_config(shell.clone(), adopter, stop.subscribe()));
    tasks.spawn(follow_members(
        shell.clone(),
        members,
        region,
        stop.subscribe(),
    ));
    tasks.spawn(tick(shell.clone(), stop.subscribe()));
    tasks
}

async fn start_ops(
    settings: &Settings,
    shell: &Arc<Shell>,
    node: &Node,
    metrics: Metrics,
) -> std::io::Result<OpsServer> {
    let registry = Registry::new();
    let collector = Figures {
        shell: shell.clone(),
        all: metrics.all(),
        metrics,
    };
    registry
        .register(Box::new(collector))
        .map_err(std::io::Error::other)?;
    let state = OpsState {
        registry,
        check_ready: readiness(shell.clone(), node.adopter.clone()),
        dump: dumper(shell.clone(), node.adopter.clone()),
        secret: settings.secret.clone(),
    };
    OpsServer::start(settings.http, state).await
}

async fn start_server(
    settings: &Settings,
    shell: &Arc<Shell>,
    node: &Node,
) -> std::io::Result<Server> {
    let handler = AgentHandler {
        shell: shell.clone(),
        adopter: node.adopter.clone(),
        clock: node.clock,
        dump: dumper(shell.clone(), node.adopter.clone()),
    };
    Server::start(
        settings.listen,
        settings.threads,
        &settings.secret,
        Arc::new(handler),
    )
    .await
}

async fn follow_config(shell: Arc<Shell>, adopter: Arc<Adopter>, mut stop: watch::Receiver<bool>) {
    let mut config = adopter.config();
    loop {
        let held = config.borrow_and_update().clone();
        shell.configure(&held.set, &held.head);
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            changed = config.changed() => if changed.is_err() { return },
        }
    }
}

async fn follow_members(
    shell: Arc<Shell>,
    mut members: watch::Receiver<Arc<Membership>>,
    mut region: Region,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let view = members.borrow_and_update().clone();
        shell.event(Event::Peers(region.agents(&view)));
        let leaving = region.is_leaving(&view);
        shell.event(Event::Drain(Reason::Leaving, leaving));
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

async fn tick(shell: Arc<Shell>, mut stop: watch::Receiver<bool>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            _ = interval.tick() => shell.event(Event::Tick),
        }
    }
}

type Readiness = Box<dyn Fn() -> Result<(), String> + Send + Sync>;

fn readiness(shell: Arc<Shell>, adopter: Arc<Adopter>) -> Readiness {
    let adopted = adopter.ready();
    Box::new(move || {
        if !*adopted.borrow() {
            return Err("configuration".to_owned());
        }
        let (.., report, _) = shell.figures();
        match (report.ready, report.draining) {
            (_, true) => Err("draining".to_owned()),
            (false, _) => Err("engine".to_owned()),
            (true, false) => Ok(()),
        }
    })
}

/// Returns the state as JSON: the core's dump and this agent's part as permit coordinator.
fn dumper(shell: Arc<Shell>, adopter: Arc<Adopter>) -> Box<dyn Fn() -> String + Send + Sync> {
    Box::new(move || {
        let (asks, grants) = shell.permits().counts();
        let audit = shell.audit().state();
        let state = serde_json::json!({
            "head": adopter.config().borrow().head,
            "agent": shell.dump(),
            "audit": {
                "waiting": audit.waiting,
                "lost": audit.lost,
                "written": audit.written.to_string(),
            },
            "coordinator": { "queued_asks": asks, "outstanding_grants": grants },
        });
        state.to_string()
    })
}

/// Brings the metrics up to date whenever they are read.
struct Figures {
    shell: Arc<Shell>,
    all: Vec<Box<dyn Collector>>,
    metrics: Metrics,
}

impl Collector for Figures {
    fn desc(&self) -> Vec<&Desc> {
        self.all.iter().flat_map(|metric| metric.desc()).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let (counters, load, report, leased) = self.shell.figures();
        self.metrics.show(&counters, load, &report, leased);
        self.all
            .iter()
            .flat_map(|metric| metric.collect())
            .collect()
    }
}
