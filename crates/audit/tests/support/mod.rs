//! Records, object sets and logs shared by the tests.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use audit::AttemptRecord;
use audit::Log;
use audit::LogSettings;
use audit::PublishedSet;
use audit::ReferenceData;
use audit::VerificationReport;
use audit::verify;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use decision::job::Outcome;
use decision::job::Target;
use edges::store::HttpObjects;
use objects::ObjectSet;
use standins::Objects;

pub const TIMEOUT: Duration = Duration::from_secs(5);

pub fn head(generation: u64, digest: &str) -> Head {
    let digest = digest.into();
    Head { generation, digest }
}

pub fn version(name: &str, weights: &str, digest: &str) -> Target {
    let [name, weights, digest] = [name, weights, digest].map(Into::into);
    Target::Version {
        name,
        weights,
        digest,
    }
}

/// Returns the record of an attempt that ran on the route `chat`.
pub fn attempt(request: u128) -> AttemptRecord {
    AttemptRecord {
        request: RequestId(request),
        attempt: 1,
        workspace: "ws".into(),
        head: head(1, "sha256:head"),
        route: "chat".into(),
        target: version("a@1", "w/a1", A1),
        endpoint: Some("e1".into()),
        incarnation: Some(Incarnation(7)),
        claim: None,
        replay: false,
        outcome: Outcome::Ran,
        start: 1000 + request as u64,
        end: 2000 + request as u64,
        request_digest: audit::digest(b"question"),
        response_digest: Some(audit::digest(b"answer")),
    }
}

/// Returns the record of an attempt that ran on the service route `book`.
pub fn booking(request: u128) -> AttemptRecord {
    AttemptRecord {
        route: "book".into(),
        target: Target::Service("booking".into()),
        claim: Some("claim/ws/key".into()),
        ..attempt(request)
    }
}

/// Asserts that there is exactly one problem and that its text ends with `expected`.
pub fn assert_single_problem(problems: &[String], expected: &str) {
    let [problem] = problems else {
        panic!("{problems:?}");
    };
    assert!(problem.ends_with(expected), "{problem}");
}

/// Weight digests of `a@1` and `a@2`.
pub const A1: &str = "sha256:1111111111111111111111111111111111111111111111111111111111111111";
pub const A2: &str = "sha256:2222222222222222222222222222222222222222222222222222222222222222";

const OBJECTS: &str = r#"
    model = [{ name = "m", base = "base" }]
    workspace = [{ name = "ws", rate = 1, inflight = 1 }]
    adapter = [{ name = "a", model = "m", workspace = "ws" }]
    version = [
        { adapter = "a", version = "1", weights = "w/a1", digest = "A1" },
        { adapter = "a", version = "2", weights = "w/a2", digest = "A2" },
    ]
    service = [{ name = "booking", deadline_ms = 1000 }]
    route = [
        { name = "chat", workspace = "ws", deadline_ms = 1000, targets = [{ version = "a@1", weight = 1 }] },
        { name = "split", workspace = "ws", deadline_ms = 1000, targets = [
            { version = "a@1", weight = 1 },
            { version = "a@2", weight = 1 },
        ] },
        { name = "alias", workspace = "ws", alias = "chat" },
        { name = "book", workspace = "ws", deadline_ms = 1000, service = "booking" },
    ]
"#;

pub fn objects() -> ObjectSet {
    let text = OBJECTS.replace("A1", A1).replace("A2", A2);
    let loaded = objects::load([("objects.toml", &*text)]);
    assert!(
        !objects::has_errors(&loaded.findings),
        "{:?}",
        loaded.findings
    );
    loaded.set
}

/// A fake object store and a client of it.
pub struct Harness {
    pub store: Objects,
    pub client: Arc<HttpObjects>,
}

impl Harness {
    pub async fn start() -> Harness {
        let store = Objects::start().await;
        let client = Arc::new(HttpObjects::new(store.addr()));
        Harness { store, client }
    }

    pub fn settings(&self, process: &str) -> LogSettings {
        LogSettings {
            max_batch_entries: 4,
            write_interval: Duration::from_millis(20),
            retry_delay: Duration::from_millis(20),
            write_timeout: Duration::from_millis(200),
            ..LogSettings::new(process, Incarnation(1))
        }
    }

    pub fn log(&self, settings: LogSettings) -> (Log, tokio::task::JoinHandle<()>) {
        let log = Log::new(settings);
        let (writer, store) = (log.clone(), self.client.clone());
        let task = tokio::spawn(async move { writer.run(store).await });
        (log, task)
    }

    /// Writes the records as a closed chain with 4 entries per object.
    pub async fn write(&self, process: &str, records: impl IntoIterator<Item = AttemptRecord>) {
        let (log, task) = self.log(self.settings(process));
        for record in records {
            log.record(record);
        }
        log.close().await.unwrap();
        task.await.unwrap();
    }

    pub async fn verify(
        &self,
        configure: impl FnOnce(&mut ReferenceData<'_>),
    ) -> VerificationReport {
        let set = objects();
        let published = PublishedSet {
            digest: "sha256:head",
            set: &set,
        };
        let mut reference = ReferenceData {
            published: BTreeMap::from([(1, published)]),
            ..ReferenceData::default()
        };
        configure(&mut reference);
        verify(&*self.client, &reference, TIMEOUT).await.unwrap()
    }

    /// Verifies the chains and returns the problems as text.
    pub async fn problems(&self) -> Vec<String> {
        let report = self.verify(|_| ()).await;
        report.problems.iter().map(ToString::to_string).collect()
    }

    /// Edits the lines of the object with the given index in key order.
    pub fn edit(&self, object: usize, edit: impl FnOnce(&mut Vec<String>)) {
        let key = &self.store.keys("audit/")[object];
        let data = self.store.object(key).unwrap();
        let text = String::from_utf8(data.to_vec()).unwrap();
        let mut lines: Vec<String> = text.lines().map(|l| format!("{l}\n")).collect();
        edit(&mut lines);
        self.store.replace(key, lines.concat());
    }
}
