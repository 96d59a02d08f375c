//! The checks that find violated guarantees in what callers and runners observed.
//!
//! Faults excuse some violations: a check that depends on time skips an entry that was stopped, cut
//! off or restarted so recently that it may not be up to date with the store again.

mod deadly;
mod disconnects;
mod kept;
mod manifests;
mod notices;
mod silences;
mod tenants;

use decision::collections::Map;
use decision::collections::Set;
use derive_more::Display;
use rig::runner;

use crate::history::Attempt;
use crate::history::Call;
use crate::history::CallOutcome;
use crate::history::History;
use crate::history::Ms;

/// A guarantee that the programs give under faults.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Guarantee {
    /// A non-idempotent request runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// A refused non-idempotent request has not run.
    #[display("refused means not run")]
    RefusedNotRun,
    /// A response is unchanged and belongs to its request.
    #[display("whole answers")]
    IntactResponse,
    /// A stream delivers each event once and in order.
    #[display("stream order")]
    EventOrder,
    /// A runner runs only requests that callers sent and that their routes lead to its service.
    #[display("only what was asked")]
    KnownRequest,
    /// A draining or removed runner receives no requests after the bound.
    #[display("drain bound")]
    DrainBound,
    /// Entries apply the newest manifest within the bound and never return to an older one.
    #[display("newest manifest")]
    NewestManifest,
    /// All entries together send no more retries than the retry budget allows.
    #[display("retry budget")]
    RetryBudget,
    /// Requests run with the newest adapter version after the bound.
    #[display("newest version")]
    NewestVersion,
    /// All orders that a runner accepts come from one holder and fit into its slots.
    #[display("one holder")]
    SingleHolder,
    /// Runners stop working on a request after its caller has disconnected.
    #[display("no work for nobody")]
    WorkCancelled,
    /// No request reaches a runner after its caller has disconnected.
    #[display("no start for nobody")]
    NotSentAfterLeaving,
    /// All entries together keep to the rate that a runner takes.
    #[display("rate limit")]
    RateLimit,
    /// A runner that says that it leaves receives no requests after the bound.
    #[display("leaving runner left alone")]
    LeavingLeft,
    /// A runner that wants no requests for a while receives none.
    #[display("pause kept")]
    PauseKept,
    /// The answer of a sound runner reaches its caller, though the runner is silent for a while.
    #[display("answer in spite of silence")]
    SilenceOutlasted,
    /// No response is lost at a planned stop or reload.
    #[display("nothing lost at a stop")]
    GracefulStop,
    /// A request on a connection that was idle within its limit gets an answer or a refusal.
    #[display("answer on a kept connection")]
    KeptAnswered,
    /// Programs exit only when they are told to, and then within the bound.
    #[display("stop on request only")]
    NoUnexpectedExit,
    /// Requests with a part on which runners crash reach no runners, once some have crashed.
    #[display("deadly parts held back")]
    DeadlyHeldBack,
    /// Sound requests are not held back for the parts of others.
    #[display("sound requests not held back")]
    SoundNotHeldBack,
    /// Only requests with a known key run, as those of its tenant, and the key stays at the entry.
    #[display("keys")]
    Keys,
    /// All entries together keep to the limit of a tenant.
    #[display("quota")]
    Quota,
    /// Requests are served again within the bound after all programs were killed.
    #[display("service after a kill of all")]
    Recovery,
}

/// A violated guarantee.
#[derive(Clone, Debug, Display)]
#[display("{guarantee}: {subject}: {detail}")]
pub struct Violation {
    /// The guarantee that does not hold.
    pub guarantee: Guarantee,
    /// The identifier of the request or runner; `-` if the violation concerns neither.
    pub subject: String,
    /// What was observed, for the report.
    pub detail: String,
}

fn violation(guarantee: Guarantee, subject: &str, detail: String) -> Violation {
    Violation {
        guarantee,
        subject: subject.into(),
        detail,
    }
}

/// Runs all checks.
pub fn violations(history: &History) -> Vec<Violation> {
    let index = Index::new(history);
    let mut all = Vec::new();
    for call in &history.calls {
        all.extend(check_at_most_once(&index, call));
        all.extend(check_refused_not_run(&index, call));
        all.extend(check_intact_response(call));
        all.extend(check_event_order(history, call));
        all.extend(manifests::check_permanent_routes(call));
        all.extend(check_graceful_stop(history, &index, call));
        all.extend(silences::check_answer(history, &index, call));
        all.extend(kept::check_answered(history, call));
        all.extend(tenants::check_known_key(history, call));
        all.extend(tenants::check_unlimited(call));
        all.extend(tenants::check_dropped_key(history, &index, call));
    }
    for attempt in &history.attempts {
        all.extend(check_known_request(&index, attempt));
        all.extend(check_drain_bound(history, &index, attempt));
        all.extend(check_version(history, &index, attempt));
        all.extend(tenants::check_identity(&index, attempt));
    }
    all.extend(manifests::check_newest_manifest(history));
    all.extend(manifests::check_no_manifest_rollback(history));
    all.extend(check_retry_budget(history, &index));
    all.extend(tenants::check_quota(history, &index));
    all.extend(check_single_holder(history));
    all.extend(disconnects::check_work_cancelled(history, &index));
    all.extend(disconnects::check_not_sent_after_leaving(history, &index));
    all.extend(notices::check_notices(history, &index));
    all.extend(deadly::check_held_back(history));
    all.extend(deadly::check_sound_requests(history));
    all.extend(check_unexpected_exits(history));
    all.extend(check_recovery(history));
    all
}

