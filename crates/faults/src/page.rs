//! Generator of `docs/FAULTS.md`.

use std::fmt::Write as _;

use crate::matrix::Cell;
use crate::matrix::Fault;
use crate::matrix::Flow;
use crate::matrix::Invariant;
use crate::matrix::Step;
use crate::matrix::cell;

/// What a caller or an operator sees of a fault, and its code in the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Effect {
    code: &'static str,
    text: &'static str,
}

const fn effect(code: &'static str, text: &'static str) -> Effect {
    Effect { code, text }
}

const UNAFFECTED: Effect = effect("c0", "no effect");
const DELAYED: Effect = effect("c1", "the response is delayed, within the deadline");
const OTHER_ENDPOINT: Effect = effect(
    "c2",
    "the response comes from another endpoint; if none is left, an error with `ran: no` and `Retry-After`",
);
const OUTCOME_UNKNOWN: Effect = effect(
    "c3",
    "before its first byte a repeatable request is retried, after it the response ends with an error and \
     without `[DONE]`; a booking whose outcome cannot be proved ends as `outcome_unknown` and is never \
     run again",
);
const CLAIM_REFUSED: Effect = effect(
    "c4",
    "a booking gets `storage_unavailable` with `ran: no` within a second; other requests are not affected",
);
const CONNECTION_LOST: Effect = effect(
    "c5",
    "the connection is lost; a repeated call with the same idempotency key gets the stored outcome or \
     `outcome_unknown`",
);

const LATENCY_ONLY: Effect = effect("o0", "higher latency only");
const PUBLISH_FAILED: Effect = effect(
    "o1",
    "`publish` exits with 3 and reports which outcomes are possible",
);
const HEAD_READ_BACK: Effect = effect(
    "o2",
    "`publish` reads the head back and reports what is in force",
);
const PUBLISH_CONFLICT: Effect = effect(
    "o3",
    "`publish` exits with 4 and lists the objects in conflict",
);
const OLDER_GENERATION: Effect = effect(
    "o4",
    "`status` shows the older generation until the next exchange",
);
const NOT_READY: Effect = effect(
    "o5",
    "the process is not ready; `/readyz` reports what it waits for",
);
const RETRIES_VISIBLE: Effect = effect(
    "o6",
    "retries, refusals and an open circuit breaker in metrics and dump",
);
const NO_LEASE: Effect = effect(
    "o7",
    "the agent's dump shows no lease; the agent sends no commands to its engine until it has one",
);
const FAILED_LOADS: Effect = effect("o8", "failed loads in the agent's metrics and log");
const DRAIN_PROGRESS: Effect = effect("o9", "every 10 s the log reports what the drain waits for");

/// Returns what a caller sees of `fault` at `step`.
fn caller_effect(step: Step, fault: Fault) -> Effect {
    let submitted = (Step::Submit..=Step::Answer).contains(&step);
    match (step.flow(), fault) {
        (Flow::Publish | Flow::Adopt, _) => UNAFFECTED,
        (_, Fault::StoreDown | Fault::StoreSlow | Fault::StoreLost) => UNAFFECTED,
        (_, Fault::CacheLate | Fault::CacheGap) => UNAFFECTED,
        (Flow::Request, Fault::TableDown) if step <= Step::Claim => CLAIM_REFUSED,
        (_, Fault::TableDown | Fault::TableSlow | Fault::TableLost) => DELAYED,
        (_, Fault::EntryGone) => CONNECTION_LOST,
        (_, Fault::PopularityShift | Fault::ListLags | Fault::ClockJump) => DELAYED,
        (_, Fault::PublishConflict | Fault::PeerGone) => UNAFFECTED,
        (_, Fault::LoadFails | Fault::LeaseExpires | Fault::FencingIgnored) => DELAYED,
        (_, Fault::EntryPaused | Fault::MessageTwice | Fault::MessageSwapped) => DELAYED,
        (Flow::Request, Fault::EngineRestart | Fault::AgentGone) if submitted => OUTCOME_UNKNOWN,
        (Flow::Request, Fault::InstanceReplaced) if submitted => OUTCOME_UNKNOWN,
        (_, Fault::EngineRestart | Fault::AgentGone | Fault::InstanceReplaced) => OTHER_ENDPOINT,
        (_, Fault::MessageLost | Fault::MessageLate) => OUTCOME_UNKNOWN,
    }
}

/// Returns what an operator sees of `fault` at `step`.
fn operator_effect(step: Step, fault: Fault) -> Effect {
    match (step.flow(), fault) {
        (Flow::Publish, Fault::PublishConflict) => PUBLISH_CONFLICT,
        (Flow::Publish, Fault::TableLost | Fault::StoreLost) => HEAD_READ_BACK,
        (Flow::Publish, Fault::ClockJump) => LATENCY_ONLY,
        (Flow::Publish, _) => PUBLISH_FAILED,
        (Flow::Adopt, _) => OLDER_GENERATION,
        (_, Fault::LeaseExpires | Fault::FencingIgnored) => NO_LEASE,
        (_, Fault::LoadFails) => FAILED_LOADS,
        (Flow::Drain, _) => DRAIN_PROGRESS,
        (Flow::Restart, Fault::TableDown | Fault::TableSlow) => NO_LEASE,
        (Flow::Restart, Fault::PeerGone | Fault::StoreDown) => NOT_READY,
        (_, Fault::EngineRestart | Fault::AgentGone | Fault::InstanceReplaced) => RETRIES_VISIBLE,
        (_, Fault::MessageLost | Fault::MessageLate | Fault::TableDown) => RETRIES_VISIBLE,
        _ => LATENCY_ONLY,
    }
}

