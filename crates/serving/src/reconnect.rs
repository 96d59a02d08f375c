//! When a new connection to a runner may be opened, and when a request may be written to one.
//!
//! A runner that has as many connections as it accepts resets further ones. Its kernel has accepted
//! them by then, so a request that was written at once is lost, and may have run as far as the entry
//! can tell.
//!
//! Invariants: a reset pauses new connections for at most [`MAX_PAUSE`]; connections that were opened
//! side by side lengthen a pause once.
//!
//! API boundary: `gateway` records resets and answers, waits for [`settle_time`], and passes the paused
//! runners to which it has no idle connection to [`Fleet::place_among`](crate::fleet::Fleet::place_among).

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// The first pause after a reset.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after a reset.
pub const MAX_PAUSE: Duration = Duration::from_millis(400);
/// How long after the end of a pause the next one is still twice as long.
const RETENTION: Duration = Duration::from_secs(1);
/// The settle time as a multiple of the time that connecting took: the runner accepts a connection after
/// the first half of a round trip, and its reset takes the other half.
const SETTLE_PER_CONNECT: u32 = 2;
/// Bounds of the settle time. A busy runner accepts a connection some time after its kernel has.
const MIN_SETTLE: Duration = Duration::from_millis(3);
const MAX_SETTLE: Duration = Duration::from_millis(20);

/// Returns how long a request that must not run twice waits on a new connection, in which time a reset
/// becomes visible.
pub fn settle_time(connect_time: Duration) -> Duration {
    let settle = connect_time.saturating_mul(SETTLE_PER_CONNECT);
    settle.clamp(MIN_SETTLE, MAX_SETTLE)
}

/// The runners to which no connection may be opened for a while.
#[derive(Debug, Default)]
pub struct ReconnectPauses {
    runners: Map<Name, Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    /// The start of the runner's incarnation, in milliseconds since the Unix epoch.
    born: u64,
    begun_at: Time,
    length: Duration,
}

impl Pause {
    fn ends_at(&self) -> Time {
        self.begun_at.after(self.length)
    }
}

impl ReconnectPauses {
    /// Records that an incarnation of a runner has reset a connection, opened at `opened_at`, before an
    /// answer began; returns when the next one may be opened.
    pub fn record_reset(&mut self, now: Time, runner: &Name, born: u64, opened_at: Time) -> Time {
        self.runners
            .retain(|_, pause| now < pause.ends_at().after(RETENTION));
        let known = self.runners.get(runner).copied();
        let known = known.filter(|known| known.born == born);
        if let Some(known) = known.filter(|known| opened_at <= known.begun_at) {
            return known.ends_at();
        }
        let length = known.map_or(MIN_PAUSE, |known| (known.length * 2).min(MAX_PAUSE));
        let pause = Pause {
            born,
            begun_at: now,
            length,
        };
        self.runners.insert(runner.clone(), pause);
        pause.ends_at()
    }

    /// Records that a runner has answered on a connection that was opened at `opened_at`. If that was after
    /// the last reset, the runner accepts connections again.
    pub fn record_answer(&mut self, runner: &str, opened_at: Time) {
        let accepts = |pause: &Pause| pause.begun_at < opened_at;
        if self.runners.get(runner).is_some_and(accepts) {
            self.runners.remove(runner);
        }
    }

    /// Returns when a connection to this incarnation of a runner may be opened, if not now.
    pub fn paused_until(&self, now: Time, runner: &str, born: u64) -> Option<Time> {
        let pause = self.runners.get(runner)?;
        (pause.born == born && now < pause.ends_at()).then(|| pause.ends_at())
    }

    /// Returns the runners that are paused now, with their incarnations.
    pub fn paused(&self, now: Time) -> impl Iterator<Item = (&Name, u64)> {
        let pauses = self.runners.iter();
        let paused = pauses.filter(move |(_, pause)| now < pause.ends_at());
        paused.map(|(runner, pause)| (runner, pause.born))
    }

    /// Forgets a runner that is gone.
    pub fn remove(&mut self, runner: &str) {
        self.runners.remove(runner);
    }
}
