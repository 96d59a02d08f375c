//! Finds the parts of prompts, and the whole requests, on which runners crash, and holds back the
//! requests that have them.
//!
//! A crash is evidence against the parts of the requests that the runner had not answered yet, and an
//! answer is evidence for the parts of its request. A whole request, known by its fingerprint, is the
//! most specific of its parts: no other request shares it, only its repeats. A part under suspicion is isolated: one request at
//! a time, the canary, may try it. A part that explains several crashes is held: its requests are
//! refused until the hold expires, and then one request may probe it.
//!
//! Invariants: a part that requests are answered on is neither isolated nor held; a crash that a held
//! part explains is no evidence against others; crashes, held parts and the memory of answered parts
//! are bounded.
//!
//! API boundary: entries record what every attempt has shown, a [`Finding`], and the crashes that agents tell of; agents find these
//! with [`crate::crash_reports`].

mod admission;
mod evidence;
mod finding;
mod recent_parts;

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

pub use self::admission::Admission;
pub use self::admission::Refusal;
pub use self::admission::RefusalCause;
pub use self::evidence::Crash;
pub use self::evidence::MAX_CRASH_REQUESTS;
pub use self::finding::Finding;

use self::evidence::KnownCrash;
use self::evidence::Suspicion;
use self::evidence::most_suspect;
use self::recent_parts::RecentParts;
use crate::Name;
use crate::request::PartId;

/// How long a crash is evidence.
pub const CRASH_MEMORY: Duration = Duration::from_secs(60);
/// The most crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 64;
/// The most held parts; the one whose hold expires first is dropped.
const MAX_HELD: usize = 256;

/// The time after the isolation from which a crash is counted as that of a canary; requests that were
/// sent before it may crash runners until then.
const CANARY_DELAY: Duration = Duration::from_secs(1);

/// The length of a part's first hold; each further one is twice as long.
const FIRST_HOLD: Duration = Duration::from_secs(30);
/// The most doublings of [`FIRST_HOLD`].
const MAX_HOLD_LEVEL: u32 = 6;
/// How long after its expiry a hold is kept for a request that probes its part.
const HOLD_MEMORY: Duration = Duration::from_secs(600);
/// How long a hold can still be withdrawn when another entry says that it has served the part.
const WITHDRAWAL_PERIOD: Duration = Duration::from_secs(1);
/// When a request that was refused because of a canary may return.
const CANARY_RETRY: Duration = Duration::from_millis(300);

/// What a new crash, or news of a known one, has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEffect {
    /// Parts that this entry has served requests on, and that the crash does not list as served.
    pub vouched: Vec<PartId>,
    /// Parts that are held from now on, or for longer than before.
    pub held: Vec<PartId>,
    /// Parts that are held no longer, since another entry has served them.
    pub released: Vec<PartId>,
    /// Whether this entry has reported an attempt that the crash broke.
    pub reported: bool,
    /// Whether the crash was not known before.
    pub is_new: bool,
}

/// The parts whose suspicion an answer has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cleared {
    /// Parts that were isolated.
    pub isolated: Vec<PartId>,
    /// Parts that were held.
    pub held: Vec<PartId>,
}

impl Cleared {
    /// Adds further parts.
    pub fn add(&mut self, more: Cleared) {
        self.isolated.extend(more.isolated);
        self.held.extend(more.held);
    }
}

/// A held part, as entries tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// When one request may probe the part.
    pub until: Time,
    /// How often the hold has been extended.
    pub level: u32,
}

#[derive(Clone, Copy, Debug)]
struct Isolation {
    /// Before this time requests are not held back.
    from: Time,
    canary: bool,
    /// Whether it is tried beside no other part of this kind.
    alone: bool,
}

/// An entry's evidence about parts of prompts, and what follows from it.
#[derive(Debug, Default)]
pub struct Quarantine {
    served: RecentParts,
    crashes: VecDeque<KnownCrash>,
    /// The parts of all crashes on which no request has been answered since.
    suspects: Set<PartId>,
    isolated: Map<PartId, Isolation>,
    held: Map<PartId, Hold>,
    /// New holds of parts that no entry was known to have served, with the time of each.
    withdrawable: Vec<(PartId, Time)>,
    /// The incarnations of runners whose broken attempts this entry has reported, the oldest first.
    reported: VecDeque<(Name, u64)>,
}

