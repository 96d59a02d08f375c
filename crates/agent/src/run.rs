//! Runs one job: submits it to the engine or service, checks the response and relays it to the
//! entry.

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

/// The timeout for the response head of a claimed job. A claimed job runs to its end, so the caller's
/// deadline does not apply.
const CLAIMED_HEAD_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Added to the deadline of a job for the timeout of its response head. [`decision::agent`] enforces
/// the deadline itself.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// How many bytes of an error body are read before the rest is dropped.
const MAX_ERROR_BODY_BYTES: usize = 4 << 10;

/// One submission of a job, with the sink of its response.
pub(crate) struct JobRun<'a> {
    pub(crate) external: &'a ExternalServices,
    pub(crate) job: &'a Job,
    pub(crate) sink: &'a ResponseSink,
}

impl JobRun<'_> {
    /// Submits the job and returns its response once the head has arrived.
    pub(crate) async fn submit(
        &self,
        body: Bytes,
        left: Duration,
    ) -> Result<StreamingResponse, EngineResult> {
        let job = self.job;
        let submission = Submission {
            path: job.path.clone(),
            body,
            priority: job.priority,
            request: job.request.to_string(),
        };
        let timeout = match job.claim {
            Some(_) => CLAIMED_HEAD_TIMEOUT,
            None => left + DEADLINE_GRACE,
        };
        let response = match job.target {
            Target::Service(_) => self.external.service.call(submission, timeout).await,
            _ => self.external.engine.submit(submission, timeout).await,
        };
        response.map_err(|err| match err.kind {
            ErrorKind::Refused { status, message } => {
                EngineResult::Refused(Failure::Status { status, message })
            }
            _ if err.had_no_effect() => EngineResult::NotRun,
            _ => EngineResult::Incomplete(Failure::Truncated),
        })
    }

    /// Relays the response to the entry and returns how it ended.
    pub(crate) async fn relay(&self, response: StreamingResponse) -> EngineResult {
        let result = match self.job.target {
            Target::Service(_) => self.relay_service(response).await,
            _ if response.status >= 400 => Err(read_error(response).await),
            _ => self.relay_engine(response).await,
        };
        match result {
            Ok(()) => EngineResult::Complete,
            Err(failure) => EngineResult::Incomplete(failure),
        }
    }

    /// Relays the response of an engine, as far as it names the served name of the target.
    async fn relay_engine(&self, response: StreamingResponse) -> Result<(), Failure> {
        let served = self.job.target.served_name().clone();
        let mut check = ResponseCheck::new(served, &response.content_type);
        let mut body = response.body;
        let mut started = false;
        loop {
            let chunk = next_chunk(&mut body).await?;
            let is_last = chunk.is_none();
            let checked = match chunk {
                Some(data) => check.feed(&data)?,
                None => check.finish()?,
            };
            if let Some(data) = checked {
                if !started {
                    started = true;
                    let _ = self
                        .sink
                        .begin(response.status, &response.content_type)
                        .await;
                }
                self.send(data).await;
            }
            if is_last {
                return Ok(());
            }
        }
    }

    /// Relays the response of a service with its own status, also an error status.
    async fn relay_service(&self, response: StreamingResponse) -> Result<(), Failure> {
        let mut body = response.body;
        let _ = self
            .sink
            .begin(response.status, &response.content_type)
            .await;
        while let Some(data) = next_chunk(&mut body).await? {
            self.send(data).await;
        }
        Ok(())
    }

    /// Sends a chunk of the body to the entry. Errors are ignored: the driver reports a lost entry to
    /// the core, which decides whether the job continues.
    async fn send(&self, data: Bytes) {
        let _ = self.sink.chunk(data).await;
    }
}

async fn next_chunk(
    body: &mut BoxStream<'static, EdgeResult<Bytes>>,
) -> Result<Option<Bytes>, Failure> {
    match body.next().await {
        None => Ok(None),
        Some(Ok(data)) => Ok(Some(data)),
        Some(Err(_)) => Err(Failure::Truncated),
    }
}

async fn read_error(response: StreamingResponse) -> Failure {
    let mut body = response.body;
    let mut text = Vec::new();
    while let Some(Ok(data)) = body.next().await {
        text.extend_from_slice(&data);
        if text.len() >= MAX_ERROR_BODY_BYTES {
            break;
        }
    }
    Failure::Status {
        status: response.status,
        message: error_message(&text),
    }
}
