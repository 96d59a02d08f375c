//! The processes that serve requests by calling runners directly: the entry and the agent.
//!
//! Invariants: decisions are those of `serving`, words of the platform stay in `platform`; each
//! task is tracked and joined by the process that started it; no lock is held across an await.
//!
//! API boundary: [`process::run`] and [`agent::run`] are the two programs; all else is internal to
//! them, public for tests.

pub mod agent;
pub mod conns;
pub mod dispatch;
pub mod entry;
pub mod front;
pub mod lines;
pub mod links;
mod locate;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod relay;
pub mod run;
mod send;
mod signals;
pub mod watch;

use ::process::Clock;
use decision::time::Time;
use tokio::time::Instant;

/// A process's clock, with the way back from its times to those of the runtime.
#[derive(Clone, Copy, Debug)]
pub struct Timer {
    clock: Clock,
    start: Instant,
}

impl Timer {
    /// Starts the clock.
    pub fn start() -> Self {
        Timer {
            clock: Clock::start(),
            start: Instant::now(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the runtime's instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + std::time::Duration::from_micros(time.0)
    }
}
