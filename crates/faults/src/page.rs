//! The text of `docs/FAULTS.md`.

use std::fmt::Write as _;

use crate::matrix::Cell;
use crate::matrix::Fault;
use crate::matrix::Flow;
use crate::matrix::Invariant;
use crate::matrix::Step;
use crate::matrix::cell;

/// What a caller or an operator sees, with its code in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Effect {
    code: &'static str,
    text: &'static str,
}

const fn effect(code: &'static str, text: &'static str) -> Effect {
    Effect { code, text }
}

const UNAFFECTED: Effect = effect("c0", "nothing: requests go on");
const LATER: Effect = effect("c1", "the answer comes later, within the deadline");
const ELSEWHERE: Effect = effect(
    "c2",
    "the answer comes from another endpoint; with none left, an error with `ran: no` and `Retry-After`",
);
const UNCERTAIN: Effect = effect(
    "c3",
    "a repeatable request is retried before its first byte, later it ends with an error and without \
     `[DONE]`; a booking without proof ends as `outcome_unknown` and is never run again",
);
const NO_CLAIM: Effect = effect(
    "c4",
    "a booking gets `storage_unavailable` with `ran: no` within a second; other requests go on",
);
const SAME_KEY: Effect = effect(
    "c5",
    "the connection is lost; the same idempotency key gives the stored outcome, or `outcome_unknown`",
);

const NOTHING: Effect = effect("o0", "nothing but latency");
const UNREACHABLE: Effect = effect(
    "o1",
    "`publish` exits with 3 and says what may have happened",
);
const READ_BACK: Effect = effect(
    "o2",
    "`publish` reads the head back and reports what is in force",
);
const CONFLICT: Effect = effect(
    "o3",
    "`publish` exits with 4 and lists the objects that clash",
);
const BEHIND: Effect = effect(
    "o4",
    "`status` shows the older generation until the next exchange",
);
const NOT_READY: Effect = effect(
    "o5",
    "the process stays not ready, `/readyz` says what it waits for",
);
const RETRIES: Effect = effect(
    "o6",
    "retries, refusals and an open breaker in metrics and dump",
);
const LEASE: Effect = effect(
    "o7",
    "the agent's dump shows no lease; no commands until it has one",
);
const LOADS: Effect = effect("o8", "failed loads in the agent's metrics and log");
const DRAINING: Effect = effect("o9", "the log says every 10 s what the stop waits for");

/// Returns what a caller sees of `fault` at `step`.
fn caller(step: Step, fault: Fault) -> Effect {
    let submitted = (Step::Submit..=Step::Answer).contains(&step);
    match (step.flow(), fault) {
        (Flow::Publish | Flow::Adopt, _) => UNAFFECTED,
        (_, Fault::StoreDown | Fault::StoreSlow | Fault::StoreLost) => UNAFFECTED,
        (_, Fault::CacheLate | Fault::CacheGap) => UNAFFECTED,
        (Flow::Request, Fault::TableDown) if step <= Step::Claim => NO_CLAIM,
        (_, Fault::TableDown | Fault::TableSlow | Fault::TableLost) => LATER,
        (_, Fault::EntryGone) => SAME_KEY,
        (_, Fault::PopularityShift | Fault::ListLags | Fault::ClockJump) => LATER,
        (_, Fault::PublishConflict | Fault::PeerGone) => UNAFFECTED,
        (_, Fault::LoadFails | Fault::LeaseExpires | Fault::FencingIgnored) => LATER,
        (_, Fault::EntryPaused | Fault::MessageTwice | Fault::MessageSwapped) => LATER,
        (Flow::Request, Fault::EngineRestart | Fault::AgentGone) if submitted => UNCERTAIN,
        (Flow::Request, Fault::InstanceReplaced) if submitted => UNCERTAIN,
        (_, Fault::EngineRestart | Fault::AgentGone | Fault::InstanceReplaced) => ELSEWHERE,
        (_, Fault::MessageLost | Fault::MessageLate) => UNCERTAIN,
    }
}

/// Returns what an operator sees of `fault` at `step`.
fn operator(step: Step, fault: Fault) -> Effect {
    match (step.flow(), fault) {
        (Flow::Publish, Fault::PublishConflict) => CONFLICT,
        (Flow::Publish, Fault::TableLost | Fault::StoreLost) => READ_BACK,
        (Flow::Publish, Fault::ClockJump) => NOTHING,
        (Flow::Publish, _) => UNREACHABLE,
        (Flow::Adopt, _) => BEHIND,
        (_, Fault::LeaseExpires | Fault::FencingIgnored) => LEASE,
        (_, Fault::LoadFails) => LOADS,
        (Flow::Drain, _) => DRAINING,
        (Flow::Restart, Fault::TableDown | Fault::TableSlow) => LEASE,
        (Flow::Restart, Fault::PeerGone | Fault::StoreDown) => NOT_READY,
        (_, Fault::EngineRestart | Fault::AgentGone | Fault::InstanceReplaced) => RETRIES,
        (_, Fault::MessageLost | Fault::MessageLate | Fault::TableDown) => RETRIES,
        _ => NOTHING,
    }
}

