//! A model engine: adapter slots, a batch limit, and OpenAI-style answers of numbered tokens.
//!
//! The text of an answer is `{marker} 1 2 3 ..`, where the marker is the body's field `marker`, else
//! the request identifier, so that a reader can tell whose answer it is and whether it is whole.

mod adapters;
mod answer;
mod cache;
mod core;
mod record;
mod run;

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

/// The shape and the speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The base model's identifier.
    pub model: String,
    /// Adapter slots.
    pub slots: usize,
    /// Concurrent sequences.
    pub batch: usize,
    /// The time between two tokens of a sequence.
    pub token_interval: Duration,
    /// The time before the first token.
    pub prefill_time: Duration,
    /// The time before the first token when the prompt prefix is cached.
    pub cached_prefill_time: Duration,
    /// Prompt prefixes in the cache; 0 for no cache.
    pub prefix_capacity: usize,
    /// Whether commands with an old fencing token are rejected.
    pub check_fencing: bool,
    /// The weight store; without one, loads take no time and digests are not compared.
    pub weight_store: Option<SocketAddr>,
    /// The age of the load report.
    pub report_lag: Duration,
    /// The age at which cache events become visible.
    pub event_lag: Duration,
    /// Whether executions are recorded; off for speed tests.
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

/// A model engine. Writes for fault injection are its loads and unloads.
pub struct Engine {
    server: Server,
    core: Arc<Core>,
}

server_methods!(Engine);

impl Engine {
    /// Starts an engine without adapters.
    pub async fn start(config: EngineConfig) -> Engine {
        let core = Arc::new(Core::new(config));
        let server = Server::start_with(core.clone(), core.http_faults.clone()).await;
        Engine { server, core }
    }

    /// Restarts the engine: all adapters, the fencing token and the prefix cache are lost, and all
    /// connections are cut.
    pub async fn restart(&self) {
        self.crash().await;
        self.server.set_listening(true).await;
    }

    /// Crashes the engine as [`Engine::restart`] does; connections are refused until
    /// `set_listening(true)`.
    pub async fn crash(&self) {
        self.server.set_listening(false).await;
        self.core.lose_state();
        self.server.close_connections().await;
        self.core.stop_tasks().await;
    }

    /// Lets the next `count` loads take half of their time and fail.
    pub fn fail_loads(&self, count: u32) {
        self.core.run_faults.set_failing_loads(count);
    }

    /// Lets the next `count` answers carry the name `model`, as if that adapter had run.
    pub fn misreport_model(&self, model: &str, count: u32) {
        self.core.run_faults.set_wrong_name(model, count);
    }

    /// Breaks off the next `count` answers after `tokens` tokens, or in the middle of the body of an
    /// answer that is not a stream.
    pub fn truncate_responses(&self, tokens: u32, count: u32) {
        self.core.run_faults.set_truncation(tokens, count);
    }

    /// Ends the next `count` streams after `tokens` tokens with a well-formed HTTP body but without
    /// the final events.
    pub fn end_streams_early(&self, tokens: u32, count: u32) {
        self.core.run_faults.set_early_end(tokens, count);
    }

    /// Answers the next `count` submissions with `status` before they run.
    pub fn reject_submissions(&self, status: u16, count: u32) {
        self.core.run_faults.set_rejection(status, count);
    }

    /// Forgets the oldest `count` cache events, so that readers see a gap.
    pub fn drop_cache_events(&self, count: usize) {
        self.core.lock().cache.drop_events(count);
    }

    /// Removes an adapter without a command, as an operator at the engine would.
    pub fn remove_adapter(&self, name: &str) {
        self.core.lock().slots.remove(name);
    }

    /// Returns the served names of resident adapters, in order.
    pub fn resident_adapters(&self) -> Vec<String> {
        self.core.lock().resident()
    }

    /// Returns the number of sequences running now.
    pub fn running_count(&self) -> u32 {
        self.core.lock().running
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> EngineRecord {
        self.core.log.read(EngineRecord::clone)
    }

    /// Forgets the record so far; executions that still run are dropped from it as well.
    pub fn clear_record(&self) {
        self.core.log.clear();
    }

    /// Waits until the record satisfies `check`; returns whether it did within `timeout`.
    pub async fn wait_for_record(
        &self,
        timeout: Duration,
        check: impl Fn(&EngineRecord) -> bool,
    ) -> bool {
        tokio::time::timeout(timeout, self.core.log.wait(check))
            .await
            .is_ok()
    }
}
