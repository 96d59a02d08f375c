//! An agent that answers as its script says and records what it ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use decision::job::End;
use decision::job::Failure;
use decision::job::Job;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::ledger::Admission;
use decision::ledger::AttemptKey;
use decision::ledger::Ledger;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use decision::time::Time;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::Semaphore;
use wire::Handler;
use wire::ResponseSink;
use wire::Server;

/// What an agent does with its jobs.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Answers with the job's body.
    Echo,
    /// Answers with these pieces and then with the failure, or whole.
    Pieces(Vec<&'static str>, Option<Failure>),
    /// Refuses.
    Refuse(Refusal),
    /// Sends the first piece, then waits for [`Agent::proceed`] and sends the rest.
    Held(&'static str, &'static str),
    /// Runs, and loses the link without an answer.
    RunAndLose,
    /// Loses the link without running.
    Lose,
}

/// One job that an agent ran.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) job: Job,
    pub(crate) body: Bytes,
}

struct Core {
    name: String,
    incarnation: Mutex<Incarnation>,
    ledger: Mutex<Ledger>,
    script: Mutex<Script>,
    runs: Mutex<Vec<Run>>,
    cancelled: Mutex<Vec<RequestId>>,
    seq: AtomicU64,
    gate: Semaphore,
}

pub(crate) struct Agent {
    core: Arc<Core>,
    server: Server,
}

impl Agent {
    pub(crate) async fn start(name: &str) -> Agent {
        let own = Incarnation(7);
        let core = Arc::new(Core {
            name: name.to_owned(),
            incarnation: Mutex::new(own),
            ledger: Mutex::new(Ledger::new(own)),
            script: Mutex::new(Script::Echo),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            seq: AtomicU64::new(0),
            gate: Semaphore::new(0),
        });
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(local, 1, super::SECRET, Arc::new(Shell(core.clone())))
            .await
            .unwrap();
        Agent { core, server }
    }

    pub(crate) fn name(&self) -> &str {
        &self.core.name
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    pub(crate) fn set_script(&self, script: Script) {
        *self.core.script.lock().unwrap() = script;
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.core.runs.lock().unwrap().clone()
    }

    pub(crate) fn run_count(&self) -> usize {
        self.core.runs.lock().unwrap().len()
    }

    pub(crate) fn cancelled(&self) -> Vec<RequestId> {
        self.core.cancelled.lock().unwrap().clone()
    }

    /// Lets one held job go on.
    pub(crate) fn proceed(&self) {
        self.core.gate.add_permits(1);
    }

    /// Replaces the agent: it has another incarnation and an empty ledger.
    pub(crate) fn replace(&self) {
        let own = Incarnation(8);
        *self.core.ledger.lock().unwrap() = Ledger::new(own);
        *self.core.incarnation.lock().unwrap() = own;
        self.core.seq.store(0, Ordering::SeqCst);
    }

    pub(crate) async fn stop(self) {
        self.core.gate.close();
        self.server.stop().await;
    }
}

impl Core {
    fn own(&self) -> Incarnation {
        *self.incarnation.lock().unwrap()
    }

    fn end(&self, outcome: Outcome, failure: Option<Failure>) -> End {
        End {
            outcome,
            failure,
            incarnation: self.own(),
            endpoint: self.name.as_str().into(),
            stall: Duration::ZERO,
            chunks: 0,
            after: None,
        }
    }

    async fn answer(&self, job: Job, body: Bytes, sink: ResponseSink) {
        let script = self.script.lock().unwrap().clone();
        let key = AttemptKey::of(&job);
        let now = Time::default();
        let claimed = job.claim.is_some();
        if let Script::Lose = script {
            return;
        }
        let admission = self.ledger.lock().unwrap().admit(now, &job);
        if let Admission::Seen(outcome) = admission {
            let _ = sink.end(self.end(outcome, None)).await;
            return;
        }
        if let Script::Refuse(reason) = script {
            let outcome = self
                .ledger
                .lock()
                .unwrap()
                .refuse(now, key, claimed, reason);
            let _ = sink.end(self.end(outcome, None)).await;
            return;
        }
        assert!(self.ledger.lock().unwrap().submit(key));
        self.runs.lock().unwrap().push(Run {
            job: job.clone(),
            body: body.clone(),
        });
        let failure = self.play(&script, &job, body, &sink).await;
        let outcome = Outcome::Ran;
        self.ledger.lock().unwrap().end(now, key, claimed, outcome);
        if !matches!(script, Script::RunAndLose) {
            let _ = sink.end(self.end(outcome, failure)).await;
        }
    }

    async fn play(
        &self,
        script: &Script,
        job: &Job,
        body: Bytes,
        sink: &ResponseSink,
    ) -> Option<Failure> {
        let content = match job.stream {
            true => "text/event-stream",
            false => "application/json",
        };
        match script {
            Script::Echo => {
                let _ = sink.begin(200, content).await;
                let _ = sink.chunk(body).await;
                None
            }
            Script::Pieces(pieces, failure) => {
                if !pieces.is_empty() {
                    let _ = sink.begin(200, content).await;
                }
                for piece in pieces {
                    let _ = sink.chunk(Bytes::from_static(piece.as_bytes())).await;
                }
                failure.clone()
            }
            Script::Held(first, rest) => {
                let _ = sink.begin(200, content).await;
                let _ = sink.chunk(Bytes::from_static(first.as_bytes())).await;
                tokio::select! {
                    permit = self.gate.acquire() => drop(permit.map(|permit| permit.forget())),
                    () = sink.closed() => {}
                }
                let _ = sink.chunk(Bytes::from_static(rest.as_bytes())).await;
                None
            }
            Script::Refuse(_) | Script::RunAndLose | Script::Lose => None,
        }
    }
}

/// The handler of the server, which shares the core with its jobs.
struct Shell(Arc<Core>);

impl Handler for Shell {
    fn exchange_heads(&self, _: &str, head: Head) -> Head {
        head
    }

    fn blob(&self, _: &str) -> Option<Bytes> {
        None
    }

    fn dispatch(&self, job: Job, body: Bytes, sink: ResponseSink) {
        let core = self.0.clone();
        tokio::spawn(async move { core.answer(job, body, sink).await });
    }

    fn settle(&self, request: RequestId, attempt: Attempt) -> Outcome {
        let key = AttemptKey { request, attempt };
        self.0.ledger.lock().unwrap().settle(Time::default(), key)
    }

    fn cancel(&self, request: RequestId, _: Attempt) {
        self.0.cancelled.lock().unwrap().push(request);
    }

    fn report(&self, seen: u64) -> Option<Report> {
        let seq = self.0.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let report = Report {
            endpoint: self.0.name.as_str().into(),
            incarnation: self.0.own(),
            seq,
            generation: 1,
            running: 0,
            batch: 8,
            queued: 0,
            stalled: 0,
            slots: 4,
            idle: 4,
            service_ms: 100,
            load_ms: 100,
            resident: Vec::new(),
            loading: Vec::new(),
            draining: false,
            ready: true,
        };
        (seq > seen).then_some(report)
    }

    fn request_permit(&self, _: PermitRequest) -> BoxFuture<'static, Option<Grant>> {
        futures::future::ready(None).boxed()
    }

    fn release_permit(&self, _: u64) {}

    fn dump(&self) -> String {
        String::new()
    }
}
