//! The execution of submissions.

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

use super::answer::Body;
use super::answer::Form;
use super::answer::Template;
use super::cache::prefix_hash;
use super::core::Core;
use super::record::Execution;
use super::record::ExecutionEnd;
use super::record::Place;
use crate::faults::take;
use crate::reply;
use crate::reply::ConnectionClosed;
use crate::reply::Reply;

/// The faults of loads and executions to come.
#[derive(Default)]
pub(super) struct RunFaults {
    loads: AtomicU32,
    wrong: Mutex<(String, u32)>,
    truncation: Mutex<(u32, u32)>,
    early_end: Mutex<(u32, u32)>,
    rejection: Mutex<(u16, u32)>,
}

impl RunFaults {
    pub(super) fn set_failing_loads(&self, count: u32) {
        self.loads.store(count, Ordering::SeqCst);
    }

    pub(super) fn set_wrong_name(&self, model: &str, count: u32) {
        set(&self.wrong, model.to_owned(), count);
    }

    pub(super) fn set_truncation(&self, tokens: u32, count: u32) {
        set(&self.truncation, tokens, count);
    }

    pub(super) fn set_early_end(&self, tokens: u32, count: u32) {
        set(&self.early_end, tokens, count);
    }

    pub(super) fn set_rejection(&self, status: u16, count: u32) {
        set(&self.rejection, status, count);
    }

    pub(super) fn fails_load(&self) -> bool {
        take(&self.loads)
    }
}

fn set<T>(fault: &Mutex<(T, u32)>, value: T, count: u32) {
    *fault.lock().expect("no panic under this lock") = (value, count);
}

fn next<T: Clone>(fault: &Mutex<(T, u32)>) -> Option<T> {
    let mut fault = fault.lock().expect("no panic under this lock");
    fault.1 = fault.1.checked_sub(1)?;
    Some(fault.0.clone())
}

/// The end of an answer.
#[derive(Clone, Copy)]
enum Ending {
    Whole,
    Truncated(u32),
    Early(u32),
}

impl Core {
    pub(super) async fn submit(self: Arc<Self>, request: Request<Bytes>, form: Form) -> Reply {
        let header = |name| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header("x-request-id");
        let priority = header("x-priority");
        let body: Body = match serde_json::from_slice(request.body()) {
            Ok(body) => body,
            Err(e) => return reply::malformed(&e),
        };
        if let Some(status) = next(&self.run_faults.rejection) {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            return reply::error(status, "rejected by a fault switch");
        }
        let Some(mut run) = Run::begin(self.clone(), id, priority, &body).await else {
            return missing(&body.model);
        };
        run.prefill(&body).await;
        let model = next(&self.run_faults.wrong).unwrap_or_else(|| body.model.clone());
        let marker = if body.marker.is_empty() {
            &run.request
        } else {
            &body.marker
        };
        let template = Template::new(form, &run.request, &model, marker);
        let ending = self.ending();
        if body.stream {
            return stream_answer(run, template, body.tokens(), ending);
        }
        whole_answer(run, template, body.tokens(), ending).await
    }

    fn ending(&self) -> Ending {
        if let Some(tokens) = next(&self.run_faults.truncation) {
            return Ending::Truncated(tokens);
        }
        next(&self.run_faults.early_end).map_or(Ending::Whole, Ending::Early)
    }

    fn has(&self, model: &str) -> bool {
        model == self.config.model || self.lock().slots.get(model).is_some_and(|s| s.resident)
    }
}

/// A sequence in the batch. Dropping it frees its place; unless it has ended, it was cancelled.
struct Run {
    core: Arc<Core>,
    request: String,
    model: String,
    epoch: u64,
    place: Option<Place>,
    tokens: u32,
    due: Instant,
    end: ExecutionEnd,
}

impl Run {
    /// Waits for a place in the batch; returns nothing if the model is not there.
    async fn begin(core: Arc<Core>, request: String, priority: String, body: &Body) -> Option<Run> {
        if !core.has(&body.model) {
            return None;
        }
        let waiting = Waiting::begin(&core);
        core.batch
            .acquire()
            .await
            .expect("the semaphore is never closed")
            .forget();
        drop(waiting);
        let mut run = Run {
            request,
            model: body.model.clone(),
            epoch: 0,
            place: None,
            tokens: 0,
            due: Instant::now(),
            end: ExecutionEnd::Cancelled,
            core,
        };
        run.enter();
        // The adapter may have been unloaded while the request waited.
        if !run.core.has(&run.model) {
            return None;
        }
        if run.core.config.record_executions {
            run.place = Some(run.record(priority, body));
        }
        Some(run)
    }

