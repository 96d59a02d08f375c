//! The promises, checked against what callers and stand-ins saw.
//!
//! Each check is narrowed by the faults that excuse an entry: one that was stopped, cut off or
//! restarted within the time to be in touch again owes nothing that depends on time.

use decision::collections::Map;
use decision::collections::Set;
use derive_more::Display;
use rig::runner;

use crate::history::Arrival;
use crate::history::Call;
use crate::history::End;
use crate::history::History;
use crate::history::Kind;
use crate::history::Ms;

/// What was promised.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Promise {
    /// A request that may run once runs at most once.
    #[display("at most once")]
    Once,
    /// A request that was refused has not run.
    #[display("refused means not run")]
    Refused,
    /// Answers are whole and belong to their request.
    #[display("whole answers")]
    Whole,
    /// Events come once and in order.
    #[display("stream order")]
    Order,
    /// Runners run only what callers sent, at the service that the route names.
    #[display("only what was asked")]
    Asked,
    /// A runner that leaves gets nothing after the bound.
    #[display("drain bound")]
    Drain,
    /// The newest manifest is in force within the bound, and never an older one again.
    #[display("newest manifest")]
    Manifest,
    /// All entries together send no more second attempts than the budget has.
    #[display("retry budget")]
    Budget,
    /// Requests run on the newest adapter version after the bound.
    #[display("newest version")]
    Version,
    /// One holder gives all orders to a runner, within what it can hold.
    #[display("one holder")]
    Holder,
    /// The work for a caller that left ends.
    #[display("no work for nobody")]
    Gone,
    /// A planned stop or reload loses no request.
    #[display("nothing lost at a stop")]
    Lost,
    /// Programs run until they are told to stop, and then stop in time.
    #[display("stop on request only")]
    Exit,
    /// Service returns after all programs were killed.
    #[display("service after a kill of all")]
    Recovery,
}

/// A broken promise.
#[derive(Clone, Debug, Display)]
#[display("{promise}: {request}: {detail}")]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// The request, or the runner or program that it is about.
    pub request: String,
    /// What was seen.
    pub detail: String,
}

fn breach(promise: Promise, request: &str, detail: String) -> Breach {
    Breach {
        promise,
        request: request.into(),
        detail,
    }
}

/// Returns all broken promises.
pub fn breaches(history: &History) -> Vec<Breach> {
    let index = Index::new(history);
    let mut all = Vec::new();
    for call in &history.calls {
        all.extend(at_most_once(&index, call));
        all.extend(not_run(&index, call));
        all.extend(whole(call));
        all.extend(in_order(history, call));
        all.extend(allowed(call));
        all.extend(not_lost(history, &index, call));
    }
    for arrival in &history.arrivals {
        all.extend(asked(&index, arrival));
        all.extend(drained(history, &index, arrival));
        all.extend(newest_version(history, &index, arrival));
    }
    all.extend(newest_manifest(history));
    all.extend(manifest_kept(history));
    all.extend(within_budget(history, &index));
    all.extend(one_holder(history));
    all.extend(work_ended(history, &index));
    all.extend(exits(history));
    all.extend(recovered(history));
    all
}

/// The requests and their runs by identifier.
struct Index<'a> {
    calls: Map<&'a str, &'a Call>,
    arrivals: Map<&'a str, Vec<&'a Arrival>>,
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Index<'a> {
        let calls = history.calls.iter();
        let calls = calls.map(|call| (call.id.as_str(), call)).collect();
        let mut arrivals: Map<&str, Vec<&Arrival>> = Map::default();
        for arrival in &history.arrivals {
            arrivals.entry(&arrival.request).or_default().push(arrival);
        }
        Index { calls, arrivals }
    }

    fn runs(&self, id: &str) -> impl Iterator<Item = &'a Arrival> {
        let arrivals = self.arrivals.get(id).into_iter().flatten();
        arrivals.copied().filter(|arrival| arrival.ran)
    }
}

fn at_most_once(index: &Index<'_>, call: &Call) -> Option<Breach> {
    let runs: Vec<&str> = index.runs(&call.id).map(|run| &*run.runner).collect();
    (call.kind.is_once() && runs.len() > 1).then(|| {
        breach(
            Promise::Once,
            &call.id,
            format!("ran at {}", runs.join(", ")),
        )
    })
}

fn not_run(index: &Index<'_>, call: &Call) -> Option<Breach> {
    let status = call.status()?;
    let promised = matches!(status, 408 | 421 | 429 | 503) && call.kind.is_once();
    let run = index.runs(&call.id).next()?;
    let detail = || format!("answered {status} and ran at {}", run.runner);
    promised.then(|| breach(Promise::Refused, &call.id, detail()))
}

fn whole(call: &Call) -> Option<Breach> {
    let End::Answer {
        status,
        seal,
        body,
        whole,
    } = &call.end
    else {
        return None;
    };
    let id = &call.id;
    let fault = match seal {
        None if *status < 300 => Some("a success without a seal".to_owned()),
        Some(seal) if *seal != runner::seal(*status, id) => Some(format!("{status} with {seal}")),
        Some(_) if *status == 200 && *whole && !call.kind.is_stream() => {
            (*body != runner::body(id)).then(|| format!("body {body:?}"))
        }
        _ => None,
    };
    fault.map(|fault| breach(Promise::Whole, id, fault))
}

