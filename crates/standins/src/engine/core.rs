//! The state of an engine and the routing of its HTTP requests.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use edges::engine::EngineLoad;
use edges::engine::ModelEntry;
use edges::engine::ModelList;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::EngineConfig;
use super::cache::Cache;
use super::execution::EngineFaults;
use super::record::Recorder;
use super::response::Api;
use crate::FaultInjector;
use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;

pub(super) struct Core {
    pub(super) config: EngineConfig,
    pub(super) weights: Option<edges::http::Client>,
    pub(super) http_faults: Arc<FaultInjector>,
    pub(super) engine_faults: EngineFaults,
    pub(super) batch: Semaphore,
    pub(super) loads: Mutex<Loads>,
    pub(super) recorder: Recorder,
    state: Mutex<State>,
}

/// The load tasks spawned since the last restart.
#[derive(Default)]
pub(super) struct Loads {
    pub(super) cancel: CancellationToken,
    pub(super) tasks: TaskTracker,
}

/// An adapter slot in use.
pub(super) struct Slot {
    pub(super) digest: String,
    /// False while the adapter is loading.
    pub(super) resident: bool,
    pub(super) running: u32,
}

#[derive(Default)]
pub(super) struct State {
    /// Incremented by each restart, so that loads and sequences detect that they began before it.
    pub(super) epoch: u64,
    pub(super) slots: BTreeMap<String, Slot>,
    /// The highest fencing token received since the last restart.
    pub(super) fencing: u64,
    pub(super) cache: Cache,
    pub(super) running: u32,
    pub(super) waiting: u32,
    /// Past loads with their times, oldest first; used only if the load report lags.
    history: VecDeque<(Instant, EngineLoad)>,
}

impl Core {
    pub(super) fn new(config: EngineConfig) -> Core {
        Core {
            weights: config.weight_store.map(edges::http::Client::new),
            http_faults: Arc::default(),
            engine_faults: EngineFaults::default(),
            batch: Semaphore::new(config.batch),
            loads: Mutex::default(),
            recorder: Recorder::new(),
            state: Mutex::default(),
            config,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    pub(super) fn reset_state(&self) {
        let mut state = self.lock();
        state.epoch += 1;
        state.slots.clear();
        state.fencing = 0;
        state.cache.clear();
    }

    /// Updates the numbers of running and waiting sequences and records them for the load report.
    pub(super) fn update_counts(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        change(&mut state);
        if self.config.report_lag.is_zero() {
            return;
        }
        let now = Instant::now();
        let load = state.current_load(self.config.batch);
        state.history.push_back((now, load));
        state.prune_history(now, self.config.report_lag);
    }

    fn load_report(&self) -> EngineLoad {
        let mut state = self.lock();
        if self.config.report_lag.is_zero() {
            return state.current_load(self.config.batch);
        }
        let now = Instant::now();
        state.prune_history(now, self.config.report_lag);
        let oldest = state
            .history
            .front()
            .filter(|(at, _)| *at + self.config.report_lag <= now);
        let idle = EngineLoad {
            batch: self.config.batch as u32,
            ..EngineLoad::default()
        };
        oldest.map_or(idle, |(_, load)| *load)
    }

    fn models(&self) -> ModelList {
        let base = ModelEntry {
            id: self.config.model.clone(),
            parent: None,
        };
        let parent = Some(self.config.model.clone());
        let names = self.lock().resident();
        let adapters = names.into_iter().map(|id| ModelEntry {
            id,
            parent: parent.clone(),
        });
        ModelList {
            data: std::iter::once(base).chain(adapters).collect(),
        }
    }

    async fn dispatch(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.submit(request, Api::Chat).await,
            (&Method::POST, "/v1/completions") => self.submit(request, Api::Text).await,
            (&Method::POST, "/v1/load_lora_adapter") => self.load(request).await,
            (&Method::POST, "/v1/unload_lora_adapter") => self.unload(request).await,
            (&Method::GET, "/v1/models") => reply::json(StatusCode::OK, &self.models()),
            (&Method::GET, "/load") => reply::json(StatusCode::OK, &self.load_report()),
            (&Method::GET, "/cache_events") => {
                let since = reply::query_number(request.uri(), "since");
                let lag = self.config.event_lag;
                let events = self.lock().cache.events(since, lag, Instant::now());
                reply::json(StatusCode::OK, &events)
            }
            (&Method::GET, "/health") => reply::empty(StatusCode::OK),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        self.dispatch(request).boxed()
    }

    fn stop_tasks(&self) -> BoxFuture<'_, ()> {
        let loads = std::mem::take(&mut *self.loads.lock().expect("no panic under this lock"));
        loads.cancel.cancel();
        loads.tasks.close();
        async move { loads.tasks.wait().await }.boxed()
    }

    fn is_write(&self, request: &Request<Bytes>) -> bool {
        request.uri().path().ends_with("_lora_adapter")
    }
}

impl State {
    pub(super) fn resident(&self) -> Vec<String> {
        let resident = self.slots.iter().filter(|(_, slot)| slot.resident);
        resident.map(|(name, _)| name.clone()).collect()
    }

    fn current_load(&self, batch: usize) -> EngineLoad {
        EngineLoad {
            running: self.running,
            waiting: self.waiting,
            batch: batch as u32,
        }
    }

    /// Removes the entries before the newest one that is at least `lag` old.
    fn prune_history(&mut self, now: Instant, lag: Duration) {
        while self.history.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.history.pop_front();
        }
    }
}
