//! Counts what the connections of callers hold, and ends those that yield when memory is short.
//!
//! Invariants: what a connection holds is counted until its [`ConnMemory`] is dropped; an evicted connection takes no
//! more memory, and a request whose body is incomplete then is answered as not run.
//!
//! API boundary: `server` opens one [`ConnMemory`] for each connection, `idle` reports what the connection does, and
//! `request_body` asks for the memory of bodies. [`serving::caller_memory`] decides.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use ::process::allocator;
use ::process::caller::Usage;
use decision::collections::Map;
use decision::time::Time;
use serving::caller_memory::CallerMemory;
use serving::caller_memory::ConnId;
use serving::caller_memory::Grant;
use serving::caller_memory::Stage;
use serving::overload::HEAD_COPIES;
use tokio_util::sync::CancellationToken;

use crate::RuntimeClock;
use crate::entry::Entry;
use crate::recover::lock;
use crate::request_body::BodyError;

/// The memory of a connection's task and state.
const STATE_BYTES: usize = 4 << 10;
/// The read buffer that the HTTP server allocates for an idle connection.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The memory of an idle connection.
const IDLE_BYTES: usize = STATE_BYTES + READ_BUFFER_BYTES;
/// The memory of a request in progress beside its head and body.
const REQUEST_BYTES: usize = 8 << 10;
/// The interval at which a body that waits for memory looks for it.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How often a new connection lets others go first while memory is short.
const MAX_YIELDS: usize = 8;

/// The connections of callers with what they hold.
#[derive(Debug)]
pub struct CallerLedger(Mutex<LedgerState>);

#[derive(Debug)]
struct LedgerState {
    memory: CallerMemory,
    /// Cancelled when their connections are evicted.
    evictions: Map<ConnId, CancellationToken>,
}

/// What one connection holds.
#[derive(Debug)]
pub(crate) struct ConnMemory {
    ledger: Arc<CallerLedger>,
    clock: RuntimeClock,
    id: ConnId,
    evicted: CancellationToken,
}

/// What was last reported of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    buffers: usize,
    received: u64,
    /// `None` while a request is in progress.
    stage: Option<Stage>,
}

/// The memory of a body, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct BodyCharge {
    memory: Arc<ConnMemory>,
    bytes: usize,
}

impl CallerLedger {
    /// Creates the ledger of a process with this memory limit.
    pub fn new(memory_mb: u32) -> Arc<CallerLedger> {
        Arc::new(CallerLedger(Mutex::new(LedgerState {
            memory: CallerMemory::new(memory_mb),
            evictions: Map::default(),
        })))
    }

    /// Evicts the connections whose answers are not taken.
    pub(crate) fn evict_unread(&self, now: Time) {
        let mut state = self.state();
        let victims = state.memory.evict_unread(now);
        state.end(&victims);
    }

    /// Lets the allocator give memory back, if that is due. Returns the bytes that all connections hold.
    pub(crate) fn maintain(&self, now: Time) -> usize {
        let mut state = self.state();
        let (used, trim_due) = (state.memory.used(), state.memory.trim_due(now));
        drop(state);
        if trim_due {
            allocator::trim();
        }
        used
    }

    /// Gives evicted connections time to end before others take more memory.
    pub(crate) async fn yield_to_evicted(&self) {
        for _ in 0..MAX_YIELDS {
            if !self.state().memory.is_short() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Evicts a connection that does not make use of its place. Returns whether there was one.
    pub(crate) fn evict_for_place(&self, entry: &Entry) -> bool {
        let mut state = self.state();
        let Some(victim) = state.memory.evict_for_place(entry.now()) else {
            return false;
        };
        state.end(&[victim]);
        true
    }

    /// Returns how many idle connections there is memory for.
    pub(crate) fn max_idle_conns(&self) -> usize {
        self.state().memory.idle_limit() / IDLE_BYTES
    }

    fn state(&self) -> MutexGuard<'_, LedgerState> {
        lock(&self.0)
    }
}

impl LedgerState {
    fn end(&self, victims: &[ConnId]) {
        for victim in victims {
            if let Some(token) = self.evictions.get(victim) {
                token.cancel();
            }
        }
    }
}

impl ConnMemory {
    /// Starts to count a connection.
    pub(crate) fn open(entry: &Arc<Entry>) -> Arc<ConnMemory> {
        let evicted = CancellationToken::new();
        let mut state = entry.callers.state();
        let id = state.memory.open(entry.now());
        state.evictions.insert(id, evicted.clone());
        drop(state);
        Arc::new(ConnMemory {
            ledger: entry.callers.clone(),
            clock: entry.clock,
            id,
            evicted,
        })
    }

