//! Decides how many runners hold an adapter, and which one loads a further replica.
//!
//! Invariants: the number of replicas follows from the demand over all entries, as the agents of the
//! runners see it; all entries name the same runner for the next replica.

use std::time::Duration;

use decision::hash;
use decision::time::Time;

use crate::Name;
use crate::cost;
use crate::fleet::Fleet;
use crate::fleet::Runner;
use crate::placement::Requirements;

/// Traffic of an adapter that calls for one replica, as a multiple of the average traffic per
/// runner.
const TRAFFIC_PER_REPLICA: f64 = 0.8;
/// Share of a runner's slots in use from which another replica of a demanded adapter is worth a slot
/// and a load.
const BUSY_SHARE: f32 = 0.25;
/// Share of a runner's slots in use up to which it is given a further replica.
const SPARE_SHARE: f32 = 0.5;
/// Excess of a runner's rate of requests over the average, as a multiple of it, from which its
/// adapters get replicas elsewhere.
const MAX_EXCESS_RATE: f32 = 0.3;
/// Minimum interval between two additional replicas of one adapter.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(100);

/// How much of a runner's slots is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Occupancy {
    /// It takes more requests without loss.
    Idle,
    /// Another replica helps if the demand for the adapter calls for one.
    Busy,
    /// Further requests wait for a slot, or it gets far more requests than other runners.
    Full,
}

/// Returns how much of a runner's slots is in use, in a service whose runners get `average_rate`
/// requests per second.
pub(crate) fn occupancy(runner: &Runner, average_rate: f32) -> Occupancy {
    let used = used_share(runner);
    if used < BUSY_SHARE {
        return Occupancy::Idle;
    }
    let overloaded = cost::excess_rate(runner, average_rate) >= MAX_EXCESS_RATE;
    if used >= 1.0 || overloaded {
        Occupancy::Full
    } else {
        Occupancy::Busy
    }
}

fn used_share(runner: &Runner) -> f32 {
    runner.total_inflight() as f32 / runner.member.slots.max(1) as f32
}

impl Fleet {
    /// Returns the relative position of a runner among the replicas of an adapter in rendezvous
    /// order: at least 0 and less than 1. Returns `None` if the runner neither holds nor loads the
    /// adapter.
    pub fn holder_position(&self, id: &str, adapter: &str) -> Option<f64> {
        let own = self.get(id)?;
        own.adapters.get(adapter)?;
        let key = hash::hash_text(adapter);
        let rank_hash = |runner: &Runner| hash::combine(key, runner.key);
        let own_hash = rank_hash(own);
        let replicas = self
            .runners()
            .filter(|other| other.adapters.contains_key(adapter));
        let (before, all) = replicas.fold((0, 0), |(before, all), other| {
            (before + u32::from(rank_hash(other) > own_hash), all + 1)
        });
        Some(f64::from(before) / f64::from(all))
    }

    /// Returns a runner that should load a further replica of the adapter, if the traffic for it
    /// calls for one or the runner chosen for a request, with this occupancy, has no slot left.
    pub(crate) fn choose_replica(
        &mut self,
        now: Time,
        requirements: &Requirements<'_>,
        occupancy: Occupancy,
        average_rate: f32,
    ) -> Option<Name> {
        if occupancy == Occupancy::Idle {
            return None;
        }
        let adapter = requirements.artifact?.adapter.as_ref()?;
        self.last_replicated
            .retain(|_, last| now < last.after(REPLICATION_INTERVAL));
        if self.last_replicated.contains_key(adapter) {
            return None;
        }
        let runners: Vec<&Runner> = self.accepting_runners(requirements.service).collect();
        if !needs_replica(&runners, adapter, occupancy) {
            return None;
        }
        let best = spare_runner(&runners, adapter, average_rate)?;
        let replica = best.member.id.clone();
        let ready_at = now.after(best.load_time(adapter));
        self.expect_adapter(&replica, adapter, requirements.min_version, ready_at);
        self.last_replicated.insert(adapter.clone(), now);
        Some(replica)
    }
}

fn needs_replica(runners: &[&Runner], adapter: &str, occupancy: Occupancy) -> bool {
    let views = runners
        .iter()
        .filter_map(|runner| runner.adapters.get(adapter));
    let demanded = views.clone().any(|view| !view.rate.is_low());
    let wanted = wanted_replicas(runners, adapter).min(runners.len());
    views.count() < wanted || (occupancy == Occupancy::Full && demanded)
}

/// Returns the first runner in the adapter's rendezvous order that has room for it and slots to
/// spare.
fn spare_runner<'a>(
    runners: &[&'a Runner],
    adapter: &str,
    average_rate: f32,
) -> Option<&'a Runner> {
    let eligible = runners.iter().filter(|runner| {
        let usable = runner.linked && runner.up && runner.room > 0;
        let spare = used_share(runner) <= SPARE_SHARE;
        let below_average = runner.rate as f32 <= average_rate.ceil();
        usable && spare && below_average && !runner.adapters.contains_key(adapter)
    });
    let key = hash::hash_text(adapter);
    eligible
        .max_by_key(|runner| hash::combine(key, runner.key))
        .copied()
}

/// Returns how many of these runners should hold the adapter.
fn wanted_replicas(runners: &[&Runner], adapter: &str) -> usize {
    let total: u32 = runners.iter().map(|runner| runner.rate).sum();
    if total == 0 {
        return 1;
    }
    let views = runners
        .iter()
        .filter_map(|runner| runner.adapters.get(adapter));
    let rate: f64 = views.map(|view| view.rate.per_second()).sum();
    let share = (rate / f64::from(total)).min(1.0);
    (share * runners.len() as f64 / TRAFFIC_PER_REPLICA).round() as usize
}
