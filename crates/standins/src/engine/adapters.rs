//! Handling of commands to load and unload adapters.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edges::engine::LoadBody;
use edges::engine::UnloadBody;
use edges::http::Call;
use edges::http::encode_segment;
use edges::weights::WeightInfo;
use hyper::Request;
use hyper::StatusCode;
use tokio_util::sync::CancellationToken;

use super::core::Core;
use super::core::Slot;
use super::core::State;
use super::record::Command;
use super::record::CommandKind;
use super::record::CommandResult;
use crate::reply;
use crate::reply::Reply;

/// The maximum size of a response from the weight store, in bytes.
const MAX_INFO_BYTES: usize = 64 << 10;

/// The time limit for fetching weights.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a command did not take effect.
struct CommandError {
    status: StatusCode,
    message: String,
    result: CommandResult,
}

impl Core {
    pub(super) async fn load(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let body: LoadBody = match serde_json::from_slice(request.body()) {
            Ok(body) => body,
            Err(e) => return reply::malformed(&e),
        };
        // The load runs in its own task, so it continues when the caller disconnects. Real engines
        // with a separate loader behave like this.
        let core = self.clone();
        let load = {
            let loads = self.loads.lock().expect("no panic under this lock");
            let cancel = loads.cancel.clone();
            loads
                .tasks
                .spawn(async move { core.run_load(body, cancel).await })
        };
        load.await.unwrap_or(Err(reply::ConnectionClosed))
    }

    async fn run_load(&self, body: LoadBody, cancel: CancellationToken) -> Reply {
        let command = Command {
            kind: CommandKind::Load,
            name: body.lora_name.to_string(),
            digest: body.digest.to_string(),
            fencing: body.fencing,
            result: CommandResult::Pending,
            running: 0,
            started: self.recorder.now(),
            ended: None,
        };
        let entry = self.recorder.begin_command(command);
        let outcome = self.try_load(&body, cancel).await;
        self.recorder.end_command(entry, command_result(&outcome));
        command_response(outcome)
    }

    async fn try_load(
        &self,
        body: &LoadBody,
        cancel: CancellationToken,
    ) -> Result<(), CommandError> {
        let Some(epoch) = self.reserve(body)? else {
            return Ok(());
        };
        let fetched = cancel.run_until_cancelled(self.fetch_weights(body)).await;
        let fetched = fetched.unwrap_or_else(|| Err(failed("the engine restarted")));
        let mut state = self.lock();
        if state.epoch != epoch {
            return Err(failed("the engine restarted"));
        }
        if fetched.is_err() {
            state.slots.remove(&*body.lora_name);
            return fetched;
        }
        let Some(slot) = state.slots.get_mut(&*body.lora_name) else {
            return Err(failed("the adapter was unloaded during its load"));
        };
        slot.resident = true;
        Ok(())
    }

    /// Reserves a slot for a load. Returns the current epoch, or `None` if the adapter is already
    /// resident with the same digest.
    fn reserve(&self, body: &LoadBody) -> Result<Option<u64>, CommandError> {
        let mut state = self.lock();
        self.check_fencing(&mut state, body.fencing)?;
        match state.slots.get(&*body.lora_name) {
            Some(slot) if slot.resident && *slot.digest == *body.digest => return Ok(None),
            Some(_) => {
                return Err(rejected(
                    "the adapter is already loading, or resident with another digest",
                ));
            }
            None if state.slots.len() >= self.config.slots => {
                return Err(rejected("no free adapter slot"));
            }
            None => (),
        }
        let slot = Slot {
            digest: body.digest.to_string(),
            resident: false,
            running: 0,
        };
        state.slots.insert(body.lora_name.to_string(), slot);
        Ok(Some(state.epoch))
    }

    async fn fetch_weights(&self, body: &LoadBody) -> Result<(), CommandError> {
        let must_fail = self.engine_faults.take_failing_load();
        let Some(weights) = &self.weights else {
            return if must_fail {
                Err(failed("load failed by fault injection"))
            } else {
                Ok(())
            };
        };
        let path = format!("/weights/{}", encode_segment(&body.lora_path));
        let call = Call::get("fetch weights", path);
        let info: Result<WeightInfo, _> =
            weights.fetch(call, MAX_INFO_BYTES, TRANSFER_TIMEOUT).await;
        let info = info.map_err(|e| failed(&e.to_string()))?;
        if must_fail {
            return Err(failed("load failed by fault injection"));
        }
        if *info.digest != *body.digest {
            return Err(rejected(
                "the digest of the weights does not match the command",
            ));
        }
        Ok(())
    }

    pub(super) async fn unload(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let body: UnloadBody = match serde_json::from_slice(request.body()) {
            Ok(body) => body,
            Err(e) => return reply::malformed(&e),
        };
        let outcome;
        let running;
        {
            let mut state = self.lock();
            running = state.slots.get(&*body.lora_name).map_or(0, |s| s.running);
            outcome = self.try_unload(&mut state, &body);
        }
        let now = self.recorder.now();
        let entry = self.recorder.begin_command(Command {
            kind: CommandKind::Unload,
            name: body.lora_name.to_string(),
            digest: String::new(),
            fencing: body.fencing,
            result: CommandResult::Pending,
            running,
            started: now,
            ended: None,
        });
        self.recorder.end_command(entry, command_result(&outcome));
        command_response(outcome)
    }

    fn try_unload(&self, state: &mut State, body: &UnloadBody) -> Result<(), CommandError> {
        self.check_fencing(state, body.fencing)?;
        match state.slots.remove(&*body.lora_name) {
            Some(_) => Ok(()),
            None => Err(CommandError {
                status: StatusCode::NOT_FOUND,
                message: "the adapter is not loaded".to_owned(),
                result: CommandResult::Rejected,
            }),
        }
    }

    fn check_fencing(&self, state: &mut State, token: u64) -> Result<(), CommandError> {
        if self.config.check_fencing && token < state.fencing {
            return Err(CommandError {
                status: StatusCode::CONFLICT,
                message: format!("fencing token {token} is older than {}", state.fencing),
                result: CommandResult::Fenced,
            });
        }
        state.fencing = state.fencing.max(token);
        Ok(())
    }
}

fn rejected(message: &str) -> CommandError {
    let status = StatusCode::BAD_REQUEST;
    CommandError {
        status,
        message: message.to_owned(),
        result: CommandResult::Rejected,
    }
}

fn failed(message: &str) -> CommandError {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    CommandError {
        status,
        message: message.to_owned(),
        result: CommandResult::Failed,
    }
}

fn command_result(outcome: &Result<(), CommandError>) -> CommandResult {
    outcome
        .as_ref()
        .map_or_else(|e| e.result, |()| CommandResult::Applied)
}

fn command_response(outcome: Result<(), CommandError>) -> Reply {
    match outcome {
        Ok(()) => reply::empty(StatusCode::OK),
        Err(e) => reply::error(e.status, &e.message),
    }
}
