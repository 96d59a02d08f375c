//! One job at the engine or service: submission, checks, and the stream to the entry.

use std::time::Duration;

use bytes::Bytes;
use decision::agent::EngineResult;
use decision::job::Failure;
use decision::job::Job;
use decision::job::Target;
use edges::EdgeResult;
use edges::ErrorKind;
use edges::engine::StreamingResponse;
use edges::engine::Submission;
use futures::StreamExt;
use futures::stream::BoxStream;
use wire::ResponseSink;

use crate::check::ResponseCheck;
use crate::check::error_message;
use crate::external::ExternalServices;

/// The time within which the head of an answer to a claimed job has to arrive. Claimed work runs to
/// its end, so the caller's deadline does not apply.
const CLAIMED_TIMEOUT: Duration = Duration::from_secs(3_600);

/// The time beyond the deadline after which a silent call ends by itself; the deadline is enforced
/// by [`decision::agent`].
const GRACE: Duration = Duration::from_secs(5);

/// The largest error body that is read, in bytes.
const ERROR_LIMIT: usize = 4 << 10;

/// One submission.
pub(crate) struct Run<'a> {
    pub(crate) external: &'a ExternalServices,
    pub(crate) job: &'a Job,
    pub(crate) sink: &'a ResponseSink,
}

impl Run<'_> {
    /// Submits the job; returns its answer once the head has arrived.
    pub(crate) async fn submit(
        &self,
        body: Bytes,
        left: Duration,
    ) -> Result<StreamingResponse, EngineResult> {
        let job = self.job;
        let work = Submission {
            path: job.path.clone(),
            body,
            priority: job.priority,
            request: job.request.to_string(),
        };
        let timeout = match job.claim {
            Some(_) => CLAIMED_TIMEOUT,
            None => left + GRACE,
        };
        let answer = match job.target {
            Target::Service(_) => self.external.service.call(work, timeout).await,
            _ => self.external.engine.submit(work, timeout).await,
        };
        answer.map_err(|err| match err.kind {
            ErrorKind::Refused { status, message } => {
                EngineResult::Refused(Failure::Status { status, message })
            }
            _ if err.had_no_effect() => EngineResult::NotRun,
            _ => EngineResult::Incomplete(Failure::Truncated),
        })
    }

    /// Passes the answer on and returns how it ended.
    pub(crate) async fn relay(&self, answer: StreamingResponse) -> EngineResult {
        let result = match self.job.target {
            Target::Service(_) => self.relay_service(answer).await,
            _ if answer.status >= 400 => Err(read_error(answer).await),
            _ => self.relay_engine(answer).await,
        };
        match result {
            Ok(()) => EngineResult::Complete,
            Err(failure) => EngineResult::Incomplete(failure),
        }
    }

    /// Passes on what an engine answers as far as it names the served name.
    async fn relay_engine(&self, answer: StreamingResponse) -> Result<(), Failure> {
        let served = self.job.target.served_name().clone();
        let mut check = ResponseCheck::new(served, &answer.content_type);
        let mut body = answer.body;
        let mut begun = false;
        loop {
            let next = next_piece(&mut body).await?;
            let last = next.is_none();
            let passed = match next {
                Some(data) => check.feed(&data)?,
                None => check.finish()?,
            };
            if let Some(data) = passed {
                if !begun {
                    begun = true;
                    let _ = self.sink.begin(answer.status, &answer.content_type).await;
                }
                self.send(data).await;
            }
            if last {
                return Ok(());
            }
        }
    }

    /// Passes on what a plain service answers; its status is its own word to the caller.
    async fn relay_service(&self, answer: StreamingResponse) -> Result<(), Failure> {
        let mut body = answer.body;
        let _ = self.sink.begin(answer.status, &answer.content_type).await;
        while let Some(data) = next_piece(&mut body).await? {
            self.send(data).await;
        }
        Ok(())
    }

    /// Sends a piece to the entry. If the entry is gone, the core decides whether the job goes on,
    /// so the error is of no concern here.
    async fn send(&self, data: Bytes) {
        let _ = self.sink.chunk(data).await;
    }
}

async fn next_piece(
    body: &mut BoxStream<'static, EdgeResult<Bytes>>,
) -> Result<Option<Bytes>, Failure> {
    match body.next().await {
        None => Ok(None),
        Some(Ok(data)) => Ok(Some(data)),
        Some(Err(_)) => Err(Failure::Truncated),
    }
}

async fn read_error(answer: StreamingResponse) -> Failure {
    let mut body = answer.body;
    let mut text = Vec::new();
    while let Some(Ok(data)) = body.next().await {
        text.extend_from_slice(&data);
        if text.len() >= ERROR_LIMIT {
            break;
        }
    }
    Failure::Status {
        status: answer.status,
        message: error_message(&text),
    }
}
