//! The lease of one endpoint: the right to send commands to its engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::time::Time;

/// The time after which a lease that was not renewed may be taken over.
pub const TTL: Duration = Duration::from_secs(10);

/// The interval of renewals.
const RENEW: Duration = Duration::from_secs(3);

/// The gap between two ticks from which the process counts as paused.
const PAUSE: Duration = Duration::from_secs(3);

/// The interval of reads while another incarnation holds the lease, and of retries.
const RETRY: Duration = Duration::from_secs(1);

/// The tries to release a lease; without an answer it expires.
const RELEASE_TRIES: u32 = 3;

/// The value of the row `lease/{endpoint}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The fencing token.
    pub token: u64,
    /// The incarnation that holds or held the lease.
    pub holder: Incarnation,
    /// Whether the holder gave the lease up.
    pub released: bool,
}

/// A call to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the row.
    Read,
    /// Write the row if it has this version; 0 means that it must not exist.
    Write {
        /// The version that the row must have.
        version: u64,
        /// The new value.
        row: LeaseRow,
    },
}

/// The answer to a call. Each call gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The row and its version.
    Row(Option<(u64, LeaseRow)>),
    /// The write took effect; the row has this version.
    Written(u64),
    /// The row had another version.
    Conflict,
    /// The call failed; a write may have taken effect.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    token: u64,
    /// The time at which the last confirmed write was sent.
    renewed: Time,
    /// The time from which commands are allowed.
    from: Time,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The row has to be read before anything else.
    Unread,
    /// Another incarnation holds the row.
    Watching { version: u64, since: Time },
    /// The row may be taken by a write.
    Open { version: u64, token: u64 },
    /// The row is ours.
    Held(Held),
}

/// A call without an answer so far.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: Time,
    /// The row that is being written, if the call is a write.
    row: Option<LeaseRow>,
}

/// The state of the lease in one process.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Incarnation,
    /// Whether the engine ignores fencing tokens.
    unfenced: bool,
    stage: Stage,
    pending: Option<Pending>,
    /// Whether the row's version has to be read again, because an answer was lost.
    reread: bool,
    /// Whether the predecessor did not release the lease.
    seized: bool,
    /// The time of the next call.
    due: Time,
    ticked: Option<Time>,
    /// The time at which a pause was noticed; only a write sent after it renews the lease.
    paused: Option<Time>,
    /// The number of tries to release the lease, once that started.
    release: Option<u32>,
    /// The highest token seen; a row that was deleted does not start again at 1.
    highest: u64,
}

impl Lease {
    /// Returns the state of a process that has no lease.
    pub fn new(own: Incarnation) -> Self {
        Lease {
            own,
            unfenced: true,
            stage: Stage::Unread,
            pending: None,
            reread: false,
            seized: false,
            due: Time::default(),
            ticked: None,
            paused: None,
            release: None,
            highest: 0,
        }
    }

    /// Sets whether the engine ignores fencing tokens.
    pub fn set_unfenced(&mut self, unfenced: bool) {
        self.unfenced = unfenced;
    }

    /// Returns the fencing token if a command may be sent now.
    pub fn token(&self, now: Time) -> Option<u64> {
        let held = self.held()?;
        let ticking = self.ticked.is_some_and(|last| now.since(last) <= PAUSE);
        let allowed = ticking && self.paused.is_none() && self.release.is_none();
        (allowed && now >= held.from).then_some(held.token)
    }

    /// Returns whether the process holds the lease, even if it may not command yet.
    pub fn is_held(&self) -> bool {
        self.held().is_some()
    }

