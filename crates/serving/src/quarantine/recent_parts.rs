//! The parts of prompts that were answered lately, in bounded memory.

use std::time::Duration;

use decision::collections::Set;
use decision::time::Time;

use crate::request::PartId;

/// The most parts of one generation.
const MAX_PARTS: usize = 8_192;
/// The time after which a new generation begins.
const GENERATION_TIME: Duration = Duration::from_secs(60);

/// A set of two generations: a full or old generation replaces the one before it.
#[derive(Debug, Default)]
pub(super) struct RecentParts {
    current: Set<PartId>,
    previous: Set<PartId>,
    since: Time,
}

impl RecentParts {
    pub(super) fn insert(&mut self, now: Time, part: PartId) {
        if self.current.len() >= MAX_PARTS || self.is_old(now) {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(part);
    }

    pub(super) fn contains(&self, now: Time, part: PartId) -> bool {
        if now.since(self.since) >= 2 * GENERATION_TIME {
            return false;
        }
        self.current.contains(&part) || (!self.is_old(now) && self.previous.contains(&part))
    }

    fn is_old(&self, now: Time) -> bool {
        now.since(self.since) >= GENERATION_TIME
    }
}
