//! Fault injection that all stand-ins share.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The injected faults of one stand-in.
///
/// A request passes them in this order: freeze, delay, outage, rate, lost request, late effect,
/// effect, lost response, response delay.
#[derive(Debug, Default)]
pub struct FaultInjector {
    frozen: AtomicBool,
    thawed: Notify,
    delay: AtomicU64,
    response_delay: AtomicU64,
    outage: AtomicBool,
    requests: AtomicU32,
    responses: AtomicU32,
    late: Mutex<(Duration, u32)>,
    reads: Mutex<Pace>,
    writes: Mutex<Pace>,
}

impl FaultInjector {
    /// Holds all requests, and all answers in progress, until switched off.
    pub fn set_frozen(&self, on: bool) {
        self.frozen.store(on, Ordering::SeqCst);
        if !on {
            self.thawed.notify_waiters();
        }
    }

    /// Delays every request before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.store(delay.as_micros() as u64, Ordering::SeqCst);
    }

    /// Delays every response after the request took effect.
    pub fn set_response_delay(&self, delay: Duration) {
        self.response_delay
            .store(delay.as_micros() as u64, Ordering::SeqCst);
    }

    /// Answers every request with 503, without effect.
    pub fn set_outage(&self, on: bool) {
        self.outage.store(on, Ordering::SeqCst);
    }

    /// Closes the connection of the next `count` writes before they take effect.
    pub fn lose_requests(&self, count: u32) {
        self.requests.store(count, Ordering::SeqCst);
    }

    /// Closes the connection of the next `count` writes after they took effect.
    pub fn lose_responses(&self, count: u32) {
        self.responses.store(count, Ordering::SeqCst);
    }

    /// Closes the connection of the next `count` writes at once, and lets each take effect `delay`
    /// later.
    pub fn delay_effects(&self, delay: Duration, count: u32) {
        *lock(&self.late) = (delay, count);
    }

    /// Limits the requests that are carried out per second; the others wait in order of arrival.
    /// `f64::INFINITY` lifts a limit.
    pub fn set_rate_limits(&self, reads: f64, writes: f64) {
        *lock(&self.reads) = Pace::new(reads);
        *lock(&self.writes) = Pace::new(writes);
    }

    /// Returns once the stand-in is not frozen.
    pub(crate) async fn thaw(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            let thawed = self.thawed.notified();
            if !self.frozen.load(Ordering::SeqCst) {
                return;
            }
            thawed.await;
        }
    }

    pub(crate) async fn wait_delay(&self) {
        wait(&self.delay).await;
    }

    pub(crate) async fn wait_response_delay(&self) {
        wait(&self.response_delay).await;
    }

    /// Waits for the turn of a request under the rate limits.
    pub(crate) async fn wait_turn(&self, is_write: bool) {
        let pace = if is_write { &self.writes } else { &self.reads };
        let turn = lock(pace).turn(Instant::now());
        if let Some(turn) = turn {
            tokio::time::sleep_until(turn).await;
        }
    }

    /// Returns the delay of the effect of this write, if it is to be late.
    pub(crate) fn takes_late(&self) -> Option<Duration> {
        let mut late = lock(&self.late);
        late.1 = late.1.checked_sub(1)?;
        Some(late.0)
    }

    pub(crate) fn is_out(&self) -> bool {
        self.outage.load(Ordering::SeqCst)
    }

    pub(crate) fn loses_request(&self) -> bool {
        take(&self.requests)
    }

    pub(crate) fn loses_response(&self) -> bool {
        take(&self.responses)
    }
}

/// A limit on requests per second.
#[derive(Debug, Default)]
struct Pace {
    gap: Duration,
    next: Option<Instant>,
}

impl Pace {
    fn new(rate: f64) -> Pace {
        Pace {
            gap: Duration::from_secs_f64(1.0 / rate),
            next: None,
        }
    }

    fn turn(&mut self, now: Instant) -> Option<Instant> {
        if self.gap.is_zero() {
            return None;
        }
        let turn = self.next.map_or(now, |next| next.max(now));
        self.next = Some(turn + self.gap);
        Some(turn)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic under this lock")
}

async fn wait(delay: &AtomicU64) {
    let micros = delay.load(Ordering::SeqCst);
    if micros > 0 {
        tokio::time::sleep(Duration::from_micros(micros)).await;
    }
}

/// Takes one from a counter of faults to come; returns whether there was one.
pub(crate) fn take(counter: &AtomicU32) -> bool {
    let taken = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    taken.is_ok()
}
