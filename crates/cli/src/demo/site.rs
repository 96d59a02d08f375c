//! A complete site in one process: stand-ins for the platform, agents and one entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agent::Agent;
use decision::collections::Map;
use decision::member::Instance;
use decision::member::Liveness;
use decision::member::Role;
use decision::publish::Outcome;
use decision::publish::Request;
use derive_more::Display;
use derive_more::Error;
use edges::store::HttpObjects;
use edges::table::HttpTable;
use entry::Entry;
use standins::engine::EngineConfig;
use standins::weights::WeightsConfig;

use crate::demo::sample;
use crate::demo::sample::Edits;
use crate::demo::verdict::StandinRecords;
use crate::platform;
use crate::platform::FetchedSet;
use crate::publishing;

/// Secret shared by the processes of the demo.
const SECRET: &str = "demo-secret-for-loopback-only";

/// Timeout for all processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of one readiness check.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of one step of the demo.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} failed: {message}")]
pub struct SiteError {
    step: &'static str,
    message: String,
}

impl SiteError {
    fn new(step: &'static str, message: impl ToString) -> SiteError {
        SiteError {
            step,
            message: message.to_string(),
        }
    }
}

/// Stand-ins for the services of the platform.
struct PlatformStandins {
    table: standins::Table,
    objects: standins::Objects,
    members: standins::Members,
    weights: standins::Weights,
}

/// Speed of the stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speed {
    /// Loads, prefill and tokens take time, though less than on real engines.
    Realistic,
    /// Nothing takes time and nothing is recorded, to measure the overhead of the system itself.
    Instant,
}

impl Speed {
    fn weights(self) -> WeightsConfig {
        match self {
            Speed::Realistic => WeightsConfig {
                transfer_time: Duration::from_millis(100),
                ..WeightsConfig::default()
            },
            Speed::Instant => WeightsConfig::instant(),
        }
    }

    fn engine(self, weights: SocketAddr) -> EngineConfig {
        let realistic = self == Speed::Realistic;
        let ms = |ms| {
            if realistic {
                Duration::from_millis(ms)
            } else {
                Duration::ZERO
            }
        };
        EngineConfig {
            slots: 4,
            batch: 16,
            token_interval: ms(1),
            prefill_time: ms(10),
            weight_store: Some(weights),
            record_executions: realistic,
            ..EngineConfig::default()
        }
    }
}

/// A running site.
pub struct Site {
    platform: PlatformStandins,
    engines: Vec<standins::Engine>,
    service: standins::BookingService,
    agents: Vec<Agent>,
    entry: Entry,
}

impl Site {
    /// Publishes the sample set, starts all processes and waits until the site is ready. A process
    /// that starts before the first generation exists reports ready without one.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or the site is not ready in time.
    pub async fn start(speed: Speed) -> Result<Site, SiteError> {
        let platform = PlatformStandins {
            table: standins::Table::start().await,
            objects: standins::Objects::start().await,
            members: standins::Members::start(Duration::ZERO).await,
            weights: standins::Weights::start(speed.weights()).await,
        };
        platform.publish(Edits::default()).await?;
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for number in 0..sample::ENGINES {
            let engine = standins::Engine::start(speed.engine(platform.weights.addr())).await;
            let name = format!("runner-{number}");
            agents.push(platform.start_agent(&name, number, engine.addr()).await?);
            engines.push(engine);
        }
        let service = standins::BookingService::start().await;
        for number in 0..sample::BOOKERS {
            let name = format!("booker-{number}");
            agents.push(platform.start_agent(&name, number, service.addr()).await?);
        }
        let entry = platform.start_entry().await?;
        let site = Site {
            platform,
            engines,
            service,
            agents,
            entry,
        };
        site.wait_ready().await?;
        Ok(site)
    }

    /// Returns the entry's address for callers.
    pub fn entry(&self) -> SocketAddr {
        self.entry.addr()
    }

    /// Returns the address of the first engine on which the version with this served name is
    /// resident.
    pub fn engine_with_version(&self, served: &str) -> Option<SocketAddr> {
        let has_version = |engine: &&standins::Engine| {
            engine.resident_adapters().iter().any(|name| name == served)
        };
        self.engines
            .iter()
            .find(has_version)
            .map(standins::Engine::addr)
    }

