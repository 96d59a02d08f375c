//! Stand-ins of the external systems, agents that use them, and the entry's side of the RPC
//! connection.

#![allow(dead_code, unused_imports)]

pub(crate) use agent::Agent;
pub(crate) use agent::ExternalServices;
pub(crate) use agent::Settings;
pub(crate) use decision::claim::ClaimRow;
pub(crate) use decision::claim::ClaimState;
pub(crate) use decision::ids::Head;
pub(crate) use decision::ids::Incarnation;
pub(crate) use decision::ids::Priority;
pub(crate) use decision::ids::RequestId;
pub(crate) use decision::job::End;
pub(crate) use decision::job::Failure;
pub(crate) use decision::job::Job;
pub(crate) use decision::job::Outcome;
pub(crate) use decision::job::Refusal;
pub(crate) use decision::job::Target;
pub(crate) use decision::lease::LeaseRow;
pub(crate) use decision::member::Instance;
pub(crate) use decision::member::Liveness;
pub(crate) use decision::member::Role;
pub(crate) use edges::table::Condition;
pub(crate) use edges::table::Transaction;
pub(crate) use edges::table::Write;
pub(crate) use objects::Backend;
pub(crate) use objects::Endpoint;
pub(crate) use objects::Fencing;
pub(crate) use objects::Model;
pub(crate) use objects::ObjectSet;
pub(crate) use objects::Snapshot;
pub(crate) use standins::BookingService;
pub(crate) use standins::Engine;
pub(crate) use standins::EngineConfig;
pub(crate) use standins::engine::ExecutionEnd;
pub(crate) use std::net::SocketAddr;
pub(crate) use std::sync::Arc;
pub(crate) use std::time::Duration;
pub(crate) use tokio::io::AsyncReadExt;
pub(crate) use tokio::io::AsyncWriteExt;
pub(crate) use tokio::net::TcpListener;
pub(crate) use tokio::time::Instant;
pub(crate) use wire::DispatchedAttempt;
pub(crate) use wire::Identity;
pub(crate) use wire::Links;
pub(crate) use wire::Peer;
pub(crate) use wire::ResponseEvent;
pub(crate) const SECRET: &str = "0123456789abcdef";
/// The limit of every wait of these tests.
pub(crate) const WAIT: Duration = Duration::from_secs(10);

pub(crate) struct Harness {
    pub(crate) table: standins::Table,
    pub(crate) objects: standins::Objects,
    pub(crate) members: standins::Members,
    pub(crate) links: Links,
    generation: u64,
}

/// What the entry received for one attempt.
#[derive(Debug, Default)]
pub(crate) struct Received {
    pub(crate) status: Option<u16>,
    pub(crate) body: String,
    pub(crate) end: Option<End>,
}

impl Received {
    pub(crate) fn end(&self) -> &End {
        self.end.as_ref().expect("the attempt has an end")
    }
}

pub(crate) fn endpoint(name: &str, backend: Backend) -> Endpoint {
    Endpoint {
        name: name.into(),
        backend,
        region: "south".into(),
        domain: "d1".into(),
        slots: 2,
        batch: 4,
        queue: 16,
        fencing: Fencing::Checked,
        draining: false,
    }
}

pub(crate) fn model_endpoint(name: &str) -> Endpoint {
    endpoint(name, Backend::Model("m".into()))
}

/// Returns the configuration of an engine that produces a token every `step_ms` milliseconds.
pub(crate) fn engine_config(step_ms: u64) -> EngineConfig {
    EngineConfig {
        slots: 2,
        token_interval: Duration::from_millis(step_ms),
        ..EngineConfig::default()
    }
}

pub(crate) fn job(request: u128, name: &str, stream: bool) -> Job {
    Job {
        request: RequestId(request),
        attempt: 1,
        head: Head::default(),
        workspace: "w".into(),
        route: "r".into(),
        target: Target::Version {
            name: name.into(),
            weights: "weights".into(),
            digest: standins::weights::digest_of("weights").as_str().into(),
        },
        priority: Priority::Interactive,
        left: WAIT,
        claim: None,
        row: None,
        path: "/v1/completions".to_owned(),
        stream,
        prefix: 0,
    }
}

