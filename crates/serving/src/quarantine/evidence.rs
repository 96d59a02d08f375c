//! What crashes say about the parts of prompts, and about whole requests.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::request::PartId;

/// The most requests of one crash that are kept.
pub const MAX_CRASH_REQUESTS: usize = 32;

/// The number of crashes from which a part that nobody was answered on is held.
const HOLD_CRASHES: u32 = 3;
/// The same for crashes in which it was the last such part of a request whose answer had begun.
const HOLD_LAST_CRASHES: u32 = 2;
/// The same if requests were answered on the part before, but none between the crashes.
const HOLD_SERVED_LAST_CRASHES: u32 = 4;
/// The number of crashes from which a part is isolated although requests were answered on it before.
const ISOLATION_CRASHES: u32 = 3;
/// The number of crashes from which a whole request is held that was not answered in between, if it was
/// the only one under renewed suspicion in one of them.
const HOLD_WHOLE_CRASHES: u32 = 3;
/// The number of crashes from which it is held in any case.
const HOLD_SHARED_CRASHES: u32 = 6;
/// The number of crashes from which a whole request is tried beside no other such request. Requests that
/// were running beside the one to blame are then tried at other runners than that one.
const ALONE_CRASHES: u32 = 2;
/// How long a part that was served before must have been without an answer until it is isolated; other
/// requests with it are on their way, and end its suspicion if it is sound.
const ISOLATION_DELAY: Duration = Duration::from_millis(500);
/// The number of canaries that must crash runners before such a part is held in any case.
const CANARY_CRASHES: u32 = 2;

/// A crash of one incarnation of a runner, as its agent has put it together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The identifier of the runner.
    #[serde(rename = "r")]
    pub runner: Name,
    /// The start of the incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub born: u64,
    /// Whether the answers to the requests had begun. If any had, requests without are left out.
    #[serde(rename = "g")]
    pub begun: bool,
    /// The shared parts of the suspect requests, each in the order of the prompt.
    #[serde(rename = "q")]
    pub requests: Vec<Vec<PartId>>,
    /// Those of the parts on which an entry has served requests before.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub served: Vec<PartId>,
    /// The fingerprints of the requests that the runner had not answered.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub whole: Vec<PartId>,
}

/// A crash as one entry knows it.
#[derive(Debug)]
pub(super) struct KnownCrash {
    pub(super) crash: Crash,
    pub(super) at: Time,
    /// Parts that requests have been answered on since.
    cleared: Vec<PartId>,
}

/// The evidence against one part, from the crashes that no held part explains.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Suspicion {
    /// Whether it is a whole request rather than a part of a prompt.
    whole: bool,
    /// Whether an entry has served requests on the part before the crashes.
    pub(super) served: bool,
    /// The position in the prompt, from 0.
    position: usize,
    crashes: u32,
    /// The crashes in which it was the last suspect part of a request whose answer had begun.
    last_crashes: u32,
    /// The crashes that came after the part was isolated.
    canary_crashes: u32,
    /// The crashes in which no other whole request was that has been in several.
    alone_crashes: u32,
}

impl Suspicion {
    /// Adds the evidence of one more crash; `tried` says whether the part was isolated by then.
    pub(super) fn add(&mut self, blame: Blame, tried: bool) {
        self.whole |= blame.whole;
        self.served |= blame.served;
        self.position = self.position.max(blame.position);
        self.crashes += 1;
        self.last_crashes += u32::from(blame.is_last);
        self.canary_crashes += u32::from(tried);
    }

    /// Returns whether the part is to be held.
    pub(super) fn is_conclusive(&self) -> bool {
        if self.whole {
            let was_alone = self.crashes >= HOLD_WHOLE_CRASHES && self.alone_crashes > 0;
            return was_alone || self.crashes >= HOLD_SHARED_CRASHES;
        }
        if self.served {
            return self.last_crashes >= HOLD_SERVED_LAST_CRASHES
                || self.canary_crashes >= CANARY_CRASHES;
        }
        self.last_crashes >= HOLD_LAST_CRASHES || self.crashes >= HOLD_CRASHES
    }

