//! The lease of one endpoint: the exclusive right to send commands to its engine.
//!
//! The lease is a row of the table. Its holder renews the row by conditional writes; another
//! incarnation may take the row over once it was released or not renewed for [`TTL`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::time::Time;

/// How long the row has to stay without a renewal before another incarnation may take the lease.
pub const TTL: Duration = Duration::from_secs(10);

/// The interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// The longest time between two ticks, and between a call and its reply, that does not count as a
/// pause of the process.
const MAX_GAP: Duration = Duration::from_secs(3);

/// The interval between reads while another incarnation holds the lease, and the delay before a
/// failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The number of calls made to release a lease; if none succeeds, the lease expires.
const MAX_RELEASE_CALLS: u32 = 3;

/// The value of the row `lease/{endpoint}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The fencing token, which grows with every acquisition.
    pub token: u64,
    /// The incarnation that holds the lease, or held it last.
    pub holder: Incarnation,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// A call to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the row.
    Read,
    /// Write the row if it has the expected version.
    Write {
        /// The expected version; 0 means that the row must not exist.
        version: u64,
        /// The new value.
        row: LeaseRow,
    },
}

/// The reply to a call. Each call gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The version and the value of the row; `None` if it does not exist.
    Row(Option<(u64, LeaseRow)>),
    /// The write took effect; holds the new version.
    Written(u64),
    /// The row did not have the expected version.
    Conflict,
    /// The call failed; a write may have taken effect.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    token: u64,
    /// The time when the last confirmed write was sent.
    renewed: Time,
    /// The time from which commands may be sent.
    commands_from: Time,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The row has to be read first.
    Unread,
    /// Another incarnation holds the lease; its row has had this version since `since`.
    Watching { version: u64, since: Time },
    /// The lease is free; `token` is the last one used.
    Free { version: u64, token: u64 },
    /// This incarnation holds the lease.
    Held(Held),
}

/// A call that has no reply yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: Time,
    /// The row being written; `None` if the call is a read.
    row: Option<LeaseRow>,
}

/// One process's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Incarnation,
    /// Whether the engine ignores fencing tokens.
    unfenced: bool,
    stage: Stage,
    pending: Option<Pending>,
    /// Whether the row has to be read because its version may have changed.
    must_read: bool,
    /// Whether the lease was taken over from a holder that did not release it.
    taken_over: bool,
    next_call_at: Time,
    last_tick: Option<Time>,
    /// The time when a pause of the process was noticed, until a write sent at or after it is
    /// confirmed; no command is sent in between.
    paused_at: Option<Time>,
    /// The number of calls made to release the lease; `None` until the release starts.
    release_calls: Option<u32>,
    /// The highest token seen, so that tokens do not start again at 1 when the row was deleted.
    highest_token: u64,
}

impl Lease {
    /// Returns the state of a process of incarnation `own` that does not hold the lease.
    pub fn new(own: Incarnation) -> Self {
        Lease {
            own,
            unfenced: true,
            stage: Stage::Unread,
            pending: None,
            must_read: false,
            taken_over: false,
            next_call_at: Time::default(),
            last_tick: None,
            paused_at: None,
            release_calls: None,
            highest_token: 0,
        }
    }

    /// Sets whether the engine ignores fencing tokens; it is taken to do so until this is called.
    pub fn set_unfenced(&mut self, unfenced: bool) {
        self.unfenced = unfenced;
    }

    /// Returns the fencing token if a command may be sent now.
    pub fn token(&self, now: Time) -> Option<u64> {
        let held = self.held()?;
        let ticking = self
            .last_tick
            .is_some_and(|last| now.since(last) <= MAX_GAP);
        let allowed = ticking && self.paused_at.is_none() && self.release_calls.is_none();
        (allowed && now >= held.commands_from).then_some(held.token)
    }

    /// Returns whether the process holds the lease, even if it may not send commands now.
    pub fn is_held(&self) -> bool {
        self.held().is_some()
    }

