//! The memory that connections of callers may hold, and which of them yields when it is short.
//!
//! Invariants: a request that has arrived whole is never evicted; a connection between two requests is kept too; as
//! long as there is room, nothing is evicted; the part of the budget that incomplete requests may not take is there
//! for those that arrive whole.
//!
//! API boundary: an entry reports what each connection holds and receives, asks before it takes a part of a body, and
//! ends the connections in [`Decision::victims`]. What they hold is counted until the entry reports that it is free.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

/// The memory of a process without any connection, with its program; this does not grow with the memory limit.
const PROCESS_BYTES: usize = 24 << 20;
/// Share of the rest of the process's memory that connections of callers may hold, as a divisor.
const MEMORY_DIVISOR: usize = 2;
/// Share of the budget that idle connections leave, as a divisor.
const IDLE_DIVISOR: usize = 4;
/// Share of the process's memory that bodies may take, as a divisor.
const BODY_DIVISOR: usize = 3;
/// Share of the budget that is reserved for requests that arrive whole, as a divisor.
const RESERVE_DIVISOR: usize = 8;
/// Share of the budget that is freed beyond what is needed, as a divisor, since each search looks at all connections.
const SURPLUS_DIVISOR: usize = 64;
/// Share of the budget that must have become free before the allocator is asked to give memory back, as a divisor.
const TRIM_DIVISOR: usize = 16;
/// The shortest time between two requests to the allocator to give memory back.
const TRIM_INTERVAL: Duration = Duration::from_millis(100);
/// The time over which the pace of a connection is averaged.
const PACE_PERIOD: Duration = Duration::from_secs(1);
/// Added to the pace of each connection, in bytes per second, so that one that holds little yields late even if it
/// receives nothing.
const MIN_PACE: f64 = 16_384.0;
/// How long a connection may receive nothing before it yields its place to a new one.
const PLACE_STALL: Duration = Duration::from_secs(1);

/// How long a caller may take no part of an answer while memory for answers is short.
pub const UNREAD_STALL: Duration = Duration::from_secs(5);

/// Identifies the connection of a caller.
pub type ConnId = u64;

/// How far the current request of a connection has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun since the connection was opened.
    Fresh,
    /// The head or the body of a request is incomplete.
    Receiving,
    /// A request has arrived whole.
    Whole,
    /// An answer is written, and its caller has last taken a part at this time.
    Writing {
        /// When that was.
        since: Time,
    },
    /// The last request has ended.
    Kept,
}

/// Whether a body may take more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The memory is counted for it.
    Granted,
    /// There will be room once evicted connections have ended.
    Wait,
    /// Its request is to be refused.
    Refused,
}

/// What follows a change of the memory in use.
#[derive(Debug)]
pub struct Decision {
    /// What becomes of the body that asked for memory.
    pub grant: Grant,
    /// The connections that are to be ended.
    pub victims: Vec<ConnId>,
}

/// The memory that the connections of an entry hold.
#[derive(Debug)]
pub struct CallerMemory {
    conns: Map<ConnId, Conn>,
    next_id: ConnId,
    limits: Limits,
    /// The bytes that all connections hold.
    used: usize,
    /// The part of them that bodies take.
    bodies: usize,
    /// The part of them that evicted connections hold.
    leaving: usize,
    trims: Trims,
}

/// The maximum number of bytes in use since the allocator last gave memory back.
#[derive(Clone, Copy, Debug, Default)]
struct Trims {
    used: usize,
    buffers: usize,
    next_at: Time,
}

/// The limits on the bytes in use.
#[derive(Clone, Copy, Debug)]
struct Limits {
    total: usize,
    /// With this in use, incomplete requests take no more.
    incomplete: usize,
    bodies: usize,
}

/// What one connection holds.
#[derive(Debug)]
struct Conn {
    stage: Stage,
    /// The bytes of its state and its buffers.
    buffers: usize,
    /// The bytes of its requests' bodies.
    body: usize,
    pace: Pace,
    is_evicted: bool,
}

/// The moving average of the bytes per second that a connection receives, as of the last report.
#[derive(Clone, Copy, Debug)]
struct Pace {
    rate: f64,
    at: Time,
}

