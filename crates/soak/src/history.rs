//! What callers and stand-ins saw; all times are in milliseconds since the start.

use derive_more::Display;

/// Milliseconds since the start.
pub type Ms = u64;

/// The kinds of requests, which are the routes of the manifest.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// May run again.
    #[display("safe")]
    Safe,
    /// May run once only.
    #[display("once")]
    Once,
    /// A stream that may be resumed.
    #[display("stream")]
    Stream,
    /// A stream that may run once only.
    #[display("single")]
    Single,
    /// A request whose route only the manifest of this version and the next one have.
    #[display("v{_0}")]
    Dated(u64),
}

impl Kind {
    /// Returns the service that the route leads to.
    pub fn service(self) -> &'static str {
        match self {
            Kind::Stream | Kind::Single => "e",
            Kind::Safe | Kind::Once | Kind::Dated(_) => "s",
        }
    }

    /// Returns whether a request may run once only.
    pub fn is_once(self) -> bool {
        matches!(self, Kind::Once | Kind::Single)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Single)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered.
    Answer {
        /// The status.
        status: u16,
        /// The runner's seal, if there was one.
        seal: Option<String>,
        /// The body as far as it came.
        body: String,
        /// Whether the body ended as complete.
        whole: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// The caller left.
    Left,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identifier.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The entry that took it.
    pub entry: usize,
    /// Counts the starts of that entry.
    pub life: u32,
    /// When it was sent.
    pub sent: Ms,
    /// When it ended.
    pub ended: Ms,
    /// How it ended.
    pub end: End,
}

impl Call {
    /// Returns the status of the answer.
    pub fn status(&self) -> Option<u16> {
        match &self.end {
            End::Answer { status, .. } => Some(*status),
            End::Closed | End::Left => None,
        }
    }

    /// Returns whether it was answered with a success.
    pub fn is_served(&self) -> bool {
        matches!(
            &self.end,
            End::Answer {
                status: 200,
                whole: true,
                ..
            }
        )
    }
}

/// A request at a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The runner's identifier.
    pub runner: String,
    /// The runner's service.
    pub service: String,
    /// The request's identifier.
    pub request: String,
    /// Whether the runner ran it.
    pub ran: bool,
    /// The adapter and the version that it ran on.
    pub adapter: Option<(String, u64)>,
    /// When it arrived.
    pub begun: Ms,
    /// When the work on it ended.
    pub ended: Option<Ms>,
}

/// An order that a runner accepted.
#[derive(Clone, Debug)]
pub struct Order {
    /// The runner's identifier.
    pub runner: String,
    /// Who gave it.
    pub holder: String,
    /// When.
    pub at: Ms,
    /// Whether it asked for more than the runner holds.
    pub over: bool,
}

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One entry.
    Entry(usize),
    /// The way to the runner at this position.
    Runner(usize),
    /// The store.
    Store,
}

/// The time in which a fault lasted.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// What was disturbed.
    pub target: Target,
    /// Whether it was a stop or reload that an operator asked for.
    pub planned: bool,
    /// Its start.
    pub from: Ms,
    /// Its end.
    pub to: Ms,
}

/// The promises, with the bounds that the deployment states.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time after which a calm entry is in touch.
    pub contact: Ms,
    /// The time after which no request may reach a runner that leaves.
    pub drain: Ms,
    /// The time in which a manifest must be in force.
    pub config: Ms,
    /// The time in which an entry that showed a manifest may still answer from an older one.
    pub rollback: Ms,
    /// The time in which a new adapter version must be in use.
    pub version: Ms,
    /// Second attempts per request.
    pub retry_ratio: f64,
    /// Second attempts that are allowed besides.
    pub retry_slack: f64,
    /// The window of both.
    pub retry_window: Ms,
    /// The time in which service is back after all programs were killed.
    pub recovery: Ms,
    /// The time in which the work for a caller that left ends.
    pub gone: Ms,
    /// The time from SIGTERM to the end of a program.
    pub stop: Ms,
}

/// All that was seen.
#[derive(Clone, Debug)]
pub struct History {
    /// The bounds.
    pub bounds: Bounds,
    /// The number of a complete stream's last event.
    pub last_event: u64,
    /// Requests, by their end.
    pub calls: Vec<Call>,
    /// Requests at runners.
    pub arrivals: Vec<Arrival>,
    /// Orders at runners.
    pub orders: Vec<Order>,
    /// Runners that were announced as leaving or gone, and when.
    pub leaving: Vec<(String, Ms)>,
    /// Versions of the manifest and when they were acknowledged.
    pub configs: Vec<(u64, Ms)>,
    /// Announced adapter versions and when they were acknowledged.
    pub versions: Vec<(String, u64, Ms)>,
    /// The faults.
    pub spans: Vec<Span>,
    /// Programs that ended by themselves or did not stop in time.
    pub exits: Vec<String>,
    /// When all programs were killed and started again.
    pub killed: Option<Ms>,
}

impl History {
    /// Creates an empty history.
    pub fn new(bounds: Bounds, last_event: u64) -> History {
        History {
            bounds,
            last_event,
            calls: Vec::new(),
            arrivals: Vec::new(),
            orders: Vec::new(),
            leaving: Vec::new(),
            configs: Vec::new(),
            versions: Vec::new(),
            spans: Vec::new(),
            exits: Vec::new(),
            killed: None,
        }
    }

    /// Returns whether an entry was in touch from `from` to `to`.
    pub fn in_touch(&self, entry: usize, from: Ms, to: Ms) -> bool {
        self.is_calm(entry, from.saturating_sub(self.bounds.contact), to)
    }

    /// Returns whether nothing happened to an entry or to the store from `from` to `to`.
    pub fn is_calm(&self, entry: usize, from: Ms, to: Ms) -> bool {
        !self.disturbed(from, to, |span| {
            matches!(span.target, Target::Store) || span.target == Target::Entry(entry)
        })
    }

    /// Returns whether nothing but planned stops and reloads happened to an entry.
    pub fn only_planned(&self, entry: usize, from: Ms, to: Ms) -> bool {
        let from = from.saturating_sub(self.bounds.contact);
        !self.disturbed(from, to, |span| {
            span.target == Target::Entry(entry) && !span.planned
        })
    }

    /// Returns whether the way to a runner was undisturbed from `from` to `to`, and long enough before.
    pub fn reachable(&self, runner: &str, from: Ms, to: Ms) -> bool {
        self.is_clear(runner, from.saturating_sub(self.bounds.contact), to)
    }

    /// Returns whether nothing happened to the way to a runner from `from` to `to`.
    pub fn is_clear(&self, runner: &str, from: Ms, to: Ms) -> bool {
        let position = position(runner);
        !self.disturbed(from, to, |span| {
            position.is_some_and(|index| span.target == Target::Runner(index))
        })
    }

    fn disturbed(&self, from: Ms, to: Ms, concerns: impl Fn(&Span) -> bool) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| concerns(span) && span.from <= to && span.to >= from)
    }
}

/// Returns the position in the identifier of a runner, which is `SERVICE-POSITION.START`.
fn position(runner: &str) -> Option<usize> {
    let (_, rest) = runner.split_once('-')?;
    let (position, _) = rest.split_once('.')?;
    position.parse().ok()
}
