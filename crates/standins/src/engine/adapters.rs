//! Loads and unloads of adapters.

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

/// The largest response of the weight store, in bytes.
const INFO_LIMIT: usize = 64 << 10;

/// The time after which an engine gives up a transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a command ended without its effect.
struct Failure {
    status: StatusCode,
    message: String,
    result: CommandResult,
}

impl Core {
    pub(super) async fn load(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let order: LoadBody = match serde_json::from_slice(request.body()) {
            Ok(order) => order,
            Err(e) => return reply::malformed(&e),
        };
        // The load goes on when the caller gives up, as in engines with a loader of their own.
        let core = self.clone();
        let work = {
            let loads = self.loads.lock().expect("no panic under this lock");
            let halt = loads.halt.clone();
            loads
                .tasks
                .spawn(async move { core.carry_out_load(order, halt).await })
        };
        work.await.unwrap_or(Err(reply::ConnectionClosed))
    }

    async fn carry_out_load(&self, order: LoadBody, halt: CancellationToken) -> Reply {
        let command = Command {
            kind: CommandKind::Load,
            name: order.lora_name.to_string(),
            digest: order.digest.to_string(),
            fencing: order.fencing,
            result: CommandResult::Pending,
            running: 0,
            started: self.log.now(),
            ended: None,
        };
        let place = self.log.begin_command(command);
        let outcome = self.try_load(&order, halt).await;
        self.log.end_command(place, result(&outcome));
        answer(outcome)
    }

    async fn try_load(&self, order: &LoadBody, halt: CancellationToken) -> Result<(), Failure> {
        let Some(epoch) = self.reserve(order)? else {
            return Ok(());
        };
        let fetched = halt.run_until_cancelled(self.fetch(order)).await;
        let fetched = fetched.unwrap_or_else(|| Err(failed("the engine restarted")));
        let mut state = self.lock();
        if state.epoch != epoch {
            return Err(failed("the engine restarted"));
        }
        if fetched.is_err() {
            state.slots.remove(&*order.lora_name);
            return fetched;
        }
        let Some(slot) = state.slots.get_mut(&*order.lora_name) else {
            return Err(failed("unloaded during the load"));
        };
        slot.resident = true;
        Ok(())
    }

    /// Reserves a slot; returns the epoch of the engine, or nothing if the adapter is resident.
    fn reserve(&self, order: &LoadBody) -> Result<Option<u64>, Failure> {
        let mut state = self.lock();
        self.check_fencing(&mut state, order.fencing)?;
        match state.slots.get(&*order.lora_name) {
            Some(slot) if slot.resident && *slot.digest == *order.digest => return Ok(None),
            Some(_) => return Err(rejected("loading or loaded with another digest")),
            None if state.slots.len() >= self.config.slots => {
                return Err(rejected("no free adapter slot"));
            }
            None => (),
        }
        let slot = Slot {
            digest: order.digest.to_string(),
            resident: false,
            running: 0,
        };
        state.slots.insert(order.lora_name.to_string(), slot);
        Ok(Some(state.epoch))
    }

    async fn fetch(&self, order: &LoadBody) -> Result<(), Failure> {
        let fails = self.run_faults.fails_load();
        let Some(weights) = &self.weights else {
            return if fails {
                Err(failed("load failed partway"))
            } else {
                Ok(())
            };
        };
        let path = format!("/weights/{}", encode_segment(&order.lora_path));
        let call = Call::get("fetch weights", path);
        let info: Result<WeightInfo, _> = weights.fetch(call, INFO_LIMIT, TRANSFER_TIMEOUT).await;
        let info = info.map_err(|e| failed(&e.to_string()))?;
        if fails {
            return Err(failed("load failed partway"));
        }
        if *info.digest != *order.digest {
            return Err(rejected("digest of the weights differs"));
        }
        Ok(())
    }

    pub(super) async fn unload(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let order: UnloadBody = match serde_json::from_slice(request.body()) {
            Ok(order) => order,
            Err(e) => return reply::malformed(&e),
        };
        let outcome;
        let running;
        {
            let mut state = self.lock();
            running = state.slots.get(&*order.lora_name).map_or(0, |s| s.running);
            outcome = self.try_unload(&mut state, &order);
        }
        let now = self.log.now();
        let place = self.log.begin_command(Command {
            kind: CommandKind::Unload,
            name: order.lora_name.to_string(),
            digest: String::new(),
            fencing: order.fencing,
            result: CommandResult::Pending,
            running,
            started: now,
            ended: None,
        });
        self.log.end_command(place, result(&outcome));
        answer(outcome)
    }

    fn try_unload(&self, state: &mut State, order: &UnloadBody) -> Result<(), Failure> {
        self.check_fencing(state, order.fencing)?;
        match state.slots.remove(&*order.lora_name) {
            Some(_) => Ok(()),
            None => Err(Failure {
                status: StatusCode::NOT_FOUND,
                message: "no such adapter".to_owned(),
                result: CommandResult::Rejected,
            }),
        }
    }

    fn check_fencing(&self, state: &mut State, token: u64) -> Result<(), Failure> {
        if self.config.check_fencing && token < state.fencing {
            return Err(Failure {
                status: StatusCode::CONFLICT,
                message: format!("fencing token {token} is older than {}", state.fencing),
                result: CommandResult::Fenced,
            });
        }
        state.fencing = state.fencing.max(token);
        Ok(())
    }
}

fn rejected(message: &str) -> Failure {
    let status = StatusCode::BAD_REQUEST;
    Failure {
        status,
        message: message.to_owned(),
        result: CommandResult::Rejected,
    }
}

fn failed(message: &str) -> Failure {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    Failure {
        status,
        message: message.to_owned(),
        result: CommandResult::Failed,
    }
}

fn result(outcome: &Result<(), Failure>) -> CommandResult {
    outcome
        .as_ref()
        .map_or_else(|f| f.result, |()| CommandResult::Applied)
}

fn answer(outcome: Result<(), Failure>) -> Reply {
    match outcome {
        Ok(()) => reply::empty(StatusCode::OK),
        Err(f) => reply::error(f.status, &f.message),
    }
}