    /// Returns how long after a crash the part is isolated.
    pub(super) fn isolation_delay(&self) -> Duration {
        if self.served {
            ISOLATION_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether only one request at a time may have the part.
    pub(super) fn is_isolated(&self) -> bool {
        !self.served || self.crashes >= ISOLATION_CRASHES
    }
}

impl Suspicion {
    /// Records a crash in which no other whole request was that has been in several.
    pub(super) fn add_alone(&mut self) {
        self.alone_crashes += 1;
    }

    /// Returns whether it is a whole request that is tried beside no other such request.
    pub(super) fn is_tried_alone(&self) -> bool {
        self.whole && self.crashes >= ALONE_CRASHES
    }
}

/// Returns the part that is to be held first, and whether it was served before: one that nobody was
/// answered on, and then the last in its prompts, since the parts before it are in them as well.
pub(super) fn most_suspect(suspicions: &Map<PartId, Suspicion>) -> Option<(PartId, bool)> {
    let conclusive = suspicions.iter().filter(|(_, s)| s.is_conclusive());
    let first = conclusive.max_by_key(|(part, s)| (!s.served, s.position, s.crashes, **part));
    first.map(|(part, suspicion)| (*part, suspicion.served))
}

/// The evidence of one crash against one part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blame {
    whole: bool,
    served: bool,
    position: usize,
    is_last: bool,
}

impl Crash {
    /// Returns the parts and the fingerprints of its requests.
    pub(super) fn suspects(&self) -> impl Iterator<Item = PartId> {
        let parts = self.requests.iter().flatten().copied();
        parts.chain(self.whole.iter().copied())
    }

    /// Keeps the number of requests within its bound.
    pub(super) fn truncate(&mut self) {
        self.requests.truncate(MAX_CRASH_REQUESTS);
        self.whole.truncate(MAX_CRASH_REQUESTS);
    }
}

fn extend_unique<T: PartialEq>(list: &mut Vec<T>, items: Vec<T>) {
    for item in items {
        if !list.contains(&item) {
            list.push(item);
        }
    }
}

impl KnownCrash {
    pub(super) fn new(now: Time, crash: Crash) -> Self {
        KnownCrash {
            crash,
            at: now,
            cleared: Vec::new(),
        }
    }

    /// Returns the parts that are not cleared.
    pub(super) fn suspects(&self) -> impl Iterator<Item = PartId> {
        let suspects = self.crash.suspects();
        suspects.filter(|part| !self.cleared.contains(part))
    }

    /// Returns the whole requests that are not cleared.
    pub(super) fn wholes(&self) -> impl Iterator<Item = PartId> {
        let wholes = self.crash.whole.iter().copied();
        wholes.filter(|whole| !self.cleared.contains(whole))
    }

    /// Records that a request has been answered on a part since.
    pub(super) fn clear(&mut self, part: PartId) {
        if self.suspects().any(|suspect| suspect == part) {
            self.cleared.push(part);
        }
    }

    /// Adds what is known of the crash by now. Each entry knows of its own requests only.
    pub(super) fn update(&mut self, crash: Crash) {
        if crash.begun && !self.crash.begun {
            self.crash.requests = crash.requests;
            self.crash.begun = true;
        } else if crash.begun == self.crash.begun {
            extend_unique(&mut self.crash.requests, crash.requests);
        }
        extend_unique(&mut self.crash.whole, crash.whole);
        self.crash.truncate();
        extend_unique(&mut self.crash.served, crash.served);
    }

    /// Returns the blame of each part that is not cleared. In a request with parts that nobody was
    /// answered on, only these are to blame.
    pub(super) fn blames(&self) -> Map<PartId, Blame> {
        let mut blames: Map<PartId, Blame> = Map::default();
        for parts in &self.crash.requests {
            let suspects = self.suspect_parts(parts);
            let last = suspects.last().map(|(position, _)| *position);
            for (position, part) in suspects {
                let blame = blames.entry(part).or_insert(Blame {
                    whole: false,
                    served: self.crash.served.contains(&part),
                    position,
                    is_last: false,
                });
                blame.position = blame.position.max(position);
                blame.is_last |= self.crash.begun && Some(position) == last;
            }
        }
        for part in self.wholes() {
            let blame = Blame {
                whole: true,
                served: false,
                position: usize::MAX,
                is_last: false,
            };
            blames.insert(part, blame);
        }
        blames
    }

    /// Returns the parts of one request that are to blame, with their positions.
    fn suspect_parts(&self, parts: &[PartId]) -> Vec<(usize, PartId)> {
        let parts = parts.iter().copied().enumerate();
        let suspects = parts.filter(|(_, part)| !self.cleared.contains(part));
        let suspects: Vec<(usize, PartId)> = suspects.collect();
        let unserved = suspects
            .iter()
            .filter(|(_, part)| !self.crash.served.contains(part));
        let unserved: Vec<(usize, PartId)> = unserved.copied().collect();
        if unserved.is_empty() {
            suspects
        } else {
            unserved
        }
    }
}
