//! Records, objects and logs that the tests share.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use audit::AttemptRecord;
use audit::Expected;
use audit::Log;
use audit::Published;
use audit::Report;
use audit::Settings;
use audit::verify;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use decision::job::Outcome;
use decision::job::Target;
use edges::store::HttpObjects;
use objects::Adapter;
use objects::AdapterVersion;
use objects::ObjectSet;
use objects::Priority;
use objects::Route;
use objects::RouteTarget;
use objects::Service;
use objects::WeightedVersion;
use standins::Objects;

pub const LONG: Duration = Duration::from_secs(5);

pub fn head() -> Head {
    Head {
        generation: 1,
        digest: "sha256:head".into(),
    }
}

pub fn target() -> Target {
    Target::Version {
        name: "a@1".into(),
        weights: "w/a1".into(),
        digest: "sha256:a1".into(),
    }
}

/// An attempt that ran on the route `chat`.
pub fn attempt(request: u128) -> AttemptRecord {
    AttemptRecord {
        request: RequestId(request),
        attempt: 1,
        workspace: "ws".into(),
        head: head(),
        route: "chat".into(),
        target: target(),
        endpoint: Some("e1".into()),
        incarnation: Some(Incarnation(7)),
        claim: None,
        replay: false,
        outcome: Outcome::Ran,
        start: 1000 + request as u64,
        end: 2000 + request as u64,
        asked: audit::digest(b"question"),
        answered: Some(audit::digest(b"answer")),
    }
}

/// An attempt that ran on the service route `book`.
pub fn booking(request: u128) -> AttemptRecord {
    AttemptRecord {
        route: "book".into(),
        target: Target::Service("booking".into()),
        claim: Some("claim/ws/key".into()),
        ..attempt(request)
    }
}

fn route(name: &str, target: RouteTarget) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        workspace: "ws".into(),
        target,
        priority: Priority::Interactive,
        deadline: LONG,
        repeatable: true,
    })
}

pub fn objects() -> ObjectSet {
    let mut set = ObjectSet::default();
    let adapter = Adapter {
        name: "a".into(),
        model: "m".into(),
        workspace: "ws".into(),
    };
    set.adapters.insert("a".into(), Arc::new(adapter));
    for n in [1, 2] {
        let version = AdapterVersion {
            name: format!("a@{n}").into(),
            adapter: "a".into(),
            weights: format!("w/a{n}").into(),
            digest: format!("sha256:a{n}").into(),
            withdrawn: false,
        };
        set.versions.insert(version.name.clone(), Arc::new(version));
    }
    let versions = vec![WeightedVersion {
        version: "a@1".into(),
        weight: 1,
    }];
    set.routes.insert(
        "chat".into(),
        route("chat", RouteTarget::Versions(versions)),
    );
    set.routes.insert(
        "alias".into(),
        route("alias", RouteTarget::Alias("chat".into())),
    );
    set.routes.insert(
        "book".into(),
        route("book", RouteTarget::Service("booking".into())),
    );
    let service = Service {
        name: "booking".into(),
        repeatable: false,
        deadline: LONG,
    };
    set.services.insert("booking".into(), Arc::new(service));
    set
}

pub struct Bed {
    pub store: Objects,
    pub client: Arc<HttpObjects>,
}

impl Bed {
    pub async fn start() -> Bed {
        let store = Objects::start().await;
        let client = Arc::new(HttpObjects::new(store.addr()));
        Bed { store, client }
    }

    pub fn settings(&self, process: &str) -> Settings {
        Settings {
            batch: 4,
            interval: Duration::from_millis(20),
            pause: Duration::from_millis(20),
            timeout: Duration::from_millis(200),
            ..Settings::new(process, Incarnation(1))
        }
    }

    pub fn log(&self, settings: Settings) -> (Log, tokio::task::JoinHandle<()>) {
        let log = Log::new(settings);
        let (writer, store) = (log.clone(), self.client.clone());
        let task = tokio::spawn(async move { writer.run(store).await });
        (log, task)
    }

    /// Writes a whole chain; objects hold 4 entries.
    pub async fn write(&self, process: &str, records: impl IntoIterator<Item = AttemptRecord>) {
        let (log, task) = self.log(self.settings(process));
        for record in records {
            log.record(record);
        }
        log.close().await.unwrap();
        task.await.unwrap();
    }

    pub async fn verify(&self, expect: impl FnOnce(&mut Expected<'_>)) -> Report {
        let set = objects();
        let published = Published {
            digest: "sha256:head",
            set: &set,
        };
        let mut expected = Expected {
            published: BTreeMap::from([(1, published)]),
            ..Expected::default()
        };
        expect(&mut expected);
        verify(&*self.client, &expected, LONG).await.unwrap()
    }

    /// Returns the problems as text.
    pub async fn problems(&self) -> Vec<String> {
        let report = self.verify(|_| ()).await;
        report.problems.iter().map(ToString::to_string).collect()
    }

    /// Replaces the lines of the object with the given position.
    pub fn edit(&self, object: usize, edit: impl FnOnce(&mut Vec<String>)) {
        let key = &self.store.keys("audit/")[object];
        let data = self.store.object(key).unwrap();
        let text = String::from_utf8(data.to_vec()).unwrap();
        let mut lines: Vec<String> = text.lines().map(|l| format!("{l}\n")).collect();
        edit(&mut lines);
        self.store.replace(key, lines.concat());
    }
}