/// Returns the code that enforces an invariant.
fn enforced_by(invariant: Invariant) -> &'static str {
    match invariant {
        Invariant::ExactAdapter => {
            "`decision::route::RouteTable::resolve`, kept in `decision::request`; `agent::check` \
             compares the served name of every response"
        }
        Invariant::PinnedAdapter => "`decision::slots::Slots::victim` and `start_unload`",
        Invariant::WholeAnswer => {
            "`wire`'s server of response sinks (order and number of chunks), `agent::check` and \
             `entry`'s relay (the end of the response)"
        }
        Invariant::NotRun => {
            "`decision::ledger::Ledger::refuse` and `settle`; `decision::request` reports `ran: no` \
             only with that proof"
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

/// Returns the text of the page.
pub fn page() -> String {
    let mut text = INTRODUCTION.to_owned();
    write_legend(&mut text, "Callers see", &CALLER_EFFECTS);
    write_legend(&mut text, "Operators see", &OPERATOR_EFFECTS);
    write_matrix(&mut text);
    text.push_str("\n## Excluded cells\n\n| Fault | Reason |\n| --- | --- |\n");
    for (fault, reason) in exclusion_reasons() {
        let _ = writeln!(text, "| `{fault}` | {reason} |");
    }
    text.push_str("\n## Invariants\n\n| Invariant | Enforced by |\n| --- | --- |\n");
    for invariant in Invariant::ALL {
        let _ = writeln!(text, "| `{invariant}` | {} |", enforced_by(*invariant));
    }
    text.push_str(LIMITATIONS);
    write_lessons(&mut text);
    text
}

/// A fault of similar systems, what protects from it on the path of entries that call runners, and the
/// tests that show it.
struct Lesson {
    fault: &'static str,
    protection: &'static str,
    tests: &'static str,
}

const LESSONS: [Lesson; 15] = [
    Lesson {
        fault: "a second, late answer on a connection in use again",
        protection: "the identifier in each response is compared; a connection with bytes left over is \
            not used again",
        tests: "`late_response`, `response_kinds`, `request_forwarding`",
    },
    Lesson {
        fault: "requests cut off in a planned stop under load",
        protection: "the listener's queue is accepted and open connections are read for 200 ms after the \
            stop (was a fault here)",
        tests: "`planned_stop`, soak",
    },
    Lesson {
        fault: "slow streams cut, stalled ones endless",
        protection: "silence counts between events with data; comments are no progress (was a fault \
            here); a slow stream goes on to its deadline",
        tests: "`stalled_stream`, `event_split`",
    },
    Lesson {
        fault: "a runner that is silent for a second loses its callers' answers",
        protection: "a live attempt is given up only for another one that has been answered (was a fault \
            here); one moment of silence is one failure, and leaves a part of the retries",
        tests: "`silent_attempts`, `silent_health`, `silent_runner`, `silent_runners`, `hung_runners`, soak",
    },
    Lesson {
        fault: "an answer that broke off looks complete",
        protection: "whole bodies and whole events only; without a length, a body is complete when its \
            connection is closed and not when it is reset; the caller's connection is aborted",
        tests: "`unframed_response`, `request_forwarding`, `endless_response`",
    },
    Lesson {
        fault: "a silent machine's work is given up or started elsewhere",
        protection: "records that an outage may have expired have two seconds to return; an agent \
            without a report keeps what it knows; a request that may run once is never sent twice",
        tests: "`member_outage`, `attempt_rules`, soak",
    },
    Lesson {
        fault: "one malformed message ends a process",
        protection: "a bad line ends its connection, a bad row is passed over; times beyond all clocks \
            are cut (was a fault here); a panic ends one request or one run of a background task (was a \
            fault here)",
        tests: "`malformed_input`, `panic_under_lock`, `task_panics`",
    },
    Lesson {
        fault: "bytes without end that are no answer",
        protection: "events, bodies and parts have bounds, all responses in memory together as well (was \
            a fault here)",
        tests: "`endless_response`, `endless_store`, `event_split`, soak",
    },
    Lesson {
        fault: "requests on which any runner crashes",
        protection: "the prompt part that explains the crashes is held back (was a fault here)",
        tests: "`query_of_death`, `deadly_parts`, `held_parts`, soak",
    },
    Lesson {
        fault: "requests at a runner that has said that it leaves",
        protection: "a removal binds within the contact bound; the chosen incarnation is checked before \
            each send (both were faults here)",
        tests: "`leaving_runner`, `member_outage`, `home_choice`",
    },
    Lesson {
        fault: "requests sent on, and work that goes on, for callers that have left",
        protection: "a connection is read ahead while its request is in progress, and looked at right \
            before the bytes of a send; what is abandoned is reset (all were faults here)",
        tests: "`caller_left`, `token_streams`, soak",
    },
    Lesson {
        fault: "far more requests than a runner has said that it takes",
        protection: "each entry uses a part of the limit; a runner that leaves or pauses is left out (was \
            a fault here)",
        tests: "`rate_limits`, `entry_counts`, `runner_limits`, `runner_pauses`, `leaving_runner`, soak",
    },
    Lesson {
        fault: "an earlier refusal, written once more, is taken for the answer to the next request",
        protection: "without an identifier an answer on a used connection means nothing; a request that may \
            run once uses no connection with a rejection on it (was a fault here)",
        tests: "`repeated_refusal`, `response_kinds`",
    },
    Lesson {
        fault: "an error's text in the middle of a stream that was resumed, or the stream ends as if complete",
        protection: "what continues a stream must be declared one and begin with a later event (was a fault \
            here)",
        tests: "`resume_failures`, `event_split`",
    },
    Lesson {
        fault: "an answer's head that is cut off becomes a success with an empty or short body",
        protection: "a head without its end is no response, whatever it says so far",
        tests: "`cut_head`",
    },
];

const CALLER_EFFECTS: [Effect; 6] = [
    UNAFFECTED,
    DELAYED,
    OTHER_ENDPOINT,
    OUTCOME_UNKNOWN,
    CLAIM_REFUSED,
    CONNECTION_LOST,
];

const OPERATOR_EFFECTS: [Effect; 10] = [
    LATENCY_ONLY,
    PUBLISH_FAILED,
    HEAD_READ_BACK,
    PUBLISH_CONFLICT,
    OLDER_GENERATION,
    NOT_READY,
    RETRIES_VISIBLE,
    NO_LEASE,
    FAILED_LOADS,
    DRAIN_PROGRESS,
];

const INTRODUCTION: &str = "# Fault matrix\n\n\
    Generated by `cargo run -p faults --example faults_page`; a test compares this page with the \
    code.\n\n\
    Rows are steps and columns are faults. `crates/faults` injects every fault at every step to \
    which it applies, alone (`single_faults`) and in pairs (`fault_pairs`), and several faults in \
    random schedules (`random_schedules`), into a simulated site that runs the real decision crate, \
    and checks the invariants against the history that its fakes record. A cell describes what the \
    caller and the operator see; the tests check the invariants and not these descriptions. To run \
    the case of a cell: \
    `FAULTS_CASE=1,STEP/FAULT/0 cargo test -p faults --test single_faults one_case`.\n";

const LIMITATIONS: &str = "\nThe test `mutants` shows that each check can fail, with one deliberate fault in the code under \
    test per invariant. `drain_time` checks how fast new work stops during a drain, and \
    `storage_outage` which share of requests succeeds during an outage and how fast bookings are \
    refused.\n\n\
    ## Limitations\n\n\
    * The relay of responses, the ordering of chunks and the check of the incarnation that settles an \
    attempt are reimplemented in the simulation; the production code of these is tested in `wire`, \
    `entry` and `agent`.\n\
    * Pauses occur only between events. A pause between an agent's check of its lease and its command \
    to an engine that ignores fencing is not covered; it is the remaining risk of section 6.1 of the \
    design page.\n\
    * Pairs and random schedules do not assert that every fault was injected.\n";

fn write_lessons(text: &mut String) {
    text.push_str("\n## What went wrong elsewhere\n\n");
    text.push_str("On the path of entries that call runners directly (`crates/serving`, `crates/gateway`).\n\n");
    text.push_str(
        "| Fault at others | What protects from it here | Tests |\n| --- | --- | --- |\n",
    );
    for lesson in &LESSONS {
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            lesson.fault, lesson.protection, lesson.tests
        );
    }
}

fn write_legend(text: &mut String, title: &str, effects: &[Effect]) {
    let _ = write!(text, "\n## {title}\n\n| Code | Meaning |\n| --- | --- |\n");
    for Effect {
        code,
        text: meaning,
    } in effects
    {
        let _ = writeln!(text, "| {code} | {meaning} |");
    }
}

fn write_matrix(text: &mut String) {
    text.push_str(
        "\n## Matrix\n\nA dash marks a fault that does not apply to the step.\n\n| Step |",
    );
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
                        caller_effect(*step, *fault).code,
                        operator_effect(*step, *fault).code
                    )
                }
            };
            let _ = write!(text, " {shown} |");
        }
    }
    text.push('\n');
}

/// Returns each fault that is excluded at any step, with the reason.
fn exclusion_reasons() -> Vec<(Fault, &'static str)> {
    let excluded = |fault: &Fault| {
        let cells = Step::ALL.iter().map(|step| cell(*step, *fault));
        cells.into_iter().find_map(|cell| match cell {
            Cell::Excluded(reason) => Some((*fault, reason)),
            Cell::Applies => None,
        })
    };
    Fault::ALL.iter().filter_map(excluded).collect()
}
