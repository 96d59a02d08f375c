//! The token buckets that an agent keeps for tenants, each filled by the parts of the entries that are with it.
//!
//! Invariants: a bucket fills at the rate times the parts of the entries whose terms have not ended, and holds no
//! more than the burst times these parts, so that a bucket that entries turn to is empty; an entry has one part,
//! however many links it has; an ask that was delayed counts for no longer than one that was not; the part of an
//! entry that has closed its link is left to the others only when its term has ended and it is not seen again.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use super::Bucket;
use super::Grant;
use super::MAX_TERM;
use super::TokenRequest;
use crate::Name;

/// How long a bucket is kept after the last request for its tokens.
const RETENTION: Duration = Duration::from_secs(60);
/// The most buckets of an agent.
const MAX_BUCKETS: usize = 2_000;
/// The longest name of a tenant, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// The longest wait that an answer names.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The most entries of a bucket.
const MAX_MEMBERS: usize = 1_024;
/// The term of an entry of the release before, which does not name one and counts as all entries.
const UNNAMED_TERM: Duration = Duration::from_secs(1);
/// The number of such an entry.
const UNNAMED_HOLDER: u64 = 0;
/// How long the part of an entry that has ended is left to the others. By then all know the lower number of entries.
const ABSENCE_PERIOD: Duration = Duration::from_secs(10);
/// The interval at which a bucket is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The share of the burst below which a bucket is reported.
const REPORTED_LEVEL: f64 = 0.25;
/// The sum of the parts from which all entries count as present, in spite of rounding.
const WHOLE: f64 = 0.999;

/// An entry that brings a part of the limit, or whose part is left to the others.
#[derive(Clone, Copy, Debug)]
struct Member {
    holder: u64,
    /// The number of entries that share the limit, as this one knows it.
    entries: u32,
    until: Time,
    /// When it closed its last link; `None` if it has one.
    closed_at: Option<Time>,
}

impl Member {
    fn is_present(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns until when the entry changes how the limit is divided.
    fn counts_until(&self) -> Time {
        let absent = self.closed_at.map(|at| at.after(ABSENCE_PERIOD));
        absent.map_or(self.until, |absent| absent.max(self.until))
    }
}

/// What a bucket has granted since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct BucketReport {
    /// The tenant.
    pub tenant: Name,
    /// The tokens granted.
    pub granted: u64,
    /// The asks for them.
    pub asks: u64,
    /// The tokens left.
    pub level: f64,
    /// The part of the limit that is with this agent, from 0 to 1.
    pub part: f64,
    /// The entries that are with it.
    pub members: usize,
}

/// The bucket of one tenant, and the entries that are with it.
#[derive(Debug)]
pub struct SharedBucket {
    bucket: Bucket,
    members: Vec<Member>,
    /// The sum of their parts, at most 1.
    part: f64,
    /// When the next of them stops being present, or absent.
    next_change: Option<Time>,
    /// When an entry last asked.
    asked_at: Time,
    granted: u64,
    asks: u64,
    reported_at: Time,
}

impl SharedBucket {
    /// Creates an empty bucket without entries.
    pub fn new(now: Time, request: &TokenRequest) -> SharedBucket {
        SharedBucket {
            bucket: Bucket::new(now, request.version, request.quota),
            members: Vec::new(),
            part: 0.0,
            next_change: None,
            asked_at: now,
            granted: 0,
            asks: 0,
            reported_at: now,
        }
    }

    /// Answers an entry.
    pub fn ask(&mut self, now: Time, request: &TokenRequest) -> Grant {
        self.advance(now);
        self.asked_at = self.asked_at.max(now);
        self.enter(now, request);
        let grant = self.bucket.ask(now, self.part, request);
        self.granted += grant.granted;
        self.asks += 1;
        Grant {
            stamp: stamp(now),
            ..grant
        }
    }

    /// Returns the tokens left, as of the last request.
    pub fn level(&self) -> f64 {
        self.bucket.level()
    }

    /// Fills the bucket by the parts of the entries, each until its term ends.
    fn advance(&mut self, now: Time) {
        while let Some(at) = self.next_change.filter(|at| *at <= now) {
            self.bucket.fill(at, self.part);
            self.members.retain(|member| member.counts_until() > at);
            self.count_parts(at);
        }
        self.bucket.fill(now, self.part);
    }

    fn enter(&mut self, now: Time, request: &TokenRequest) {
        let Some(membership) = &request.membership else {
            let term = now.after(UNNAMED_TERM);
            self.set_member(now, UNNAMED_HOLDER, 1, term);
            return;
        };
        if membership.entries == 0 {
            return;
        }
        if request.moved || membership.term.is_zero() {
            // What it left here before it was elsewhere is not granted again.
            self.remove(now, membership.holder);
        }
        let answered_at = Time::from_ms(membership.stamp.saturating_sub(1));
        let until = answered_at.after(membership.term.min(MAX_TERM));
        if membership.stamp > 0 && answered_at <= now && now < until {
            self.set_member(now, membership.holder, membership.entries, until);
        }
    }

