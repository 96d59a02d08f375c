//! Adoption of configurations by nodes that are connected over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Head;
use decision::job::Job;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::member::Instance;
use decision::member::Liveness;
use decision::member::Role;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use edges::members::HttpMembers;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use edges::table::Condition;
use edges::table::HttpTable;
use edges::table::Transaction;
use edges::table::Write;
use futures::future::BoxFuture;
use objects::Model;
use objects::ObjectSet;
use objects::Snapshot;
use process::Adopter;
use process::Node;
use process::NodeSettings;
use wire::Handler;
use wire::ResponseSink;
use wire::Server;

const SECRET: &str = "0123456789abcdef";
const WAIT: Duration = Duration::from_secs(10);

/// Handles `exchange_heads` and `blob` calls, which every process serves, and no others.
struct ConfigHandler(Arc<Adopter>);

impl Handler for ConfigHandler {
    fn exchange_heads(&self, from: &str, head: Head) -> Head {
        self.0.exchange_heads(from, &head)
    }

    fn blob(&self, digest: &str) -> Option<Bytes> {
        self.0.blob(digest)
    }

    fn dispatch(&self, _: Job, _: Bytes, _: ResponseSink) {}

    fn settle(&self, _: decision::ids::RequestId, _: u32) -> Outcome {
        Outcome::NotRun(Refusal::Settled)
    }

    fn cancel(&self, _: decision::ids::RequestId, _: u32) {}

    fn report(&self, _: u64) -> Option<Report> {
        None
    }

    fn request_permit(&self, _: PermitRequest) -> BoxFuture<'static, Option<Grant>> {
        Box::pin(async { None })
    }

    fn release_permit(&self, _: u64) {}

    fn dump(&self) -> String {
        String::new()
    }
}

struct Platform {
    table: standins::Table,
    objects: standins::Objects,
    members: standins::Members,
}

impl Platform {
    async fn start() -> Platform {
        Platform {
            table: standins::Table::start().await,
            objects: standins::Objects::start().await,
            members: standins::Members::start(Duration::ZERO).await,
        }
    }

    fn set_outage(&self, on: bool) {
        self.table.faults().set_outage(on);
        self.objects.faults().set_outage(on);
    }

    async fn publish(&self, generation: u64) {
        let snapshot = Snapshot::build(&set(generation), generation - 1, "test", generation);
        let store = HttpObjects::new(self.objects.addr());
        let blobs = snapshot.buckets.iter().chain([&snapshot.manifest_bytes]);
        for blob in blobs.filter(|blob| !blob.is_empty()) {
            let key = objects::Digest::of(blob).store_key();
            store.put(&key, blob.clone().into(), WAIT).await.unwrap();
        }
        let key = process::adopter::HEAD_KEY.to_owned();
        let version = self.table.row(&key).map_or(0, |row| row.version);
        let head = Head {
            generation,
            digest: snapshot.digest.to_string(),
        };
        let value = Some(serde_json::to_vec(&head).unwrap().into());
        let conditions = vec![Condition {
            key: key.clone(),
            version,
        }];
        self.table.commit(&Transaction {
            conditions,
            writes: vec![Write { key, value }],
        });
    }

    async fn node(&self, name: &str, domain: &str) -> (Node, Server) {
        let node = Node::start(NodeSettings {
            name: name.into(),
            secret: SECRET.to_owned(),
            seeds: Vec::new(),
            threads: 1,
            table: Arc::new(HttpTable::new(self.table.addr())),
            objects: Arc::new(HttpObjects::new(self.objects.addr())),
            members: Arc::new(HttpMembers::new(self.members.addr())),
        })
        .unwrap();
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Arc::new(ConfigHandler(node.adopter.clone()));
        let server = Server::start(addr, 1, SECRET, handler).await.unwrap();
        self.members.put(Instance {
            name: name.to_owned(),
            role: Role::Entry,
            state: Liveness::Live,
            peer: server.addr(),
            region: "south".to_owned(),
            domain: domain.to_owned(),
        });
        (node, server)
    }
}

fn set(generation: u64) -> ObjectSet {
    let mut set = ObjectSet::default();
    for number in 0..=generation {
        let name = format!("model-{number}");
        let model = Model {
            name: name.as_str().into(),
            base: "base".into(),
            context: None,
        };
        set.models.insert(model.name.clone(), Arc::new(model));
    }
    set
}

async fn wait_generation(node: &Node, generation: u64) {
    let mut config = node.adopter.config();
    let reached = config.wait_for(|config| config.head.generation >= generation);
    let config = tokio::time::timeout(WAIT, reached)
        .await
        .expect("not in force in time")
        .unwrap();
    assert_eq!(*config.set, set(generation));
}

async fn wait_ready(node: &Node) {
    let mut ready = node.adopter.ready();
    let waited = tokio::time::timeout(WAIT, ready.wait_for(|ready| *ready)).await;
    waited.expect("not ready in time").unwrap();
}

/// Guards against a running process that does not adopt a newly published generation.
#[tokio::test]
async fn published_generations_are_adopted() {
    let platform = Platform::start().await;
    let (node, _server) = platform.node("entry-1", "a").await;
    for generation in 1..=3 {
        platform.publish(generation).await;
        wait_generation(&node, generation).await;
    }
    wait_ready(&node).await;
    node.stop().await;
}

/// Guards against a restarted process that is not ready, or has an older configuration in force,
/// while the table and the object store are unavailable (invariant `config-forward`).
#[tokio::test]
async fn restarted_node_adopts_from_peers() {
    let platform = Platform::start().await;
    let first = platform.node("entry-1", "a").await;
    let second = platform.node("entry-2", "b").await;
    platform.publish(2).await;
    wait_generation(&first.0, 2).await;
    wait_generation(&second.0, 2).await;
    platform.set_outage(true);
    let third = platform.node("entry-3", "a").await;
    wait_generation(&third.0, 2).await;
    wait_ready(&third.0).await;
}

/// Guards against adopting a configuration with a blob that was altered in the object store.
#[tokio::test]
async fn altered_blob_is_rejected() {
    let platform = Platform::start().await;
    platform.publish(1).await;
    let key = platform.objects.keys("config/blob/").remove(0);
    platform.objects.replace(&key, "changed");
    let (node, _server) = platform.node("entry-1", "a").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(node.adopter.config().borrow().head.generation, 0);
    assert!(!*node.adopter.ready().borrow());
}

/// Guards against reporting only the first error of a settings file.
#[test]
fn all_settings_errors_are_reported() {
    #[derive(Debug, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Settings {
        name: String,
        secret: String,
    }
    impl process::settings::Validate for Settings {
        fn errors(&self) -> Vec<String> {
            let mut errors = Vec::new();
            process::settings::check_name("name", &self.name, &mut errors);
            process::settings::check_secret("secret", &self.secret, &mut errors);
            errors
        }
    }
    let parse = process::settings::parse::<Settings>;
    let errors = parse("name = \"\"\nsecret = \"short\"\n").unwrap_err();
    assert_eq!(
        errors,
        [
            "`name` must not be empty",
            "`secret` must have at least 16 bytes"
        ]
    );
    let unknown = parse("name = \"a\"\nport = 1\n").unwrap_err();
    assert!(
        unknown[0].contains("line 2") && unknown[0].contains("port"),
        "{unknown:?}"
    );
}
