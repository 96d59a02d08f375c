//! The end of a request: the answer, the record and the stored outcome.

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

use crate::drive::Driver;
use crate::records::State;
use crate::reply;
use crate::sse;

/// The tries to store an outcome. Without it the row keeps naming the agent, which still answers a
/// settle as long as it runs.
const STORE_TRIES: u32 = 10;
/// The pause between two tries.
const STORE_PAUSE: Duration = Duration::from_millis(500);

impl Driver {
    /// Answers the caller, then stores the outcome of a claimed request.
    pub(crate) async fn answer(&mut self, answer: Answer) {
        if self.request.claim().is_some()
            && let Some(flight) = self.flight.take()
        {
            flight.detach();
        }
        let store = match answer {
            Answer::Complete => self.answer_whole().await,
            Answer::Replay(stored) => {
                self.answer_stored(*stored);
                None
            }
            Answer::Failed(problem) => self.answer_problem(problem).await,
        };
        self.admitted = None;
        if let Some((outcome, answer)) = store {
            self.store(outcome, answer).await;
        }
    }

    /// Ends a repeatable request whose caller is gone.
    pub(crate) fn abandon(&mut self) {
        let problem = Problem::new(Code::Cancelled, Ran::Unknown, "the caller went away");
        if let Some(placed) = self.close_attempt() {
            self.record_loss(&placed.pick, true);
        }
        self.close(problem.code.to_string(), State::Failed(problem));
    }

    async fn answer_whole(&mut self) -> Option<(Outcome, Option<StoredOutcome>)> {
        let end = self.end.take()?;
        let receipt = reply::receipt(&self.request, &end);
        if self.outlet.is_streaming() {
            let finale = sse::final_events(&receipt);
            self.relay.body.extend_from_slice(&finale);
            self.outlet.send(finale).await;
        } else {
            let (status, content) = (self.relay.status, &self.relay.content);
            let body = self.relay.body.clone().into();
            let mut response = reply::full(status, content, body);
            reply::set_header(&mut response, reply::RECEIPT, &receipt);
            self.outlet.whole(response);
        }
        self.close(
            "ok".to_owned(),
            State::Done {
                receipt: receipt.clone(),
            },
        );
        self.request.claim()?;
        let body = std::mem::take(&mut self.relay.body);
        let stored = StoredOutcome {
            outcome: Outcome::Ran,
            status: self.relay.status,
            content: self.relay.content.clone(),
            body: String::from_utf8(body)
                .ok()
                .filter(|body| body.len() <= MAX_STORED_BODY_BYTES),
            receipt: Some(receipt),
        };
        Some((Outcome::Ran, Some(stored)))
    }

    fn answer_stored(&mut self, stored: StoredOutcome) {
        let body = stored.body.unwrap_or_default();
        self.record_replay(body.as_bytes());
        let mut response = reply::full(stored.status, &stored.content, body.into());
        let receipt = stored.receipt.unwrap_or_default();
        reply::set_header(&mut response, reply::RECEIPT, &receipt);
        reply::set_header(&mut response, reply::REPLAYED, "true");
        self.outlet.whole(response);
        self.close("replayed".to_owned(), State::Done { receipt });
    }

    async fn answer_problem(
        &mut self,
        problem: Problem,
    ) -> Option<(Outcome, Option<StoredOutcome>)> {
        if self.outlet.is_streaming() {
            self.outlet.send(sse::error_event(&problem)).await;
        } else {
            self.outlet.whole(reply::problem(&problem));
        }
        if !self.recorded {
            self.record_refusal(&problem);
        }
        let ran = problem.ran;
        self.close(problem.code.to_string(), State::Failed(problem));
        self.request.claim()?;
        match ran {
            Ran::Yes => Some((Outcome::Ran, None)),
            Ran::No => Some((Outcome::NotRun(Refusal::Settled), None)),
            Ran::Unknown => None,
        }
    }

    fn close(&mut self, code: String, state: State) {
        let shared = &self.shared;
        let now = shared.clock.now();
        shared.metrics.answered(&code, now.since(self.arrived));
        if let Some(first) = self.relay.first {
            let took = first.since(self.arrived).as_secs_f64();
            shared.metrics.first_byte.observe(took);
        }
        let arrival = self.request.spec();
        let workspace = &arrival.resolved.route.workspace;
        let mut book = shared.book();
        book.records
            .set(workspace, &self.id, arrival.request, state);
    }

    /// Records the outcome in the claim row, if the row is this request's.
    async fn store(&self, outcome: Outcome, answer: Option<StoredOutcome>) {
        let (Some((version, row)), Some(key)) =
            (self.request.record(outcome, answer), self.row_key())
        else {
            return;
        };
        for _ in 0..STORE_TRIES {
            let write = self
                .shared
                .committer
                .write(key.clone(), version, row.clone());
            match write.await {
                // A row of another version was written by an earlier try or by the agent.
                WriteResult::Committed(_) | WriteResult::Conflict => return,
                WriteResult::NotSent | WriteResult::Unknown => {
                    tokio::time::sleep(STORE_PAUSE).await;
                }
            }
        }
        warn!("outcome of {key} could not be stored");
    }
}