/// Returns the place in the code that enforces an invariant.
fn enforced(invariant: Invariant) -> &'static str {
    match invariant {
        Invariant::ExactAdapter => {
            "`decision::route::RouteTable::resolve`, kept in `decision::request`; `agent::check` \
             compares the served name of every answer"
        }
        Invariant::PinnedAdapter => "`decision::slots::Slots::victim` and `start_unload`",
        Invariant::WholeAnswer => {
            "`wire`'s sink server (order and count of pieces), `agent::check` and `entry`'s relay \
             (the end of the answer)"
        }
        Invariant::NotRun => {
            "`decision::ledger::Ledger::refuse` and `settle`; `decision::request` says `ran: no` only \
             with that proof"
        }
        Invariant::AtMostOnce => {
            "`decision::claim` (one row, one agent incarnation) and `decision::ledger::Ledger::admit`"
        }
        Invariant::DrainFast => {
            "`decision::drain::Drain::refuses`, `decision::placement` on a refusal"
        }
        Invariant::GracefulStop => "`decision::drain::Drain::step`, `entry::Entry::stop`",
        Invariant::ConfigForward => "`decision::adopt::Adoption::fetched`",
    }
}

/// Returns the whole page.
pub fn page() -> String {
    let mut text = HEAD.to_owned();
    legend(&mut text, "Callers see", &CALLER);
    legend(&mut text, "Operators see", &OPERATOR);
    table(&mut text);
    text.push_str("\n## Excluded cells\n\n| Fault | Reason |\n| --- | --- |\n");
    for (fault, reason) in reasons() {
        let _ = writeln!(text, "| `{fault}` | {reason} |");
    }
    text.push_str("\n## Invariants\n\n| Invariant | Enforced by |\n| --- | --- |\n");
    for invariant in Invariant::ALL {
        let _ = writeln!(text, "| `{invariant}` | {} |", enforced(*invariant));
    }
    text.push_str(TAIL);
    text
}

const CALLER: [Effect; 6] = [UNAFFECTED, LATER, ELSEWHERE, UNCERTAIN, NO_CLAIM, SAME_KEY];

const OPERATOR: [Effect; 10] = [
    NOTHING,
    UNREACHABLE,
    READ_BACK,
    CONFLICT,
    BEHIND,
    NOT_READY,
    RETRIES,
    LEASE,
    LOADS,
    DRAINING,
];

const HEAD: &str = "# Fault matrix\n\n\
    Made by `cargo run -p faults --example faults_page`; a test compares this page with the code.\n\n\
    Rows are the steps, columns the faults. `crates/faults` injects every fault at every step to \
    which it applies, alone (`single_faults`) and in pairs (`fault_pairs`), and several faults in \
    random schedules (`random_schedules`), into a virtual site that drives the real decision crate, \
    and checks the invariants from the record of its fakes. What a cell says is what the caller and \
    the operator see; the tests check the invariants and not these words. The test of a cell is \
    `FAULTS_CASE=1,STEP/FAULT/0 cargo test -p faults --test single_faults one_case`.\n";

const TAIL: &str = "\nThat each check can fail is shown by `broken_worlds`, one broken world per invariant. \
    `drain_time` and `storage_outage` check the times and shares of a drain and of outages.\n\n\
    ## Limits of this proof\n\n\
    * The relay of answers, the order of pieces and the check of the settling incarnation are copies \
    in the harness; the production code of these is tested in `wire`, `entry` and `agent`.\n\
    * Pauses fall between events. A pause between an agent's check of its lease and its send, at an \
    engine that ignores fencing, is the remaining risk of section 6.1 of the design page.\n\
    * Pairs and schedules do not assert that every fault was reached.\n";

fn legend(text: &mut String, title: &str, effects: &[Effect]) {
    let _ = write!(text, "\n## {title}\n\n| Code | Meaning |\n| --- | --- |\n");
    for Effect {
        code,
        text: meaning,
    } in effects
    {
        let _ = writeln!(text, "| {code} | {meaning} |");
    }
}

fn table(text: &mut String) {
    text.push_str("\n## Matrix\n\nA dash marks a cell that does not apply.\n\n| Step |");
    for fault in Fault::ALL {
        let _ = write!(text, " {fault} |");
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(Fault::ALL.len()));
    for step in Step::ALL {
        let _ = write!(text, "\n| {step} |");
        for fault in Fault::ALL {
            let shown = match cell(*step, *fault) {
                Cell::Excluded(_) => "-".to_owned(),
                Cell::Applies => {
                    format!(
                        "{} {}",
                        caller(*step, *fault).code,
                        operator(*step, *fault).code
                    )
                }
            };
            let _ = write!(text, " {shown} |");
        }
    }
    text.push('\n');
}

/// Returns each fault that is excluded somewhere, with the reason.
fn reasons() -> Vec<(Fault, &'static str)> {
    let excluded = |fault: &Fault| {
        let cells = Step::ALL.iter().map(|step| cell(*step, *fault));
        cells.into_iter().find_map(|cell| match cell {
            Cell::Excluded(reason) => Some((*fault, reason)),
            Cell::Applies => None,
        })
    };
    Fault::ALL.iter().filter_map(excluded).collect()
}
