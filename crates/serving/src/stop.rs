//! Decides which requests a stopping entry still takes.
//!
//! A request that the entry cannot answer before it ends would be cut off, which is worse for its caller
//! than a refusal: that goes to another entry at once.
//!
//! Invariants: a request is taken only if its deadline, or the time that all but the slowest requests of
//! its route have lately needed, ends before the cut; the number of routes whose times are kept is
//! bounded.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// The time over which response times are collected; those of the window before count as well.
const WINDOW: Duration = Duration::from_secs(10);
/// The fewest responses whose times tell something of the next one.
const MIN_RESPONSES: u32 = 8;
/// One response in so many may be longer than what is expected: a runner that was silent for a moment
/// says nothing of the next request.
const RESPONSES_PER_OUTLIER: u32 = 50;
/// The most responses that are left out for that.
const MAX_OUTLIERS: usize = 7;
/// The expected time of a request, as a multiple of the longest of late that is not left out.
const LENGTH_FACTOR: f64 = 1.5;
/// The most routes whose times are kept.
const MAX_ROUTES: usize = 4_096;

#[derive(Debug, Default)]
struct Window {
    /// The longest times, the longest first.
    longest: [Duration; MAX_OUTLIERS + 1],
    responses: u32,
}

#[derive(Debug, Default)]
struct RouteTimes {
    since: Time,
    current: Window,
    previous: Window,
}

/// How long the requests of each route have lately needed, from their arrival to their end.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    routes: Map<Name, RouteTimes>,
}

impl ResponseTimes {
    /// Records a request that was answered.
    pub fn record(&mut self, now: Time, route: &Name, time: Duration) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes
                    .retain(|_, times| now.since(times.since) < 2 * WINDOW);
            }
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let times = self.routes.entry(route.clone()).or_default();
        if now.since(times.since) >= WINDOW {
            times.previous = std::mem::take(&mut times.current);
            times.since = now;
        }
        times.current.record(time);
    }

    /// Returns the expected time of the next request; `None` if too few were answered lately.
    pub fn expected(&self, now: Time, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        if now.since(times.since) >= 2 * WINDOW {
            return None;
        }
        let responses = times.current.responses + times.previous.responses;
        let outliers = (responses / RESPONSES_PER_OUTLIER) as usize;
        let mut longest = [times.current.longest, times.previous.longest].concat();
        longest.sort_unstable_by(|a, b| b.cmp(a));
        let usual = longest[outliers.min(MAX_OUTLIERS)];
        (responses >= MIN_RESPONSES).then(|| usual.mul_f64(LENGTH_FACTOR))
    }
}

impl Window {
    fn record(&mut self, time: Duration) {
        self.responses += 1;
        let rank = self.longest.partition_point(|longer| *longer >= time);
        let shorter = &mut self.longest[rank..];
        if let Some(shortest) = shorter.last_mut() {
            *shortest = time;
            shorter.rotate_right(1);
        }
    }
}

/// Returns whether a stopping entry, which cuts off what is in progress at `cut_at`, can take a request
/// with this deadline and this expected time.
pub fn can_finish(now: Time, cut_at: Time, deadline: Time, expected: Option<Duration>) -> bool {
    deadline <= cut_at || expected.is_some_and(|expected| now.after(expected) <= cut_at)
}
