//! Execution of submitted requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Frame;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::cache::prefix_hash;
use super::core::Core;
use super::record::EntryId;
use super::record::Execution;
use super::record::ExecutionEnd;
use super::response::Api;
use super::response::RequestBody;
use super::response::ResponseTemplate;
use crate::faults::take_fault;
use crate::reply;
use crate::reply::ConnectionClosed;
use crate::reply::Reply;

/// Injected faults of loads and executions. Each has a count of remaining uses.
#[derive(Default)]
pub(super) struct EngineFaults {
    failing_loads: AtomicU32,
    wrong_model: Mutex<(String, u32)>,
    truncation: Mutex<(u32, u32)>,
    early_end: Mutex<(u32, u32)>,
    rejection: Mutex<(u16, u32)>,
}

impl EngineFaults {
    pub(super) fn set_failing_loads(&self, count: u32) {
        self.failing_loads.store(count, Ordering::SeqCst);
    }

    pub(super) fn set_wrong_model(&self, model: &str, count: u32) {
        set_counted(&self.wrong_model, model.to_owned(), count);
    }

    pub(super) fn set_truncation(&self, tokens: u32, count: u32) {
        set_counted(&self.truncation, tokens, count);
    }

    pub(super) fn set_early_end(&self, tokens: u32, count: u32) {
        set_counted(&self.early_end, tokens, count);
    }

    pub(super) fn set_rejection(&self, status: u16, count: u32) {
        set_counted(&self.rejection, status, count);
    }

    pub(super) fn take_failing_load(&self) -> bool {
        take_fault(&self.failing_loads)
    }
}

fn set_counted<T>(fault: &Mutex<(T, u32)>, value: T, count: u32) {
    *fault.lock().expect("no panic under this lock") = (value, count);
}

fn take_counted<T: Clone>(fault: &Mutex<(T, u32)>) -> Option<T> {
    let mut fault = fault.lock().expect("no panic under this lock");
    fault.1 = fault.1.checked_sub(1)?;
    Some(fault.0.clone())
}

/// How a response ends. The numbers are the tokens after which a fault ends it.
#[derive(Clone, Copy)]
enum Ending {
    Complete,
    Truncated(u32),
    EarlyEnd(u32),
}

impl Core {
    pub(super) async fn submit(self: Arc<Self>, request: Request<Bytes>, api: Api) -> Reply {
        let header = |name| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header("x-request-id");
        let priority = header("x-priority");
        let body: RequestBody = match serde_json::from_slice(request.body()) {
            Ok(body) => body,
            Err(e) => return reply::malformed(&e),
        };
        if let Some(status) = take_counted(&self.engine_faults.rejection) {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            return reply::error(status, "rejected by fault injection");
        }
        let Some(mut sequence) = Sequence::admit(self.clone(), id, priority, &body).await else {
            return model_not_found(&body.model);
        };
        sequence.prefill(&body).await;
        let model =
            take_counted(&self.engine_faults.wrong_model).unwrap_or_else(|| body.model.clone());
        let marker = if body.marker.is_empty() {
            &sequence.request
        } else {
            &body.marker
        };
        let template = ResponseTemplate::new(api, &sequence.request, &model, marker);
        let ending = self.ending();
        if body.stream {
            return stream_response(sequence, template, body.tokens(), ending);
        }
        full_response(sequence, template, body.tokens(), ending).await
    }

    fn ending(&self) -> Ending {
        if let Some(tokens) = take_counted(&self.engine_faults.truncation) {
            return Ending::Truncated(tokens);
        }
        take_counted(&self.engine_faults.early_end).map_or(Ending::Complete, Ending::EarlyEnd)
    }

    fn is_available(&self, model: &str) -> bool {
        model == self.config.model || self.lock().slots.get(model).is_some_and(|s| s.resident)
    }
}

/// A sequence in the batch. Dropping it releases its batch permit and records how it ended; a
/// sequence dropped before its end counts as cancelled.
struct Sequence {
    core: Arc<Core>,
    request: String,
    model: String,
    epoch: u64,
    entry: Option<EntryId>,
    tokens: u32,
    next_token_at: Instant,
    end: ExecutionEnd,
}

impl Sequence {
    /// Waits for room in the batch. Returns `None` if the model is not available.
    async fn admit(
        core: Arc<Core>,
        request: String,
        priority: String,
        body: &RequestBody,
    ) -> Option<Sequence> {
        if !core.is_available(&body.model) {
            return None;
        }
        let queued = QueuedRequest::begin(&core);
        core.batch
            .acquire()
            .await
            .expect("the semaphore is never closed")
            .forget();
        drop(queued);
        let mut sequence = Sequence {
            request,
            model: body.model.clone(),
            epoch: 0,
            entry: None,
            tokens: 0,
            next_token_at: Instant::now(),
            end: ExecutionEnd::Cancelled,
            core,
        };
        sequence.count_running();
        // The adapter may have been unloaded while the request waited.
        if !sequence.core.is_available(&sequence.model) {
            return None;
        }
        if sequence.core.config.record_executions {
            sequence.entry = Some(sequence.record(priority, body));
        }
        Some(sequence)
    }

    fn record(&self, priority: String, body: &RequestBody) -> EntryId {
        self.core.recorder.begin_execution(Execution {
            request: self.request.clone(),
            marker: body.marker.clone(),
            priority,
            model: self.model.clone(),
            tokens: 0,
            end: ExecutionEnd::Running,
            started: self.core.recorder.now(),
            ended: None,
        })
    }

