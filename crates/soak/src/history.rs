//! What callers, runners and the store observed during a run.

use std::time::Duration;

use derive_more::Display;
use rig::forwarded::Forwarded;
use serving::runner::Notice;

use crate::tenants::ApiKey;

/// A time since the start of the run, or a duration, in milliseconds.
pub type Ms = u64;

/// The share of the idle limit within which callers rely on a kept connection, in percent.
pub const RELIED_PERCENT: u32 = 80;

/// The kind of the route that a request takes; its text is the first part of the request's path.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("safe")]
    Idempotent,
    /// A request must not run more than once.
    #[display("once")]
    NonIdempotent,
    /// The response is a stream of events that another runner can continue.
    #[display("stream")]
    Stream,
    /// The response is a stream of events, and the request must not run more than once.
    #[display("single")]
    NonResumableStream,
    /// The route exists only in the manifest of this version and in the next one.
    #[display("v{_0}")]
    Versioned(u64),
}

impl RouteKind {
    /// Returns the service that the route leads to: `e` has engines with agents, `s` has plain
    /// runners.
    pub fn service(self) -> &'static str {
        match self {
            RouteKind::Stream | RouteKind::NonResumableStream => "e",
            RouteKind::Idempotent | RouteKind::NonIdempotent | RouteKind::Versioned(_) => "s",
        }
    }

    /// Returns whether a request must not run more than once.
    pub fn is_non_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::NonIdempotent | RouteKind::NonResumableStream
        )
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::NonResumableStream)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received a response, perhaps with an incomplete body.
    Response {
        /// The HTTP status code.
        status: u16,
        /// The seal, which only a runner sets; `None` if the entry generated the response.
        seal: Option<String>,
        /// The received part of the body.
        body: String,
        /// Whether the body was received up to its end.
        complete: bool,
    },
    /// The connection was closed without a response.
    ConnectionClosed,
    /// The caller disconnected before the end of the response.
    Disconnected,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request identifier, unique within the run.
    pub id: String,
    /// The route that it takes, which decides what the checks expect.
    pub kind: RouteKind,
    /// The key that the caller showed.
    pub api_key: Option<ApiKey>,
    /// The index of the entry to which the request was sent.
    pub entry: usize,
    /// How often that entry had been started when the connection was opened.
    pub entry_starts: u32,
    /// The number of the deadly request, or of the deadly part of its prompt; `None` for a sound one.
    pub deadly: Option<u64>,
    /// Whether its prompt has parts that other requests share.
    pub shares_parts: bool,
    /// For how long its connection was idle before; `None` for a new connection.
    pub idle: Option<Ms>,
    /// When the caller sent the request.
    pub sent_at: Ms,
    /// When the caller had the whole response or stopped waiting for it.
    pub ended_at: Ms,
    /// What the caller received.
    pub outcome: CallOutcome,
}

impl Call {
    /// Returns the HTTP status code; `None` if there was no response.
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            CallOutcome::Response { status, .. } => Some(*status),
            CallOutcome::ConnectionClosed | CallOutcome::Disconnected => None,
        }
    }

    /// Returns whether the entry held the request back because of a part of its prompt.
    pub fn is_held_back(&self) -> bool {
        matches!(
            &self.outcome,
            CallOutcome::Response { status: 503, body, .. } if body.contains("part of this prompt")
        )
    }

    /// Returns whether the entry refused the request for its key or the limit of its tenant, before it looked
    /// for a runner.
    pub fn is_denied(&self) -> bool {
        matches!(self.status(), Some(401 | 429))
    }

    /// Returns whether the response is complete and its status is 200.
    pub fn is_served(&self) -> bool {
        matches!(
            &self.outcome,
            CallOutcome::Response {
                status: 200,
                complete: true,
                ..
            }
        )
    }
}

/// An attempt to run a request, as the runner that received it recorded it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The runner's identifier.
    pub runner: String,
    /// The runner's service.
    pub service: String,
    /// The request identifier.
    pub request: String,
    /// Whether the runner ran the request.
    pub ran: bool,
    /// Whether the runner was to give its whole answer.
    pub sound: bool,
    /// For how long the runner was to be silent within the answer.
    pub pause: Ms,
    /// The adapter and the version with which it ran; `None` at a runner without an engine.
    pub adapter: Option<(String, u64)>,
    /// What the runner was told of the caller.
    pub forwarded: Forwarded,
    /// When the request arrived.
    pub started_at: Ms,
    /// When the runner's work ended; `None` if it continued until the runner was stopped.
    pub ended_at: Option<Ms>,
}