    /// Returns the listening addresses of all processes, each with a label.
    pub(crate) fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let mut list = vec![
            ("entry, for callers".to_owned(), self.entry.addr()),
            ("entry, metrics and dump".to_owned(), self.entry.ops_addr()),
            ("entry, for peers".to_owned(), self.entry.peer_addr()),
            ("table service".to_owned(), self.platform.table.addr()),
            ("object store".to_owned(), self.platform.objects.addr()),
            ("membership list".to_owned(), self.platform.members.addr()),
        ];
        for (number, engine) in self.engines.iter().enumerate() {
            list.push((format!("engine {number}"), engine.addr()));
        }
        for (number, agent) in self.agents.iter().enumerate() {
            list.push((
                format!("agent {number}, metrics and dump"),
                agent.ops_addr(),
            ));
            list.push((format!("agent {number}, for peers"), agent.addr()));
        }
        list
    }

    /// Returns the secret that the dump addresses require.
    pub(crate) fn secret(&self) -> &'static str {
        SECRET
    }

    /// Publishes the sample set with `edits` as the next generation.
    pub(crate) async fn publish(&self, edits: Edits) -> Result<(), SiteError> {
        self.platform.publish(edits).await
    }

    /// Restarts an engine, which loses its adapters and connections.
    pub(crate) async fn restart_engine(&self, number: usize) {
        self.engines[number].restart().await;
    }

    /// Returns the records of the stand-ins, together with the names allowed per route.
    pub(crate) fn standin_records(
        &self,
        allowed_names: Map<String, Vec<String>>,
    ) -> StandinRecords {
        let engines = self.engines.iter().map(standins::Engine::record).collect();
        StandinRecords {
            engines,
            calls: self.service.calls(),
            allowed_names,
        }
    }

    /// Stops the entry, then the agents, then the stand-ins.
    pub async fn stop(self) {
        self.stop_processes().await.stop().await;
    }

    /// Stops everything like [`Site::stop`] and returns the verification of the audit records. It
    /// runs after the entry and the agents have written all of them and before the platform stops.
    pub(crate) async fn stop_and_verify(self) -> Result<audit::VerificationReport, SiteError> {
        let platform = self.stop_processes().await;
        let audit = crate::audit::verify_chains(&platform.client()).await;
        platform.stop().await;
        audit.map_err(|err| SiteError::new("verify the audit records", err))
    }

    async fn stop_processes(self) -> PlatformStandins {
        self.entry.stop().await;
        for agent in &self.agents {
            agent.drain();
        }
        for agent in self.agents {
            agent.wait_drained().await;
            agent.stop().await;
        }
        for engine in self.engines {
            engine.stop().await;
        }
        self.service.stop().await;
        self.platform
    }

    async fn wait_ready(&self) -> Result<(), SiteError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        let addresses = self
            .agents
            .iter()
            .map(Agent::ops_addr)
            .chain([self.entry.ops_addr()]);
        for addr in addresses {
            while !is_ready(addr).await {
                if tokio::time::Instant::now() > deadline {
                    return Err(SiteError::new("wait until ready", addr));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

impl PlatformStandins {
    fn client(&self) -> platform::Platform {
        let table = HttpTable::new(self.table.addr());
        let store = HttpObjects::new(self.objects.addr());
        platform::Platform::new(Arc::new(table), Arc::new(store))
    }

    /// Publishes the sample set with `edits` as the next generation.
    async fn publish(&self, edits: Edits) -> Result<(), SiteError> {
        let platform = self.client();
        let read_failed = |err| SiteError::new("read head", err);
        let base = platform.read_head().await.map_err(read_failed)?.head;
        let before = platform
            .fetch_set(&base.digest, &FetchedSet::default())
            .await;
        let before = before.map_err(read_failed)?;
        let request = Request {
            base,
            base_set: before.set.clone(),
            set: Arc::new(sample::set(edits)),
            sources: Arc::default(),
            rebase: false,
            publisher: "demo".into(),
            unix_time: publishing::unix_time(),
            restores: None,
        };
        match publishing::publish(&platform, request, &before).await {
            Outcome::Published { .. } => Ok(()),
            other => Err(SiteError::new("publish", format!("{other:?}"))),
        }
    }

    async fn start_agent(
        &self,
        name: &str,
        number: usize,
        backend: SocketAddr,
    ) -> Result<Agent, SiteError> {
        let settings = agent::Settings {
            name: name.to_owned(),
            listen: any_port(),
            http: any_port(),
            region: "south".to_owned(),
            domain: format!("south-{number}"),
            secret: SECRET.to_owned(),
            backend,
            table: self.table.addr(),
            objects: self.objects.addr(),
            members: self.members.addr(),
            seeds: Vec::new(),
            threads: 1,
            log_form: Default::default(),
            log_level: Default::default(),
        };
        let external = agent::ExternalServices::http(&settings);
        let agent = Agent::start(settings, external).await;
        let agent = agent.map_err(|err| SiteError::new("start agent", err))?;
        self.register(name, Role::Agent, agent.addr(), number);
        Ok(agent)
    }

    async fn start_entry(&self) -> Result<Entry, SiteError> {
        let settings = entry::Settings {
            name: "entry-0".to_owned(),
            listen: any_port(),
            peers: any_port(),
            http: any_port(),
            region: "south".to_owned(),
            domain: "south-0".to_owned(),
            secret: SECRET.to_owned(),
            table: self.table.addr(),
            objects: self.objects.addr(),
            members: self.members.addr(),
            seeds: Vec::new(),
            threads: 2,
            log_form: Default::default(),
            log_level: Default::default(),
            limits: Default::default(),
        };
        let external = entry::ExternalServices::http(&settings);
        let entry = Entry::start(settings, external).await;
        let entry = entry.map_err(|err| SiteError::new("start entry", err))?;
        self.register("entry-0", Role::Entry, entry.peer_addr(), 0);
        Ok(entry)
    }

    fn register(&self, name: &str, role: Role, peer: SocketAddr, number: usize) {
        self.members.put(Instance {
            name: name.to_owned(),
            role,
            state: Liveness::Live,
            peer,
            region: "south".to_owned(),
            domain: format!("south-{number}"),
        });
    }

    async fn stop(self) {
        self.table.stop().await;
        self.objects.stop().await;
        self.members.stop().await;
        self.weights.stop().await;
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn is_ready(addr: SocketAddr) -> bool {
    let client = edges::http::Client::new(addr);
    let call = edges::http::Call::get("read readiness", "/readyz");
    client
        .exchange(call, 1024, CALL_TIMEOUT)
        .await
        .is_ok_and(|reply| reply.status == 200)
}