    fn set_member(&mut self, now: Time, holder: u64, entries: u32, until: Time) {
        let has_room = self.members.len() < MAX_MEMBERS;
        let known = self.members.iter_mut().find(|one| one.holder == holder);
        match known {
            Some(member) => {
                member.entries = entries;
                member.until = until.max(member.until);
                member.closed_at = None;
            }
            None if has_room => self.members.push(Member {
                holder,
                entries,
                until,
                closed_at: None,
            }),
            None => {}
        }
        self.count_parts(now);
    }

    fn remove(&mut self, now: Time, holder: u64) {
        let before = self.members.len();
        self.members.retain(|member| member.holder != holder);
        if self.members.len() < before {
            self.count_parts(now);
        }
    }

    /// Records that an entry has closed its links.
    fn close(&mut self, now: Time, holder: u64) {
        self.advance(now);
        let known = self.members.iter_mut().find(|one| one.holder == holder);
        if let Some(member) = known.filter(|member| member.is_present(now)) {
            member.closed_at = Some(now);
        }
    }

    fn count_parts(&mut self, now: Time) {
        let present = self.members.iter().filter(|member| member.is_present(now));
        let count = present.clone().count();
        let absent = u32::try_from(self.members.len() - count).unwrap_or(u32::MAX);
        let parts = present.map(|member| {
            let others = member.entries.saturating_sub(absent);
            1.0 / f64::from(others.max(1))
        });
        let sum: f64 = parts.sum();
        self.part = if sum >= WHOLE { 1.0 } else { sum };
        let changes = self.members.iter().map(|member| {
            if member.is_present(now) {
                member.until
            } else {
                member.counts_until()
            }
        });
        self.next_change = changes.min();
        self.bucket.cap(self.part);
    }

    /// Returns what was granted since the last report, if that is due and the limit is short or divided.
    fn take_report(&mut self, now: Time, tenant: &Name) -> Option<BucketReport> {
        if now < self.reported_at.after(REPORT_INTERVAL) {
            return None;
        }
        self.reported_at = now;
        let (granted, asks) = (
            std::mem::take(&mut self.granted),
            std::mem::take(&mut self.asks),
        );
        let is_short = self.level() < self.bucket.burst() * REPORTED_LEVEL;
        let is_divided = self.part < 1.0;
        (granted > 0 && (is_short || is_divided)).then(|| BucketReport {
            tenant: tenant.clone(),
            granted,
            asks,
            level: self.level(),
            part: self.part,
            members: self
                .members
                .iter()
                .filter(|one| one.is_present(now))
                .count(),
        })
    }
}

/// Returns the stamp of an answer that is sent now; never 0.
fn stamp(now: Time) -> u64 {
    now.as_ms() + 1
}

/// The buckets of an agent, by tenant.
#[derive(Debug, Default)]
pub struct Buckets {
    buckets: Map<Name, SharedBucket>,
}

impl Buckets {
    /// Answers a request for tokens of a tenant. Nothing is granted for a name that is too long, or if there
    /// is no place for a further bucket.
    pub fn ask(&mut self, now: Time, tenant: &Name, request: &TokenRequest) -> Grant {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            return bucket.ask(now, request);
        }
        if self.buckets.len() >= MAX_BUCKETS {
            self.expire(now);
        }
        if self.buckets.len() >= MAX_BUCKETS || tenant.len() > MAX_NAME_BYTES {
            return Grant {
                wait: MAX_WAIT,
                ..Grant::default()
            };
        }
        let mut bucket = SharedBucket::new(now, request);
        let grant = bucket.ask(now, request);
        self.buckets.insert(tenant.clone(), bucket);
        grant
    }

    /// Records that an entry has closed its links. Unless it asks again before its term has ended, its process has
    /// ended.
    pub fn close(&mut self, now: Time, holder: u64) {
        for bucket in self.buckets.values_mut() {
            bucket.close(now, holder);
        }
    }

    /// Returns what the buckets have granted whose limits are short or divided, once a second.
    pub fn take_reports(&mut self, now: Time) -> Vec<BucketReport> {
        let buckets = self.buckets.iter_mut();
        let reports = buckets.filter_map(|(tenant, bucket)| bucket.take_report(now, tenant));
        reports.collect()
    }

    /// Drops the buckets that no entry has asked for a while.
    pub fn expire(&mut self, now: Time) {
        self.buckets
            .retain(|_, bucket| now.since(bucket.asked_at) < RETENTION);
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there is no bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
