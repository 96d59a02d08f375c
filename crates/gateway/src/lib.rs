//! The processes that serve requests by calling runners directly: the entry and the agent.
//!
//! Invariants: decisions are those of `serving`, words of the platform stay in `platform`; each
//! task is tracked and joined by the process that started it; no lock is held across an await.
//!
//! API boundary: [`process::run`] and [`agent::run`] are the two programs; all else is internal to
//! them, public for tests.

pub mod agent;
pub mod attempt;
pub mod conns;
pub mod dispatch;
pub mod entry;
pub mod lines;
pub mod links;
mod locate;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod relay;
mod send;
pub mod server;
mod signals;
pub mod watch;

use ::process::Clock;
use decision::time::Time;
use tokio::time::Instant;

/// A process's clock, with the way back from its times to those of the runtime.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    clock: Clock,
    start: Instant,
}

impl RuntimeClock {
    /// Starts the clock.
    pub fn start() -> Self {
        RuntimeClock {
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
