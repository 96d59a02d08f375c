//! Calls between a client and a server over a loopback connection.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Priority;
use decision::ids::RequestId;
use decision::job::End;
use decision::job::Job;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::job::Target;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use futures::FutureExt;
use futures::future::BoxFuture;
use wire::Handler;
use wire::Identity;
use wire::Links;
use wire::ResponseEvent;
use wire::ResponseSink;
use wire::Server;

const TIMEOUT: Duration = Duration::from_secs(5);

/// What the handler does with a dispatched job.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// Sends a complete response.
    Respond,
    /// Sends chunks and drops the sink without an end.
    DropSink,
    /// Sends nothing and keeps the sink open.
    KeepSink,
}

struct Recorder {
    mode: Mode,
    jobs: Mutex<Vec<(Job, Bytes)>>,
    kept_sinks: Mutex<Vec<ResponseSink>>,
    cancelled: tokio::sync::mpsc::UnboundedSender<RequestId>,
}

impl Handler for Recorder {
    fn exchange_heads(&self, from: &str, head: Head) -> Head {
        assert_eq!(from, "entry-1");
        Head {
            generation: head.generation + 1,
            digest: "sha256:aa".to_owned(),
        }
    }

    fn blob(&self, digest: &str) -> Option<Bytes> {
        (digest == "known").then(|| Bytes::from_static(b"data"))
    }

    fn dispatch(&self, job: Job, body: Bytes, sink: ResponseSink) {
        self.jobs.lock().unwrap().push((job, body));
        match self.mode {
            Mode::KeepSink => self.kept_sinks.lock().unwrap().push(sink),
            mode => {
                tokio::task::spawn_local(respond(mode, sink));
            }
        }
    }

    fn settle(&self, _: RequestId, attempt: u32) -> Outcome {
        if attempt == 1 {
            Outcome::Ran
        } else {
            Outcome::NotRun(Refusal::Settled)
        }
    }

    fn cancel(&self, request: RequestId, _: u32) {
        let _ = self.cancelled.send(request);
    }

    fn report(&self, _: u64) -> Option<Report> {
        None
    }

    fn request_permit(&self, request: PermitRequest) -> BoxFuture<'static, Option<Grant>> {
        let id = u64::from(request.waiting);
        async move {
            Some(Grant {
                id,
                ttl: Duration::from_secs(1),
            })
        }
        .boxed()
    }

    fn release_permit(&self, _: u64) {}

    fn dump(&self) -> String {
        "{}".to_owned()
    }
}

async fn respond(mode: Mode, sink: ResponseSink) {
    sink.begin(200, "text/event-stream").await.unwrap();
    for number in 0..500 {
        sink.chunk(Bytes::from(format!("{number} "))).await.unwrap();
    }
    if mode == Mode::Respond {
        let end = End {
            outcome: Outcome::Ran,
            failure: None,
            incarnation: Incarnation(7),
            endpoint: "runner-1".into(),
            stall: Duration::ZERO,
            chunks: 0,
            after: None,
        };
        sink.end(end).await.unwrap();
    }
}

fn job() -> Job {
    Job {
        request: RequestId(0x1234_5678_9abc_def0_0000_0000_0000_0042),
        attempt: 3,
        head: Head {
            generation: 9,
            digest: "sha256:bb".to_owned(),
        },
        workspace: "quilts".into(),
        route: "advice".into(),
        target: Target::Version {
            name: "humid@2".into(),
            weights: "weights/humid/2".into(),
            digest: "sha256:cc".into(),
        },
        priority: Priority::Booking,
        left: Duration::from_millis(1500),
        claim: Some(Incarnation(7)),
        row: Some("claim/quilts/k1".to_owned()),
        path: "/v1/chat/completions".to_owned(),
        stream: true,
        prefix: 11,
    }
}

struct Fixture {
    server: Server,
    links: Links,
    recorder: Arc<Recorder>,
    cancels: tokio::sync::mpsc::UnboundedReceiver<RequestId>,
}

async fn start(mode: Mode, secret: &str) -> Fixture {
    let (cancelled, cancels) = tokio::sync::mpsc::unbounded_channel();
    let (jobs, kept_sinks) = Default::default();
    let recorder = Arc::new(Recorder {
        mode,
        jobs,
        kept_sinks,
        cancelled,
    });
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(addr, 1, "s3cret", recorder.clone())
        .await
        .unwrap();
    let me = Identity {
        name: "entry-1".into(),
        incarnation: Incarnation(1),
    };
    let links = Links::start(1, me, secret).unwrap();
    Fixture {
        server,
        links,
        recorder,
        cancels,
    }
}

/// Guards against fields that are dropped or swapped on the wire.
#[tokio::test]
async fn job_arrives_unchanged() {
    let fixture = start(Mode::Respond, "s3cret").await;
    let peer = fixture.links.peer(fixture.server.addr());
    let body = Bytes::from_static(b"{\"model\":\"humid@2\"}");
    drop(peer.dispatch(&job(), body.clone(), TIMEOUT).await.unwrap());
    assert_eq!(*fixture.recorder.jobs.lock().unwrap(), vec![(job(), body)]);
}

