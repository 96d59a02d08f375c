//! What crashes say about the parts of prompts.

use decision::collections::Map;
use decision::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::request::PartId;

/// The most requests of one crash that are kept.
pub const MAX_CRASH_REQUESTS: usize = 32;

/// The weight of a crash against the last part that nobody was answered on, in a request whose answer
/// had begun.
const LAST_PART_WEIGHT: u32 = 3;
/// The weight of a crash against any other part that nobody was answered on.
const OTHER_PART_WEIGHT: u32 = 2;
/// The weight at which a part is held.
const HOLD_WEIGHT: u32 = 6;
/// The number of crashes from which a part is isolated although requests were answered on it before.
const ISOLATION_CRASHES: u32 = 3;
/// The number of canaries that must crash runners before such a part is held.
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
    /// Whether an entry has served requests on the part before the crashes.
    pub(super) served: bool,
    /// The position in the prompt, from 0.
    position: usize,
    crashes: u32,
    weight: u32,
    /// The crashes that came after the part was isolated.
    canary_crashes: u32,
}

impl Suspicion {
    /// Adds the evidence of one more crash; `tried` says whether the part was isolated by then.
    pub(super) fn add(&mut self, blame: Blame, tried: bool) {
        self.served |= blame.served;
        self.position = self.position.max(blame.position);
        self.crashes += 1;
        self.weight += blame.weight;
        self.canary_crashes += u32::from(tried);
    }

    /// Returns whether the part is to be held.
    pub(super) fn is_conclusive(&self) -> bool {
        if self.served {
            return self.canary_crashes >= CANARY_CRASHES;
        }
        self.weight >= HOLD_WEIGHT
    }

    /// Returns whether only one request at a time may have the part.
    pub(super) fn is_isolated(&self) -> bool {
        !self.served || self.crashes >= ISOLATION_CRASHES
    }
}

/// Returns the part that is to be held first: one that nobody was answered on, and then the last in its
/// prompts, since the parts before it are in them as well.
pub(super) fn most_suspect(suspicions: &Map<PartId, Suspicion>) -> Option<PartId> {
    let conclusive = suspicions.iter().filter(|(_, s)| s.is_conclusive());
    let first = conclusive.max_by_key(|(part, s)| (!s.served, s.position, s.weight, **part));
    first.map(|(part, _)| *part)
}

/// The evidence of one crash against one part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blame {
    served: bool,
    position: usize,
    weight: u32,
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
        let parts = self.crash.requests.iter().flatten().copied();
        parts.filter(|part| !self.cleared.contains(part))
    }

    /// Records that a request has been answered on a part since.
    pub(super) fn clear(&mut self, part: PartId) {
        if self.suspects().any(|suspect| suspect == part) {
            self.cleared.push(part);
        }
    }

    /// Takes over what is known of the crash by now.
    pub(super) fn update(&mut self, crash: Crash) {
        let mut served = std::mem::take(&mut self.crash.served);
        self.crash = crash;
        served.retain(|part| !self.crash.served.contains(part));
        self.crash.served.extend(served);
    }

    /// Returns the blame of each part that is not cleared. In a request with parts that nobody was
    /// answered on, only these are to blame.
    pub(super) fn blames(&self) -> Map<PartId, Blame> {
        let mut blames: Map<PartId, Blame> = Map::default();
        for parts in &self.crash.requests {
            let suspects = parts
                .iter()
                .enumerate()
                .filter(|(_, part)| !self.cleared.contains(part));
            let suspects: Vec<(usize, PartId, bool)> = suspects
                .map(|(position, part)| (position, *part, self.crash.served.contains(part)))
                .collect();
            let last_unserved = suspects.iter().rfind(|(_, _, served)| !served);
            let last_unserved = last_unserved.map(|(position, _, _)| *position);
            for (position, part, served) in suspects {
                if served && last_unserved.is_some() {
                    continue;
                }
                let is_last = self.crash.begun && Some(position) == last_unserved;
                let weight = if is_last {
                    LAST_PART_WEIGHT
                } else {
                    OTHER_PART_WEIGHT
                };
                let blame = blames.entry(part).or_insert(Blame {
                    served,
                    position,
                    weight,
                });
                blame.weight = blame.weight.max(weight);
                blame.position = blame.position.max(position);
            }
        }
        blames
    }
}