/// What a runner says of itself in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeKind {
    /// It takes this many requests per second from all entries together.
    Limit(f64),
    /// It is about to leave.
    Leaving,
    /// It turns all requests away, and wants none from the same entry for this time.
    Pause(Ms),
}

impl NoticeKind {
    /// Returns what the runner says of itself.
    pub(crate) fn to_notice(self) -> Notice {
        let silent = Notice::default();
        match self {
            NoticeKind::Limit(rate) => Notice {
                rate_limit: Some(rate),
                ..silent
            },
            NoticeKind::Leaving => Notice {
                leaving: true,
                ..silent
            },
            NoticeKind::Pause(length) => Notice {
                retry_after: Some(Duration::from_millis(length)),
                ..silent
            },
        }
    }
}

/// The period in which a runner says something of itself.
#[derive(Clone, Debug)]
pub struct RunnerNotice {
    /// The runner's identifier.
    pub runner: String,
    /// What it says.
    pub kind: NoticeKind,
    /// The first moment from which all its responses say so.
    pub from: Ms,
    /// The last one.
    pub to: Ms,
}

/// An order to load or unload an adapter that a runner accepted.
#[derive(Clone, Debug)]
pub struct AcceptedOrder {
    /// The runner's identifier.
    pub runner: String,
    /// The holder that the order names: the instance of the agent that sent it.
    pub holder: String,
    /// When the runner accepted it.
    pub at: Ms,
    /// Whether the runner then held and loaded more adapters than it has slots.
    pub over_capacity: bool,
}

/// The limit on the idle time of connections of callers in a version of the manifest.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    /// The version of the manifest.
    pub version: u64,
    /// The longest time between two requests.
    pub limit: Ms,
    /// When that version was about to be stored.
    pub stored_at: Ms,
}

/// The part of the deployment that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// The entry with this index, or its link to the store.
    Entry(usize),
    /// The runner at this position, its agent, or the links to them.
    Runner(usize),
    /// The runner at this position, which is only silent for a while.
    SilentRunner(usize),
    /// The store, and thereby all entries.
    Store,
}

/// The period of time in which a fault was active.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// The affected part of the deployment.
    pub target: FaultTarget,
    /// Whether the fault was a stop or reload as an operator does it.
    pub planned: bool,
    /// The start of the fault.
    pub from: Ms,
    /// The end of the fault; [`Ms::MAX`] while it is active.
    pub to: Ms,
}

/// The time limits and the retry budget that the checks allow.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time within which an instance that can reach the store again must be up to date with it.
    pub contact: Ms,
    /// The time after which a draining or removed runner must receive no more requests.
    pub drain: Ms,
    /// The time within which every entry must apply a new manifest.
    pub manifest: Ms,
    /// The time for which an entry may still apply the previous manifest after a response has shown
    /// the new one.
    pub rollback: Ms,
    /// The time within which a new adapter version must be in use.
    pub version: Ms,
    /// The time limit that callers state.
    pub limit: Ms,
    /// The retry budget of all entries together, in retries per request.
    pub retry_ratio: f64,
    /// The number of retries allowed in addition to that share.
    pub retry_slack: f64,
    /// The length of the window over which retries are counted.
    pub retry_window: Ms,
    /// The time within which requests must be served again after all programs were killed.
    pub recovery: Ms,
    /// The time within which a runner must stop working on a request whose caller disconnected.
    pub cancel: Ms,
    /// The time between SIGTERM and the exit of a program.
    pub stop: Ms,
    /// The length of the window over which the use of a tenant is counted.
    pub quota_window: Ms,
    /// The share of its limit by which a tenant may exceed it in a window.
    pub quota_excess: f64,
    /// What a tenant may use in a window beyond that, in tokens.
    pub quota_slack: f64,
}

/// All observations of a run.
#[derive(Clone, Debug)]
pub struct History {
    /// The bounds that the checks apply.
    pub bounds: Bounds,
    /// The number of the last event of a complete stream.
    pub last_event: u64,
    /// Requests of callers, in the order in which they ended.
    pub calls: Vec<Call>,
    /// Attempts at runners, grouped by runner.
    pub attempts: Vec<Attempt>,
    /// Accepted orders, grouped by runner.
    pub orders: Vec<AcceptedOrder>,
    /// What runners said of themselves.
    pub notices: Vec<RunnerNotice>,
    /// When runners were announced as draining or removed from the membership, by identifier.
    pub departures: Vec<(String, Ms)>,
    /// When runners were stopped, or crashed, by identifier.
    pub stops: Vec<(String, Ms)>,
    /// The versions of the manifest, and when the store had acknowledged them.
    pub manifests: Vec<(u64, Ms)>,
    /// The idle limits of the versions of the manifest, in their order.
    pub idle_limits: Vec<IdleLimit>,
    /// The announced adapter versions, and when the store had acknowledged them.
    pub versions: Vec<(String, u64, Ms)>,
    /// The periods of the faults that can excuse what would otherwise be a violation.
    pub fault_periods: Vec<FaultPeriod>,
    /// Descriptions of programs that exited unexpectedly or did not stop in time.
    pub unexpected_exits: Vec<String>,
    /// When all programs were killed; `None` until then.
    pub killed_at: Option<Ms>,
}

