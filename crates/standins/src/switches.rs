//! Fault switches that all stand-ins share.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;

/// The fault switches of one stand-in.
///
/// A request passes them in this order: freeze, delay, outage, lost request, effect, lost response.
#[derive(Debug, Default)]
pub struct Switches {
    frozen: AtomicBool,
    thawed: Notify,
    delay: AtomicU64,
    outage: AtomicBool,
    requests: AtomicU32,
    responses: AtomicU32,
}

impl Switches {
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
        let micros = self.delay.load(Ordering::SeqCst);
        if micros > 0 {
            tokio::time::sleep(Duration::from_micros(micros)).await;
        }
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

/// Takes one from a counter of faults to come; returns whether there was one.
pub(crate) fn take(counter: &AtomicU32) -> bool {
    let taken = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    taken.is_ok()
}
