//! Test harness: an entry, stand-ins of its external services and fake agents on loopback.
#![allow(dead_code, reason = "no test file uses every item")]

mod agent;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Head;
use decision::member::Instance;
use decision::member::Liveness;
use decision::member::Role;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use edges::table::Condition;
use edges::table::Transaction;
use edges::table::Write;
use entry::Entry;
use entry::EntryLimits;
use entry::ExternalServices;
use entry::Settings;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use objects::ObjectSet;
use objects::Snapshot;

pub(crate) use agent::FakeAgent;
pub(crate) use agent::Script;

pub(crate) const SECRET: &str = "0123456789abcdef";
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Workspace `inn` requires the API key `inn-key`; `mill` requires none.
const OBJECTS: &str = r#"
[[model]]
name = "m"
base = "org/base"

[[workspace]]
name = "inn"
rate = 100000
inflight = 50
secret = "INN_KEY_DIGEST"

[[workspace]]
name = "mill"
rate = 1000
inflight = 2

[[adapter]]
name = "rooms"
model = "m"
workspace = "inn"

[[version]]
adapter = "rooms"
version = "1"
weights = "w/rooms"
digest = "sha256:1111111111111111111111111111111111111111111111111111111111111111"

[[service]]
name = "bookings"
deadline_ms = 4000

[[route]]
name = "rooms"
workspace = "inn"
targets = [{ version = "rooms@1", weight = 1 }]
priority = "interactive"
deadline_ms = 3000

[[route]]
name = "book"
workspace = "inn"
service = "bookings"
priority = "booking"
deadline_ms = 4000
repeatable = false

[[route]]
name = "plain"
workspace = "mill"
model = "m"
priority = "interactive"
deadline_ms = 3000
"#;

fn endpoints(count: usize) -> String {
    let endpoint = |name: &str, kind: &str, index: usize| {
        format!(
            "[[endpoint]]\nname = \"{name}{index}\"\n{kind}\ndomain = \"d{index}\"\n\
             region = \"r\"\nbatch = 8\nqueue = 16\n"
        )
    };
    let all = (0..count).map(|index| {
        endpoint("e", "model = \"m\"\nslots = 4", index)
            + &endpoint("s", "service = \"bookings\"", index)
    });
    all.collect()
}

pub(crate) fn object_set(count: usize) -> ObjectSet {
    let text = OBJECTS.replace("INN_KEY_DIGEST", &entry::key_digest("inn-key")) + &endpoints(count);
    let loaded = objects::load([("harness.toml", &*text)]);
    let errors: Vec<_> = loaded.findings.iter().map(ToString::to_string).collect();
    assert!(loaded.set.endpoints.len() == 2 * count, "{errors:?}");
    loaded.set
}

/// Stand-ins of the external services, one entry, and `count` agents each for the model (`e0`, ..)
/// and the service (`s0`, ..).
pub(crate) struct Harness {
    pub(crate) table: standins::Table,
    pub(crate) objects: standins::Objects,
    pub(crate) members: standins::Members,
    pub(crate) agents: Vec<FakeAgent>,
    pub(crate) entry: Entry,
    pub(crate) addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Harness {
    pub(crate) async fn start(count: usize) -> Harness {
        Harness::start_with(count, limits()).await
    }

    pub(crate) async fn start_with(count: usize, limits: EntryLimits) -> Harness {
        let table = standins::Table::start().await;
        let objects = standins::Objects::start().await;
        let members = standins::Members::start(Duration::ZERO).await;
        publish(&table, &objects, &object_set(count)).await;
        let mut agents = Vec::new();
        for index in 0..count {
            for kind in ["e", "s"] {
                let agent = FakeAgent::start(&format!("{kind}{index}")).await;
                members.put(instance(&agent, index));
                agents.push(agent);
            }
        }
        let settings = settings(&table, &objects, &members, limits);
        let external = ExternalServices::http(&settings);
        let entry = Entry::start(settings, external).await.unwrap();
        let harness = Harness {
            addr: entry.addr(),
            table,
            objects,
            members,
            agents,
            entry,
            client: Client::builder(TokioExecutor::new()).build_http(),
        };
        harness
            .wait_for_dump(|dump| {
                let endpoints = dump["endpoints"].as_array().unwrap();
                let has_report =
                    |endpoint: &&serde_json::Value| !endpoint["report_age_ms"].is_null();
                dump["ready"] == true && endpoints.iter().filter(has_report).count() == 2 * count
            })
            .await;
        harness
    }

    /// Waits until `check` holds for the entry's state dump.
    pub(crate) async fn wait_for_dump(&self, check: impl Fn(&serde_json::Value) -> bool) {
        let wait = async {
            while !check(&serde_json::from_str(&self.entry.dump()).unwrap()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, wait).await;
        assert!(waited.is_ok(), "{}", self.entry.dump());
    }

    pub(crate) fn agent(&self, name: &str) -> &FakeAgent {
        self.agents
            .iter()
            .find(|agent| agent.name() == name)
            .unwrap()
    }

    /// Sets the script of every agent.
    pub(crate) fn set_scripts(&self, script: &Script) {
        self.agents
            .iter()
            .for_each(|agent| agent.set_script(script.clone()));
    }

    /// Returns the number of jobs that all agents ran together.
    pub(crate) fn run_count(&self) -> usize {
        self.agents.iter().map(FakeAgent::run_count).sum()
    }

    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        let response = tokio::time::timeout(TIMEOUT, self.client.request(request));
        response.await.expect("no response in time").unwrap()
    }

    /// Sends a chat request of workspace `inn`.
    pub(crate) async fn chat(&self, body: &str) -> Reply {
        Reply::read(
            self.send(self.request("/v1/chat/completions", body, &[]))
                .await,
        )
        .await
    }

    /// Sends a booking of workspace `inn`.
    pub(crate) async fn book(&self, key: &str, body: &str) -> Reply {
        let request = self.request("/v1/services/book", body, &[("idempotency-key", key)]);
        Reply::read(self.send(request).await).await
    }

    pub(crate) fn request(
        &self,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("http://{}{path}", self.addr))
            .header("content-type", "application/json");
        if !headers.iter().any(|(name, _)| *name == "x-workspace") {
            request = request.header("authorization", "Bearer inn-key");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(body.to_owned().into())).unwrap()
    }