pub(crate) fn body(job: &Job, tokens: u32) -> String {
    let (model, stream) = (job.target.served_name(), job.stream);
    serde_json::json!({"model": &**model, "prompt": "p", "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// Waits until `check` returns `true`; panics with `what` if it does not within [`WAIT`].
pub(crate) async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let limit = Instant::now() + WAIT;
    while !check() {
        assert!(
            Instant::now() < limit,
            "{what}: did not happen within {WAIT:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Harness {
    pub(crate) async fn start() -> Harness {
        let me = Identity {
            name: "entry".into(),
            incarnation: Incarnation(1),
        };
        Harness {
            table: standins::Table::start().await,
            objects: standins::Objects::start().await,
            members: standins::Members::start(Duration::ZERO).await,
            links: Links::start(1, me, SECRET).unwrap(),
            generation: 0,
        }
    }

    /// Publishes a generation with these endpoints and the model `m`.
    pub(crate) fn publish(&mut self, endpoints: Vec<Endpoint>) {
        let mut set = ObjectSet::default();
        let model = Model {
            name: "m".into(),
            base: "base".into(),
            context: None,
        };
        set.models.insert("m".into(), Arc::new(model));
        for endpoint in endpoints {
            set.endpoints
                .insert(endpoint.name.clone(), Arc::new(endpoint));
        }
        self.generation += 1;
        let snapshot = Snapshot::build(&set, self.generation - 1, "test", self.generation);
        let blobs = snapshot.buckets.iter().chain([&snapshot.manifest_bytes]);
        for blob in blobs.filter(|blob| !blob.is_empty()) {
            let key = objects::Digest::of(blob).store_key();
            self.objects.replace(&key, blob.clone());
        }
        let head = Head {
            generation: self.generation,
            digest: snapshot.digest.to_string(),
        };
        self.put_row(
            process::adopter::HEAD_KEY,
            serde_json::to_vec(&head).unwrap(),
        );
    }

    pub(crate) fn put_row(&self, key: &str, value: Vec<u8>) {
        let version = self.table.row(key).map_or(0, |row| row.version);
        self.table.commit(&Transaction {
            conditions: vec![Condition {
                key: key.to_owned(),
                version,
            }],
            writes: vec![Write {
                key: key.to_owned(),
                value: Some(value.into()),
            }],
        });
    }

    pub(crate) fn row<T: serde::de::DeserializeOwned>(&self, key: &str) -> T {
        let row = self.table.row(key).expect("the row exists");
        serde_json::from_slice(&row.value).unwrap()
    }

    /// Starts an agent and waits until its backend is ready and, for an engine, the agent holds the
    /// lease.
    pub(crate) async fn agent(&self, name: &str, backend: SocketAddr) -> Agent {
        let agent = self.start_agent(name, backend).await;
        let peer = self.links.peer(agent.addr());
        let limit = Instant::now() + WAIT;
        loop {
            let dump = match peer.dump(WAIT).await {
                Ok(dump) => dump,
                // A pause of this process outlasts the time for the connection.
                Err(error) if !error.sent && Instant::now() < limit => continue,
                Err(error) => panic!("agent is not ready: {error:?}"),
            };
            let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
            let has_lease = dump["agent"]["lease"]["token"].is_u64();
            let is_service = dump["agent"]["lease"]["held"] == false && self.is_service(name);
            if dump["agent"]["ready"] == true && (has_lease || is_service) {
                return agent;
            }
            assert!(Instant::now() < limit, "agent is not ready: {dump}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Starts the stand-ins, one engine and its agent `e1`.
    pub(crate) async fn with_engine(config: EngineConfig) -> (Harness, Engine, Agent) {
        let mut harness = Harness::start().await;
        harness.publish(vec![model_endpoint("e1")]);
        let engine = Engine::start(config).await;
        let agent = harness.agent("e1", engine.addr()).await;
        (harness, engine, agent)
    }

    pub(crate) async fn start_agent(&self, name: &str, backend: SocketAddr) -> Agent {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: name.to_owned(),
            listen: any,
            http: any,
            region: "south".to_owned(),
            domain: "d1".to_owned(),
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
        let external = ExternalServices::http(&settings);
        let agent = Agent::start(settings, external).await.unwrap();
        self.set_instance(name, agent.addr(), Liveness::Live);
        agent
    }

    pub(crate) fn set_instance(&self, name: &str, peer: SocketAddr, state: Liveness) {
        self.members.put(Instance {
            name: name.to_owned(),
            role: Role::Agent,
            state,
            peer,
            region: "south".to_owned(),
            domain: "d1".to_owned(),
        });
    }

    pub(crate) fn peer(&self, agent: &Agent) -> Peer {
        self.links.peer(agent.addr())
    }

    pub(crate) async fn dispatch(
        &self,
        agent: &Agent,
        job: &Job,
        tokens: u32,
    ) -> DispatchedAttempt {
        let body = body(job, tokens);
        let peer = self.peer(agent);
        peer.dispatch(job, body.into(), WAIT).await.unwrap()
    }

    /// Dispatches a job and receives its complete response.
    pub(crate) async fn run(&self, agent: &Agent, job: &Job, tokens: u32) -> Received {
        receive(self.dispatch(agent, job, tokens).await).await
    }

    fn is_service(&self, name: &str) -> bool {
        name.starts_with("service")
    }
}

pub(crate) async fn receive(mut dispatched: DispatchedAttempt) -> Received {
    let mut received = Received::default();
    let collect = async {
        while let Some(event) = dispatched.next().await {
            match event {
                ResponseEvent::Begin { status, .. } => received.status = Some(status),
                ResponseEvent::Chunk(data) => {
                    received.body.push_str(std::str::from_utf8(&data).unwrap())
                }
                ResponseEvent::End(end) => received.end = Some(*end),
            }
        }
    };
    tokio::time::timeout(WAIT, collect)
        .await
        .expect("the response ends");
    received
}
