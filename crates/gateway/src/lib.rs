//! The two processes that serve requests by calling runners directly: the entry and the agent.
//!
//! Invariants: decisions are made in `serving`, and the platform's protocol and formats are known
//! only to `platform`; each task is tracked and joined by the process that started it; no lock is
//! held across an await.
//!
//! API boundary: [`process::run`] and [`agent::run`] are the two programs; everything else is
//! internal to them and public only for tests.

mod admit;
pub mod agent;
mod answer;
pub mod attempt;
pub mod buffer;
pub mod caller_memory;
mod closing;
mod conn_end;
pub mod conns;
mod crash_checks;
pub mod dispatch;
mod dump;
pub mod entry;
mod evidence;
mod holds;
mod idle;
pub mod line_limits;
pub mod lines;
pub mod links;
mod locate;
pub mod logs;
mod membership;
pub mod metrics;
mod notices;
mod outdated;
pub mod process;
mod quarantine;
mod quota;
pub mod recover;
mod refusal;
pub mod relay;
mod replace;
pub mod request_body;
mod request_log;
mod resets;
mod retry_wait;
mod routing;
mod send;
pub mod send_check;
pub mod server;
mod service_queue;
mod signals;
mod slot;
mod step;
pub mod store;
mod unread;
pub mod watch;

use ::process::Clock;
use decision::time::Time;
use tokio::time::Instant;

/// The clock of a process, which also converts its times to instants of the tokio runtime.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    clock: Clock,
    start: Instant,
}

impl RuntimeClock {
    /// Starts a clock at time 0.
    pub fn start() -> Self {
        RuntimeClock {
            clock: Clock::start(),
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Converts an instant of the runtime to a time of this clock; the start for one before it.
    pub fn time(&self, instant: Instant) -> Time {
        let age = instant.saturating_duration_since(self.start);
        Time(age.as_micros() as u64)
    }

    /// Converts a time of this clock to an instant for the runtime's timers.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + std::time::Duration::from_micros(time.0)
    }
}
