//! How long the connections of callers are kept between two requests, and how long the head of a request may
//! take.
//!
//! Nothing tells a caller that its idle connection is about to be closed, so that a request may cross the close and
//! get no answer. A caller relies on a limit that it has read; what it has read may have been replaced since.
//!
//! Invariants: a connection is kept for the longest limit that was in force since it became idle, and longer
//! while there is room; each idle connection is closed in the end; no limit on idle connections or heads cuts a
//! response.
//!
//! API boundary: an entry records the limits of each configuration, and asks [`ConnLimits::check`] when a
//! connection may have to be closed.

use std::time::Duration;

use decision::time::Time;

use crate::config::Limits;

/// How many times its limit a connection may be idle while there is room for others.
const ROOMY_FACTOR: u32 = 2;
/// The number of checks within one limit after it has passed, since room may become scarce.
const CHECKS_PER_LIMIT: u32 = 4;
/// How long a caller may take no part of a response. Its own time limit passes long before.
const MAX_WRITE_STALL: Duration = Duration::from_secs(60);
/// The limits of an entry without a configuration.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
const DEFAULT_HEAD: Duration = Duration::from_secs(15);
/// The most earlier limits that are kept of each kind.
const MAX_PAST: usize = 32;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// A request is in progress.
    Busy,
    /// A response is being written, and its caller takes none of it.
    Writing {
        /// When it last took a part.
        since: Time,
    },
    /// Nothing has been read or written since this time.
    Idle {
        /// The end of the last request and its response, or the opening.
        since: Time,
    },
    /// The head of a request has begun.
    Head {
        /// When its first bytes were read.
        since: Time,
    },
}

/// Whether there is room for more connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// More than half of the connections that may be open are not.
    Ample,
    /// Idle connections take the place of others.
    Scarce,
}

impl Room {
    /// Compares the number of open connections with the number that may be open.
    pub fn of(open: usize, limit: usize) -> Room {
        if open > limit / 2 {
            Room::Scarce
        } else {
            Room::Ample
        }
    }
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is kept, and checked again at this time; `None` if only after its activity has changed.
    Keep(Option<Time>),
    /// It is past its limit.
    Close,
}

/// The limits on the time between and before requests, as configurations have changed them.
#[derive(Debug)]
pub struct ConnLimits {
    idle: LongestLimit,
    head: LongestLimit,
}

impl Default for ConnLimits {
    fn default() -> ConnLimits {
        ConnLimits {
            idle: LongestLimit::new(DEFAULT_IDLE),
            head: LongestLimit::new(DEFAULT_HEAD),
        }
    }
}

impl ConnLimits {
    /// Records the limits of a configuration that takes effect.
    pub fn record(&mut self, now: Time, limits: &Limits) {
        self.idle.replace(now, limits.idle_timeout);
        self.head.replace(now, limits.read_timeout);
    }

    /// Returns for how many whole seconds a caller may use a connection that becomes idle now; `None` if there
    /// are none. A fifth of the limit is left for the way of its next request.
    pub fn reuse_time(&self) -> Option<Duration> {
        let seconds = (self.idle.current * 4 / 5).as_secs();
        (seconds > 0).then(|| Duration::from_secs(seconds))
    }

    /// Returns the idle time that a caller may rely on, for a connection that is idle since `since`.
    pub fn idle_limit(&self, since: Time) -> Duration {
        self.idle.since(since)
    }

    /// Decides whether a connection is closed.
    pub fn check(&self, now: Time, activity: Activity, room: Room) -> Verdict {
        match activity {
            Activity::Busy => Verdict::Keep(None),
            Activity::Writing { since } => keep_until(now, since.after(MAX_WRITE_STALL)),
            Activity::Head { since } => keep_until(now, since.after(self.head.since(since))),
            Activity::Idle { since } => {
                let limit = self.idle.since(since);
                let close_at = since.after(limit);
                if now < close_at || room == Room::Scarce {
                    return keep_until(now, close_at);
                }
                let next_check = now.after(limit / CHECKS_PER_LIMIT);
                match keep_until(now, since.after(limit * ROOMY_FACTOR)) {
                    Verdict::Keep(Some(end)) => Verdict::Keep(Some(end.min(next_check))),
                    verdict => verdict,
                }
            }
        }
    }
}

fn keep_until(now: Time, close_at: Time) -> Verdict {
    if now < close_at {
        Verdict::Keep(Some(close_at))
    } else {
        Verdict::Close
    }
}

/// One limit, with the earlier ones that were longer.
#[derive(Debug)]
struct LongestLimit {
    current: Duration,
    /// The earlier limits, each longer than all that followed it.
    past: Vec<PastLimit>,
}

#[derive(Clone, Copy, Debug)]
struct PastLimit {
    limit: Duration,
    ended_at: Time,
}

impl LongestLimit {
    fn new(current: Duration) -> LongestLimit {
        LongestLimit {
            current,
            past: Vec::new(),
        }
    }

    fn replace(&mut self, now: Time, limit: Duration) {
        let replaced = PastLimit {
            limit: self.current,
            ended_at: now,
        };
        self.current = limit;
        self.past.retain(|past| past.limit > replaced.limit);
        self.past.push(replaced);
        self.past.retain(|past| past.limit > limit);
        // A connection that was idle at its end is closed by now, however roomy it is.
        self.past
            .retain(|past| now < past.ended_at.after(past.limit * ROOMY_FACTOR));
        if self.past.len() > MAX_PAST {
            // The one before is longer, and stands for it.
            let shortest = self.past.pop();
            let ended_at = shortest.map_or(now, |past| past.ended_at);
            if let Some(last) = self.past.last_mut() {
                last.ended_at = ended_at;
            }
        }
    }

    /// Returns the longest limit in force since a time.
    fn since(&self, since: Time) -> Duration {
        let past = self.past.iter().find(|past| since < past.ended_at);
        past.map_or(self.current, |past| past.limit)
    }
}
