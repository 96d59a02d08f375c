//! Announced adapter versions: the newest one and the minimum one that may serve a request.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// Number of announcements kept per adapter. The oldest one is expected to be mandatory by the time
/// the list is full.
const MAX_ANNOUNCEMENTS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    /// `None` if the version was already announced when this entry first read all rows, so that its
    /// age is unknown.
    announced_at: Option<Time>,
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

    fn last(&self, adapter: &str) -> Option<&Announcement> {
        self.announcements.get(adapter)?.last()
    }

    /// Returns the adapters whose newest version should be loaded at a runner by now, with that
    /// version. The replicas of an adapter are updated one after another within `spread` from the
    /// announcement; `position` returns the runner's relative position among the replicas, from 0
    /// to 1, or `None` if it is not one of them.
    pub fn outdated(
        &self,
        now: Time,
        spread: Duration,
        position: impl Fn(&str) -> Option<f64>,
    ) -> Vec<(Name, u64)> {
        let newest = self
            .announcements
            .iter()
            .filter_map(|(adapter, list)| Some((adapter, list.last()?)));
        let due = newest.filter(|(adapter, last)| {
            let announced_at = last.announced_at.unwrap_or_default();
            let due_at =
                position(adapter).map(|position| announced_at.after(spread.mul_f64(position)));
            due_at.is_some_and(|due_at| now >= due_at)
        });
        due.map(|(adapter, last)| (adapter.clone(), last.version))
            .collect()
    }
}
