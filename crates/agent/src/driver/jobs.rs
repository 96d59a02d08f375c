//! The jobs of an agent: their runs at the engine, and how their ends reach the entry.

use std::sync::Arc;
use std::time::Duration;

use decision::agent::EngineResult;
use decision::agent::Event;
use decision::agent::JobEnd;
use decision::job::End;
use decision::job::Failure;
use decision::job::Outcome;
use decision::ledger::AttemptKey;
use wire::ResponseSink;

use crate::run::JobRun;

use super::DispatchedJob;
use super::Driver;
use super::State;

/// How long the agent waits for the entry to receive the end of an attempt. The wait ends early if
/// the connection is lost. Without it, a caller that reads slowly would lose the last part of its
/// response when the agent stops.
const END_DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);

impl Driver {
    pub(super) fn submit(self: &Arc<Self>, state: &State, key: AttemptKey) {
        let Some(dispatched) = state.jobs.get(&key).cloned() else {
            return;
        };
        let driver = self.clone();
        self.spawn_call(async move {
            let result = driver.run(key, &dispatched).await;
            Event::AttemptEnded(key, result)
        });
    }

    /// Runs a job until it ends or is aborted. Dropping the response closes its connection, which
    /// cancels the request at the engine.
    async fn run(self: &Arc<Self>, key: AttemptKey, dispatched: &DispatchedJob) -> EngineResult {
        let run = JobRun {
            external: &self.external,
            job: &dispatched.job,
            sink: &dispatched.sink,
        };
        let waited = self.clock.now().since(dispatched.arrived_at);
        let left = dispatched.job.left.saturating_sub(waited);
        let work = async {
            let response = match run.submit(dispatched.body.clone(), left).await {
                Ok(response) => response,
                Err(result) => return result,
            };
            self.handle_event(Event::ResponseStarted(key));
            run.relay(response).await
        };
        tokio::select! {
            biased;
            () = dispatched.abort.cancelled() => EngineResult::Incomplete(Failure::Truncated),
            result = work => result,
        }
    }

    /// Reports a lost connection to the entry as long as the job has not ended.
    pub(super) fn watch_sink(self: &Arc<Self>, key: AttemptKey, dispatched: &DispatchedJob) {
        let (sink, ended) = (dispatched.sink.clone(), dispatched.ended.clone());
        let driver = self.clone();
        self.spawn(async move {
            tokio::select! {
                () = sink.closed() => driver.handle_event(Event::SinkBroken(key)),
                () = ended.cancelled() => {}
            }
        });
    }

    pub(super) fn end_job(self: &Arc<Self>, state: &mut State, job_end: JobEnd) {
        let Some(dispatched) = state.jobs.remove(&job_end.key) else {
            return;
        };
        dispatched.ended.cancel();
        self.metrics.record_stall(job_end.stall);
        let end = self.attempt_end(
            job_end.outcome,
            job_end.failure,
            job_end.stall,
            job_end.after,
        );
        let claimed = dispatched.job.row.is_some();
        let driver = self.clone();
        self.spawn(async move {
            driver.record_end(
                &dispatched.job,
                &end,
                dispatched.arrived_unix_ms,
                &dispatched.body,
            );
            let delivered = deliver(dispatched.sink, end).await;
            if claimed {
                driver.handle_event(Event::Delivered(job_end.key, delivered));
            }
        });
    }

    /// Ends a dispatch that was refused or repeats an earlier one.
    pub(super) fn end_unaccepted(
        self: &Arc<Self>,
        pending: &mut Option<DispatchedJob>,
        outcome: Outcome,
        after: Option<Duration>,
    ) {
        let Some(dispatched) = pending.take() else {
            return;
        };
        // The audit record and the response of a repeated attempt belong to its first dispatch.
        // Here it ends with a failure, because an end without one would make the empty response
        // look complete.
        let is_refused = matches!(outcome, Outcome::NotRun(_));
        let failure = (!is_refused).then_some(Failure::Truncated);
        let end = self.attempt_end(outcome, failure, Duration::ZERO, after);
        let driver = self.clone();
        self.spawn(async move {
            if is_refused {
                driver.record_end(
                    &dispatched.job,
                    &end,
                    dispatched.arrived_unix_ms,
                    &dispatched.body,
                );
            }
            deliver(dispatched.sink, end).await;
        });
    }

    fn attempt_end(
        &self,
        outcome: Outcome,
        failure: Option<Failure>,
        stall: Duration,
        after: Option<Duration>,
    ) -> End {
        End {
            outcome,
            failure,
            incarnation: self.identity.incarnation,
            endpoint: self.identity.name.clone(),
            stall,
            chunks: 0,
            after,
        }
    }
}

/// Sends the end and waits until the entry has received it. Returns whether the connection was open
/// when the end was sent and the wait did not time out.
async fn deliver(sink: ResponseSink, end: End) -> bool {
    let delivery = async {
        let is_open = sink.end(end).await.is_ok();
        sink.closed().await;
        is_open
    };
    tokio::time::timeout(END_DELIVERY_TIMEOUT, delivery)
        .await
        .unwrap_or(false)
}