impl History {
    /// Creates a history without observations.
    pub fn new(bounds: Bounds, last_event: u64) -> History {
        History {
            bounds,
            last_event,
            calls: Vec::new(),
            attempts: Vec::new(),
            orders: Vec::new(),
            notices: Vec::new(),
            departures: Vec::new(),
            stops: Vec::new(),
            manifests: Vec::new(),
            idle_limits: Vec::new(),
            versions: Vec::new(),
            fault_periods: Vec::new(),
            unexpected_exits: Vec::new(),
            killed_at: None,
        }
    }

    /// Returns whether an entry was undisturbed from `from` to `to`, and before that for as long as
    /// it may take to be up to date with the store again.
    pub fn entry_settled(&self, entry: usize, from: Ms, to: Ms) -> bool {
        self.entry_undisturbed(entry, from.saturating_sub(self.bounds.contact), to)
    }

    /// Returns whether no fault affected the entry or the store between `from` and `to`.
    pub fn entry_undisturbed(&self, entry: usize, from: Ms, to: Ms) -> bool {
        !self.any_fault(from, to, |period| {
            matches!(period.target, FaultTarget::Store)
                || period.target == FaultTarget::Entry(entry)
        })
    }

    /// Returns whether no fault affected the entry or its link to the store between `from` and `to`. The store
    /// itself may have failed.
    pub fn entry_spared(&self, entry: usize, from: Ms, to: Ms) -> bool {
        !self.any_fault(from, to, |period| {
            period.target == FaultTarget::Entry(entry)
        })
    }

    /// Returns whether only planned stops and reloads affected the entry between `from` and `to`,
    /// and in the time before that it may take to be up to date with the store again.
    pub fn only_planned_faults(&self, entry: usize, from: Ms, to: Ms) -> bool {
        self.entry_sound(entry, from.saturating_sub(self.bounds.contact), to)
    }

    /// Returns whether only planned stops and reloads affected the entry between `from` and `to`.
    pub fn entry_sound(&self, entry: usize, from: Ms, to: Ms) -> bool {
        !self.any_fault(from, to, |period| {
            period.target == FaultTarget::Entry(entry) && !period.planned
        })
    }

    /// Returns whether a runner was undisturbed from `from` to `to`, and before that for as long as
    /// entries may take to be up to date again.
    pub fn runner_settled(&self, runner: &str, from: Ms, to: Ms) -> bool {
        self.runner_undisturbed(runner, from.saturating_sub(self.bounds.contact), to)
    }

    /// Returns whether no fault affected the runner's position between `from` and `to`. A silence only
    /// holds back what was under way, for no longer than callers wait.
    pub fn runner_undisturbed(&self, runner: &str, from: Ms, to: Ms) -> bool {
        let Some(position) = position(runner) else {
            return true;
        };
        let held_since = to.saturating_sub(self.bounds.limit);
        self.runner_sound(position, from, to) && self.silent_time(position, held_since, to) == 0
    }

    /// Returns whether nothing but silences affected a position of runners between `from` and `to`.
    pub fn runner_sound(&self, position: usize, from: Ms, to: Ms) -> bool {
        !self.any_fault(from, to, |period| {
            period.target == FaultTarget::Runner(position)
        })
    }

    /// Returns for how long a position of runners was silent between `from` and `to`.
    pub fn silent_time(&self, position: usize, from: Ms, to: Ms) -> Ms {
        let target = FaultTarget::SilentRunner(position);
        let silences = self.fault_periods.iter();
        silences
            .filter(|period| period.target == target)
            .map(|period| period.to.min(to).saturating_sub(period.from.max(from)))
            .sum()
    }

    fn any_fault(&self, from: Ms, to: Ms, concerns: impl Fn(&FaultPeriod) -> bool) -> bool {
        let mut fault_periods = self.fault_periods.iter();
        fault_periods.any(|period| concerns(period) && period.from <= to && period.to >= from)
    }
}

/// Returns the position from a runner identifier `SERVICE-POSITION.START`, where `START` counts the
/// starts of all runners.
pub(crate) fn position(runner: &str) -> Option<usize> {
    let (_, rest) = runner.split_once('-')?;
    let (position, _) = rest.split_once('.')?;
    position.parse().ok()
}
