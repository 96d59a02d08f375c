//! Calls between two processes over a real loopback connection.

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
    Answer,
    BreakOff,
    Hold,
}

struct Recorder {
    mode: Mode,
    jobs: Mutex<Vec<(Job, Bytes)>>,
    held: Mutex<Vec<ResponseSink>>,
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
            Mode::Hold => self.held.lock().unwrap().push(sink),
            mode => {
                tokio::task::spawn_local(answer(mode, sink));
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

    fn request_permit(&self, ask: PermitRequest) -> BoxFuture<'static, Option<Grant>> {
        let id = u64::from(ask.waiting);
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

async fn answer(mode: Mode, sink: ResponseSink) {
    sink.begin(200, "text/event-stream").await.unwrap();
    for number in 0..500 {
        sink.chunk(Bytes::from(format!("{number} "))).await.unwrap();
    }
    if mode == Mode::Answer {
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

struct Bench {
    server: Server,
    links: Links,
    recorder: Arc<Recorder>,
    cancels: tokio::sync::mpsc::UnboundedReceiver<RequestId>,
}

async fn start(mode: Mode, secret: &str) -> Bench {
    let (cancelled, cancels) = tokio::sync::mpsc::unbounded_channel();
    let (jobs, held) = Default::default();
    let recorder = Arc::new(Recorder {
        mode,
        jobs,
        held,
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
    Bench {
        server,
        links,
        recorder,
        cancels,
    }
}

/// Guards against fields that are dropped or swapped on the wire.
#[tokio::test]
async fn job_arrives_unchanged() {
    let bench = start(Mode::Answer, "s3cret").await;
    let peer = bench.links.peer(bench.server.addr());
    let body = Bytes::from_static(b"{\"model\":\"humid@2\"}");
    drop(peer.dispatch(&job(), body.clone(), TIMEOUT).await.unwrap());
    assert_eq!(*bench.recorder.jobs.lock().unwrap(), vec![(job(), body)]);
}

/// Guards against lost, repeated or reordered pieces of an answer.
#[tokio::test]
async fn answer_arrives_whole() {
    let bench = start(Mode::Answer, "s3cret").await;
    let peer = bench.links.peer(bench.server.addr());
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

/// Guards against a broken-off answer that looks complete.
#[tokio::test]
async fn broken_answer_has_no_end() {
    let bench = start(Mode::BreakOff, "s3cret").await;
    let peer = bench.links.peer(bench.server.addr());
    let mut dispatched = peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap();
    let mut ends = 0;
    while let Some(event) = dispatched.next().await {
        ends += usize::from(matches!(event, ResponseEvent::End(_)));
    }
    assert_eq!(ends, 0);
}

/// Guards against a receiver that waits for ever after its agent's process is gone.
#[tokio::test]
async fn lost_link_closes_answer() {
    let bench = start(Mode::Hold, "s3cret").await;
    let peer = bench.links.peer(bench.server.addr());
    let mut dispatched = peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap();
    bench.server.stop().await;
    assert_eq!(dispatched.next().await, None);
}

/// Guards against work that goes on for a caller that is gone.
#[tokio::test]
async fn dropped_dispatch_cancels() {
    let mut bench = start(Mode::Hold, "s3cret").await;
    let peer = bench.links.peer(bench.server.addr());
    drop(peer.dispatch(&job(), Bytes::new(), TIMEOUT).await.unwrap());
    assert_eq!(bench.cancels.recv().await, Some(job().request));
}

/// Guards against peers that do not know the shared secret.
#[tokio::test]
async fn wrong_secret_is_refused() {
    let bench = start(Mode::Answer, "wrong").await;
    let peer = bench.links.peer(bench.server.addr());
    let err = peer
        .exchange_heads(&Head::default(), TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!((err.sent, err.step), (false, "exchange heads"));
}

/// Guards against a refused connection that is taken for a call that may have run.
#[tokio::test]
async fn refused_connection_was_not_sent() {
    let bench = start(Mode::Answer, "s3cret").await;
    let addr = bench.server.addr();
    bench.server.stop().await;
    let err = bench
        .links
        .peer(addr)
        .dispatch(&job(), Bytes::new(), TIMEOUT)
        .await
        .err()
        .unwrap();
    assert!(!err.sent, "{err}");
}

/// Guards against a connection that is never made again after the peer's restart.
#[tokio::test]
async fn restarted_peer_is_reached() {
    let bench = start(Mode::Answer, "s3cret").await;
    let addr = bench.server.addr();
    let peer = bench.links.peer(addr);
    peer.exchange_heads(&Head::default(), TIMEOUT)
        .await
        .unwrap();
    bench.server.stop().await;
    let again = Server::start(addr, 1, "s3cret", bench.recorder.clone())
        .await
        .unwrap();
    let mut reached = peer.exchange_heads(&Head::default(), TIMEOUT).await;
    if reached.is_err() {
        reached = peer.exchange_heads(&Head::default(), TIMEOUT).await;
    }
    assert_eq!(reached.unwrap().generation, 1);
    again.stop().await;
}

/// Guards against answers to small calls that are mixed up or cut.
#[tokio::test]
async fn small_calls_are_answered() {
    let bench = start(Mode::Answer, "s3cret").await;
    let peer = bench.links.peer(bench.server.addr());
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
    let ask = PermitRequest {
        endpoint: "runner-1".into(),
        incarnation: Incarnation(1),
        version: "humid@2".into(),
        waiting: 5,
        left: TIMEOUT,
        expected: 0,
    };
    assert_eq!(
        peer.request_permit(&ask, TIMEOUT)
            .await
            .unwrap()
            .unwrap()
            .id,
        5
    );
}
