//! Announced adapter versions: the newest one, the minimum one that may serve a request, and how long a
//! request that names an older one may wait at a runner.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// Number of announcements kept per adapter. With [`MIN_SPACING`] between two of them, the oldest one is
/// mandatory by the time the list is full.
const MAX_ANNOUNCEMENTS: usize = 32;
/// The shortest time between two announcements of an adapter that count apart. A version that follows
/// sooner takes the place of the one before, and becomes mandatory with it.
const MIN_SPACING: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    /// `None` if the version was already announced when this entry first read all rows, so that its
    /// age is unknown.
    announced_at: Option<Time>,
}

impl Announcement {
    fn is_soon_followed(&self, next: Option<Time>) -> bool {
        let times = self.announced_at.zip(next);
        times.is_some_and(|(at, next)| next.since(at) < MIN_SPACING)
    }
}

/// Whether a request that was sent to a runner may still begin there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validity {
    /// It may, until this time; `None` as long as no newer version is announced.
    Valid(Option<Time>),
    /// A newer version is mandatory.
    Outdated(Successor),
}

/// The newest version of an adapter, which replaces an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The version.
    pub version: u64,
    /// When it was announced; `None` if that is not known.
    pub announced_at: Option<Time>,
}

/// The announced versions of all adapters.
#[derive(Debug, Default)]
pub struct Versions {
    /// The announcements of each adapter, newest last.
    announcements: Map<Name, Vec<Announcement>>,
}

impl Versions {
    /// Records a version that was announced at `announced_at`, or at an unknown earlier time if
    /// `None`; returns whether it is newer than the newest known one.
    pub fn announce(&mut self, announced_at: Option<Time>, adapter: &Name, version: u64) -> bool {
        if version <= self.newest(adapter) {
            return false;
        }
        let list = self.announcements.entry(adapter.clone()).or_default();
        if let Some(last) = list.last_mut()
            && last.is_soon_followed(announced_at)
        {
            last.version = version;
            return true;
        }
        if list.len() >= MAX_ANNOUNCEMENTS {
            list.remove(0);
        }
        list.push(Announcement {
            version,
            announced_at,
        });
        true
    }

    /// Returns the newest announced version; 0 if none was announced.
    pub fn newest(&self, adapter: &str) -> u64 {
        self.last(adapter).map_or(0, |last| last.version)
    }

    /// Returns the oldest version that may still serve requests; 0 for any. Each announced version
    /// becomes mandatory `grace` after its announcement, or immediately if its age is unknown.
    pub fn min_version(&self, now: Time, adapter: &str, grace: Duration) -> u64 {
        let Some(list) = self.announcements.get(adapter) else {
            return 0;
        };
        let mandatory = list.iter().filter(|announcement| {
            let announced_at = announcement.announced_at;
            announced_at.is_none_or(|announced_at| now >= announced_at.after(grace))
        });
        mandatory
            .map(|announcement| announcement.version)
            .max()
            .unwrap_or(0)
    }

    /// Returns whether a request that was sent for `version`, or for any version if that is 0, may begin at
    /// `now`. Each newer version is mandatory `limit` after its announcement, or immediately if its age is
    /// unknown.
    pub fn validity(&self, now: Time, adapter: &str, version: u64, limit: Duration) -> Validity {
        let list = self.announcements.get(adapter);
        let newer = list.into_iter().flatten();
        let newer = newer.filter(|announcement| announcement.version > version);
        let ends = newer.map(|newer| newer.announced_at.map_or(now, |at| at.after(limit)));
        let end = ends.min();
        match self.last(adapter).zip(end) {
            Some((last, end)) if now >= end => Validity::Outdated(Successor {
                version: last.version,
                announced_at: last.announced_at,
            }),
            _ => Validity::Valid(end),
        }
    }

    fn last(&self, adapter: &str) -> Option<&Announcement> {
        self.announcements.get(adapter)?.last()
    }

    /// Returns the adapters of which a runner should have another version by now, with that version. The
    /// replicas of an adapter are updated one after another within `spread` from each announcement;
    /// `position` returns the runner's relative position among the replicas, from 0 to 1, or `None` if it
    /// is not one of them.
    pub fn outdated(
        &self,
        now: Time,
        spread: Duration,
        position: impl Fn(&str) -> Option<f64>,
    ) -> Vec<(Name, u64)> {
        let due = self.announcements.iter().filter_map(|(adapter, list)| {
            let delay = spread.mul_f64(position(adapter)?);
            let is_due = |announced: &&Announcement| {
                now >= announced.announced_at.unwrap_or_default().after(delay)
            };
            Some((adapter, list.iter().rev().find(is_due)?))
        });
        due.map(|(adapter, last)| (adapter.clone(), last.version))
            .collect()
    }
}
