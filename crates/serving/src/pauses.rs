//! Pauses of this process: times in which its machine was suspended or gave it no processor.
//!
//! Invariant: what is read while a pause may still be unnoticed, or soon after one, counts as written when the pause
//! began, since it may have waited for the process.
//!
//! API boundary: the process records a tick at regular intervals that are far shorter than [`MIN_PAUSE`].

use std::time::Duration;

use decision::time::Time;

/// The shortest time between two ticks that is a pause.
pub const MIN_PAUSE: Duration = Duration::from_millis(500);
/// How long after a pause the process still reads what has come in it.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Pause {
    began_at: Time,
    ended_at: Time,
}

/// The last pause of a process.
#[derive(Debug, Default)]
pub struct Pauses {
    ticked_at: Time,
    last: Option<Pause>,
}

impl Pauses {
    /// Records that the process runs; returns how long it has paused before, if it has.
    pub fn record_tick(&mut self, now: Time) -> Option<Duration> {
        let began_at = std::mem::replace(&mut self.ticked_at, now);
        let length = now.since(began_at);
        if length < MIN_PAUSE {
            return None;
        }
        self.last = Some(Pause {
            began_at,
            ended_at: now,
        });
        Some(length)
    }

    /// Returns the earliest time at which something that is read at `now` can have come.
    pub fn received_since(&self, now: Time) -> Time {
        if now.since(self.ticked_at) >= MIN_PAUSE {
            return self.ticked_at;
        }
        match self.last {
            Some(pause) if now < pause.ended_at.after(CATCH_UP_TIME) => pause.began_at,
            _ => now,
        }
    }
}
