//! History of a simulation, as recorded by the fakes, and the checks of the invariants against it.

use decision::collections::Map;
use decision::collections::Set;
use decision::ids::Head;
use decision::ids::Name;
use decision::problem::Code;
use decision::problem::Ran;

use crate::matrix::Invariant;

/// Time after which a draining endpoint must not get new work.
const DRAIN_LIMIT_US: u64 = 3_000_000;
/// Number of chunks in a complete response.
pub const CHUNKS_PER_RESPONSE: u64 = 3;

/// The execution of a request by an engine or service, complete or not.
#[derive(Clone, Debug)]
pub struct Run {
    /// The call that was dispatched.
    pub call: usize,
    /// The name of the model or version on which the engine ran it.
    pub served_name: Name,
    /// The endpoint at which it ran.
    pub endpoint: Name,
}

/// A chunk, with its origin instead of content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseChunk {
    /// The run that produced it, as an index into [`History::runs`].
    pub run: usize,
    /// Its position in the response, from 0.
    pub index: u64,
}

/// The result that a caller got.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A response that the entry reported as complete.
    Complete(Vec<ResponseChunk>),
    /// The stored response of a run; `None` if the stored row names no run.
    Replay(Option<usize>),
    /// An error, with what it says about whether the request ran.
    Failed(Code, Ran),
}

/// A call and its result.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The route that the caller named.
    pub route: Name,
    /// The idempotency key of a call that must run at most once; `None` for repeatable calls.
    pub key: Option<String>,
    /// Time of arrival, in microseconds of virtual time.
    pub arrived_at: u64,
    /// The served name that the route resolved to; `None` before that.
    pub served_name: Option<Name>,
    /// Time of the result in microseconds, and the result; `None` while the call is open.
    pub result: Option<(u64, CallResult)>,
    /// Whether its entry crashed before the call had a result.
    pub entry_crashed: bool,
}

/// The stop of an agent. Times are microseconds of virtual time.
#[derive(Clone, Debug, Default)]
pub struct StopRecord {
    /// The process number of the agent.
    pub pid: usize,
    /// When the agent got the stop signal.
    pub signalled_at: u64,
    /// When it handled the signal; later than `signalled_at` if it was paused.
    pub handled_at: Option<u64>,
    /// When an entry last sent it a job.
    pub last_sent_at: Option<u64>,
    /// When it last accepted a job.
    pub last_accepted_at: Option<u64>,
    /// When it exited.
    pub exited_at: Option<u64>,
    /// Requests that were running at its engine, or accepted without an end, when it exited.
    pub unfinished_requests: usize,
}

/// What processes did and which results callers received in one simulation.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All calls, in the order in which they were added.
    pub calls: Vec<CallRecord>,
    /// All runs, in the order of their start.
    pub runs: Vec<Run>,
    /// Versions that were unloaded while a request used them.
    pub premature_unloads: Vec<Name>,
    /// Stops of agents.
    pub stops: Vec<StopRecord>,
    /// Heads put in force, in order, by process name and start.
    pub adopted_heads: Map<String, Vec<Head>>,
    /// Heads committed to the table, in order.
    pub committed_heads: Vec<Head>,
    /// The heads in force at the end, by name of each process that is up.
    pub final_heads: Vec<(String, Head)>,
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The calls or processes concerned, and what they did.
    pub details: String,
}

impl History {
    /// Checks all invariants. Complete only after [`Simulation::finish`].
    ///
    /// [`Simulation::finish`]: crate::simulation::Simulation::finish
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
        for (invariant, violations) in checks {
            let found = violations.into_iter();
            out.extend(found.map(|details| Violation { invariant, details }));
        }
        out
    }

    fn exact_adapter(&self) -> Vec<String> {
        let is_wrong =
            |run: &&Run| self.calls[run.call].served_name.as_ref() != Some(&run.served_name);
        let runs = self.runs.iter().filter(is_wrong);
        runs.map(|run| {
            let expected = &self.calls[run.call].served_name;
            format!(
                "call {} resolved to {expected:?}, ran on {}",
                run.call, run.served_name
            )
        })
        .collect()
    }

    fn pinned_adapter(&self) -> Vec<String> {
        let premature_unloads = self.premature_unloads.iter();
        premature_unloads
            .map(|name| format!("{name} was unloaded while in use"))
            .collect()
    }

    fn whole_answer(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (index, call) in self.calls.iter().enumerate() {
            match &call.result {
                Some((_, CallResult::Complete(chunks))) => {
                    let is_complete = chunks.len() as u64 == CHUNKS_PER_RESPONSE
                        && chunks.iter().zip(0..).all(|(chunk, at)| chunk.index == at);
                    let is_own = chunks.iter().all(|chunk| {
                        chunk.run == chunks[0].run && self.runs[chunk.run].call == index
                    });
                    if !is_complete || !is_own {
                        out.push(format!(
                            "call {index} got {chunks:?} as its complete response"
                        ));
                    }
                }
                Some((_, CallResult::Replay(run))) => {
                    let key = run.and_then(|run| self.calls[self.runs[run].call].key.as_ref());
                    if key.is_none() || key != call.key.as_ref() {
                        out.push(format!(
                            "call {index} got a replay of run {run:?}, which is not its own"
                        ));
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
            let reported_not_run = matches!(call.result, Some((_, CallResult::Failed(_, Ran::No))));
            if reported_not_run && self.runs.iter().any(|run| run.call == index) {
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
            // A paused agent that resumes handles jobs sent before the stop signal first, so its
            // limit counts from when it handled the signal. The limit of entries counts from the
            // signal itself.
            let handled_at = stop.handled_at.unwrap_or(stop.signalled_at);
            let is_late =
                |at: Option<u64>, from: u64| at.is_some_and(|at| at > from + DRAIN_LIMIT_US);
            if is_late(stop.last_sent_at, stop.signalled_at) {
                out.push(format!(
                    "agent process {} was sent work over 3 s after the stop signal: {stop:?}",
                    stop.pid
                ));
            }
            if is_late(stop.last_accepted_at, handled_at) {
                out.push(format!(
                    "agent process {} accepted work over 3 s after it handled the stop signal: {stop:?}",
                    stop.pid
                ));
            }
        }
        out
    }

    fn graceful_stop(&self) -> Vec<String> {
        let interrupted = self
            .stops
            .iter()
            .filter(|stop| stop.unfinished_requests > 0);
        interrupted
            .map(|stop| {
                format!(
                    "agent process {} exited with {} unfinished requests",
                    stop.pid, stop.unfinished_requests
                )
            })
            .collect()
    }

    fn config_forward(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (name, heads) in &self.adopted_heads {
            let is_increasing = heads
                .windows(2)
                .all(|pair| pair[0].generation < pair[1].generation);
            if !is_increasing {
                out.push(format!(
                    "{name} put {heads:?} in force, which does not increase"
                ));
            }
            if let Some(head) = heads
                .iter()
                .find(|head| !self.committed_heads.contains(head))
            {
                out.push(format!(
                    "{name} put {head} in force, which was never committed"
                ));
            }
        }
        let newest = self.committed_heads.last();
        for (name, head) in &self.final_heads {
            if Some(head) != newest {
                out.push(format!(
                    "{name} ended with generation {}, which is not the newest",
                    head.generation
                ));
            }
        }
        out
    }
}
