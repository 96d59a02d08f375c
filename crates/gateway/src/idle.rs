//! Drives the connection of a caller until it ends, or has been idle or read a head for too long.
//!
//! Invariants: the limits are those of the configurations in force while the connection is idle, not the one at its
//! opening; bytes that have arrived before the close are read, if the HTTP server reads at all.
//!
//! API boundary: `server` creates one [`IdleWatch`] for each connection and drives the HTTP server through it.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use ::process::caller::CallerConn;
use decision::time::Time;
use serving::caller_memory::UNREAD_STALL;
use serving::idle::Activity;
use serving::idle::Room;
use serving::idle::Verdict;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::caller_memory::ConnMemory;
use crate::caller_memory::Report;
use crate::entry::Entry;

/// How long the HTTP server has for bytes that are unread when a connection is to be closed.
const SECOND_LOOK_DELAY: Duration = Duration::from_millis(50);

/// How a connection has ended.
#[derive(Debug)]
pub(crate) enum Driven {
    /// The HTTP server has ended it; `None` if the caller left during a request.
    Ended(Option<hyper::Result<()>>),
    /// It was idle for too long.
    Idle,
    /// The head of a request took too long.
    SlowHead,
    /// The caller takes no part of a response.
    Stalled,
    /// Others need its memory or its place.
    Evicted,
}

/// Watches what one connection does.
pub(crate) struct IdleWatch {
    entry: Arc<Entry>,
    caller: Arc<CallerConn>,
    memory: Arc<ConnMemory>,
    /// What was last reported of the memory.
    reported: Report,
    eviction: Pin<Box<WaitForCancellationFutureOwned>>,
    /// The most connections that may be open.
    max_conns: usize,
    /// What the timer was set for.
    activity: Activity,
    timer: Pin<Box<Sleep>>,
    /// Whether it was about to be closed, but for bytes that were unread.
    looked_again: bool,
}

impl IdleWatch {
    pub(crate) fn new(
        entry: Arc<Entry>,
        caller: Arc<CallerConn>,
        memory: Arc<ConnMemory>,
        max_conns: usize,
    ) -> IdleWatch {
        IdleWatch {
            entry,
            caller,
            eviction: Box::pin(memory.eviction().cancelled_owned()),
            memory,
            reported: Report::default(),
            max_conns,
            activity: Activity::Busy,
            timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
            looked_again: false,
        }
    }

    /// Drives the HTTP server of the connection. Dropping the future keeps both usable.
    pub(crate) async fn drive<S>(&mut self, server: Pin<&mut S>) -> Driven
    where
        S: Future<Output = hyper::Result<()>>,
    {
        let caller = self.caller.clone();
        let mut driven = pin!(caller.drive(server));
        poll_fn(|context| {
            if let Poll::Ready(result) = driven.as_mut().poll(context) {
                return Poll::Ready(Driven::Ended(result));
            }
            if self.poll_evicted(context).is_ready() {
                return Poll::Ready(Driven::Evicted);
            }
            self.poll_expired(context)
        })
        .await
    }

    /// Reports what the connection holds. Ready if it is to be ended; a request in progress ends by itself, and so
    /// does an answer that is being taken.
    fn poll_evicted(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let usage = self.caller.usage();
        self.memory.report(&usage, &mut self.reported);
        ready!(self.eviction.as_mut().poll(context));
        let is_written = usage.writing && usage.idle_since.elapsed() < UNREAD_STALL;
        if usage.busy || is_written {
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<Driven> {
        let activity = self.current_activity();
        if activity != self.activity {
            self.activity = activity;
            self.looked_again = false;
            if activity != Activity::Busy {
                self.set_timer(self.entry.now());
            }
        }
        loop {
            if self.activity == Activity::Busy {
                return Poll::Pending;
            }
            ready!(self.timer.as_mut().poll(context));
            if self.set_timer(self.entry.now()) != Verdict::Close {
                continue;
            }
            if self.looked_again || !self.caller.has_unread() {
                return Poll::Ready(self.expired());
            }
            // Bytes that have arrived in the meantime are read, unless the caller reads nothing itself.
            self.looked_again = true;
            let next = Instant::now() + SECOND_LOOK_DELAY;
            self.timer.as_mut().reset(next);
        }
    }

    fn current_activity(&self) -> Activity {
        let usage = self.caller.usage();
        let clock = &self.entry.clock;
        let idle_since = clock.time(usage.idle_since);
        match usage.begun_at {
            _ if usage.busy => Activity::Busy,
            _ if usage.writing => Activity::Writing { since: idle_since },
            // It may have begun before the end of the last response.
            Some(begun_at) => Activity::Head {
                since: clock.time(begun_at).max(idle_since),
            },
            None => Activity::Idle { since: idle_since },
        }
    }

    /// Sets the timer for the next check.
    fn set_timer(&mut self, now: Time) -> Verdict {
        let open = self.entry.metrics.caller_conns.get();
        let room = Room::of(open.try_into().unwrap_or(0), self.max_conns);
        let limits = &self.entry.state().conn_limits;
        let verdict = limits.check(now, self.activity, room);
        if let Verdict::Keep(Some(next)) = verdict {
            self.timer.as_mut().reset(self.entry.clock.instant(next));
        }
        verdict
    }

    fn expired(&self) -> Driven {
        match self.activity {
            Activity::Head { .. } => Driven::SlowHead,
            Activity::Writing { .. } => Driven::Stalled,
            Activity::Idle { .. } | Activity::Busy => Driven::Idle,
        }
    }
}
