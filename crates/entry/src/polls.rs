//! The reports of agents: which one to ask next, and the task that asks.

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

/// The interval at which due agents are looked for.
const TICK: Duration = Duration::from_millis(20);
/// The interval of reports from an agent that this entry sends nothing to.
const IDLE: Duration = Duration::from_secs(2);
/// The interval of reports from an agent that has requests of this entry in flight, or that is not
/// known to be ready: a claim needs the agent's incarnation, and with the idle interval bookings
/// were refused for up to two seconds after a start.
const BUSY: Duration = Duration::from_millis(200);
/// The shortest interval of reports, kept when a pick asks for a fresh one.
const FRESH: Duration = Duration::from_millis(50);
/// The interval after a call that failed.
const FAILED: Duration = Duration::from_millis(500);
/// The timeout of one call.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Every so many calls the whole report is asked for. A replaced agent counts its reports from 1
/// again, so that asking only for later ones would miss them.
const WHOLE_EVERY: u32 = 4;

#[derive(Debug, Default)]
struct Poll {
    due: Time,
    last: Time,
    seen: u64,
    calls: u32,
    pending: bool,
}

/// When each agent is asked next.
#[derive(Debug, Default)]
pub(crate) struct Polls {
    agents: Map<Name, Poll>,
}

impl Polls {
    /// Follows exactly these agents.
    pub(crate) fn follow(&mut self, names: &[Name]) {
        self.agents.retain(|name, _| names.contains(name));
        for name in names {
            self.agents.entry(name.clone()).or_default();
        }
    }

    /// Asks an agent soon, as its report matters now.
    pub(crate) fn hasten(&mut self, name: &str, now: Time) {
        if let Some(poll) = self.agents.get_mut(name) {
            poll.due = poll.due.min(poll.last.after(FRESH).max(now));
        }
    }

    /// Asks an agent for its whole report now.
    pub(crate) fn renew(&mut self, name: &str, now: Time) {
        if let Some(poll) = self.agents.get_mut(name) {
            poll.seen = 0;
            poll.due = now;
        }
    }

    /// Returns the agents to ask now, each with the number of its last report.
    fn take_due(&mut self, now: Time) -> Vec<(Name, u64)> {
        let mut due = Vec::new();
        for (name, poll) in &mut self.agents {
            if poll.pending || now < poll.due {
                continue;
            }
            poll.pending = true;
            poll.calls += 1;
            let whole = poll.calls % WHOLE_EVERY == 1;
            due.push((name.clone(), if whole { 0 } else { poll.seen }));
        }
        due
    }

    fn done(&mut self, name: &str, now: Time, seen: Option<u64>, next: Duration) {
        if let Some(poll) = self.agents.get_mut(name) {
            poll.pending = false;
            poll.last = now;
            poll.due = now.after(next);
            poll.seen = seen.unwrap_or(poll.seen);
        }
    }
}

/// Asks agents for reports until `stop`.
pub(crate) async fn run(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut calls = JoinSet::new();
    let mut tick = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = calls.join_next(), if !calls.is_empty() => {}
            _ = tick.tick() => {
                let due = shared.polls().take_due(shared.clock.now());
                for (name, seen) in due {
                    calls.spawn(poll(shared.clone(), name, seen));
                }
            }
        }
    }
    calls.shutdown().await;
}

async fn poll(shared: Arc<Shared>, name: Name, seen: u64) {
    let result = match shared.peer(&name) {
        Some(peer) => peer.report(seen, TIMEOUT).await,
        None => Ok(None),
    };
    take_report(&shared, &name, result);
}

fn take_report(shared: &Shared, name: &Name, result: LinkResult<Option<Report>>) {
    let now = shared.clock.now();
    let mut routing = shared.routing();
    let places = &mut routing.places;
    let (seen, next) = match &result {
        Ok(Some(report)) if report.endpoint == *name => {
            places.apply_report(now, report);
            places.set_link(name, Some(report.incarnation));
            (Some(report.seq), interval(places, name))
        }
        Ok(_) => (None, interval(places, name)),
        Err(err) => {
            let linked = places.find(name).is_some_and(|id| places.view(id).linked);
            if linked {
                info!("agent is unreachable: {err}");
            }
            places.set_link(name, None);
            (Some(0), FAILED)
        }
    };
    drop(routing);
    shared.polls().done(name, now, seen, next);
}

fn interval(places: &decision::placement::EndpointTable, name: &str) -> Duration {
    let Some(id) = places.find(name) else {
        return BUSY;
    };
    let view = places.view(id);
    if view.inflight > 0 || view.last_report_at.is_none() || !view.report.ready {
        BUSY
    } else {
        IDLE
    }
}

/// Returns the agents of a region.
pub(crate) fn agents_of<'a>(
    instances: impl Iterator<Item = &'a Instance>,
    region: &str,
) -> Vec<Name> {
    instances
        .filter(|instance| instance.role == Role::Agent && instance.region == *region)
        .map(|instance| instance.name.as_str().into())
        .collect()
}