fn in_order(history: &History, call: &Call) -> Option<Breach> {
    let End::Answer {
        status: 200,
        body,
        whole,
        ..
    } = &call.end
    else {
        return None;
    };
    if !call.kind.is_stream() {
        return None;
    }
    let mut count = 0;
    for event in body.split_inclusive("\n\n") {
        if event != runner::event(count + 1, &call.id) {
            let detail = format!("{event:?} after event {count}");
            return Some(breach(Promise::Order, &call.id, detail));
        }
        count += 1;
    }
    (*whole && count != history.last_event).then(|| {
        breach(
            Promise::Order,
            &call.id,
            format!("complete after {count} events"),
        )
    })
}

/// Routes that every manifest has are never denied.
fn allowed(call: &Call) -> Option<Breach> {
    let dated = matches!(call.kind, Kind::Dated(_));
    let denied = call
        .status()
        .is_some_and(|status| matches!(status, 300..=407 | 409..=420));
    (denied && !dated).then(|| breach(Promise::Manifest, &call.id, format!("{:?}", call.end)))
}

fn asked(index: &Index<'_>, arrival: &Arrival) -> Option<Breach> {
    if !arrival.ran {
        return None;
    }
    let detail = match index.calls.get(&*arrival.request) {
        None => "no caller sent it".to_owned(),
        Some(call) if call.kind.service() != arrival.service => {
            format!("{} ran at {}", call.kind, arrival.runner)
        }
        Some(_) => return None,
    };
    Some(breach(Promise::Asked, &arrival.request, detail))
}

fn drained(history: &History, index: &Index<'_>, arrival: &Arrival) -> Option<Breach> {
    let mut leaving = history.leaving.iter();
    let (_, at) = leaving.find(|(runner, _)| *runner == arrival.runner)?;
    let call = index.calls.get(&*arrival.request)?;
    let late = arrival.begun > at + history.bounds.drain;
    let excused = !history.in_touch(call.entry, call.sent, arrival.begun)
        || !history.reachable(&arrival.runner, call.sent, arrival.begun);
    let detail = || format!("{} ms after {} left", arrival.begun - at, arrival.runner);
    (late && !excused).then(|| breach(Promise::Drain, &call.id, detail()))
}

fn newest_version(history: &History, index: &Index<'_>, arrival: &Arrival) -> Option<Breach> {
    let (adapter, version) = arrival.adapter.as_ref()?;
    let call = index.calls.get(&*arrival.request)?;
    let outdated = history.versions.iter().find(|(name, newer, at)| {
        name == adapter
            && newer > version
            && arrival.ran
            && arrival.begun > at + history.bounds.version
            && history.is_calm(
                call.entry,
                arrival.begun - history.bounds.version,
                arrival.begun,
            )
            && history.is_clear(&arrival.runner, call.sent, arrival.begun)
    });
    let (_, newer, at) = outdated?;
    let age = arrival.begun - at;
    let detail = format!("{adapter}@{version} {age} ms after {newer}");
    Some(breach(Promise::Version, &call.id, detail))
}

/// Returns when the route of a version of the manifest appeared and when it was dropped.
fn validity(history: &History, version: u64) -> Option<(Ms, Option<Ms>)> {
    let acked = |wanted| {
        let mut configs = history.configs.iter();
        configs
            .find(|(known, _)| *known == wanted)
            .map(|(_, at)| *at)
    };
    Some((acked(version)?, acked(version + 2)))
}

fn newest_manifest(history: &History) -> Vec<Breach> {
    let bound = history.bounds.config;
    let judge = |call: &Call| {
        let Kind::Dated(version) = call.kind else {
            return None;
        };
        let (from, to) = validity(history, version)?;
        let current = call.sent > from + bound && to.is_none_or(|to| call.ended < to);
        if current
            && call.status() == Some(404)
            && history.in_touch(call.entry, call.sent, call.ended)
        {
            let detail = format!("no route {} ms after its ack", call.sent - from);
            return Some(breach(Promise::Manifest, &call.id, detail));
        }
        let to = to?;
        let dropped = call.sent > to + bound && history.in_touch(call.entry, call.sent, call.ended);
        let detail = || format!("served {} ms after its route was dropped", call.sent - to);
        (dropped && call.is_served()).then(|| breach(Promise::Manifest, &call.id, detail()))
    };
    history.calls.iter().filter_map(judge).collect()
}

/// An entry that has shown a manifest does not go back to an older one.
fn manifest_kept(history: &History) -> Vec<Breach> {
    let mut shown: Map<(usize, u32, u64), Ms> = Map::default();
    let mut all = Vec::new();
    for call in &history.calls {
        let Kind::Dated(version) = call.kind else {
            continue;
        };
        let key = (call.entry, call.life, version);
        if call.is_served() {
            shown.entry(key).or_insert(call.ended);
        }
        let Some(at) = shown.get(&key) else {
            continue;
        };
        let dropped = validity(history, version).and_then(|(_, to)| to);
        let valid = dropped.is_none_or(|to| call.ended < to);
        if valid && call.status() == Some(404) && call.sent > at + history.bounds.rollback {
            let detail = format!("no route {} ms after it was served", call.sent - at);
            all.push(breach(Promise::Manifest, &call.id, detail));
        }
    }
    all
}

