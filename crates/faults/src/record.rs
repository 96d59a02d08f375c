//! What really happened, as the fakes saw it, and the checks of the invariants.

use decision::collections::Map;
use decision::collections::Set;
use decision::ids::Head;
use decision::ids::Name;
use decision::problem::Code;
use decision::problem::Ran;

use crate::matrix::Invariant;

/// The time after which a leaving endpoint gets no new work, in microseconds.
const DRAIN_LIMIT_US: u64 = 3_000_000;
/// The chunks of a whole answer.
pub const CHUNKS: u64 = 3;

/// A request that an engine or service started to process.
#[derive(Clone, Debug)]
pub struct Run {
    /// The call whose entry dispatched it.
    pub call: usize,
    /// The served name that the engine used.
    pub served: Name,
    /// The endpoint.
    pub endpoint: Name,
}

/// A chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The run that produced it.
    pub run: usize,
    /// Its place in the answer, from 0.
    pub index: u64,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub enum Told {
    /// A whole answer.
    Whole(Vec<Piece>),
    /// The stored answer of this run.
    Replay(Option<usize>),
    /// An error.
    Failed(Code, Ran),
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct CallLog {
    /// The route.
    pub route: Name,
    /// The idempotency key of a call that must not be repeated.
    pub key: Option<String>,
    /// When it arrived, in microseconds.
    pub at: u64,
    /// The served name that it resolved to.
    pub served: Option<Name>,
    /// When the caller was told, and what.
    pub told: Option<(u64, Told)>,
    /// Whether its entry is gone.
    pub lost: bool,
}

/// The stop of one agent.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// The process.
    pub pid: usize,
    /// When it was told to stop, in microseconds.
    pub at: u64,
    /// When it handled that; later than `at` if it was paused.
    pub heard: Option<u64>,
    /// When an entry last sent it a job.
    pub sent: Option<u64>,
    /// When it last accepted a job.
    pub accepted: Option<u64>,
    /// When it exited.
    pub left: Option<u64>,
    /// Requests that it left at the engine.
    pub cut: usize,
}

/// What happened in one world.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The calls.
    pub calls: Vec<CallLog>,
    /// The runs.
    pub runs: Vec<Run>,
    /// Versions unloaded while a request used them.
    pub torn: Vec<Name>,
    /// Stops of agents.
    pub stops: Vec<Stop>,
    /// Heads put in force, by process, in order.
    pub adopted: Map<String, Vec<Head>>,
    /// Heads that the table accepted, in order.
    pub accepted: Vec<Head>,
    /// The heads in force at the end at live processes.
    pub last: Vec<(String, Head)>,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was seen.
    pub text: String,
}

impl Record {
    /// Returns all violations.
    pub fn violations(&self) -> Vec<Violation> {
        let mut out = Vec::new();
        let checks = [
            (Invariant::ExactAdapter, self.exact_adapter()),
            (Invariant::PinnedAdapter, self.pinned_adapter()),
            (Invariant::WholeAnswer, self.whole_answer()),
            (Invariant::NotRun, self.not_run()),
            (Invariant::AtMostOnce, self.at_most_once()),
            (Invariant::DrainFast, self.drain_fast()),
            (Invariant::GracefulStop, self.graceful_stop()),
            (Invariant::ConfigForward, self.config_forward()),
        ];
        for (invariant, texts) in checks {
            let found = texts.into_iter();
            out.extend(found.map(|text| Violation { invariant, text }));
        }
        out
    }

    fn exact_adapter(&self) -> Vec<String> {
        let wrong = |run: &&Run| self.calls[run.call].served.as_ref() != Some(&run.served);
        let runs = self.runs.iter().filter(wrong);
        runs.map(|run| {
            let named = &self.calls[run.call].served;
            format!("call {} named {named:?}, ran on {}", run.call, run.served)
        })
        .collect()
    }

    fn pinned_adapter(&self) -> Vec<String> {
        let torn = self.torn.iter();
        torn.map(|name| format!("{name} was unloaded while in use"))
            .collect()
    }

    fn whole_answer(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (index, call) in self.calls.iter().enumerate() {
            match &call.told {
                Some((_, Told::Whole(pieces))) => {
                    let whole = pieces.len() as u64 == CHUNKS
                        && pieces.iter().zip(0..).all(|(piece, at)| piece.index == at);
                    let own = pieces.iter().all(|piece| {
                        piece.run == pieces[0].run && self.runs[piece.run].call == index
                    });
                    if !whole || !own {
                        out.push(format!("call {index} got {pieces:?} as its whole answer"));
                    }
                }
                Some((_, Told::Replay(run))) => {
                    let key = run.and_then(|run| self.calls[self.runs[run].call].key.as_ref());
                    if key.is_none() || key != call.key.as_ref() {
                        out.push(format!("call {index} got the replay of run {run:?}"));
                    }
                }
                _ => {}
            }
        }
        out
    }

    fn not_run(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (index, call) in self.calls.iter().enumerate() {
            let told = matches!(call.told, Some((_, Told::Failed(_, Ran::No))));
            if told && self.runs.iter().any(|run| run.call == index) {
                out.push(format!("call {index} was reported as not run and ran"));
            }
        }
        out
    }

    fn at_most_once(&self) -> Vec<String> {
        let mut seen: Set<&String> = Set::default();
        let keys = self.runs.iter().filter_map(|run| {
            let call = &self.calls[run.call];
            call.key.as_ref()
        });
        keys.filter(|key| !seen.insert(key))
            .map(|key| format!("{key} ran more than once"))
            .collect()
    }

    fn drain_fast(&self) -> Vec<String> {
        let mut out = Vec::new();
        for stop in &self.stops {
            // A paused agent finds jobs that were sent before the stop ahead of it when it resumes,
            // so its acceptance counts from the moment at which it could know of the stop. Entries
            // are held to the stop itself.
            let heard = stop.heard.unwrap_or(stop.at);
            let late = |at: Option<u64>, from: u64| at.is_some_and(|at| at > from + DRAIN_LIMIT_US);
            if late(stop.sent, stop.at) {
                out.push(format!(
                    "process {} was sent work after 3 s: {stop:?}",
                    stop.pid
                ));
            }
            if late(stop.accepted, heard) {
                out.push(format!(
                    "process {} took work after 3 s: {stop:?}",
                    stop.pid
                ));
            }
        }
        out
    }

    fn graceful_stop(&self) -> Vec<String> {
        let cut = self.stops.iter().filter(|stop| stop.cut > 0);
        cut.map(|stop| format!("process {} left {} requests", stop.pid, stop.cut))
            .collect()
    }

    fn config_forward(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (name, heads) in &self.adopted {
            let forward = heads
                .windows(2)
                .all(|pair| pair[0].generation < pair[1].generation);
            if !forward {
                out.push(format!("{name} put {heads:?} in force"));
            }
            if let Some(head) = heads.iter().find(|head| !self.accepted.contains(head)) {
                out.push(format!(
                    "{name} put {head} in force, which was not accepted"
                ));
            }
        }
        let newest = self.accepted.last();
        for (name, head) in &self.last {
            if Some(head) != newest {
                out.push(format!("{name} ended with generation {}", head.generation));
            }
        }
        out
    }
}