    pub(crate) async fn get(&self, path: &str, headers: &[(&str, &str)]) -> Reply {
        let mut request = self.request(path, "", headers);
        *request.method_mut() = hyper::Method::GET;
        Reply::read(self.send(request).await).await
    }

    /// Stops the entry and its agents. The audit log must be closed, agree with the published
    /// object set and hold at least one record for each run.
    pub(crate) async fn stop(self) {
        let stopped = tokio::time::timeout(TIMEOUT, self.entry.stop());
        stopped.await.expect("the entry does not stop");
        let set = object_set(self.agents.len() / 2);
        let snapshot = Snapshot::build(&set, 0, "test", 1);
        let digest = snapshot.digest.to_string();
        let published = audit::PublishedSet {
            digest: &digest,
            set: &set,
        };
        let expected = audit::ReferenceData {
            published: [(1, published)].into(),
            ..audit::ReferenceData::default()
        };
        let store = HttpObjects::new(self.objects.addr());
        let report = audit::verify(&store, &expected, TIMEOUT).await.unwrap();
        assert_eq!(report.problems, []);
        assert!(report.chains.iter().all(|chain| chain.closed));
        let runs: usize = self.agents.iter().map(FakeAgent::run_count).sum();
        assert!(
            report.record_count >= runs as u64,
            "{} of {runs} runs",
            report.record_count
        );
        for agent in self.agents {
            agent.stop().await;
        }
    }
}

pub(crate) fn limits() -> EntryLimits {
    EntryLimits {
        linger_ms: 0,
        ..EntryLimits::default()
    }
}

fn instance(agent: &FakeAgent, index: usize) -> Instance {
    Instance {
        name: agent.name().to_owned(),
        role: Role::Agent,
        state: Liveness::Live,
        peer: agent.addr(),
        region: "r".to_owned(),
        domain: format!("d{index}"),
    }
}

fn settings(
    table: &standins::Table,
    objects: &standins::Objects,
    members: &standins::Members,
    limits: EntryLimits,
) -> Settings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: "entry-1".to_owned(),
        listen: loopback,
        peers: loopback,
        http: loopback,
        region: "r".to_owned(),
        domain: "d0".to_owned(),
        secret: SECRET.to_owned(),
        table: table.addr(),
        objects: objects.addr(),
        members: members.addr(),
        seeds: Vec::new(),
        threads: 1,
        log_form: Default::default(),
        log_level: Default::default(),
        limits,
    }
}

async fn publish(table: &standins::Table, objects: &standins::Objects, set: &ObjectSet) {
    let snapshot = Snapshot::build(set, 0, "test", 1);
    let store = HttpObjects::new(objects.addr());
    let blobs = snapshot.buckets.iter().chain([&snapshot.manifest_bytes]);
    for blob in blobs.filter(|blob| !blob.is_empty()) {
        let key = objects::Digest::of(blob).store_key();
        store.put(&key, blob.clone().into(), TIMEOUT).await.unwrap();
    }
    let key = process::adopter::HEAD_KEY.to_owned();
    let head = Head {
        generation: 1,
        digest: snapshot.digest.to_string(),
    };
    let value = Some(serde_json::to_vec(&head).unwrap().into());
    table.commit(&Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: vec![Write { key, value }],
    });
}

/// A complete response.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) text: String,
}

impl Reply {
    pub(crate) async fn read(response: Response<Incoming>) -> Reply {
        let (parts, body) = response.into_parts();
        let body = tokio::time::timeout(TIMEOUT, body.collect()).await;
        let body = body.expect("the body does not end").unwrap().to_bytes();
        Reply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            text: String::from_utf8(body.to_vec()).unwrap(),
        }
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_else(|err| panic!("{err}: {}", self.text))
    }

    /// Returns the HTTP status, the error code and whether the request ran.
    pub(crate) fn error(&self) -> (u16, String, String) {
        let error = &self.json()["error"];
        let text = |field: &str| error[field].as_str().unwrap_or_default().to_owned();
        (self.status, text("code"), text("ran"))
    }

    pub(crate) fn receipt(&self) -> serde_json::Value {
        let header = self
            .headers
            .get("x-dotterelwheel-receipt")
            .expect("no receipt");
        serde_json::from_slice(header.as_bytes()).unwrap()
    }
}

/// Returns the value that [`Reply::error`] is compared with.
pub(crate) fn error(status: u16, code: &str, ran: &str) -> (u16, String, String) {
    (status, code.to_owned(), ran.to_owned())
}