fn within_budget(history: &History, index: &Index<'_>) -> Vec<Breach> {
    let services: Set<&str> = history
        .calls
        .iter()
        .map(|call| call.kind.service())
        .collect();
    let broken = services
        .iter()
        .filter_map(|service| over_budget(history, index, service));
    broken.collect()
}

fn over_budget(history: &History, index: &Index<'_>, service: &str) -> Option<Breach> {
    let bounds = &history.bounds;
    let mut seen: Set<&str> = Set::default();
    let of_service = history.arrivals.iter().filter(|arrival| {
        let call = index.calls.get(&*arrival.request);
        call.is_some_and(|call| call.kind.service() == service)
    });
    let mut arrivals: Vec<&Arrival> = of_service.collect();
    arrivals.sort_by_key(|arrival| arrival.begun);
    arrivals.retain(|arrival| !seen.insert(&arrival.request));
    let calls = history
        .calls
        .iter()
        .filter(|call| call.kind.service() == service);
    let sent: Vec<Ms> = calls.map(|call| call.sent).collect();
    let requests = |to: Ms| {
        let from = to.saturating_sub(bounds.retry_window);
        sent.iter().filter(|at| (from..=to).contains(at)).count()
    };
    arrivals.iter().find_map(|last| {
        let to = last.begun;
        let from = to.saturating_sub(bounds.retry_window);
        let within = |arrival: &&&Arrival| (from..=to).contains(&arrival.begun);
        let repeats = arrivals.iter().filter(within).count();
        let most = [0, bounds.retry_window / 2, bounds.retry_window]
            .map(|back| requests(to.saturating_sub(back)));
        let most = most.into_iter().max().unwrap_or(0);
        let allowed = bounds.retry_ratio * most as f64 + bounds.retry_slack;
        let detail =
            || format!("{repeats} second attempts for {most} requests at service {service}");
        (repeats as f64 > allowed).then(|| breach(Promise::Budget, &last.request, detail()))
    })
}

fn one_holder(history: &History) -> Vec<Breach> {
    let mut holders: Map<&str, &str> = Map::default();
    let mut all = Vec::new();
    for order in &history.orders {
        let holder = *holders.entry(&order.runner).or_insert(&order.holder);
        if holder != order.holder {
            let detail = format!("orders of {holder} and {} at {} ms", order.holder, order.at);
            all.push(breach(Promise::Holder, &order.runner, detail));
        }
        if order.over {
            let detail = format!("more adapters than slots at {} ms", order.at);
            all.push(breach(Promise::Holder, &order.runner, detail));
        }
    }
    all
}

/// Most of the work for callers that left has to end in time; single requests may cross the leave.
fn work_ended(history: &History, index: &Index<'_>) -> Option<Breach> {
    const MIN_LATE: usize = 4;
    let mut late = Vec::new();
    let mut all = 0;
    for call in history.calls.iter().filter(|call| call.end == End::Left) {
        let bound = call.ended + history.bounds.gone;
        let runs = index.runs(&call.id).filter(|run| {
            let lasted = run.ended.is_none_or(|ended| ended > call.ended);
            lasted
                && history.in_touch(call.entry, call.sent, bound)
                && history.reachable(&run.runner, call.sent, bound)
        });
        for run in runs {
            all += 1;
            if run.ended.is_none_or(|ended| ended > bound) {
                late.push(&*call.id);
            }
        }
    }
    (late.len() >= MIN_LATE && late.len() * 4 > all).then(|| {
        breach(
            Promise::Gone,
            late[0],
            format!("{} of {all} worked on", late.len()),
        )
    })
}

fn not_lost(history: &History, index: &Index<'_>, call: &Call) -> Option<Breach> {
    if call.end != End::Closed || call.kind.is_stream() {
        return None;
    }
    let run = index.runs(&call.id).next()?;
    let excused = !history.only_planned(call.entry, call.sent, call.ended);
    let detail = || format!("closed without an answer while {} worked", run.runner);
    (!excused).then(|| breach(Promise::Lost, &call.id, detail()))
}

fn exits(history: &History) -> Vec<Breach> {
    let exits = history.exits.iter();
    exits
        .map(|exit| breach(Promise::Exit, "-", exit.clone()))
        .collect()
}

/// A quarter of the requests that are sent after the bound must be served.
fn recovered(history: &History) -> Option<Breach> {
    let from = history.killed? + history.bounds.recovery;
    let calls = history.calls.iter().filter(|call| call.sent >= from);
    let calls: Vec<&Call> = calls.collect();
    let served = calls.iter().filter(|call| call.is_served()).count();
    (served * 4 < calls.len()).then(|| {
        let detail = format!("{served} of {} served", calls.len());
        breach(Promise::Recovery, "-", detail)
    })
}
