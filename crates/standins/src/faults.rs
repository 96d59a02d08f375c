//! Fault injection for all fakes.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The injected faults of one fake server. All are off by default.
///
/// They apply to a request in this order: freeze, delay, outage, rate limit, lost request, delayed
/// effect, the request's own effect, lost response, response delay.
#[derive(Debug, Default)]
pub struct FaultInjector {
    frozen: AtomicBool,
    unfrozen: Notify,
    delay: AtomicU64,
    response_delay: AtomicU64,
    outage: AtomicBool,
    lost_requests: AtomicU32,
    lost_responses: AtomicU32,
    delayed_effects: Mutex<(Duration, u32)>,
    read_limit: Mutex<RateLimit>,
    write_limit: Mutex<RateLimit>,
}

impl FaultInjector {
    /// Blocks all requests, and all responses in progress, until set to false.
    pub fn set_frozen(&self, on: bool) {
        self.frozen.store(on, Ordering::SeqCst);
        if !on {
            self.unfrozen.notify_waiters();
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

    /// Rejects every request with 503, without effect.
    pub fn set_outage(&self, on: bool) {
        self.outage.store(on, Ordering::SeqCst);
    }

    /// Closes the connection of the next `count` writes before they take effect.
    pub fn lose_requests(&self, count: u32) {
        self.lost_requests.store(count, Ordering::SeqCst);
    }

    /// Closes the connection of the next `count` writes after they took effect.
    pub fn lose_responses(&self, count: u32) {
        self.lost_responses.store(count, Ordering::SeqCst);
    }

    /// Closes the connection of the next `count` writes immediately and applies each write `delay`
    /// later.
    pub fn delay_effects(&self, delay: Duration, count: u32) {
        *lock(&self.delayed_effects) = (delay, count);
    }

    /// Limits the reads and writes handled per second; further requests wait in order of arrival.
    /// Limits must be positive; `f64::INFINITY` removes a limit.
    pub fn set_rate_limits(&self, reads: f64, writes: f64) {
        *lock(&self.read_limit) = RateLimit::new(reads);
        *lock(&self.write_limit) = RateLimit::new(writes);
    }

    /// Waits until the server is not frozen.
    pub(crate) async fn wait_unfrozen(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            let unfrozen = self.unfrozen.notified();
            if !self.frozen.load(Ordering::SeqCst) {
                return;
            }
            unfrozen.await;
        }
    }

    pub(crate) async fn wait_delay(&self) {
        sleep_if_set(&self.delay).await;
    }

    pub(crate) async fn wait_response_delay(&self) {
        sleep_if_set(&self.response_delay).await;
    }

    /// Waits until the rate limit permits the request.
    pub(crate) async fn wait_rate_limit(&self, is_write: bool) {
        let limit = if is_write {
            &self.write_limit
        } else {
            &self.read_limit
        };
        let start = lock(limit).reserve(Instant::now());
        if let Some(start) = start {
            tokio::time::sleep_until(start).await;
        }
    }

    /// Returns the delay of this write's effect if one is injected, and counts the fault as used.
    pub(crate) fn take_effect_delay(&self) -> Option<Duration> {
        let mut fault = lock(&self.delayed_effects);
        fault.1 = fault.1.checked_sub(1)?;
        Some(fault.0)
    }

    pub(crate) fn has_outage(&self) -> bool {
        self.outage.load(Ordering::SeqCst)
    }

    pub(crate) fn take_lost_request(&self) -> bool {
        take_fault(&self.lost_requests)
    }

    pub(crate) fn take_lost_response(&self) -> bool {
        take_fault(&self.lost_responses)
    }
}

/// Spaces requests evenly. A zero interval means no limit.
#[derive(Debug, Default)]
struct RateLimit {
    interval: Duration,
    next_start: Option<Instant>,
}

impl RateLimit {
    fn new(rate: f64) -> RateLimit {
        RateLimit {
            interval: Duration::from_secs_f64(1.0 / rate),
            next_start: None,
        }
    }

    fn reserve(&mut self, now: Instant) -> Option<Instant> {
        if self.interval.is_zero() {
            return None;
        }
        let start = self.next_start.map_or(now, |next| next.max(now));
        self.next_start = Some(start + self.interval);
        Some(start)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic under this lock")
}

async fn sleep_if_set(delay: &AtomicU64) {
    let micros = delay.load(Ordering::SeqCst);
    if micros > 0 {
        tokio::time::sleep(Duration::from_micros(micros)).await;
    }
}

/// Decrements a counter of remaining faults; returns whether it was above zero.
pub(crate) fn take_fault(counter: &AtomicU32) -> bool {
    let taken = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    taken.is_ok()
}