impl Quarantine {
    /// Records that this entry reports a broken attempt, and returns those of the parts that it has
    /// served.
    pub fn record_report(
        &mut self,
        now: Time,
        runner: &Name,
        born: u64,
        parts: &[PartId],
    ) -> Vec<PartId> {
        let reported = (runner.clone(), born);
        if !self.reported.contains(&reported) {
            if self.reported.len() >= MAX_CRASHES {
                self.reported.pop_front();
            }
            self.reported.push_back(reported);
        }
        let served = parts
            .iter()
            .filter(|part| self.served.contains(now, **part));
        served.copied().collect()
    }

    /// Decides whether a request with these parts may be sent.
    pub fn admit(&mut self, now: Time, parts: &[PartId]) -> Admission {
        self.admit_whole(now, parts, None)
    }

    /// Does the same for a request that also has a fingerprint.
    pub fn admit_whole(&mut self, now: Time, parts: &[PartId], whole: Option<PartId>) -> Admission {
        if !self.is_active() {
            return Admission::Free;
        }
        self.forget_old_crashes(now);
        let parts: Vec<PartId> = parts.iter().copied().chain(whole).collect();
        let refuse = |part, cause, retry_after| {
            Admission::Refused(Refusal {
                part,
                whole: whole == Some(part),
                cause,
                retry_after,
            })
        };
        if let Some((part, hold)) = self.find_held(&parts) {
            if now >= hold.until {
                return Admission::Probe(part);
            }
            return refuse(part, RefusalCause::Held, hold.until.since(now));
        }
        let suspects = self.isolated_parts(now, &parts);
        if suspects.is_empty() {
            return Admission::Free;
        }
        if let Some(part) = self.find_tried(&suspects) {
            return refuse(part, RefusalCause::Isolated, CANARY_RETRY);
        }
        for part in &suspects {
            if let Some(isolation) = self.isolated.get_mut(part) {
                isolation.canary = true;
            }
        }
        Admission::Canary(suspects)
    }

    /// Returns whether any part is isolated or held.
    pub fn is_active(&self) -> bool {
        !self.isolated.is_empty() || !self.held.is_empty()
    }

    /// Returns whether an answer could end a suspicion.
    pub fn has_suspects(&self) -> bool {
        self.is_active() || !self.suspects.is_empty()
    }

    fn isolated_parts(&self, now: Time, parts: &[PartId]) -> Vec<PartId> {
        let isolated = |part: &&PartId| {
            let isolation = self.isolated.get(*part);
            isolation.is_some_and(|isolation| now >= isolation.from)
        };
        parts.iter().filter(isolated).copied().collect()
    }

    /// Returns the first of these isolated parts that must wait for the end of a canary.
    fn find_tried(&self, suspects: &[PartId]) -> Option<PartId> {
        let mut isolated = self.isolated.values();
        let alone_tried = isolated.any(|isolation| isolation.alone && isolation.canary);
        let mut suspects = suspects.iter();
        suspects
            .find(|part| {
                let isolation = &self.isolated[*part];
                isolation.canary || (isolation.alone && alone_tried)
            })
            .copied()
    }

    /// Returns whether this is a whole request under such suspicion that it is tried alone.
    pub fn is_tried_alone(&self, part: PartId) -> bool {
        let isolation = self.isolated.get(&part);
        isolation.is_some_and(|isolation| isolation.alone)
    }

    /// Records that the canary of these parts has ended, whatever its outcome.
    pub fn end_canary(&mut self, parts: &[PartId]) {
        for part in parts {
            if let Some(isolation) = self.isolated.get_mut(part) {
                isolation.canary = false;
            }
        }
    }

    /// Returns the held part of a request whose hold expires last.
    pub fn find_held(&self, parts: &[PartId]) -> Option<(PartId, Hold)> {
        let held = |part: &PartId| Some((*part, *self.held.get(part)?));
        let held = parts.iter().filter_map(held);
        held.max_by_key(|(_, hold)| hold.until)
    }

