//! Starting and stopping an agent, and the loops that pass events to its driver.

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

use crate::driver::Driver;
use crate::external::ExternalServices;
use crate::handler::AgentHandler;
use crate::metrics::Metrics;
use crate::permits::Permits;
use crate::region::RegionMembership;
use crate::settings::Settings;

/// The interval of the core's ticks. A load waits up to one tick after its permit was granted.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A running agent.
pub struct Agent {
    driver: Arc<Driver>,
    node: Node,
    server: Server,
    ops: OpsServer,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    /// The writer of the audit log. It runs until the log is closed, after all other tasks have ended.
    audit_writer: JoinHandle<()>,
}

impl Agent {
    /// Starts an agent, which serves as soon as it has a configuration and a ready engine or service.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
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
        let driver = Driver::new(
            node.identity.clone(),
            node.clock,
            external,
            permits,
            metrics.clone(),
        );
        let ops = start_ops(&settings, &driver, &node, metrics).await?;
        let server = start_server(&settings, &driver, &node).await?;
        let (stop, _) = watch::channel(false);
        let region = RegionMembership::new(settings.name.clone(), settings.region.clone());
        let tasks = start_loops(&driver, &node, region, &stop);
        let log = driver.audit().clone();
        let audit_writer = tokio::spawn(async move { log.run(store).await });
        info!(
            "agent for endpoint {} listening on {}", settings.name, server.addr(),
            kv: { incarnation = node.identity.incarnation.to_string().as_str(), domain = settings.domain.as_str() }
        );
        Ok(Agent {
            driver,
            node,
            server,
            ops,
            stop,
            tasks,
            audit_writer,
        })
    }

    /// Returns the bound address of the RPC server for peers.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the bound address of the HTTP endpoint for metrics, health and the state dump.
    pub fn ops_addr(&self) -> SocketAddr {
        self.ops.addr()
    }

    /// Returns the incarnation, which each start of an agent draws anew.
    pub fn incarnation(&self) -> decision::ids::Incarnation {
        self.node.identity.incarnation
    }

    /// Starts a graceful stop: the agent refuses new jobs and finishes all accepted ones.
    pub fn drain(&self) {
        self.driver.handle_event(Event::Drain(Reason::Signal, true));
    }

    /// Waits until the agent has drained, whatever the reason: [`Agent::drain`], its configuration or
    /// the membership list.
    pub async fn wait_drained(&self) {
        self.driver.wait_drained().await;
    }

    /// Stops the agent. Jobs that run are aborted and queued ones dropped, so call
    /// [`Agent::wait_drained`] first to let them end.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        self.driver.abort_jobs();
        self.driver.join_tasks().await;
        self.server.stop().await;
        if let Err(err) = self.driver.audit().close().await {
            warn!("{err}");
        }
        let _ = self.audit_writer.await;
        self.ops.stop().await;
        // The driver holds clones of `Links`; the node stops only once these are dropped.
        drop(self.driver);
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

/// Starts the loops that pass configurations, membership views and ticks to the driver.
fn start_loops(
    driver: &Arc<Driver>,
    node: &Node,
    region: RegionMembership,
    stop: &watch::Sender<bool>,
) -> JoinSet<()> {
    let (adopter, members) = (node.adopter.clone(), node.members.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_config(driver.clone(), adopter, stop.subscribe()));
    tasks.spawn(follow_members(
        driver.clone(),
        members,
        region,
        stop.subscribe(),
    ));
    tasks.spawn(run_ticks(driver.clone(), stop.subscribe()));
    tasks
}

async fn start_ops(
    settings: &Settings,
    driver: &Arc<Driver>,
    node: &Node,
    metrics: Metrics,
) -> std::io::Result<OpsServer> {
    let registry = Registry::new();
    let collector = AgentCollector {
        driver: driver.clone(),
        all: metrics.all(),
        metrics,
    };
    registry
        .register(Box::new(collector))
        .map_err(std::io::Error::other)?;
    let state = OpsState {
        registry,
        check_ready: readiness_check(driver.clone(), node.adopter.clone()),
        dump: state_dump(driver.clone(), node.adopter.clone()),
        secret: settings.secret.clone(),
    };
    OpsServer::start(settings.http, state).await
}

async fn start_server(
    settings: &Settings,
    driver: &Arc<Driver>,
    node: &Node,
) -> std::io::Result<Server> {
    let handler = AgentHandler {
        driver: driver.clone(),
        adopter: node.adopter.clone(),
        clock: node.clock,
        dump: state_dump(driver.clone(), node.adopter.clone()),
    };
    Server::start(
        settings.listen,
        settings.threads,
        &settings.secret,
        Arc::new(handler),
    )
    .await
}

async fn follow_config(
    driver: Arc<Driver>,
    adopter: Arc<Adopter>,
    mut stop: watch::Receiver<bool>,
) {
    let mut config = adopter.config();
    loop {
        let current = config.borrow_and_update().clone();
        driver.configure(&current.set, &current.head);
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            changed = config.changed() => if changed.is_err() { return },
        }
    }
}

async fn follow_members(
    driver: Arc<Driver>,
    mut members: watch::Receiver<Arc<Membership>>,
    mut region: RegionMembership,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let view = members.borrow_and_update().clone();
        driver.handle_event(Event::Peers(region.agents(&view)));
        let leaving = region.is_leaving(&view);
        driver.handle_event(Event::Drain(Reason::Leaving, leaving));
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

async fn run_ticks(driver: Arc<Driver>, mut stop: watch::Receiver<bool>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            _ = interval.tick() => driver.handle_event(Event::Tick),
        }
    }
}

type ReadinessCheck = Box<dyn Fn() -> Result<(), String> + Send + Sync>;

fn readiness_check(driver: Arc<Driver>, adopter: Arc<Adopter>) -> ReadinessCheck {
    let adopted = adopter.ready();
    Box::new(move || {
        if !*adopted.borrow() {
            return Err("configuration".to_owned());
        }
        let (.., report, _) = driver.metric_values();
        match (report.ready, report.draining) {
            (_, true) => Err("draining".to_owned()),
            (false, _) => Err("engine".to_owned()),
            (true, false) => Ok(()),
        }
    })
}

/// Returns a function that dumps the state as JSON: the head in force, the core, the audit log and
/// the permit coordinator.
fn state_dump(driver: Arc<Driver>, adopter: Arc<Adopter>) -> Box<dyn Fn() -> String + Send + Sync> {
    Box::new(move || {
        let (requests, grants) = driver.permits().counts();
        let audit = driver.audit().state();
        let state = serde_json::json!({
            "head": adopter.config().borrow().head,
            "agent": driver.dump(),
            "audit": {
                "waiting": audit.pending_entries,
                "lost": audit.lost_records,
                "written": audit.written_tip.to_string(),
            },
            "coordinator": { "queued_asks": requests, "outstanding_grants": grants },
        });
        state.to_string()
    })
}

/// Updates the metrics whenever they are collected.
struct AgentCollector {
    driver: Arc<Driver>,
    all: Vec<Box<dyn Collector>>,
    metrics: Metrics,
}

impl Collector for AgentCollector {
    fn desc(&self) -> Vec<&Desc> {
        self.all.iter().flat_map(|metric| metric.desc()).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let (counters, jobs, report, may_command) = self.driver.metric_values();
        self.metrics.update(&counters, jobs, &report, may_command);
        self.all
            .iter()
            .flat_map(|metric| metric.collect())
            .collect()
    }
}
