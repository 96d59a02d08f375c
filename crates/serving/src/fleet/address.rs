//! Decides which of the runners whose records name one address holds it.
//!
//! The record of a crashed runner outlives it while its address is assigned again, and a record of another
//! writer may name any address.
//!
//! Invariants: the decision is made again from all records that hold whenever a record, an answer or the set of
//! services changes; a runner that shows that it lives after a later one has claimed its address loses
//! nothing by the claim; an answer counts more than a record.

use std::net::SocketAddr;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// How long the record of a runner is not believed after another one has answered in its place. Doubles each
/// time, up to [`MAX_DISBELIEF`].
const MIN_DISBELIEF: Duration = Duration::from_secs(2);
const MAX_DISBELIEF: Duration = Duration::from_secs(64);

/// The number of an event: of a record that was read, or of an answer. A later event has a higher number.
pub(super) type EventNumber = u64;

/// A runner's claim to the address in its record.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Claim {
    /// When the record was first read.
    joined: EventNumber,
    /// When the runner last showed that it lives, with its record or an answer; 0 if it has not since it joined.
    alive: EventNumber,
    /// Whether another runner has answered in its place.
    displaced: bool,
    /// Until when its record is not believed.
    disbelieved_until: Time,
    /// For how long it was not believed the last time.
    disbelief: Duration,
}

impl Claim {
    pub(super) fn new(joined: EventNumber) -> Claim {
        Claim {
            joined,
            ..Claim::default()
        }
    }

    /// Takes over the claim of an earlier incarnation of the same runner, at the same address, that was
    /// outlived by another one: its next record is not a new claim.
    pub(super) fn follow(&mut self, earlier: &Claim) {
        self.joined = earlier.joined;
        self.disbelief = earlier.disbelief;
    }

    /// Records that another runner has answered in this one's place.
    pub(super) fn displace(&mut self, now: Time) {
        self.displaced = true;
        self.disbelief = (2 * self.disbelief).clamp(MIN_DISBELIEF, MAX_DISBELIEF);
        self.disbelieved_until = now.after(self.disbelief);
    }

    /// Records that the runner has written its record again.
    pub(super) fn renew(&mut self, now: Time, event: EventNumber) {
        self.alive = event;
        self.displaced &= now < self.disbelieved_until;
    }

    /// Records that the runner has answered.
    pub(super) fn confirm(&mut self, event: EventNumber) {
        self.alive = event;
        self.displaced = false;
        self.disbelief = Duration::ZERO;
    }

    pub(super) fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Returns whether this runner has shown that it lives since the other one claimed the address.
    pub(super) fn outlives(&self, other: &Claim) -> bool {
        self.alive > other.joined
    }
}

/// The claims to one address, for the question which of them counts.
#[derive(Debug)]
pub(super) struct Rivals {
    /// The start of each runner in descending order, and the last event with which it or a runner that started
    /// later has claimed the address.
    claimed: Vec<(u64, EventNumber)>,
}

impl Rivals {
    /// Takes the start and the claim of each runner.
    pub(super) fn new(claims: &mut [(u64, Claim)]) -> Rivals {
        claims.sort_unstable_by_key(|(born, _)| std::cmp::Reverse(*born));
        let mut last = 0;
        let claimed = claims.iter().map(|(born, claim)| {
            last = claim.joined.max(last);
            (*born, last)
        });
        Rivals {
            claimed: claimed.collect(),
        }
    }

    /// Returns whether a runner that started at `born` holds the address: none has answered in its place, and it
    /// has shown that it lives since the last one that started later has claimed the address.
    pub(super) fn allow(&self, born: u64, claim: &Claim) -> bool {
        let later = self.claimed.partition_point(|(other, _)| *other > born);
        let claimed = later.checked_sub(1).map(|index| self.claimed[index].1);
        !claim.displaced && claimed.is_none_or(|claimed| claim.alive > claimed)
    }
}

/// The runners whose records name each address.
#[derive(Debug, Default)]
pub(super) struct Addresses(Map<SocketAddr, Vec<Name>>);

impl Addresses {
    pub(super) fn add(&mut self, addr: SocketAddr, id: &Name) {
        let claimants = self.0.entry(addr).or_default();
        if !claimants.contains(id) {
            claimants.push(id.clone());
        }
    }

    pub(super) fn remove(&mut self, addr: SocketAddr, id: &str) {
        let Some(claimants) = self.0.get_mut(&addr) else {
            return;
        };
        claimants.retain(|claimant| &**claimant != id);
        if claimants.is_empty() {
            self.0.remove(&addr);
        }
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    pub(super) fn claimants(&self, addr: SocketAddr) -> &[Name] {
        self.0.get(&addr).map_or(&[], Vec::as_slice)
    }

    pub(super) fn contested(&self) -> Vec<SocketAddr> {
        let contested = self.0.iter().filter(|(_, claimants)| claimants.len() > 1);
        contested.map(|(addr, _)| *addr).collect()
    }

    /// Returns the number of addresses.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