/// Finds the records of a request by its identifier.
struct Index<'a> {
    calls: Map<&'a str, &'a Call>,
    attempts: Map<&'a str, Vec<&'a Attempt>>,
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Index<'a> {
        let calls = history.calls.iter();
        let calls = calls.map(|call| (call.id.as_str(), call)).collect();
        let mut attempts: Map<&str, Vec<&Attempt>> = Map::default();
        for attempt in &history.attempts {
            attempts.entry(&attempt.request).or_default().push(attempt);
        }
        Index { calls, attempts }
    }

    fn runs(&self, id: &str) -> impl Iterator<Item = &'a Attempt> {
        let attempts = self.attempts.get(id).into_iter().flatten();
        attempts.copied().filter(|attempt| attempt.ran)
    }
}

fn check_at_most_once(index: &Index<'_>, call: &Call) -> Option<Violation> {
    let runs: Vec<&str> = index.runs(&call.id).map(|run| &*run.runner).collect();
    (call.kind.is_non_idempotent() && runs.len() > 1).then(|| {
        violation(
            Guarantee::AtMostOnce,
            &call.id,
            format!("ran at {}", runs.join(", ")),
        )
    })
}

fn check_refused_not_run(index: &Index<'_>, call: &Call) -> Option<Violation> {
    let status = call.status()?;
    let must_not_run = matches!(status, 408 | 421 | 429 | 503) && call.kind.is_non_idempotent();
    let run = index.runs(&call.id).next()?;
    let detail = || format!("status {status}, but ran at {}", run.runner);
    must_not_run.then(|| violation(Guarantee::RefusedNotRun, &call.id, detail()))
}

fn check_intact_response(call: &Call) -> Option<Violation> {
    let CallOutcome::Response {
        status,
        seal,
        body,
        complete,
    } = &call.outcome
    else {
        return None;
    };
    let id = &call.id;
    let defect = match seal {
        None if *status < 300 => Some(format!("status {status} without a seal")),
        Some(seal) if *seal != runner::seal(*status, id) => {
            Some(format!("status {status} with seal {seal}"))
        }
        Some(_) if *status == 200 && *complete && !call.kind.is_stream() => {
            (*body != runner::body(id)).then(|| format!("unexpected body {body:?}"))
        }
        _ => None,
    };
    defect.map(|defect| violation(Guarantee::IntactResponse, id, defect))
}

fn check_event_order(history: &History, call: &Call) -> Option<Violation> {
    let CallOutcome::Response {
        status: 200,
        body,
        complete,
        ..
    } = &call.outcome
    else {
        return None;
    };
    if !call.kind.is_stream() {
        return None;
    }
    let mut count = 0;
    for event in body.split_inclusive("\n\n") {
        if event != runner::event(count + 1, &call.id) {
            let detail = format!("unexpected {event:?} after event {count}");
            return Some(violation(Guarantee::EventOrder, &call.id, detail));
        }
        count += 1;
    }
    (*complete && count != history.last_event).then(|| {
        violation(
            Guarantee::EventOrder,
            &call.id,
            format!("stream ended after {count} events"),
        )
    })
}

fn check_known_request(index: &Index<'_>, attempt: &Attempt) -> Option<Violation> {
    if !attempt.ran {
        return None;
    }
    let detail = match index.calls.get(&*attempt.request) {
        None => "no caller sent it".to_owned(),
        Some(call) if call.kind.service() != attempt.service => {
            format!("route {} ran at {}", call.kind, attempt.runner)
        }
        Some(_) => return None,
    };
    Some(violation(Guarantee::KnownRequest, &attempt.request, detail))
}

fn check_drain_bound(history: &History, index: &Index<'_>, attempt: &Attempt) -> Option<Violation> {
    let mut departures = history.departures.iter();
    let (_, at) = departures.find(|(runner, _)| *runner == attempt.runner)?;
    let call = index.calls.get(&*attempt.request)?;
    let late = attempt.started_at > at + history.bounds.drain;
    let excused = !history.entry_settled(call.entry, call.sent_at, attempt.started_at)
        || !history.runner_settled(&attempt.runner, call.sent_at, attempt.started_at);
    let detail = || {
        format!(
            "arrived {} ms after the departure of {}",
            attempt.started_at - at,
            attempt.runner
        )
    };
    (late && !excused).then(|| violation(Guarantee::DrainBound, &call.id, detail()))
}