    /// Records that a runner has answered a request with these parts. Other entries should hear of
    /// those that were under suspicion.
    pub fn record_answer(&mut self, now: Time, parts: &[PartId]) -> Cleared {
        for part in parts {
            self.served.insert(now, *part);
        }
        self.clear(now, parts)
    }

    /// Records that requests have been answered on these parts, here or at another entry.
    pub fn clear(&mut self, now: Time, parts: &[PartId]) -> Cleared {
        let mut cleared = Cleared::default();
        for part in parts {
            if self.isolated.remove(part).is_some() {
                cleared.isolated.push(*part);
            }
            if self.held.remove(part).is_some() {
                cleared.held.push(*part);
            }
            if self.suspects.remove(part) {
                for known in &mut self.crashes {
                    known.clear(*part);
                }
            }
        }
        if cleared != Cleared::default() {
            self.update_isolation(now);
        }
        cleared
    }

    /// Records a crash, or news of a crash that is known already.
    pub fn record_crash(&mut self, now: Time, crash: Crash) -> CrashEffect {
        self.record_crash_at(now, now, crash)
    }

    /// Does the same for a crash that was shared at `at`.
    pub fn record_crash_at(&mut self, now: Time, at: Time, mut crash: Crash) -> CrashEffect {
        self.forget_old_crashes(now);
        crash.truncate();
        let mut effect = CrashEffect {
            vouched: self.vouch(now, &mut crash),
            reported: self.has_reported(&crash),
            ..CrashEffect::default()
        };
        let same = |known: &&mut KnownCrash| {
            (&known.crash.runner, known.crash.born) == (&crash.runner, crash.born)
        };
        if let Some(known) = self.crashes.iter_mut().find(same) {
            known.update(crash);
        } else {
            effect.held = self.extend_holds(now, &crash);
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(KnownCrash::new(at, crash));
            effect.is_new = true;
        }
        effect.released = self.withdraw_holds(now);
        effect.held.extend(self.hold_conclusive(now));
        self.update_isolation(now);
        effect
    }

    /// Holds a part until `until`, in place of an earlier hold.
    pub fn hold(&mut self, part: PartId, until: Time, level: u32) {
        if self.held.len() >= MAX_HELD && !self.held.contains_key(&part) {
            let first = self.held.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(first) = first.map(|(part, _)| *part) {
                self.held.remove(&first);
            }
        }
        let level = level.min(MAX_HOLD_LEVEL);
        self.held.insert(part, Hold { until, level });
        self.isolated.remove(&part);
    }

    /// Returns how long a hold of this level lasts.
    pub fn hold_time(level: u32) -> Duration {
        FIRST_HOLD * (1 << level.min(MAX_HOLD_LEVEL))
    }

    /// Returns whether requests with this part have been answered lately.
    pub fn has_served(&self, now: Time, part: PartId) -> bool {
        self.served.contains(now, part)
    }

    /// Returns each held part with its hold, also if that has expired.
    pub fn held(&self) -> impl Iterator<Item = (PartId, Hold)> {
        self.held.iter().map(|(part, hold)| (*part, *hold))
    }

    /// Returns the numbers of held and of isolated parts.
    pub fn counts(&mut self, now: Time) -> (usize, usize) {
        self.forget_old_crashes(now);
        (self.held.len(), self.isolated.len())
    }

    fn has_reported(&self, crash: &Crash) -> bool {
        let mut reported = self.reported.iter();
        reported.any(|(runner, born)| (runner, *born) == (&crash.runner, crash.born))
    }

    /// Adds the parts that this entry has served to those of the crash, and returns them.
    fn vouch(&self, now: Time, crash: &mut Crash) -> Vec<PartId> {
        let parts: Set<PartId> = crash.requests.iter().flatten().copied().collect();
        let known =
            |part: &PartId| !crash.served.contains(part) && self.served.contains(now, *part);
        let vouched: Vec<PartId> = parts.into_iter().filter(known).collect();
        crash.served.extend(&vouched);
        vouched
    }