/// Guards against lost, repeated or reordered chunks of a response.
#[tokio::test]
async fn response_arrives_complete() {
    let fixture = start(Mode::Respond, "s3cret").await;
    let peer = fixture.links.peer(fixture.server.addr());
    let mut dispatched = peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap();
    let (mut text, mut ended) = (Vec::new(), false);
    while let Some(event) = dispatched.next().await {
        match event {
            ResponseEvent::Begin {
                status,
                content_type,
            } => {
                assert_eq!((status, &*content_type), (200, "text/event-stream"));
            }
            ResponseEvent::Chunk(data) => text.extend_from_slice(&data),
            ResponseEvent::End(end) => ended = end.outcome == Outcome::Ran,
        }
    }
    let expected: String = (0..500).map(|number| format!("{number} ")).collect();
    assert_eq!((String::from_utf8(text).unwrap(), ended), (expected, true));
}

/// Guards against an incomplete response that looks complete.
#[tokio::test]
async fn incomplete_response_has_no_end() {
    let fixture = start(Mode::DropSink, "s3cret").await;
    let peer = fixture.links.peer(fixture.server.addr());
    let mut dispatched = peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap();
    let mut ends = 0;
    while let Some(event) = dispatched.next().await {
        ends += usize::from(matches!(event, ResponseEvent::End(_)));
    }
    assert_eq!(ends, 0);
}

/// Guards against a receiver that waits forever after the agent's process has stopped.
#[tokio::test]
async fn lost_connection_closes_response() {
    let fixture = start(Mode::KeepSink, "s3cret").await;
    let peer = fixture.links.peer(fixture.server.addr());
    let mut dispatched = peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap();
    fixture.server.stop().await;
    assert_eq!(dispatched.next().await, None);
}

/// Guards against work that continues after its caller has disconnected.
#[tokio::test]
async fn dropped_dispatch_cancels() {
    let mut fixture = start(Mode::KeepSink, "s3cret").await;
    let peer = fixture.links.peer(fixture.server.addr());
    drop(peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap());
    assert_eq!(fixture.cancels.recv().await, Some(job().request));
}

/// Guards against accepting peers that do not know the shared secret.
#[tokio::test]
async fn wrong_secret_is_rejected() {
    let fixture = start(Mode::Respond, "wrong").await;
    let peer = fixture.links.peer(fixture.server.addr());
    let err = peer
        .exchange_heads(&Head::default(), TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!((err.sent, err.step), (false, "exchange heads"));
}

/// Guards against reporting a refused connection as a call that may have run.
#[tokio::test]
async fn refused_connection_was_not_sent() {
    let fixture = start(Mode::Respond, "s3cret").await;
    let addr = fixture.server.addr();
    fixture.server.stop().await;
    let err = fixture
        .links
        .peer(addr)
        .dispatch(&job(), Bytes::new(), TIMEOUT)
        .await
        .err()
        .unwrap();
    assert!(!err.sent, "{err}");
}

/// Guards against a connection that is not reopened after the peer restarts.
#[tokio::test]
async fn restarted_peer_is_reconnected() {
    let fixture = start(Mode::Respond, "s3cret").await;
    let addr = fixture.server.addr();
    let peer = fixture.links.peer(addr);
    peer.exchange_heads(&Head::default(), TIMEOUT)
        .await
        .unwrap();
    fixture.server.stop().await;
    let restarted = Server::start(addr, 1, "s3cret", fixture.recorder.clone())
        .await
        .unwrap();
    let mut reached = peer.exchange_heads(&Head::default(), TIMEOUT).await;
    if reached.is_err() {
        reached = peer.exchange_heads(&Head::default(), TIMEOUT).await;
    }
    assert_eq!(reached.unwrap().generation, 1);
    restarted.stop().await;
}

/// Guards against results of calls other than `dispatch` that are mixed up or truncated.
#[tokio::test]
async fn unary_calls_return_results() {
    let fixture = start(Mode::Respond, "s3cret").await;
    let peer = fixture.links.peer(fixture.server.addr());
    let head = Head {
        generation: 4,
        digest: String::new(),
    };
    assert_eq!(
        peer.exchange_heads(&head, TIMEOUT)
            .await
            .unwrap()
            .generation,
        5
    );
    assert_eq!(
        &peer.blob("known", TIMEOUT).await.unwrap().unwrap()[..],
        b"data"
    );
    assert_eq!(peer.blob("unknown", TIMEOUT).await.unwrap(), None);
    let settled = peer.settle(RequestId(1), 2, TIMEOUT).await.unwrap();
    assert_eq!(settled, Outcome::NotRun(Refusal::Settled));
    assert_eq!(peer.report(0, TIMEOUT).await.unwrap(), None);
    let request = PermitRequest {
        endpoint: "runner-1".into(),
        incarnation: Incarnation(1),
        version: "humid@2".into(),
        waiting: 5,
        left: TIMEOUT,
        expected: 0,
    };
    assert_eq!(
        peer.request_permit(&request, TIMEOUT)
            .await
            .unwrap()
            .unwrap()
            .id,
        5
    );
}