fn check_version(history: &History, index: &Index<'_>, attempt: &Attempt) -> Option<Violation> {
    let (adapter, version) = attempt.adapter.as_ref()?;
    let call = index.calls.get(&*attempt.request)?;
    let outdated = history.versions.iter().find(|(name, newer, at)| {
        name == adapter
            && newer > version
            && attempt.ran
            && attempt.started_at > at + history.bounds.version
            && history.entry_undisturbed(
                call.entry,
                attempt.started_at - history.bounds.version,
                attempt.started_at,
            )
            && history.runner_undisturbed(&attempt.runner, call.sent_at, attempt.started_at)
    });
    let (_, newer, at) = outdated?;
    let age = attempt.started_at - at;
    let detail = format!("ran {adapter}@{version} {age} ms after version {newer}");
    Some(violation(Guarantee::NewestVersion, &call.id, detail))
}

fn check_retry_budget(history: &History, index: &Index<'_>) -> Vec<Violation> {
    let services: Set<&str> = history
        .calls
        .iter()
        .map(|call| call.kind.service())
        .collect();
    let excess = services
        .iter()
        .filter_map(|service| excess_retries(history, index, service));
    excess.collect()
}

fn excess_retries(history: &History, index: &Index<'_>, service: &str) -> Option<Violation> {
    let bounds = &history.bounds;
    let mut first_attempts: Set<&str> = Set::default();
    let of_service = history.attempts.iter().filter(|attempt| {
        let call = index.calls.get(&*attempt.request);
        call.is_some_and(|call| call.kind.service() == service)
    });
    let mut retries: Vec<&Attempt> = of_service.collect();
    retries.sort_by_key(|attempt| attempt.started_at);
    retries.retain(|attempt| !first_attempts.insert(&attempt.request));
    let calls = history
        .calls
        .iter()
        .filter(|call| call.kind.service() == service && !call.is_denied());
    let sent: Vec<Ms> = calls.map(|call| call.sent_at).collect();
    let requests_before = |to: Ms| {
        let from = to.saturating_sub(bounds.retry_window);
        sent.iter().filter(|at| (from..=to).contains(at)).count()
    };
    retries.iter().find_map(|last| {
        let to = last.started_at;
        let from = to.saturating_sub(bounds.retry_window);
        let within = |attempt: &&&Attempt| (from..=to).contains(&attempt.started_at);
        let count = retries.iter().filter(within).count();
        let counts = [0, bounds.retry_window / 2, bounds.retry_window]
            .map(|back| requests_before(to.saturating_sub(back)));
        let requests = counts.into_iter().max().unwrap_or(0);
        let allowed = bounds.retry_ratio * requests as f64 + bounds.retry_slack;
        let detail = || format!("{count} retries for {requests} requests of service {service}");
        (count as f64 > allowed).then(|| violation(Guarantee::RetryBudget, &last.request, detail()))
    })
}

fn check_single_holder(history: &History) -> Vec<Violation> {
    let mut holders: Map<&str, &str> = Map::default();
    let mut all = Vec::new();
    for order in &history.orders {
        let holder = *holders.entry(&order.runner).or_insert(&order.holder);
        if holder != order.holder {
            let detail = format!("orders of {holder} and {} at {} ms", order.holder, order.at);
            all.push(violation(Guarantee::SingleHolder, &order.runner, detail));
        }
        if order.over_capacity {
            let detail = format!("more adapters than slots at {} ms", order.at);
            all.push(violation(Guarantee::SingleHolder, &order.runner, detail));
        }
    }
    all
}

fn check_graceful_stop(history: &History, index: &Index<'_>, call: &Call) -> Option<Violation> {
    if call.outcome != CallOutcome::ConnectionClosed || call.kind.is_stream() {
        return None;
    }
    let run = index.runs(&call.id).next()?;
    let excused = !history.only_planned_faults(call.entry, call.sent_at, call.ended_at);
    let detail = || format!("closed without a response, but ran at {}", run.runner);
    (!excused).then(|| violation(Guarantee::GracefulStop, &call.id, detail()))
}

fn check_unexpected_exits(history: &History) -> Vec<Violation> {
    let exits = history.unexpected_exits.iter();
    exits
        .map(|exit| violation(Guarantee::NoUnexpectedExit, "-", exit.clone()))
        .collect()
}

/// Requires that a quarter of the requests sent after the bound are served.
fn check_recovery(history: &History) -> Option<Violation> {
    let from = history.killed_at? + history.bounds.recovery;
    let calls = history.calls.iter().filter(|call| call.sent_at >= from);
    let calls: Vec<&Call> = calls.collect();
    let served = calls.iter().filter(|call| call.is_served()).count();
    (served * 4 < calls.len()).then(|| {
        let detail = format!("{served} of {} requests served", calls.len());
        violation(Guarantee::Recovery, "-", detail)
    })
}