    /// Returns the time since the last confirmed renewal was sent.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.held().map(|held| now.since(held.renewed))
    }

    /// Returns whether a release has ended, with or without success.
    pub fn is_released(&self) -> bool {
        self.release.is_some() && !self.is_held() && self.pending.is_none()
    }

    /// Starts to give the lease up; no command is sent from now on.
    pub fn start_release(&mut self, now: Time) {
        if self.release.is_none() {
            self.release = Some(0);
            self.due = now;
        }
    }

    /// Records that the engine rejected the token: another incarnation took the lease.
    pub fn on_fenced(&mut self, now: Time) {
        self.lose(now);
    }

    /// Advances the clock and returns the next call, if one is due.
    pub fn tick(&mut self, now: Time) -> Option<LeaseCall> {
        let gap = self.ticked.map(|last| now.since(last));
        if self.is_held() && gap.is_some_and(|gap| gap > PAUSE) {
            self.paused = Some(now);
            self.due = now;
        }
        self.ticked = Some(now);
        self.next_call(now)
    }

    /// Records the answer to the pending call and returns the next call, if one is due.
    pub fn on_reply(&mut self, now: Time, answer: LeaseReply) -> Option<LeaseCall> {
        let pending = self.pending.take()?;
        match (pending.row, answer) {
            (None, LeaseReply::Row(row)) => self.on_row(now, row),
            (Some(row), LeaseReply::Written(version)) => {
                self.on_written(now, pending.sent, row, version);
            }
            (Some(_), LeaseReply::Conflict) => self.lose(now),
            _ => {
                // A failed write may have taken effect, so the row's version is not known any more.
                self.reread = true;
                self.due = now.after(RETRY);
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
        if self.pending.is_some() || now < self.due || self.release_ended() {
            return None;
        }
        let call = match self.stage {
            _ if self.reread => LeaseCall::Read,
            Stage::Unread | Stage::Watching { .. } => LeaseCall::Read,
            Stage::Open { version, token } => self.write_call(version, token + 1),
            Stage::Held(held) => self.write_call(held.version, held.token),
        };
        self.reread = false;
        let row = match call {
            LeaseCall::Read => None,
            LeaseCall::Write { row, .. } => Some(row),
        };
        self.pending = Some(Pending { sent: now, row });
        Some(call)
    }

    /// Returns whether nothing is left to release, and counts a try if something is.
    fn release_ended(&mut self) -> bool {
        let Some(tries) = self.release.as_mut() else {
            return false;
        };
        *tries += 1;
        if *tries > RELEASE_TRIES {
            self.stage = Stage::Unread;
        }
        !self.is_held()
    }

    fn write_call(&self, version: u64, token: u64) -> LeaseCall {
        let row = LeaseRow {
            token,
            holder: self.own,
            released: self.release.is_some(),
        };
        LeaseCall::Write { version, row }
    }

    fn on_row(&mut self, now: Time, row: Option<(u64, LeaseRow)>) {
        let Some((version, row)) = row else {
            self.open(now, 0, 0, false);
            return;
        };
        self.highest = self.highest.max(row.token);
        if row.released {
            self.open(now, version, row.token, false);
        } else if row.holder == self.own {
            self.adopt_own(now, version, row.token);
        } else {
            self.watch(now, version, row.token);
        }
    }

    /// Lets the next call take the row.
    fn open(&mut self, now: Time, version: u64, token: u64, seized: bool) {
        let token = token.max(self.highest);
        self.stage = Stage::Open { version, token };
        self.seized = seized;
        self.due = now;
    }

    /// Takes up the own row after the answer to a write was lost, and renews it at once.
    fn adopt_own(&mut self, now: Time, version: u64, token: u64) {
        let mut held = self.held().copied().unwrap_or(Held {
            version,
            token,
            renewed: now,
            from: self.first_command(now),
        });
        held.version = version;
        self.stage = Stage::Held(held);
        self.due = now;
    }

    /// Takes the row over once its holder has not renewed it for a TTL.
    fn watch(&mut self, now: Time, version: u64, token: u64) {
        let since = match self.stage {
            Stage::Watching {
                version: old,
                since,
            } if old == version => since,
            _ => now,
        };
        if now.since(since) >= TTL {
            self.open(now, version, token, true);
            return;
        }
        self.stage = Stage::Watching { version, since };
        self.paused = None;
        self.due = now.after(RETRY);
    }

    fn on_written(&mut self, now: Time, sent: Time, row: LeaseRow, version: u64) {
        if row.released {
            self.stage = Stage::Unread;
            return;
        }
        self.highest = self.highest.max(row.token);
        let from = match self.held() {
            Some(held) => held.from,
            None => self.first_command(now),
        };
        self.stage = Stage::Held(Held {
            version,
            token: row.token,
            renewed: sent,
            from,
        });
        if self.paused.is_some_and(|at| sent >= at) {
            self.paused = None;
        }
        // An answer that took longer than the pause limit proves nothing about the present.
        if now.since(sent) > PAUSE {
            self.paused = Some(now);
            self.due = now;
        } else {
            self.due = sent.after(RENEW).max(now);
        }
        if self.release.is_some() {
            self.due = now;
        }
    }

    /// Returns the time of the first command after an acquisition. The predecessor's commands may
    /// still arrive for one TTL at an engine that ignores tokens.
    fn first_command(&self, now: Time) -> Time {
        if self.seized && self.unfenced {
            now.after(TTL)
        } else {
            now
        }
    }

    fn lose(&mut self, now: Time) {
        self.stage = Stage::Unread;
        self.paused = None;
        self.reread = true;
        self.due = now.after(RETRY);
    }
}
