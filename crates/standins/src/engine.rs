//! A fake model engine with adapter slots and a batch limit. It generates numbered tokens in the
//! response formats of the OpenAI API.
//!
//! The text of a response is `{marker} 1 2 3 ..`. The marker is the field `marker` of the request
//! body or, if that is absent, the request identifier. A reader can thus tell which request a
//! response belongs to and whether it is complete.

mod adapters;
mod cache;
mod core;
mod execution;
mod record;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use cache::prefix_hash;
pub use record::Command;
pub use record::CommandKind;
pub use record::CommandResult;
pub use record::EngineRecord;
pub use record::Execution;
pub use record::ExecutionEnd;

use crate::engine::core::Core;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// The capacity and simulated speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The identifier of the base model.
    pub model: String,
    /// The number of adapter slots.
    pub slots: usize,
    /// The maximum number of sequences that run concurrently; others wait.
    pub batch: usize,
    /// The time that each token of a sequence takes.
    pub token_interval: Duration,
    /// The prefill time, before the first token.
    pub prefill_time: Duration,
    /// The prefill time when the prompt prefix is cached.
    pub cached_prefill_time: Duration,
    /// The number of prompt prefixes that the cache holds; 0 disables it.
    pub prefix_capacity: usize,
    /// Whether commands are rejected whose fencing token is lower than one already seen.
    pub check_fencing: bool,
    /// The address of the weight store. Without one, loads take no time and digests are not
    /// checked.
    pub weight_store: Option<SocketAddr>,
    /// How far the load report lags behind the engine's state.
    pub report_lag: Duration,
    /// How long after a change of the cache its event becomes visible.
    pub event_lag: Duration,
    /// Whether executions are recorded. Performance tests turn this off. Commands always are.
    pub record_executions: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            model: "base".to_owned(),
            slots: 8,
            batch: 64,
            token_interval: Duration::ZERO,
            prefill_time: Duration::ZERO,
            cached_prefill_time: Duration::ZERO,
            prefix_capacity: 0,
            check_fencing: true,
            weight_store: None,
            report_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            record_executions: true,
        }
    }
}

/// A model engine. Fault injection counts loads and unloads as writes.
pub struct Engine {
    server: Server,
    core: Arc<Core>,
}

server_methods!(Engine);

impl Engine {
    /// Starts an engine without adapters.
    pub async fn start(config: EngineConfig) -> Engine {
        let core = Arc::new(Core::new(config));
        let server = Server::start_with_faults(core.clone(), core.http_faults.clone()).await;
        Engine { server, core }
    }

    /// Restarts the engine. It loses all adapters, the fencing token and the prefix cache, and all
    /// connections are closed. The record is kept.
    pub async fn restart(&self) {
        self.crash().await;
        self.server.set_listening(true).await;
    }

    /// Does what [`Engine::restart`] does, but refuses connections until `set_listening(true)`.
    pub async fn crash(&self) {
        self.server.set_listening(false).await;
        self.core.reset_state();
        self.server.close_connections().await;
        self.core.stop_tasks().await;
    }

    /// Fails the next `count` loads with 500, once their weights have been fetched.
    pub fn fail_loads(&self, count: u32) {
        self.core.engine_faults.set_failing_loads(count);
    }

    /// Makes the next `count` responses name `model`, as if that adapter had run.
    pub fn misreport_model(&self, model: &str, count: u32) {
        self.core.engine_faults.set_wrong_model(model, count);
    }

    /// Closes the connection of the next `count` responses after `tokens` tokens, or in the middle
    /// of the body if the response is not streamed.
    pub fn truncate_responses(&self, tokens: u32, count: u32) {
        self.core.engine_faults.set_truncation(tokens, count);
    }

    /// Ends the next `count` streams after `tokens` tokens, without the final events but with a
    /// well-formed HTTP body.
    pub fn end_streams_early(&self, tokens: u32, count: u32) {
        self.core.engine_faults.set_early_end(tokens, count);
    }

    /// Rejects the next `count` submissions with `status` before they run.
    pub fn reject_submissions(&self, status: u16, count: u32) {
        self.core.engine_faults.set_rejection(status, count);
    }

    /// Discards the oldest `count` cache events, so that readers see a gap.
    pub fn drop_cache_events(&self, count: usize) {
        self.core.lock().cache.drop_events(count);
    }

    /// Removes an adapter without a command, as an operator with access to the engine could.
    pub fn remove_adapter(&self, name: &str) {
        self.core.lock().slots.remove(name);
    }

    /// Returns the served names of resident adapters in lexical order, without adapters that are
    /// still loading.
    pub fn resident_adapters(&self) -> Vec<String> {
        self.core.lock().resident()
    }

    /// Returns the number of running sequences, without requests that wait for the batch.
    pub fn running_count(&self) -> u32 {
        self.core.lock().running
    }

    /// Returns a copy of the record since the start or the last [`Engine::clear_record`].
    pub fn record(&self) -> EngineRecord {
        self.core.recorder.read(EngineRecord::clone)
    }

    /// Clears the record. Executions and commands still in progress are dropped from it as well.
    pub fn clear_record(&self) {
        self.core.recorder.clear();
    }

    /// Waits until the record satisfies `check`; returns whether it did within `timeout`.
    pub async fn wait_for_record(
        &self,
        timeout: Duration,
        check: impl Fn(&EngineRecord) -> bool,
    ) -> bool {
        tokio::time::timeout(timeout, self.core.recorder.wait_until(check))
            .await
            .is_ok()
    }
}
