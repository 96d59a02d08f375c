//! A whole site in one process: stand-ins of the platform, agents and one entry.

use std::net::SocketAddr;
use std::time::Duration;

use agent::Agent;
use decision::collections::Map;
use decision::ids::Head;
use decision::member::Instance;
use decision::member::Liveness;
use decision::member::Role;
use derive_more::Display;
use derive_more::Error;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use edges::table::Condition;
use edges::table::HttpTable;
use edges::table::Table as _;
use edges::table::Transaction;
use edges::table::Write;
use entry::Entry;
use objects::Snapshot;
use process::adopter::HEAD_ROW;
use standins::engine::EngineConfig;
use standins::weights::WeightsConfig;

use crate::demo::sample;
use crate::demo::sample::Edits;
use crate::demo::verdict::Evidence;

/// The secret that the processes of the demo share.
const SECRET: &str = "demo-secret-for-loopback-only";

/// The time within which the site must be ready.
const READY: Duration = Duration::from_secs(20);

/// The timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A step of the demo failed.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} failed: {message}")]
pub(crate) struct SiteError {
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

/// The stand-ins of the platform.
struct Platform {
    table: standins::Table,
    objects: standins::Objects,
    members: standins::Members,
    weights: standins::Weights,
}

/// A running site.
pub(crate) struct Site {
    platform: Platform,
    engines: Vec<standins::Engine>,
    service: standins::Service,
    agents: Vec<Agent>,
    entry: Entry,
    generation: u64,
}

impl Site {
    /// Starts everything and publishes the sample set.
    pub(crate) async fn start() -> Result<Site, SiteError> {
        let platform = Platform {
            table: standins::Table::start().await,
            objects: standins::Objects::start().await,
            members: standins::Members::start(Duration::ZERO).await,
            weights: standins::Weights::start(WeightsConfig {
                load: Duration::from_millis(100),
                ..WeightsConfig::default()
            })
            .await,
        };
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for number in 0..sample::ENGINES {
            let engine = standins::Engine::start(engine_config(platform.weights.addr())).await;
            let name = format!("runner-{number}");
            agents.push(platform.start_agent(&name, number, engine.addr()).await?);
            engines.push(engine);
        }
        let service = standins::Service::start().await;
        for number in 0..sample::BOOKERS {
            let name = format!("booker-{number}");
            agents.push(platform.start_agent(&name, number, service.addr()).await?);
        }
        let entry = platform.start_entry().await?;
        let mut site = Site {
            platform,
            engines,
            service,
            agents,
            entry,
            generation: 0,
        };
        site.publish(Edits::default()).await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Returns the address for callers.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.entry.addr()
    }

    /// Returns the addresses that the demo prints.
    pub(crate) fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let mut list = vec![
            ("entry, for callers".to_owned(), self.entry.addr()),
            ("entry, metrics and dump".to_owned(), self.entry.ops_addr()),
            ("table service".to_owned(), self.platform.table.addr()),
            ("object store".to_owned(), self.platform.objects.addr()),
        ];
        for (number, agent) in self.agents.iter().enumerate() {
            list.push((
                format!("agent {number}, metrics and dump"),
                agent.ops_addr(),
            ));
        }
        list
    }

    /// Returns the secret that the dump addresses ask for.
    pub(crate) fn secret(&self) -> &'static str {
        SECRET
    }

    /// Publishes the sample set with `edits` as the next generation.
    pub(crate) async fn publish(&mut self, edits: Edits) -> Result<(), SiteError> {
        let (base, now) = (self.generation, process::clock::unix_ms() / 1_000);
        let snapshot = Snapshot::build(&sample::set(edits), base, "demo", now);
        let store = HttpObjects::new(self.platform.objects.addr());
        let blobs = snapshot.buckets.iter().chain([&snapshot.bytes]);
        for blob in blobs.filter(|blob| !blob.is_empty()) {
            let key = objects::Digest::of(blob).store_key();
            let put = store.put(&key, blob.clone().into(), CALL_TIMEOUT).await;
            put.map_err(|err| SiteError::new("put blob", err))?;
        }
        self.generation += 1;
        let head = Head {
            generation: self.generation,
            digest: snapshot.digest.to_string(),
        };
        let value = serde_json::to_vec(&head).map_err(|err| SiteError::new("encode head", err))?;
        let key = HEAD_ROW.to_owned();
        let version = self.platform.table.row(&key).map_or(0, |row| row.version);
        let tx = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key,
                value: Some(value.into()),
            }],
        };
        let table = HttpTable::new(self.platform.table.addr());
        let commit = table.commit(tx, CALL_TIMEOUT).await;
        commit
            .map(drop)
            .map_err(|err| SiteError::new("swap head", err))
    }

    /// Restarts an engine: all adapters are gone and its connections are cut.
    pub(crate) async fn restart_engine(&self, number: usize) {
        self.engines[number].restart().await;
    }

    /// Returns what the stand-ins recorded.
    pub(crate) fn evidence(&self, allowed: Map<String, Vec<String>>) -> Evidence {
        let engines = self.engines.iter().map(standins::Engine::record).collect();
        Evidence {
            engines,
            calls: self.service.calls(),
            allowed,
        }
    }

    /// Stops the entry, the agents and the stand-ins, in this order.
    pub(crate) async fn stop(self) {
        self.entry.stop().await;
        for agent in &self.agents {
            agent.drain();
        }
        for agent in self.agents {
            agent.left().await;
            agent.stop().await;
        }
        for engine in self.engines {
            engine.stop().await;
        }
        self.service.stop().await;
        self.platform.stop().await;
    }

    async fn wait_ready(&self) -> Result<(), SiteError> {
        let deadline = tokio::time::Instant::now() + READY;
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

impl Platform {
    async fn start_agent(
        &self,
        name: &str,
        number: usize,
        backend: SocketAddr,
    ) -> Result<Agent, SiteError> {
        let settings = agent::Settings {
            name: name.to_owned(),
            listen: free_port(),
            http: free_port(),
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
        let outside = agent::Outside::http(&settings);
        let agent = Agent::start(settings, outside).await;
        let agent = agent.map_err(|err| SiteError::new("start agent", err))?;
        self.join(name, Role::Agent, agent.addr(), number);
        Ok(agent)
    }

    async fn start_entry(&self) -> Result<Entry, SiteError> {
        let settings = entry::Settings {
            name: "entry-0".to_owned(),
            listen: free_port(),
            peers: free_port(),
            http: free_port(),
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
        let outside = entry::Outside::http(&settings);
        let entry = Entry::start(settings, outside).await;
        let entry = entry.map_err(|err| SiteError::new("start entry", err))?;
        self.join("entry-0", Role::Entry, entry.peer_addr(), 0);
        Ok(entry)
    }

    fn join(&self, name: &str, role: Role, peer: SocketAddr, number: usize) {
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

fn engine_config(weights: SocketAddr) -> EngineConfig {
    EngineConfig {
        slots: 4,
        batch: 16,
        step: Duration::from_millis(1),
        prefill: Duration::from_millis(10),
        weights: Some(weights),
        ..EngineConfig::default()
    }
}

fn free_port() -> SocketAddr {
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