    /// Counts the sequence as running, in total and on its adapter.
    fn count_running(&mut self) {
        let epoch = &mut self.epoch;
        let model = &self.model;
        self.core.update_counts(|state| {
            *epoch = state.epoch;
            state.running += 1;
            if let Some(slot) = state.slots.get_mut(model) {
                slot.running += 1;
            }
        });
    }

    async fn prefill(&mut self, body: &RequestBody) {
        let config = &self.core.config;
        let mut time = config.prefill_time;
        if config.prefix_capacity > 0 {
            let prefix = prefix_hash(&self.model, &body.text());
            let now = Instant::now();
            if self
                .core
                .lock()
                .cache
                .touch(prefix, config.prefix_capacity, now)
            {
                time = config.cached_prefill_time;
            }
        }
        if !time.is_zero() {
            sleep(time).await;
        }
        self.next_token_at = Instant::now();
    }

    /// Waits for the time of the next token and counts it.
    async fn generate_token(&mut self) {
        let interval = self.core.config.token_interval;
        if !interval.is_zero() {
            self.next_token_at += interval;
            sleep_until(self.next_token_at).await;
        }
        self.core.http_faults.wait_unfrozen().await;
        self.tokens += 1;
    }
}

impl Drop for Sequence {
    fn drop(&mut self) {
        let mut end = self.end;
        self.core.update_counts(|state| {
            state.running -= 1;
            if state.epoch != self.epoch {
                end = ExecutionEnd::Lost;
                return;
            }
            if let Some(slot) = state.slots.get_mut(&self.model) {
                slot.running = slot.running.saturating_sub(1);
            }
        });
        if let Some(entry) = self.entry {
            self.core.recorder.end_execution(entry, end, self.tokens);
        }
        self.core.batch.add_permits(1);
    }
}

/// Counts a request as waiting for the batch until it is dropped.
struct QueuedRequest<'a>(&'a Core);

impl<'a> QueuedRequest<'a> {
    fn begin(core: &'a Core) -> QueuedRequest<'a> {
        core.update_counts(|state| state.waiting += 1);
        QueuedRequest(core)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.0.update_counts(|state| state.waiting -= 1);
    }
}

fn model_not_found(model: &str) -> Reply {
    reply::error(
        StatusCode::NOT_FOUND,
        &format!("the model `{model}` does not exist"),
    )
}

/// Yields so that hyper sends the chunks so far; it discards unsent ones when the body fails.
async fn yield_to_flush() {
    tokio::task::yield_now().await;
}

async fn full_response(
    mut sequence: Sequence,
    template: ResponseTemplate,
    tokens: u32,
    ending: Ending,
) -> Reply {
    for _ in 0..tokens {
        sequence.generate_token().await;
    }
    let body = template.full_body(tokens);
    if let Ending::Truncated(_) = ending {
        sequence.end = ExecutionEnd::Truncated;
        let half = body.slice(..body.len() / 2);
        let chunk = stream::iter([Ok(Frame::data(half))]);
        let close = stream::once(yield_to_flush().map(|()| Err(ConnectionClosed)));
        let body = StreamBody::new(chunk.chain(close)).boxed_unsync();
        return reply::with_body(StatusCode::OK, "application/json", body);
    }
    sequence.end = ExecutionEnd::Completed;
    reply::full(StatusCode::OK, "application/json", body)
}

fn stream_response(
    sequence: Sequence,
    template: ResponseTemplate,
    tokens: u32,
    ending: Ending,
) -> Reply {
    let limit = match ending {
        Ending::Complete => tokens,
        Ending::Truncated(at) | Ending::EarlyEnd(at) => at.min(tokens),
    };
    let response = ResponseStream {
        sequence,
        template,
        limit,
        ending,
    };
    let chunks = stream::unfold(Some(response), |response| async {
        let mut response = response?;
        let (chunk, more) = response.next_chunk().await?;
        Some((chunk.map(Frame::data), more.then_some(response)))
    });
    reply::with_body(
        StatusCode::OK,
        "text/event-stream",
        StreamBody::new(chunks).boxed_unsync(),
    )
}

/// A streamed response in progress.
struct ResponseStream {
    sequence: Sequence,
    template: ResponseTemplate,
    limit: u32,
    ending: Ending,
}

impl ResponseStream {
    /// Returns the next chunk and whether more follow, or `None` if a fault ends the stream early.
    async fn next_chunk(&mut self) -> Option<(Result<Bytes, ConnectionClosed>, bool)> {
        if self.sequence.tokens < self.limit {
            let index = self.sequence.tokens;
            self.sequence.generate_token().await;
            return Some((Ok(self.template.chunk(index)), true));
        }
        match self.ending {
            Ending::Complete => {
                self.sequence.end = ExecutionEnd::Completed;
                Some((Ok(self.template.final_chunk()), false))
            }
            Ending::Truncated(_) => {
                self.sequence.end = ExecutionEnd::Truncated;
                yield_to_flush().await;
                Some((Err(ConnectionClosed), false))
            }
            Ending::EarlyEnd(_) => {
                self.sequence.end = ExecutionEnd::Truncated;
                None
            }
        }
    }
}