    /// Returns whether the connection is to be ended.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Waits until the connection is to be ended.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Returns the token that is cancelled when the connection is to be ended.
    pub(crate) fn eviction(&self) -> CancellationToken {
        self.evicted.clone()
    }

    /// Records what has changed of a connection since `last`.
    pub(crate) fn report(&self, usage: &Usage, last: &mut Report) {
        let next = Report::new(usage, self.clock);
        if next == *last {
            return;
        }
        let now = self.clock.now();
        let mut state = self.ledger.state();
        let memory = &mut state.memory;
        memory.record_received(now, self.id, next.received - last.received);
        if let Some(stage) = next.stage {
            memory.set_stage(self.id, stage);
        }
        let victims = memory.set_buffers(now, self.id, next.buffers);
        let trim_due = memory.trim_due(now);
        state.end(&victims);
        drop(state);
        if trim_due {
            allocator::trim();
        }
        *last = next;
    }

    /// Records that a connection is being closed, and only its state is left.
    pub(crate) fn set_closing(&self) {
        let now = self.clock.now();
        let mut state = self.ledger.state();
        state.memory.set_buffers(now, self.id, STATE_BYTES);
    }

    /// Records that the head of a request has arrived, and whether all of its body has.
    pub(crate) fn begin_request(&self, is_whole: bool) {
        let stage = match is_whole {
            true => Stage::Whole,
            false => Stage::Receiving,
        };
        self.ledger.state().memory.set_stage(self.id, stage);
    }

    /// Records that all of a request has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the connection was evicted before.
    pub(crate) fn end_body(&self) -> Result<(), BodyError> {
        let mut state = self.ledger.state();
        match state.memory.set_stage(self.id, Stage::Whole) {
            true => Ok(()),
            false => Err(BodyError::Evicted),
        }
    }

    /// Asks for memory for a body. Returns whether it is granted; if not, evicted connections are about to
    /// free it.
    fn try_reserve(&self, more: usize, is_whole: bool) -> Result<bool, BodyError> {
        let now = self.clock.now();
        let mut state = self.ledger.state();
        let decision = state.memory.reserve(now, self.id, more, is_whole);
        state.end(&decision.victims);
        match decision.grant {
            Grant::Granted => Ok(true),
            Grant::Wait => Ok(false),
            Grant::Refused => Err(BodyError::NoMemory),
        }
    }
}

impl Drop for ConnMemory {
    fn drop(&mut self) {
        let mut state = self.ledger.state();
        state.memory.close(self.id);
        state.evictions.remove(&self.id);
    }
}

impl Report {
    fn new(usage: &Usage, clock: RuntimeClock) -> Report {
        // The buffer of a head doubles, and its values stay there until the request ends.
        let copies = if usage.busy { HEAD_COPIES } else { 2 };
        let head = match usage.head_bytes {
            0..READ_BUFFER_BYTES => 0,
            bytes => copies * bytes,
        };
        let (request, stage) = match usage.begun_at {
            _ if usage.busy => (READ_BUFFER_BYTES + REQUEST_BYTES, None),
            _ if usage.writing => {
                let since = clock.time(usage.idle_since);
                (0, Some(Stage::Writing { since }))
            }
            Some(_) => (0, Some(Stage::Receiving)),
            None if usage.requests == 0 => (0, Some(Stage::Fresh)),
            None => (0, Some(Stage::Kept)),
        };
        Report {
            buffers: IDLE_BYTES + head + request,
            received: usage.received,
            stage,
        }
    }
}

impl BodyCharge {
    /// Starts to count a body, which holds nothing yet.
    pub(crate) fn new(memory: Arc<ConnMemory>) -> BodyCharge {
        BodyCharge { memory, bytes: 0 }
    }

    /// Counts so many bytes in all, as soon as there is room. `is_whole` says that the body has arrived to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body yields to others.
    pub(crate) async fn grow(&mut self, bytes: usize, is_whole: bool) -> Result<(), BodyError> {
        let more = bytes.saturating_sub(self.bytes);
        while more > 0 && !self.memory.try_reserve(more, is_whole)? {
            tokio::time::sleep(ROOM_CHECK_INTERVAL).await;
        }
        self.bytes += more;
        Ok(())
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        let mut state = self.memory.ledger.state();
        state.memory.release(self.memory.id, self.bytes);
    }
}
