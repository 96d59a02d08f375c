//! A fake agent that responds as its script says and records the jobs that it ran.

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

/// How a fake agent handles its jobs.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Responds with the job's body.
    Echo,
    /// Responds with these chunks, then with the failure if there is one.
    Chunks(Vec<&'static str>, Option<Failure>),
    /// Refuses the job without running it.
    Refuse(Refusal),
    /// Sends the first chunk, then waits for [`FakeAgent::resume`] and sends the rest.
    Paused(&'static str, &'static str),
    /// Runs the job, then drops the link without a response.
    RunAndDropLink,
    /// Drops the link without running the job.
    DropLink,
}

/// A job that a fake agent ran.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) job: Job,
    pub(crate) body: Bytes,
}

struct AgentState {
    name: String,
    incarnation: Mutex<Incarnation>,
    ledger: Mutex<Ledger>,
    script: Mutex<Script>,
    runs: Mutex<Vec<Run>>,
    cancelled: Mutex<Vec<RequestId>>,
    report_seq: AtomicU64,
    resumed: Semaphore,
}

pub(crate) struct FakeAgent {
    state: Arc<AgentState>,
    server: Server,
}

impl FakeAgent {
    pub(crate) async fn start(name: &str) -> FakeAgent {
        let incarnation = Incarnation(7);
        let state = Arc::new(AgentState {
            name: name.to_owned(),
            incarnation: Mutex::new(incarnation),
            ledger: Mutex::new(Ledger::new(incarnation)),
            script: Mutex::new(Script::Echo),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            report_seq: AtomicU64::new(0),
            resumed: Semaphore::new(0),
        });
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(
            loopback,
            1,
            super::SECRET,
            Arc::new(AgentHandler(state.clone())),
        )
        .await
        .unwrap();
        FakeAgent { state, server }
    }

    pub(crate) fn name(&self) -> &str {
        &self.state.name
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    pub(crate) fn set_script(&self, script: Script) {
        *self.state.script.lock().unwrap() = script;
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    pub(crate) fn run_count(&self) -> usize {
        self.state.runs.lock().unwrap().len()
    }

    pub(crate) fn cancelled(&self) -> Vec<RequestId> {
        self.state.cancelled.lock().unwrap().clone()
    }

    /// Resumes one paused job.
    pub(crate) fn resume(&self) {
        self.state.resumed.add_permits(1);
    }

    /// Simulates the replacement of the agent: a new incarnation, an empty ledger and report
    /// numbers that start again.
    pub(crate) fn replace(&self) {
        let incarnation = Incarnation(8);
        *self.state.ledger.lock().unwrap() = Ledger::new(incarnation);
        *self.state.incarnation.lock().unwrap() = incarnation;
        self.state.report_seq.store(0, Ordering::SeqCst);
    }

    pub(crate) async fn stop(self) {
        self.state.resumed.close();
        self.server.stop().await;
    }
}

impl AgentState {
    fn incarnation(&self) -> Incarnation {
        *self.incarnation.lock().unwrap()
    }

    fn attempt_end(&self, outcome: Outcome, failure: Option<Failure>) -> End {
        End {
            outcome,
            failure,
            incarnation: self.incarnation(),
            endpoint: self.name.as_str().into(),
            stall: Duration::ZERO,
            chunks: 0,
            after: None,
        }
    }

    async fn execute(&self, job: Job, body: Bytes, sink: ResponseSink) {
        let script = self.script.lock().unwrap().clone();
        let key = AttemptKey::of(&job);
        let now = Time::default();
        let claimed = job.claim.is_some();
        if let Script::DropLink = script {
            return;
        }
        let admission = self.ledger.lock().unwrap().admit(now, &job);
        if let Admission::Seen(outcome) = admission {
            let _ = sink.end(self.attempt_end(outcome, None)).await;
            return;
        }
        if let Script::Refuse(reason) = script {
            let outcome = self
                .ledger
                .lock()
                .unwrap()
                .refuse(now, key, claimed, reason);
            let _ = sink.end(self.attempt_end(outcome, None)).await;
            return;
        }
        assert!(self.ledger.lock().unwrap().submit(key));
        self.runs.lock().unwrap().push(Run {
            job: job.clone(),
            body: body.clone(),
        });
        let failure = self.run_script(&script, &job, body, &sink).await;
        let outcome = Outcome::Ran;
        self.ledger.lock().unwrap().end(now, key, claimed, outcome);
        if !matches!(script, Script::RunAndDropLink) {
            let _ = sink.end(self.attempt_end(outcome, failure)).await;
        }
    }

    async fn run_script(
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
            Script::Chunks(chunks, failure) => {
                if !chunks.is_empty() {
                    let _ = sink.begin(200, content).await;
                }
                for chunk in chunks {
                    let _ = sink.chunk(Bytes::from_static(chunk.as_bytes())).await;
                }
                failure.clone()
            }
            Script::Paused(first, rest) => {
                let _ = sink.begin(200, content).await;
                let _ = sink.chunk(Bytes::from_static(first.as_bytes())).await;
                tokio::select! {
                    permit = self.resumed.acquire() => drop(permit.map(|permit| permit.forget())),
                    () = sink.closed() => {}
                }
                let _ = sink.chunk(Bytes::from_static(rest.as_bytes())).await;
                None
            }
            Script::Refuse(_) | Script::RunAndDropLink | Script::DropLink => None,
        }
    }
}

/// Handler of the server; the jobs that it spawns share its state.
struct AgentHandler(Arc<AgentState>);

impl Handler for AgentHandler {
    fn exchange_heads(&self, _: &str, head: Head) -> Head {
        head
    }

    fn blob(&self, _: &str) -> Option<Bytes> {
        None
    }

    fn dispatch(&self, job: Job, body: Bytes, sink: ResponseSink) {
        let state = self.0.clone();
        tokio::spawn(async move { state.execute(job, body, sink).await });
    }

    fn settle(&self, request: RequestId, attempt: Attempt) -> Outcome {
        let key = AttemptKey { request, attempt };
        self.0.ledger.lock().unwrap().settle(Time::default(), key)
    }

    fn cancel(&self, request: RequestId, _: Attempt) {
        self.0.cancelled.lock().unwrap().push(request);
    }

    fn report(&self, seen: u64) -> Option<Report> {
        let seq = self.0.report_seq.fetch_add(1, Ordering::SeqCst) + 1;
        let report = Report {
            endpoint: self.0.name.as_str().into(),
            incarnation: self.0.incarnation(),
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