    fn record(&self, priority: String, body: &Body) -> Place {
        self.core.log.begin_run(Execution {
            request: self.request.clone(),
            marker: body.marker.clone(),
            priority,
            model: self.model.clone(),
            tokens: 0,
            end: ExecutionEnd::Running,
            started: self.core.log.now(),
            ended: None,
        })
    }

    /// Counts the sequence as running.
    fn enter(&mut self) {
        let epoch = &mut self.epoch;
        let model = &self.model;
        self.core.count(|state| {
            *epoch = state.epoch;
            state.running += 1;
            if let Some(slot) = state.slots.get_mut(model) {
                slot.running += 1;
            }
        });
    }

    async fn prefill(&mut self, body: &Body) {
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
        self.due = Instant::now();
    }

    /// Generates one token.
    async fn step(&mut self) {
        let step = self.core.config.token_interval;
        if !step.is_zero() {
            self.due += step;
            sleep_until(self.due).await;
        }
        self.core.http_faults.thaw().await;
        self.tokens += 1;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut end = self.end;
        self.core.count(|state| {
            state.running -= 1;
            if state.epoch != self.epoch {
                end = ExecutionEnd::Lost;
                return;
            }
            if let Some(slot) = state.slots.get_mut(&self.model) {
                slot.running = slot.running.saturating_sub(1);
            }
        });
        if let Some(place) = self.place {
            self.core.log.end_run(place, end, self.tokens);
        }
        self.core.batch.add_permits(1);
    }
}

/// A request that waits for a place in the batch.
struct Waiting<'a>(&'a Core);

impl<'a> Waiting<'a> {
    fn begin(core: &'a Core) -> Waiting<'a> {
        core.count(|state| state.waiting += 1);
        Waiting(core)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.count(|state| state.waiting -= 1);
    }
}

fn missing(model: &str) -> Reply {
    reply::error(
        StatusCode::NOT_FOUND,
        &format!("the model `{model}` does not exist"),
    )
}

/// Lets hyper send the pieces so far, which it discards when the body fails.
async fn flushed() {
    tokio::task::yield_now().await;
}

async fn whole_answer(mut run: Run, template: Template, tokens: u32, ending: Ending) -> Reply {
    for _ in 0..tokens {
        run.step().await;
    }
    let answer = template.whole(tokens);
    if let Ending::Truncated(_) = ending {
        run.end = ExecutionEnd::Truncated;
        let half = answer.slice(..answer.len() / 2);
        let piece = stream::iter([Ok(Frame::data(half))]);
        let cut = stream::once(flushed().map(|()| Err(ConnectionClosed)));
        let body = StreamBody::new(piece.chain(cut)).boxed_unsync();
        return reply::with_body(StatusCode::OK, "application/json", body);
    }
    run.end = ExecutionEnd::Completed;
    reply::full(StatusCode::OK, "application/json", answer)
}

fn stream_answer(run: Run, template: Template, tokens: u32, ending: Ending) -> Reply {
    let limit = match ending {
        Ending::Whole => tokens,
        Ending::Truncated(at) | Ending::Early(at) => at.min(tokens),
    };
    let source = Source {
        run,
        template,
        limit,
        ending,
    };
    let pieces = stream::unfold(Some(source), |source| async {
        let mut source = source?;
        let (piece, more) = source.piece().await?;
        Some((piece.map(Frame::data), more.then_some(source)))
    });
    reply::with_body(
        StatusCode::OK,
        "text/event-stream",
        StreamBody::new(pieces).boxed_unsync(),
    )
}

/// A streaming answer in progress.
struct Source {
    run: Run,
    template: Template,
    limit: u32,
    ending: Ending,
}

impl Source {
    /// Returns the next piece and whether there are more; nothing for an early end.
    async fn piece(&mut self) -> Option<(Result<Bytes, ConnectionClosed>, bool)> {
        if self.run.tokens < self.limit {
            let index = self.run.tokens;
            self.run.step().await;
            return Some((Ok(self.template.piece(index)), true));
        }
        match self.ending {
            Ending::Whole => {
                self.run.end = ExecutionEnd::Completed;
                Some((Ok(self.template.last()), false))
            }
            Ending::Truncated(_) => {
                self.run.end = ExecutionEnd::Truncated;
                flushed().await;
                Some((Err(ConnectionClosed), false))
            }
            Ending::Early(_) => {
                self.run.end = ExecutionEnd::Truncated;
                None
            }
        }
    }
}