    /// Extends the holds of parts on which a probe has crashed another runner.
    fn extend_holds(&mut self, now: Time, crash: &Crash) -> Vec<PartId> {
        let parts: Set<PartId> = crash.suspects().collect();
        let mut extended = Vec::new();
        for part in parts {
            let Some(hold) = self.held.get_mut(&part) else {
                continue;
            };
            // Requests that were sent before the hold still crash runners, and the entry that sent the
            // probe has extended the hold before.
            if now < hold.until {
                continue;
            }
            hold.level = (hold.level + 1).min(MAX_HOLD_LEVEL);
            hold.until = now.after(Self::hold_time(hold.level));
            extended.push(part);
        }
        extended
    }

    /// Ends new holds whose part turns out to have been served by another entry.
    fn withdraw_holds(&mut self, now: Time) -> Vec<PartId> {
        self.withdrawable
            .retain(|(_, since)| now.since(*since) < WITHDRAWAL_PERIOD);
        let served = |part: PartId| {
            let mut crashes = self.crashes.iter();
            crashes.any(|known| known.crash.served.contains(&part))
        };
        let parts = self.withdrawable.iter().map(|(part, _)| *part);
        let withdrawn: Vec<PartId> = parts.filter(|part| served(*part)).collect();
        self.withdrawable
            .retain(|(part, _)| !withdrawn.contains(part));
        self.held.retain(|part, _| !withdrawn.contains(part));
        withdrawn
    }

    /// Holds the parts that explain several crashes, and returns them.
    fn hold_conclusive(&mut self, now: Time) -> Vec<PartId> {
        let mut held = Vec::new();
        while let Some((part, served)) = most_suspect(&self.suspicions()) {
            self.hold(part, now.after(FIRST_HOLD), 0);
            if !served {
                self.withdrawable.push((part, now));
            }
            held.push(part);
        }
        held
    }

    /// Derives from the crashes which parts are suspects and which of them are isolated.
    fn update_isolation(&mut self, now: Time) {
        let suspects = self.crashes.iter().flat_map(KnownCrash::suspects);
        self.suspects = suspects.collect();
        let before = std::mem::take(&mut self.isolated);
        for (part, suspicion) in self.suspicions() {
            if !suspicion.is_isolated() {
                continue;
            }
            let new = Isolation {
                from: now.after(suspicion.isolation_delay()),
                canary: false,
                alone: false,
            };
            let mut isolation = before.get(&part).copied().unwrap_or(new);
            isolation.alone = suspicion.is_tried_alone();
            self.isolated.insert(part, isolation);
        }
    }

    /// Returns the evidence against each part, from the crashes without a held part.
    fn suspicions(&self) -> Map<PartId, Suspicion> {
        let mut suspicions: Map<PartId, Suspicion> = Map::default();
        for known in self.unexplained() {
            for (part, blame) in known.blames() {
                let isolation = self.isolated.get(&part);
                let tried = isolation.is_some_and(|i| known.at >= i.from.after(CANARY_DELAY));
                suspicions.entry(part).or_default().add(blame, tried);
            }
        }
        for known in self.unexplained() {
            let repeated = |whole: &PartId| suspicions[whole].is_tried_alone();
            let mut repeated = known.wholes().filter(repeated);
            let (first, second) = (repeated.next(), repeated.next());
            drop(repeated);
            if let (Some(only), None) = (first, second)
                && let Some(suspicion) = suspicions.get_mut(&only)
            {
                suspicion.add_alone();
            }
        }
        suspicions
    }

    /// Returns the crashes without a held part.
    fn unexplained(&self) -> impl Iterator<Item = &KnownCrash> {
        let explains = |part: PartId| self.held.contains_key(&part);
        let crashes = self.crashes.iter();
        crashes.filter(move |known| !known.crash.suspects().any(explains))
    }

    fn forget_old_crashes(&mut self, now: Time) {
        self.held
            .retain(|_, hold| now < hold.until.after(HOLD_MEMORY));
        let before = self.crashes.len();
        self.crashes
            .retain(|known| now.since(known.at) < CRASH_MEMORY);
        if self.crashes.len() != before {
            self.update_isolation(now);
        }
    }
}