impl CallerMemory {
    /// Creates the budget of a process with `memory_mb` MB of memory.
    pub fn new(memory_mb: u32) -> CallerMemory {
        let memory = (memory_mb as usize) << 20;
        let total = memory.saturating_sub(PROCESS_BYTES) / MEMORY_DIVISOR;
        CallerMemory {
            conns: Map::default(),
            next_id: 0,
            limits: Limits {
                total,
                incomplete: total - total / RESERVE_DIVISOR,
                bodies: memory / BODY_DIVISOR,
            },
            used: 0,
            bodies: 0,
            leaving: 0,
            trims: Trims::default(),
        }
    }

    /// Returns the bytes that all connections hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the bytes that idle connections may hold.
    pub fn idle_limit(&self) -> usize {
        self.limits.total - self.limits.total / IDLE_DIVISOR
    }

    /// Returns whether evicted connections must end before others take more.
    pub fn is_short(&self) -> bool {
        self.leaving > 0 && self.used > self.limits.incomplete
    }

    /// Returns whether so much has become free that the allocator is to give memory back. Bodies and buffers are
    /// looked at apart too, since they are allocated in different ways and do not take each other's place.
    pub fn trim_due(&mut self, now: Time) -> bool {
        let buffers = self.used - self.bodies;
        let trims = &mut self.trims;
        trims.used = trims.used.max(self.used);
        trims.buffers = trims.buffers.max(buffers);
        let freed = (trims.used - self.used).max(trims.buffers - buffers);
        if freed <= self.limits.total / TRIM_DIVISOR || now < trims.next_at {
            return false;
        }
        *trims = Trims {
            used: self.used,
            buffers,
            next_at: now.after(TRIM_INTERVAL),
        };
        true
    }

    /// Adds a connection, which holds nothing yet.
    pub fn open(&mut self, now: Time) -> ConnId {
        let id = self.next_id;
        self.next_id += 1;
        let conn = Conn {
            stage: Stage::Fresh,
            buffers: 0,
            body: 0,
            pace: Pace { rate: 0.0, at: now },
            is_evicted: false,
        };
        self.conns.insert(id, conn);
        id
    }

    /// Forgets a connection with all that it holds.
    pub fn close(&mut self, id: ConnId) {
        let Some(conn) = self.conns.remove(&id) else {
            return;
        };
        self.used -= conn.held();
        self.bodies -= conn.body;
        if conn.is_evicted {
            self.leaving -= conn.held();
        }
    }

