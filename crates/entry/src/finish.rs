//! The end of a request: the response, the request record and the stored outcome.

use std::time::Duration;

use decision::claim::MAX_STORED_BODY_BYTES;
use decision::claim::StoredOutcome;
use decision::claim::group::WriteResult;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::problem::Code;
use decision::problem::Problem;
use decision::problem::Ran;
use decision::request::Answer;
use spdlog::warn;

use crate::driver::Driver;
use crate::records::RequestState;
use crate::reply;
use crate::sse;

/// Attempts to store an outcome. If all fail, the claim row keeps naming the agent, which answers
/// settle calls as long as it runs.
const STORE_ATTEMPTS: u32 = 10;
/// Pause between two attempts to store an outcome.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Driver {
    /// Responds to the caller, then stores the outcome of a claimed request.
    pub(crate) async fn respond(&mut self, answer: Answer) {
        if self.request.claim().is_some()
            && let Some(dispatched) = self.dispatched.take()
        {
            dispatched.detach();
        }
        let to_store = match answer {
            Answer::Complete => self.respond_complete().await,
            Answer::Replay(stored) => {
                self.respond_stored(*stored);
                None
            }
            Answer::Failed(problem) => self.respond_problem(problem).await,
        };
        self.admission = None;
        if let Some((outcome, stored)) = to_store {
            self.store_outcome(outcome, stored).await;
        }
    }

    /// Ends a repeatable request whose caller has disconnected.
    pub(crate) fn abandon(&mut self) {
        let problem = Problem::new(Code::Cancelled, Ran::Unknown, "the caller went away");
        if let Some(guard) = self.take_open_attempt() {
            self.audit_loss(&guard.pick, true);
        }
        self.finish_record(problem.code.to_string(), RequestState::Failed(problem));
    }

    async fn respond_complete(&mut self) -> Option<(Outcome, Option<StoredOutcome>)> {
        let end = self.last_end.take()?;
        let receipt = reply::receipt(&self.request, &end);
        if self.response.is_streaming() {
            let final_events = sse::final_events(&receipt);
            self.relay.body.extend_from_slice(&final_events);
            self.response.send_chunk(final_events).await;
        } else {
            let (status, content_type) = (self.relay.status, &self.relay.content_type);
            let body = self.relay.body.clone().into();
            let mut response = reply::complete(status, content_type, body);
            reply::set_header(&mut response, reply::RECEIPT, &receipt);
            self.response.send_complete(response);
        }
        self.finish_record(
            "ok".to_owned(),
            RequestState::Done {
                receipt: receipt.clone(),
            },
        );
        self.request.claim()?;
        let body = std::mem::take(&mut self.relay.body);
        let stored = StoredOutcome {
            outcome: Outcome::Ran,
            status: self.relay.status,
            content: self.relay.content_type.clone(),
            body: String::from_utf8(body)
                .ok()
                .filter(|body| body.len() <= MAX_STORED_BODY_BYTES),
            receipt: Some(receipt),
        };
        Some((Outcome::Ran, Some(stored)))
    }

    fn respond_stored(&mut self, stored: StoredOutcome) {
        let body = stored.body.unwrap_or_default();
        self.audit_replay(body.as_bytes());
        let mut response = reply::complete(stored.status, &stored.content, body.into());
        let receipt = stored.receipt.unwrap_or_default();
        reply::set_header(&mut response, reply::RECEIPT, &receipt);
        reply::set_header(&mut response, reply::REPLAYED, "true");
        self.response.send_complete(response);
        self.finish_record("replayed".to_owned(), RequestState::Done { receipt });
    }

    async fn respond_problem(
        &mut self,
        problem: Problem,
    ) -> Option<(Outcome, Option<StoredOutcome>)> {
        if self.response.is_streaming() {
            self.response.send_chunk(sse::error_event(&problem)).await;
        } else {
            self.response.send_complete(reply::problem(&problem));
        }
        if !self.attempt_recorded {
            self.audit_refusal(&problem);
        }
        let ran = problem.ran;
        self.finish_record(problem.code.to_string(), RequestState::Failed(problem));
        self.request.claim()?;
        match ran {
            Ran::Yes => Some((Outcome::Ran, None)),
            Ran::No => Some((Outcome::NotRun(Refusal::Settled), None)),
            Ran::Unknown => None,
        }
    }

    fn finish_record(&mut self, code: String, state: RequestState) {
        let shared = &self.shared;
        let now = shared.clock.now();
        shared
            .metrics
            .record_request(&code, now.since(self.arrived));
        if let Some(first_chunk_at) = self.relay.first_chunk_at {
            let elapsed = first_chunk_at.since(self.arrived).as_secs_f64();
            shared.metrics.first_byte.observe(elapsed);
        }
        let spec = self.request.spec();
        let workspace = &spec.resolved.route.workspace;
        let mut accounting = shared.accounting();
        accounting
            .records
            .set_state(workspace, &self.id, spec.request, state);
    }

    /// Writes the outcome to the claim row, if this request owns the row.
    async fn store_outcome(&self, outcome: Outcome, stored: Option<StoredOutcome>) {
        let (Some((version, row)), Some(key)) =
            (self.request.record(outcome, stored), self.claim_row_key())
        else {
            return;
        };
        for _ in 0..STORE_ATTEMPTS {
            let write = self
                .shared
                .committer
                .write(key.clone(), version, row.clone());
            match write.await {
                // On a conflict, an earlier attempt or the agent has written the row.
                WriteResult::Committed(_) | WriteResult::Conflict => return,
                WriteResult::NotSent | WriteResult::Unknown => {
                    tokio::time::sleep(STORE_RETRY_INTERVAL).await;
                }
            }
        }
        warn!("failed to store the outcome in claim row {key}");
    }
}
