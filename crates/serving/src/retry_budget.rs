//! The retry budget, which all entries share.
//!
//! Each entry counts its own requests and retries and uses an equal part of the shared slack.

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// Number of buckets in the sliding window. One more is kept, as the oldest bucket is dropped as a whole and
/// its end is to lie outside of the window then.
const BUCKETS: u32 = 20;
/// Share of the allowance that entries use. The rest allows for differences between the clocks and
/// counts of the entries.
const USED_SHARE: f64 = 0.8;

/// Share of these retries that may go to requests whose attempt is only silent, so that a moment in which
/// many are leaves retries for those whose attempt has ended.
const SILENT_SHARE: f64 = 0.8;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The attempt before has ended without an answer.
    Ended,
    /// The attempt before is silent, and may still answer.
    Silent,
}

/// The retries allowed for one service, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in addition, over all entries.
    pub slack: f64,
    /// The length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    /// The time divided by the bucket length.
    index: u64,
    requests: u32,
    retries: u32,
    /// Those of the retries that had the cause [`RetryCause::Silent`].
    silent: u32,
}

/// What lies in a window.
#[derive(Clone, Copy, Debug)]
struct Counts {
    requests: u32,
    retries: u32,
    silent: u32,
}

/// The part of the allowance that one entry may use.
#[derive(Clone, Copy, Debug)]
struct Share {
    ratio: f64,
    slack: f64,
}

impl Share {
    /// Returns whether one more retry for this cause is allowed.
    fn allows(self, counts: Counts, cause: RetryCause) -> bool {
        let allowed = (self.ratio * f64::from(counts.requests) + self.slack) * USED_SHARE;
        if f64::from(counts.retries + 1) > allowed {
            return false;
        }
        match cause {
            RetryCause::Ended => true,
            RetryCause::Silent => f64::from(counts.silent + 1) <= allowed * SILENT_SHARE,
        }
    }
}

/// The retry budget of one entry, counted per service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    entry_count: u32,
    services: Map<Name, Window>,
}

impl RetryBudget {
    /// Creates a budget; `entry_count` is the number of entries that share the slack, where 0
    /// counts as 1.
    pub fn new(allowance: Allowance, entry_count: u32) -> Self {
        RetryBudget {
            allowance,
            entry_count: entry_count.max(1),
            services: Map::default(),
        }
    }

    /// Sets the number of entries that share the slack; 0 counts as 1.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = entry_count.max(1);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Time, service: &Name) {
        self.window(now, service).last_mut().requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn try_take(&mut self, now: Time, service: &Name, cause: RetryCause) -> bool {
        if !self.has_left(now, service, cause) {
            return false;
        }
        let bucket = self.window(now, service).last_mut();
        bucket.retries += 1;
        bucket.silent += u32::from(cause == RetryCause::Silent);
        true
    }

    /// Returns whether a retry for this cause is left.
    pub fn has_left(&mut self, now: Time, service: &Name, cause: RetryCause) -> bool {
        let share = self.share();
        share.allows(self.window(now, service).counts(), cause)
    }

    /// Returns when a retry for this cause will be left if as many requests come as lately; `None` if that
    /// is not foreseen.
    pub fn next_retry(&mut self, now: Time, service: &Name, cause: RetryCause) -> Option<Time> {
        let share = self.share();
        let length = self.bucket_length();
        let window = self.window(now, service);
        let mut counts = window.counts();
        if share.allows(counts, cause) {
            return Some(now);
        }
        window.buckets.iter().find_map(|bucket| {
            counts.retries -= bucket.retries;
            counts.silent -= bucket.silent;
            let left_at = (bucket.index + u64::from(BUCKETS) + 1) * length;
            share
                .allows(counts, cause)
                .then_some(Time::from_ms(left_at))
        })
    }

    fn share(&self) -> Share {
        Share {
            ratio: self.allowance.ratio,
            slack: self.allowance.slack / f64::from(self.entry_count),
        }
    }

    /// Returns the length of a bucket, in milliseconds.
    fn bucket_length(&self) -> u64 {
        (self.allowance.window / BUCKETS).as_millis().max(1) as u64
    }

    /// Returns the window of a service, advanced to the current time.
    fn window(&mut self, now: Time, service: &Name) -> &mut Window {
        let index = now.as_ms() / self.bucket_length();
        let window = self.services.entry(service.clone()).or_default();
        window.advance(index);
        window
    }
}

impl Window {
    /// Makes the bucket with this index the last one and drops those that left the window.
    fn advance(&mut self, index: u64) {
        let first = index.saturating_sub(u64::from(BUCKETS));
        self.buckets.retain(|bucket| bucket.index >= first);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
    }

    fn counts(&self) -> Counts {
        Counts {
            requests: self.sum(|bucket| bucket.requests),
            retries: self.sum(|bucket| bucket.retries),
            silent: self.sum(|bucket| bucket.silent),
        }
    }

    fn sum(&self, count: impl Fn(&Bucket) -> u32) -> u32 {
        self.buckets.iter().map(count).sum()
    }

    fn last_mut(&mut self) -> &mut Bucket {
        if self.buckets.is_empty() {
            self.buckets.push_back(Bucket::default());
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
