//! What a run records about each request, and the figures made of it.

use std::time::Duration;

use decision::ids::Priority;
use decision::time::Time;
use serde::Serialize;

use crate::arrivals::Request;
use crate::arrivals::Work;

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fate {
    /// It has not ended.
    #[default]
    Open,
    /// The whole answer arrived by the deadline.
    Finished,
    /// The answer arrived late, or the request was refused.
    Missed,
    /// The answer was cut off, or never came.
    Lost,
}

/// What is recorded about one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// How it ended.
    pub fate: Fate,
    /// Time that it could have run but for its adapter.
    pub stall: Duration,
    /// When its first token came.
    pub first: Option<Time>,
    /// Times it was submitted to an engine.
    pub runs: u32,
}

/// The figures of one policy in one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Arrivals.
    pub requests: usize,
    /// Mean load stall over all requests.
    pub stall_mean_ms: f64,
    /// 99th percentile of the load stall.
    pub stall_p99_ms: f64,
    /// Share of requests with a load stall.
    pub stalled_share: f64,
    /// Sequences running divided by the batch limit, averaged over engine steps.
    pub batch_efficiency: f64,
    /// 95th percentile of the time to the first token, without overnight work. A request that
    /// never started counts with its whole deadline.
    pub ttft_p95_ms: f64,
    /// Requests that ended after their deadline or were refused.
    pub missed_deadlines: usize,
    /// Loads ordered.
    pub loads: usize,
    /// Loads of an adapter that another engine held or was loading.
    pub replicas: usize,
    /// Bookings that were submitted more than once.
    pub doubled: usize,
    /// Requests whose answer was cut off or never came.
    pub lost: usize,
    /// Requests that finished in time.
    pub finished: usize,
    /// Mean time from a popularity shift until the stall of a newly hot adapter is normal.
    pub shift_normal_s: f64,
}

/// Returns the figures that follow from the records; the engines' figures are left at zero.
pub fn figures(work: &Work, records: &[Record]) -> Figures {
    let stalls: Vec<f64> = records.iter().map(|record| ms(record.stall)).collect();
    let count = |fate| records.iter().filter(|record| record.fate == fate).count();
    let doubled = |(request, record): &(&Request, &Record)| {
        request.priority == Priority::Booking && record.runs > 1
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
        ttft_p95_ms: percentile(&first_tokens(work, records), 0.95),
        missed_deadlines: count(Fate::Missed),
        doubled: work.requests.iter().zip(records).filter(doubled).count(),
        lost: count(Fate::Lost) + count(Fate::Open),
        finished: count(Fate::Finished),
        shift_normal_s: shift_normal(work, &stalls),
        ..Figures::default()
    }
}

fn first_tokens(work: &Work, records: &[Record]) -> Vec<f64> {
    let timed = work.requests.iter().zip(records);
    timed
        .filter(|(request, _)| request.priority != Priority::Overnight)
        .map(|(request, record)| ms(record.first.unwrap_or(request.due).since(request.at)))
        .collect()
}

/// Requests of one adapter over which its stall is averaged after a shift.
const WINDOW: usize = 3;

/// Returns the mean time until a newly hot adapter has `WINDOW` requests in a row whose mean stall
/// is at most that of the whole run. Adapters with fewer requests before the next shift are left
/// out; one that does not return to normal counts with the time to the next shift.
fn shift_normal(work: &Work, stalls: &[f64]) -> f64 {
    let normal = mean(stalls);
    let mut times = Vec::new();
    for (index, shift) in work.shifts.iter().enumerate() {
        let next = work.shifts.get(index + 1).map(|shift| shift.at);
        let end = next
            .or(work.requests.last().map(|request| request.at))
            .unwrap_or(shift.at);
        for &adapter in &shift.hot {
            let uses: Vec<(Time, f64)> = work
                .requests
                .iter()
                .zip(stalls)
                .filter(|(request, _)| request.adapter == adapter)
                .filter(|(request, _)| request.at >= shift.at && request.at < end)
                .map(|(request, &stall)| (request.at, stall))
                .collect();
            if uses.len() < WINDOW {
                continue;
            }
            let calm = |uses: &&[(Time, f64)]| {
                uses.iter().map(|&(_, stall)| stall).sum::<f64>() <= normal * WINDOW as f64
            };
            let at = uses
                .windows(WINDOW)
                .find(calm)
                .map_or(end, |uses| uses[0].0);
            times.push(at.since(shift.at).as_secs_f64());
        }
    }
    mean(&times)
}

/// Returns the mean, or 0 without values.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the value below which the given share of the values lies, or 0 without values.
pub fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted
        .get(index.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
