//! The newest version of each adapter and the one that a request needs at least.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// Announcements of one adapter that are remembered; the oldest one is binding by then.
const MAX_ANNOUNCED: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    /// `None` if it was found among all rows, so that its age is unknown.
    since: Option<Time>,
}

/// The versions that were announced, the newest one last.
#[derive(Debug, Default)]
pub struct Versions {
    announced: Map<Name, Vec<Announced>>,
}

impl Versions {
    /// Notes a version that was announced at `since`, or at an unknown earlier time; returns
    /// whether it is newer than the known one.
    pub fn announce(&mut self, since: Option<Time>, adapter: &Name, version: u64) -> bool {
        if version <= self.newest(adapter) {
            return false;
        }
        let list = self.announced.entry(adapter.clone()).or_default();
        if list.len() >= MAX_ANNOUNCED {
            list.remove(0);
        }
        list.push(Announced { version, since });
        true
    }

    /// Returns the newest version; 0 if none was announced.
    pub fn newest(&self, adapter: &str) -> u64 {
        self.last(adapter).map_or(0, |last| last.version)
    }

    /// Returns the oldest version that may still run: each announced version becomes binding
    /// `grace` after its announcement, and at once if its age is unknown.
    pub fn min_version(&self, now: Time, adapter: &str, grace: Duration) -> u64 {
        let Some(list) = self.announced.get(adapter) else {
            return 0;
        };
        let binding = list.iter().filter(|announced| {
            let since = announced.since;
            since.is_none_or(|since| now >= since.after(grace))
        });
        binding
            .map(|announced| announced.version)
            .max()
            .unwrap_or(0)
    }

    fn last(&self, adapter: &str) -> Option<&Announced> {
        self.announced.get(adapter)?.last()
    }

    /// Returns the adapters with their newest version whose holder should have it by now. `turn`
    /// returns the holder's turn among all holders, from 0 to 1; the turns fill the time `spread`
    /// from the announcement.
    pub fn outdated(
        &self,
        now: Time,
        spread: Duration,
        turn: impl Fn(&str) -> Option<f64>,
    ) -> Vec<(Name, u64)> {
        let newest = self
            .announced
            .iter()
            .filter_map(|(adapter, list)| Some((adapter, list.last()?)));
        let due = newest.filter(|(adapter, last)| {
            let since = last.since.unwrap_or_default();
            let due = turn(adapter).map(|turn| since.after(spread.mul_f64(turn)));
            due.is_some_and(|due| now >= due)
        });
        due.map(|(adapter, last)| (adapter.clone(), last.version))
            .collect()
    }
}
