//! The RPC calls that peers make to the agent.

use std::sync::Arc;

use bytes::Bytes;
use decision::agent::Event;
use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::RequestId;
use decision::job::Job;
use decision::job::Outcome;
use decision::ledger::AttemptKey;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use futures::FutureExt;
use futures::future::BoxFuture;
use process::Adopter;
use process::Clock;
use wire::Handler;
use wire::ResponseSink;

use crate::driver::Driver;

pub(crate) struct AgentHandler {
    pub(crate) driver: Arc<Driver>,
    pub(crate) adopter: Arc<Adopter>,
    pub(crate) clock: Clock,
    pub(crate) dump: Box<dyn Fn() -> String + Send + Sync>,
}

impl Handler for AgentHandler {
    fn exchange_heads(&self, from: &str, head: Head) -> Head {
        self.adopter.exchange_heads(from, &head)
    }

    fn blob(&self, digest: &str) -> Option<Bytes> {
        self.adopter.blob(digest)
    }

    fn dispatch(&self, job: Job, body: Bytes, sink: ResponseSink) {
        self.adopter.observe_from_message(&job.head);
        self.driver.dispatch(job, body, sink);
    }

    fn settle(&self, request: RequestId, attempt: Attempt) -> Outcome {
        self.driver.settle(AttemptKey { request, attempt })
    }

    fn cancel(&self, request: RequestId, attempt: Attempt) {
        self.driver
            .handle_event(Event::Cancel(AttemptKey { request, attempt }));
    }

    fn report(&self, seen: u64) -> Option<Report> {
        self.driver.report(seen)
    }

    fn request_permit(&self, request: PermitRequest) -> BoxFuture<'static, Option<Grant>> {
        let grant = self
            .driver
            .permits()
            .handle_request(self.clock.now(), request);
        futures::future::ready(Some(grant)).boxed()
    }

    fn release_permit(&self, id: u64) {
        self.driver.permits().handle_release(self.clock.now(), id);
    }

    fn dump(&self) -> String {
        (self.dump)()
    }
}
