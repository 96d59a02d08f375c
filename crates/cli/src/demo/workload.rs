//! Sends mixed requests to the demo's entry while the site changes.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::demo::caller::CallOutcome;
use crate::demo::caller::CallResult;
use crate::demo::caller::Caller;
use crate::demo::caller::PlannedRequest;
use crate::demo::caller::RequestKind;
use crate::demo::sample;
use crate::demo::sample::Edits;
use crate::demo::site::Site;
use crate::demo::site::SiteError;
use crate::demo::verdict::Verdict;

/// Maximum number of concurrent requests, a retried booking counted once.
const MAX_CONCURRENCY: usize = 24;

/// Maximum number of attempts at a booking, not counting those sent twice on purpose.
const MAX_BOOKING_ATTEMPTS: usize = 4;

/// Delay before a caller resends a refused or failed booking.
const BOOKING_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Adapter whose second version is published after a quarter of the requests.
const UPGRADED_ADAPTER: usize = 3;

/// Engine that is drained after half of the requests.
const DRAINED_ENGINE: usize = 1;

/// Engine that is restarted after three quarters of the requests.
const RESTARTED_ENGINE: usize = 2;

/// Parameters of a run of mixed requests.
pub(crate) struct Workload {
    /// Number of requests, not counting retries.
    pub(crate) requests: usize,
    /// Seed of the random choice of the requests.
    pub(crate) seed: u64,
}

impl Workload {
    /// Sends all requests and checks the responses against the stand-ins' records.
    pub(crate) async fn run(&self, site: &mut Site) -> Result<Verdict, SiteError> {
        let caller = Caller::new(site.entry());
        let limit = Arc::new(Semaphore::new(MAX_CONCURRENCY));
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut tasks = JoinSet::new();
        for number in 0..self.requests {
            self.apply_change(site, number).await?;
            let permit = limit.clone().acquire_owned().await;
            let (caller, request) = (caller.clone(), generate_request(number, &mut rng));
            let sent_twice = request.kind == RequestKind::Booking && rng.bool();
            tasks.spawn(async move {
                let results = send_with_retries(&caller, request, sent_twice).await;
                drop(permit);
                results
            });
        }
        let results: Vec<CallResult> = tasks.join_all().await.into_iter().flatten().collect();
        Ok(Verdict::from_run(
            &results,
            &site.standin_records(allowed_names()),
        ))
    }

    /// Applies the change to the site that is due before request `number`.
    async fn apply_change(&self, site: &mut Site, number: usize) -> Result<(), SiteError> {
        let upgraded = Edits {
            upgraded: Some(UPGRADED_ADAPTER),
            drained: None,
        };
        let quarter = (self.requests / 4).max(1);
        if number == quarter {
            site.publish(upgraded).await?;
        } else if number == 2 * quarter {
            site.publish(Edits {
                drained: Some(DRAINED_ENGINE),
                ..upgraded
            })
            .await?;
        } else if number == 3 * quarter {
            site.restart_engine(RESTARTED_ENGINE).await;
        }
        Ok(())
    }
}

/// Sends a request like a caller and returns the result of each attempt.
///
/// A booking is resent until it succeeds, at most [`MAX_BOOKING_ATTEMPTS`] times. With
/// `sent_twice` it is first sent twice concurrently, to test that it still runs once.
async fn send_with_retries(
    caller: &Caller,
    request: PlannedRequest,
    sent_twice: bool,
) -> Vec<CallResult> {
    if request.kind != RequestKind::Booking {
        return vec![caller.send(&request).await];
    }
    let mut results = Vec::new();
    if sent_twice {
        let (first, second) = tokio::join!(caller.send(&request), caller.send(&request));
        results.extend([first, second]);
    }
    for _ in 0..MAX_BOOKING_ATTEMPTS {
        results.push(caller.send(&request).await);
        if results
            .last()
            .is_some_and(|result| result.outcome == CallOutcome::Answered)
        {
            break;
        }
        tokio::time::sleep(BOOKING_RETRY_DELAY).await;
    }
    results
}

fn generate_request(number: usize, rng: &mut fastrand::Rng) -> PlannedRequest {
    let kind = match rng.u8(..10) {
        0..=5 => RequestKind::StreamedChat,
        6..=7 => RequestKind::Chat,
        _ => RequestKind::Booking,
    };
    // Taking the minimum of two draws makes adapters with low numbers more popular.
    let adapter = rng
        .usize(..sample::ADAPTERS)
        .min(rng.usize(..sample::ADAPTERS));
    let route = match kind {
        RequestKind::Booking => "bookings".to_owned(),
        RequestKind::StreamedChat | RequestKind::Chat => format!("advice-{adapter}"),
    };
    PlannedRequest {
        kind,
        route,
        marker: format!("r{number}"),
        tokens: rng.u32(4..40),
    }
}

/// Returns, per chat route, the served names that it targets in any of the published sets.
fn allowed_names() -> Map<String, Vec<String>> {
    let names = |number| match number {
        UPGRADED_ADAPTER => vec![
            sample::served_name(number, 1),
            sample::served_name(number, 2),
        ],
        _ => vec![sample::served_name(number, 1)],
    };
    (0..sample::ADAPTERS)
        .map(|number| (format!("advice-{number}"), names(number)))
        .collect()
}
