//! Records of the requests of a run, and the figures computed from them.

use std::time::Duration;

use decision::ids::Priority;
use decision::time::Time;
use serde::Serialize;

use crate::arrivals::Request;
use crate::arrivals::Workload;

/// How a request ended, judged by its deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request has not ended.
    #[default]
    Open,
    /// The complete response arrived by the deadline.
    Finished,
    /// The response arrived late, or the request was refused or given up.
    MissedDeadline,
    /// The engine stopped or failed, and the request must not be retried.
    Lost,
}

/// Measurements of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Outcome so far.
    pub outcome: RequestOutcome,
    /// Time during which the engine had a free place in its batch, but the request's adapter was
    /// not resident.
    pub stall: Duration,
    /// When the first token was generated.
    pub first_token_at: Option<Time>,
    /// Number of submissions to an engine.
    pub submissions: u32,
}

/// Results of one policy in one run; the field names are printed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Number of requests in the workload.
    pub requests: usize,
    /// Mean load stall over all requests.
    pub stall_mean_ms: f64,
    /// 99th percentile of the load stall.
    pub stall_p99_ms: f64,
    /// Share of requests with a load stall of more than 1 ms.
    pub stalled_share: f64,
    /// Number of running sequences divided by the batch limit, averaged over all engine steps.
    pub batch_efficiency: f64,
    /// 95th percentile of the time to the first token, without overnight requests. A request
    /// without a first token counts with the time from arrival to deadline.
    pub ttft_p95_ms: f64,
    /// Requests that were answered after their deadline, refused or given up.
    pub missed_deadlines: usize,
    /// Number of loads started.
    pub loads: usize,
    /// Loads of an adapter that an engine already held or was loading.
    pub replicas: usize,
    /// Bookings that were submitted to an engine more than once.
    pub doubled: usize,
    /// Requests that were interrupted and could not be retried, or were still open at the end of
    /// the run.
    pub lost: usize,
    /// Requests that were answered by their deadline.
    pub finished: usize,
    /// Mean time from a popularity shift until the load stall of a newly popular adapter falls to
    /// the mean of the run.
    pub shift_normal_s: f64,
}

/// Computes the figures that depend on the records; `batch_efficiency`, `loads` and `replicas` are
/// left at zero.
pub fn compute_figures(workload: &Workload, records: &[RequestRecord]) -> Figures {
    let stalls: Vec<f64> = records.iter().map(|record| millis(record.stall)).collect();
    let count = |outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    let doubled = |(request, record): &(&Request, &RequestRecord)| {
        request.priority == Priority::Booking && record.submissions > 1
    };
    Figures {
        requests: records.len(),
        stall_mean_ms: mean(&stalls),
        stall_p99_ms: percentile(&stalls, 0.99),
        stalled_share: mean(
            &stalls
                .iter()
                .map(|&ms| f64::from(ms > 1.0))
                .collect::<Vec<_>>(),
        ),
        ttft_p95_ms: percentile(&first_token_times(workload, records), 0.95),
        missed_deadlines: count(RequestOutcome::MissedDeadline),
        doubled: workload
            .requests
            .iter()
            .zip(records)
            .filter(doubled)
            .count(),
        lost: count(RequestOutcome::Lost) + count(RequestOutcome::Open),
        finished: count(RequestOutcome::Finished),
        shift_normal_s: mean_recovery_time(workload, &stalls),
        ..Figures::default()
    }
}

fn first_token_times(workload: &Workload, records: &[RequestRecord]) -> Vec<f64> {
    let timed = workload.requests.iter().zip(records);
    timed
        .filter(|(request, _)| request.priority != Priority::Overnight)
        .map(|(request, record)| {
            millis(
                record
                    .first_token_at
                    .unwrap_or(request.deadline)
                    .since(request.arrives_at),
            )
        })
        .collect()
}

/// Number of consecutive requests over which an adapter's stall is averaged after a shift.
const RECOVERY_WINDOW: usize = 3;

/// Returns the mean time in seconds until a newly popular adapter has `RECOVERY_WINDOW` consecutive
/// requests whose mean stall is at most that of the whole run.
///
/// Adapters with fewer requests before the next shift are left out. An adapter that does not
/// recover counts with the time to the next shift.
fn mean_recovery_time(workload: &Workload, stalls: &[f64]) -> f64 {
    let normal = mean(stalls);
    let mut times = Vec::new();
    for (index, shift) in workload.shifts.iter().enumerate() {
        let next_shift = workload.shifts.get(index + 1).map(|shift| shift.at);
        let end = next_shift
            .or(workload.requests.last().map(|request| request.arrives_at))
            .unwrap_or(shift.at);
        for &adapter in &shift.hot_adapters {
            let uses: Vec<(Time, f64)> = workload
                .requests
                .iter()
                .zip(stalls)
                .filter(|(request, _)| request.adapter == adapter)
                .filter(|(request, _)| request.arrives_at >= shift.at && request.arrives_at < end)
                .map(|(request, &stall)| (request.arrives_at, stall))
                .collect();
            if uses.len() < RECOVERY_WINDOW {
                continue;
            }
            let is_normal = |uses: &&[(Time, f64)]| {
                uses.iter().map(|&(_, stall)| stall).sum::<f64>() <= normal * RECOVERY_WINDOW as f64
            };
            let at = uses
                .windows(RECOVERY_WINDOW)
                .find(is_normal)
                .map_or(end, |uses| uses[0].0);
            times.push(at.since(shift.at).as_secs_f64());
        }
    }
    mean(&times)
}

/// Returns the mean, or 0 if `values` is empty.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the percentile for `share` between 0 and 1 (nearest rank), or 0 if `values` is empty.
pub fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted
        .get(index.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
