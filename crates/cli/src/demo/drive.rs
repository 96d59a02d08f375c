//! Drives mixed requests through the demo's entry, with changes midway.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::demo::caller::Caller;
use crate::demo::caller::Kind;
use crate::demo::caller::Plan;
use crate::demo::caller::Seen;
use crate::demo::caller::Told;
use crate::demo::sample;
use crate::demo::sample::Edits;
use crate::demo::site::Site;
use crate::demo::site::SiteError;
use crate::demo::verdict::Verdict;

/// The requests in flight at once.
const CONCURRENCY: usize = 24;

/// The times that a caller sends a booking at most.
const BOOKING_TRIES: usize = 4;

/// The pause of a caller before it sends a refused or failed booking again.
const BOOKING_PAUSE: Duration = Duration::from_millis(200);

/// The adapter whose second version is published midway.
const UPGRADED: usize = 3;

/// The engine that is drained midway.
const DRAINED: usize = 1;

/// The engine that is restarted midway.
const RESTARTED: usize = 2;

/// A run of mixed requests.
pub(crate) struct Drive {
    /// The number of requests, deliberate retries not counted.
    pub(crate) requests: usize,
    /// The seed of the requests.
    pub(crate) seed: u64,
}

impl Drive {
    /// Sends all requests and judges the run.
    pub(crate) async fn run(&self, site: &mut Site) -> Result<Verdict, SiteError> {
        let caller = Caller::new(site.entry());
        let room = Arc::new(Semaphore::new(CONCURRENCY));
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut tasks = JoinSet::new();
        for number in 0..self.requests {
            self.change(site, number).await?;
            let permit = room.clone().acquire_owned().await;
            let (caller, plan) = (caller.clone(), plan(number, &mut rng));
            let retried = plan.kind == Kind::Booking && rng.bool();
            tasks.spawn(async move {
                let seen = send(&caller, plan, retried).await;
                drop(permit);
                seen
            });
        }
        let seen: Vec<Seen> = tasks.join_all().await.into_iter().flatten().collect();
        Ok(Verdict::of(&seen, &site.evidence(allowed())))
    }

    /// Makes the change that is due before request `number`.
    async fn change(&self, site: &mut Site, number: usize) -> Result<(), SiteError> {
        let upgraded = Edits {
            upgraded: Some(UPGRADED),
            drained: None,
        };
        let quarter = (self.requests / 4).max(1);
        if number == quarter {
            site.publish(upgraded).await?;
        } else if number == 2 * quarter {
            site.publish(Edits {
                drained: Some(DRAINED),
                ..upgraded
            })
            .await?;
        } else if number == 3 * quarter {
            site.restart_engine(RESTARTED).await;
        }
        Ok(())
    }
}

/// Sends a request as a caller does: a booking again until it is answered, and one that is retried
/// on purpose twice at once and then once more.
async fn send(caller: &Caller, plan: Plan, retried: bool) -> Vec<Seen> {
    if plan.kind != Kind::Booking {
        return vec![caller.send(&plan).await];
    }
    let mut all = Vec::new();
    if retried {
        let (first, second) = tokio::join!(caller.send(&plan), caller.send(&plan));
        all.extend([first, second]);
    }
    for _ in 0..BOOKING_TRIES {
        all.push(caller.send(&plan).await);
        if all.last().is_some_and(|seen| seen.told == Told::Answered) {
            break;
        }
        tokio::time::sleep(BOOKING_PAUSE).await;
    }
    all
}

fn plan(number: usize, rng: &mut fastrand::Rng) -> Plan {
    let kind = match rng.u8(..10) {
        0..=5 => Kind::Stream,
        6..=7 => Kind::Whole,
        _ => Kind::Booking,
    };
    // The lower of two draws makes some adapters more popular than others.
    let adapter = rng
        .usize(..sample::ADAPTERS)
        .min(rng.usize(..sample::ADAPTERS));
    let route = match kind {
        Kind::Booking => "bookings".to_owned(),
        Kind::Stream | Kind::Whole => format!("advice-{adapter}"),
    };
    Plan {
        kind,
        route,
        marker: format!("r{number}"),
        tokens: rng.u32(4..40),
    }
}

/// Returns the served names that each route leads to in any of the published sets.
fn allowed() -> Map<String, Vec<String>> {
    let names = |number| match number {
        UPGRADED => vec![
            sample::served_name(number, 1),
            sample::served_name(number, 2),
        ],
        _ => vec![sample::served_name(number, 1)],
    };
    (0..sample::ADAPTERS)
        .map(|number| (format!("advice-{number}"), names(number)))
        .collect()
}