    /// Returns the time since the last confirmed renewal was sent, or `None` if the lease is not
    /// held.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.held().map(|held| now.since(held.renewed))
    }

    /// Returns whether a release has ended, with or without success.
    pub fn is_released(&self) -> bool {
        self.release_calls.is_some() && !self.is_held() && self.pending.is_none()
    }

    /// Starts to release the lease; no command may be sent from now on.
    pub fn start_release(&mut self, now: Time) {
        if self.release_calls.is_none() {
            self.release_calls = Some(0);
            self.next_call_at = now;
        }
    }

    /// Records that the engine rejected the token: another incarnation took the lease.
    pub fn on_fenced(&mut self, now: Time) {
        self.lose(now);
    }

    /// Advances the clock and returns the next call, if one is due.
    pub fn tick(&mut self, now: Time) -> Option<LeaseCall> {
        let gap = self.last_tick.map(|last| now.since(last));
        if self.is_held() && gap.is_some_and(|gap| gap > MAX_GAP) {
            self.paused_at = Some(now);
            self.next_call_at = now;
        }
        self.last_tick = Some(now);
        self.next_call(now)
    }

    /// Handles the reply to the pending call and returns the next call, if one is due.
    pub fn on_reply(&mut self, now: Time, reply: LeaseReply) -> Option<LeaseCall> {
        let pending = self.pending.take()?;
        match (pending.row, reply) {
            (None, LeaseReply::Row(row)) => self.on_row(now, row),
            (Some(row), LeaseReply::Written(version)) => {
                self.on_written(now, pending.sent, row, version);
            }
            (Some(_), LeaseReply::Conflict) => self.lose(now),
            _ => {
                // A failed write may have taken effect, so the version of the row is unknown.
                self.must_read = true;
                self.next_call_at = now.after(RETRY_INTERVAL);
            }
        }
        self.next_call(now)
    }

    fn held(&self) -> Option<&Held> {
        match &self.stage {
            Stage::Held(held) => Some(held),
            _ => None,
        }
    }

    fn next_call(&mut self, now: Time) -> Option<LeaseCall> {
        if self.pending.is_some() || now < self.next_call_at || self.release_ended() {
            return None;
        }
        let call = match self.stage {
            _ if self.must_read => LeaseCall::Read,
            Stage::Unread | Stage::Watching { .. } => LeaseCall::Read,
            Stage::Free { version, token } => self.write_call(version, token + 1),
            Stage::Held(held) => self.write_call(held.version, held.token),
        };
        self.must_read = false;
        let row = match call {
            LeaseCall::Read => None,
            LeaseCall::Write { row, .. } => Some(row),
        };
        self.pending = Some(Pending { sent: now, row });
        Some(call)
    }

    /// Returns whether the release has ended; if not, counts the release call that follows.
    fn release_ended(&mut self) -> bool {
        let Some(calls) = self.release_calls.as_mut() else {
            return false;
        };
        *calls += 1;
        if *calls > MAX_RELEASE_CALLS {
            self.stage = Stage::Unread;
        }
        !self.is_held()
    }

    fn write_call(&self, version: u64, token: u64) -> LeaseCall {
        let row = LeaseRow {
            token,
            holder: self.own,
            released: self.release_calls.is_some(),
        };
        LeaseCall::Write { version, row }
    }

    fn on_row(&mut self, now: Time, row: Option<(u64, LeaseRow)>) {
        let Some((version, row)) = row else {
            self.acquire_next(now, 0, 0, false);
            return;
        };
        self.highest_token = self.highest_token.max(row.token);
        if row.released {
            self.acquire_next(now, version, row.token, false);
        } else if row.holder == self.own {
            self.resume_own(now, version, row.token);
        } else {
            self.watch(now, version, row.token);
        }
    }

    /// Makes the next call acquire the lease.
    fn acquire_next(&mut self, now: Time, version: u64, token: u64, taken_over: bool) {
        let token = token.max(self.highest_token);
        self.stage = Stage::Free { version, token };
        self.taken_over = taken_over;
        self.next_call_at = now;
    }

    /// Continues from this incarnation's own row after the reply to a write was lost, and renews the
    /// lease at once.
    fn resume_own(&mut self, now: Time, version: u64, token: u64) {
        let mut held = self.held().copied().unwrap_or(Held {
            version,
            token,
            renewed: now,
            commands_from: self.first_command_time(now),
        });
        held.version = version;
        self.stage = Stage::Held(held);
        self.next_call_at = now;
    }

    /// Takes the lease over once its holder has not renewed it for the TTL.
    fn watch(&mut self, now: Time, version: u64, token: u64) {
        let since = match self.stage {
            Stage::Watching {
                version: old,
                since,
            } if old == version => since,
            _ => now,
        };
        if now.since(since) >= TTL {
            self.acquire_next(now, version, token, true);
            return;
        }
        self.stage = Stage::Watching { version, since };
        self.paused_at = None;
        self.next_call_at = now.after(RETRY_INTERVAL);
    }

    fn on_written(&mut self, now: Time, sent: Time, row: LeaseRow, version: u64) {
        if row.released {
            self.stage = Stage::Unread;
            return;
        }
        self.highest_token = self.highest_token.max(row.token);
        let commands_from = match self.held() {
            Some(held) => held.commands_from,
            None => self.first_command_time(now),
        };
        self.stage = Stage::Held(Held {
            version,
            token: row.token,
            renewed: sent,
            commands_from,
        });
        if self.paused_at.is_some_and(|at| sent >= at) {
            self.paused_at = None;
        }
        // A reply that took this long does not prove that the lease is still held.
        if now.since(sent) > MAX_GAP {
            self.paused_at = Some(now);
            self.next_call_at = now;
        } else {
            self.next_call_at = sent.after(RENEW_INTERVAL).max(now);
        }
        if self.release_calls.is_some() {
            self.next_call_at = now;
        }
    }

    /// Returns the time of the first command after an acquisition. If the previous holder did not
    /// release the lease, its commands may still arrive for one TTL, and an engine that ignores
    /// tokens would accept them.
    fn first_command_time(&self, now: Time) -> Time {
        if self.taken_over && self.unfenced {
            now.after(TTL)
        } else {
            now
        }
    }

    fn lose(&mut self, now: Time) {
        self.stage = Stage::Unread;
        self.paused_at = None;
        self.must_read = true;
        self.next_call_at = now.after(RETRY_INTERVAL);
    }
}
