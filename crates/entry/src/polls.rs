//! Polling of load reports from agents.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::ids::Name;
use decision::member::Instance;
use decision::member::Role;
use decision::report::Report;
use decision::time::Time;
use spdlog::info;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::LinkResult;

use crate::shared::Shared;

/// Interval at which the schedule is checked for due agents.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Poll interval of a ready agent that has no requests of this entry in flight.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Poll interval of an agent that has requests of this entry in flight or is not known to be
/// ready. A claim needs the agent's incarnation, so with the idle interval bookings would be
/// refused for up to two seconds after a start.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest poll interval, which also bounds the polls that picks cause.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Poll interval after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one report call.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// One of this many calls accepts a report of any sequence number. A replaced agent numbers its
/// reports from 1 again, so calls that accept only later numbers would miss them.
const SEQ_RESET_EVERY: u32 = 4;

#[derive(Debug, Default)]
struct Poll {
    due_at: Time,
    last_poll_at: Time,
    last_seq: u64,
    calls: u32,
    pending: bool,
}

/// Poll schedule of the agents in the region.
#[derive(Debug, Default)]
pub(crate) struct Polls {
    agents: Map<Name, Poll>,
}

impl Polls {
    /// Sets the polled agents; those already known keep their schedule.
    pub(crate) fn set_agents(&mut self, names: &[Name]) {
        self.agents.retain(|name, _| names.contains(name));
        for name in names {
            self.agents.entry(name.clone()).or_default();
        }
    }

    /// Schedules a poll of the agent as early as [`MIN_INTERVAL`] allows.
    pub(crate) fn poll_soon(&mut self, name: &str, now: Time) {
        if let Some(poll) = self.agents.get_mut(name) {
            poll.due_at = poll
                .due_at
                .min(poll.last_poll_at.after(MIN_INTERVAL).max(now));
        }
    }

    /// Schedules an immediate poll that accepts a report of any sequence number.
    pub(crate) fn reset_agent(&mut self, name: &str, now: Time) {
        if let Some(poll) = self.agents.get_mut(name) {
            poll.last_seq = 0;
            poll.due_at = now;
        }
    }

    /// Returns the agents to poll now, each with the sequence number of its last report; 0
    /// accepts a report of any number.
    fn take_due(&mut self, now: Time) -> Vec<(Name, u64)> {
        let mut due = Vec::new();
        for (name, poll) in &mut self.agents {
            if poll.pending || now < poll.due_at {
                continue;
            }
            poll.pending = true;
            poll.calls += 1;
            let reset = poll.calls % SEQ_RESET_EVERY == 1;
            due.push((name.clone(), if reset { 0 } else { poll.last_seq }));
        }
        due
    }

    fn finish_poll(&mut self, name: &str, now: Time, last_seq: Option<u64>, next: Duration) {
        if let Some(poll) = self.agents.get_mut(name) {
            poll.pending = false;
            poll.last_poll_at = now;
            poll.due_at = now.after(next);
            poll.last_seq = last_seq.unwrap_or(poll.last_seq);
        }
    }
}

/// Polls agents for reports until `stop` is set.
pub(crate) async fn run(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut calls = JoinSet::new();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = calls.join_next(), if !calls.is_empty() => {}
            _ = tick.tick() => {
                let due = shared.polls().take_due(shared.clock.now());
                for (name, last_seq) in due {
                    calls.spawn(poll(shared.clone(), name, last_seq));
                }
            }
        }
    }
    calls.shutdown().await;
}

async fn poll(shared: Arc<Shared>, name: Name, last_seq: u64) {
    let result = match shared.peer(&name) {
        Some(peer) => peer.report(last_seq, REPORT_TIMEOUT).await,
        None => Ok(None),
    };
    apply_result(&shared, &name, result);
}

fn apply_result(shared: &Shared, name: &Name, result: LinkResult<Option<Report>>) {
    let now = shared.clock.now();
    let mut routing = shared.routing();
    let endpoints = &mut routing.endpoints;
    let (last_seq, next) = match &result {
        Ok(Some(report)) if report.endpoint == *name => {
            endpoints.apply_report(now, report);
            endpoints.set_link(name, Some(report.incarnation));
            (Some(report.seq), poll_interval(endpoints, name))
        }
        Ok(_) => (None, poll_interval(endpoints, name)),
        Err(err) => {
            let linked = endpoints
                .find(name)
                .is_some_and(|id| endpoints.view(id).linked);
            if linked {
                info!("agent is unreachable: {err}");
            }
            endpoints.set_link(name, None);
            (Some(0), RETRY_INTERVAL)
        }
    };
    drop(routing);
    shared.polls().finish_poll(name, now, last_seq, next);
}

fn poll_interval(endpoints: &decision::placement::EndpointTable, name: &str) -> Duration {
    let Some(id) = endpoints.find(name) else {
        return BUSY_INTERVAL;
    };
    let view = endpoints.view(id);
    if view.inflight > 0 || view.last_report_at.is_none() || !view.report.ready {
        BUSY_INTERVAL
    } else {
        IDLE_INTERVAL
    }
}

/// Returns the names of the agents in a region.
pub(crate) fn agents_of<'a>(
    instances: impl Iterator<Item = &'a Instance>,
    region: &str,
) -> Vec<Name> {
    instances
        .filter(|instance| instance.role == Role::Agent && instance.region == *region)
        .map(|instance| instance.name.as_str().into())
        .collect()
}
