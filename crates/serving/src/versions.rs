//! The newest version of each adapter and the one that a request needs at least.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

#[derive(Clone, Copy, Debug)]
struct Newest {
    version: u64,
    before: u64,
    since: Time,
}

/// The versions that were announced.
#[derive(Debug, Default)]
pub struct Versions {
    newest: Map<Name, Newest>,
}

impl Versions {
    /// Notes an announced version; returns whether it is newer than the known one.
    pub fn announce(&mut self, now: Time, adapter: &Name, version: u64) -> bool {
        let known = self.newest.get(adapter).copied();
        let before = known.map_or(0, |newest| newest.version);
        if version <= before {
            return false;
        }
        let since = now;
        self.newest.insert(
            adapter.clone(),
            Newest {
                version,
                before,
                since,
            },
        );
        true
    }

    /// Returns the newest version; 0 if none was announced.
    pub fn newest(&self, adapter: &str) -> u64 {
        self.newest.get(adapter).map_or(0, |newest| newest.version)
    }

    /// Returns the oldest version that may still run; an announced version becomes binding after
    /// `grace`.
    pub fn required(&self, now: Time, adapter: &str, grace: Duration) -> u64 {
        let Some(newest) = self.newest.get(adapter) else {
            return 0;
        };
        if newest.before > 0 && now < newest.since.after(grace) {
            newest.before
        } else if newest.before == 0 && now < newest.since.after(grace) {
            0
        } else {
            newest.version
        }
    }

    /// Returns the adapters with their newest version whose holder should have it by now. `rank`
    /// returns the holder's place among all holders, which take their turns `stagger` apart.
    pub fn outdated(
        &self,
        now: Time,
        stagger: Duration,
        rank: impl Fn(&str) -> Option<u32>,
    ) -> Vec<(Name, u64)> {
        let due = self.newest.iter().filter(|(adapter, newest)| {
            let turn = rank(adapter).map(|rank| newest.since.after(stagger * rank));
            turn.is_some_and(|turn| now >= turn)
        });
        due.map(|(adapter, newest)| (adapter.clone(), newest.version))
            .collect()
    }
}