    /// Records the bytes that a connection has received since the last report.
    pub fn record_received(&mut self, now: Time, id: ConnId, bytes: u64) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.pace.record(now, bytes);
        }
    }

    /// Records how far the request of a connection has arrived. Returns whether the connection may go on: an evicted
    /// one stays evicted.
    pub fn set_stage(&mut self, id: ConnId, stage: Stage) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else {
            return false;
        };
        if !conn.is_evicted {
            conn.stage = stage;
        }
        !conn.is_evicted
    }

    /// Records what the state and the buffers of a connection hold. Returns the connections that yield for it.
    pub fn set_buffers(&mut self, now: Time, id: ConnId, bytes: usize) -> Vec<ConnId> {
        let Some(conn) = self.conns.get_mut(&id) else {
            return Vec::new();
        };
        let before = conn.held();
        conn.buffers = bytes;
        let (after, is_evicted) = (conn.held(), conn.is_evicted);
        self.replace_held(before, after, is_evicted);
        let excess = (self.used - self.leaving).saturating_sub(self.limits.incomplete);
        if after <= before || excess == 0 {
            return Vec::new();
        }
        self.evict(now, excess, 0.0)
    }

    /// Asks for memory for a body: `more` bytes beyond what it has. `is_whole` says that it has arrived to its end.
    pub fn reserve(&mut self, now: Time, id: ConnId, more: usize, is_whole: bool) -> Decision {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.is_evicted) else {
            return Decision::refused();
        };
        let (limit, weight) = match is_whole {
            true => (self.limits.total, 0.0),
            false => (self.limits.incomplete, conn.weight(now, more)),
        };
        if is_whole {
            conn.stage = Stage::Whole;
        }
        let excess = (self.used + more).saturating_sub(limit);
        let excess = excess.max((self.bodies + more).saturating_sub(self.limits.bodies));
        if excess == 0 {
            self.add_body(id, more);
            return Decision {
                grant: Grant::Granted,
                victims: Vec::new(),
            };
        }
        let missing = excess.saturating_sub(self.leaving);
        // The connection is not among them: it is whole, or outweighs itself with `more`.
        let victims = match missing {
            0 => Vec::new(),
            _ => self.evict(now, missing, weight),
        };
        let grant = match excess > self.leaving {
            true => Grant::Refused,
            false => Grant::Wait,
        };
        Decision { grant, victims }
    }

    /// Records that memory of a connection's bodies is free.
    pub fn release(&mut self, id: ConnId, bytes: usize) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(conn.body);
        conn.body -= bytes;
        self.used -= bytes;
        self.bodies -= bytes;
        if conn.is_evicted {
            self.leaving -= bytes;
        }
    }

    /// Chooses a connection that yields its place to a new one: one whose request, or whose first request, does not
    /// arrive. Returns `None` if there is no such connection.
    pub fn evict_for_place(&mut self, now: Time) -> Option<ConnId> {
        let waits = |conn: &Conn| {
            let is_open = matches!(conn.stage, Stage::Fresh | Stage::Receiving) && !conn.is_evicted;
            is_open && now >= conn.pace.at.after(PLACE_STALL)
        };
        let stalled = self.conns.iter().filter(|(_, conn)| waits(conn));
        let (&id, _) = stalled.max_by(|(_, a), (_, b)| {
            let (a, b) = (a.weight(now, 0), b.weight(now, 0));
            a.total_cmp(&b)
        })?;
        self.mark_evicted(id);
        Some(id)
    }

    /// Evicts the connections whose answers are not taken, since others find no memory for theirs.
    pub fn evict_unread(&mut self, now: Time) -> Vec<ConnId> {
        let conns = self.conns.iter().filter(|(_, conn)| !conn.is_evicted);
        let unread = conns.filter(|(_, conn)| match conn.stage {
            Stage::Writing { since } => now >= since.after(UNREAD_STALL),
            Stage::Fresh | Stage::Receiving | Stage::Whole | Stage::Kept => false,
        });
        let victims: Vec<ConnId> = unread.map(|(&id, _)| id).collect();
        for &victim in &victims {
            self.mark_evicted(victim);
        }
        victims
    }

    /// Evicts incomplete requests that outweigh `weight`, the heaviest first, until they hold `missing` bytes and some
    /// more.
    fn evict(&mut self, now: Time, missing: usize, weight: f64) -> Vec<ConnId> {
        let candidates = self.conns.iter().filter(|(_, conn)| conn.may_yield());
        let mut candidates: Vec<(f64, ConnId, usize)> = candidates
            .map(|(&id, conn)| (conn.weight(now, 0), id, conn.held()))
            .filter(|(other, ..)| *other > weight)
            .collect();
        candidates.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        let wanted = missing + self.limits.total / SURPLUS_DIVISOR;
        let mut freed = 0;
        let mut victims = Vec::new();
        for (_, id, held) in candidates {
            if freed >= wanted {
                break;
            }
            freed += held;
            self.mark_evicted(id);
            victims.push(id);
        }
        victims
    }

    fn mark_evicted(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.is_evicted = true;
            self.leaving += conn.held();
        }
    }

    fn add_body(&mut self, id: ConnId, more: usize) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.body += more;
            self.used += more;
            self.bodies += more;
        }
    }

    fn replace_held(&mut self, before: usize, after: usize, is_evicted: bool) {
        self.used = self.used + after - before;
        if is_evicted {
            self.leaving = self.leaving + after - before;
        }
    }
}

impl Decision {
    fn refused() -> Decision {
        Decision {
            grant: Grant::Refused,
            victims: Vec::new(),
        }
    }
}

impl Conn {
    fn held(&self) -> usize {
        self.buffers + self.body
    }

    fn may_yield(&self) -> bool {
        self.stage == Stage::Receiving && !self.is_evicted
    }

    /// Returns how many seconds the connection would take, at its pace, to receive what it holds and `more`. The
    /// heaviest connection yields first.
    fn weight(&self, now: Time, more: usize) -> f64 {
        (self.held() + more) as f64 / (self.pace.rate(now) + MIN_PACE)
    }
}

impl Pace {
    /// Returns the average rate, in bytes per second, in which older bytes count less.
    fn rate(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.rate * (-age / PACE_PERIOD.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Time, bytes: u64) {
        self.rate = self.rate(now) + bytes as f64 / PACE_PERIOD.as_secs_f64();
        self.at = now;
    }
}
