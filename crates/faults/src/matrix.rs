//! Steps, faults and invariants, and which faults apply to which steps.

use derive_more::Display;

/// The operation that a step belongs to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flow {
    /// Publication of an object set.
    #[display("publish")]
    Publish,
    /// Adoption of a generation.
    #[display("adopt")]
    Adopt,
    /// Processing of a request.
    #[display("request")]
    Request,
    /// Drain and exit of an agent.
    #[display("drain")]
    Drain,
    /// Start of a replacement agent.
    #[display("restart")]
    Restart,
}

macro_rules! named_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $item:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])* #[display($text)] $item,)* }

        impl $name {
            /// All values, in the order of the matrix.
            pub const ALL: &'static [$name] = &[$($name::$item),*];

            /// Returns the value that is displayed as `text`.
            pub fn parse(text: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|item| item.to_string() == text)
            }
        }
    };
}

named_enum! {
    /// A step at which faults are injected. The order within a flow is that of execution, on which
    /// ranges of steps rely.
    Step {
        /// The publisher reads the head and validates the set.
        Validate = "validate",
        /// The publisher writes buckets and manifest.
        WriteObject = "write-object",
        /// The publisher swaps the head row.
        SwapRow = "swap-row",
        /// The operator gets the result of the publication.
        PublishAnswer = "publish-answer",
        /// A process learns of a newer head.
        Hear = "hear",
        /// A process fetches the snapshot.
        Fetch = "fetch",
        /// A process puts the fetched set in force.
        Apply = "apply",
        /// The entry resolves the route.
        Resolve = "resolve",
        /// The entry writes the claim row.
        Claim = "claim",
        /// The entry picks an endpoint.
        Pick = "pick",
        /// The entry sends the job.
        Dispatch = "dispatch",
        /// The agent queues the job.
        Queue = "queue",
        /// The agent loads the version.
        Load = "load",
        /// The agent pins the version.
        Pin = "pin",
        /// The job reaches the engine.
        Submit = "submit",
        /// A chunk of the response reaches the agent.
        Stream = "stream",
        /// The engine's response ends at the agent.
        Finish = "finish",
        /// The outcome is recorded in the claim row.
        Record = "record",
        /// The caller gets the response.
        Answer = "answer",
        /// The agent gets the stop signal.
        Announce = "announce",
        /// The draining agent refuses new work.
        Refuse = "refuse",
        /// A response ends at the draining agent.
        FinishWork = "finish-work",
        /// The agent releases its lease and exits.
        Leave = "leave",
        /// A new agent process learns the generation in force.
        LearnGeneration = "learn-generation",
        /// A new agent process reads which versions are resident.
        LearnEngine = "learn-engine",
        /// A new agent process takes the lease.
        TakeLease = "take-lease",
    }
}

named_enum! {
    /// A fault, as it is injected into the simulation. "The entry" and "the agent" are those that
    /// take part in the step.
    Fault {
        /// The engine restarts and loses its resident versions and running requests.
        EngineRestart = "engine-restart",
        /// The next load fails partway.
        LoadFails = "load-fails",
        /// The table does not respond.
        TableDown = "table-down",
        /// The table responds after its callers have timed out.
        TableSlow = "table-slow",
        /// The next write to the table takes effect and its response is lost.
        TableLost = "table-lost",
        /// The object store does not respond.
        StoreDown = "store-down",
        /// The object store responds slowly.
        StoreSlow = "store-slow",
        /// The next write to the object store takes effect and its response is lost.
        StoreLost = "store-lost",
        /// The agent is paused for longer than its lease.
        LeaseExpires = "lease-expires",
        /// The entry is paused between two of its steps.
        EntryPaused = "entry-paused",
        /// The next message is lost.
        MessageLost = "message-lost",
        /// The next message arrives after the timeout of its sender.
        MessageLate = "message-late",
        /// The next message arrives twice.
        MessageTwice = "message-twice",
        /// The next message arrives after those that follow it within 50 ms.
        MessageSwapped = "message-swapped",
        /// Another entry, a peer that may hold the newest head, crashes and restarts after a while.
        PeerGone = "peer-gone",
        /// The entry crashes and restarts after a while.
        EntryGone = "entry-gone",
        /// The agent crashes and restarts after a while.
        AgentGone = "agent-gone",
        /// Another instance takes the name of an agent that is paused and resumes later.
        InstanceReplaced = "instance-replaced",
        /// The membership list lags by 30 s.
        ListLags = "list-lags",
        /// Events of the prefix cache arrive late; simulated as a cold cache.
        CacheLate = "cache-late",
        /// Events of the prefix cache are missing; simulated as a cold cache.
        CacheGap = "cache-gap",
        /// Another operator publishes a conflicting change.
        PublishConflict = "publish-conflict",
        /// Demand moves to adapters that are usually not resident.
        PopularityShift = "popularity-shift",
        /// The engine ignores the fencing token of a command from an old holder.
        FencingIgnored = "fencing-ignored",
        /// The clocks of the entry and the agent jump forward.
        ClockJump = "clock-jump",
    }
}

named_enum! {
    /// An invariant of section 1.1 of the design page.
    Invariant {
        /// Every request runs on exactly the adapter version that its route resolved to.
        ExactAdapter = "exact-adapter",
        /// An adapter that a running request uses is never unloaded.
        PinnedAdapter = "pinned-adapter",
        /// A response reported as complete is the complete response to that caller's own request.
        WholeAnswer = "whole-answer",
        /// A request that was reported as not run did not run.
        NotRun = "not-run-means-not-run",
        /// Requests with the same idempotency key run at most once.
        AtMostOnce = "at-most-once",
        /// A draining endpoint gets no new work after 3 s.
        DrainFast = "drain-fast",
        /// A planned stop interrupts no running request.
        GracefulStop = "graceful-stop",
        /// Each process adopts only committed generations, in increasing order, and ends with the
        /// newest one.
        ConfigForward = "config-forward",
    }
}

/// A cell of the matrix: whether a fault applies to a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cell {
    /// The fault can occur at the step.
    Applies,
    /// The fault cannot affect the step, for this reason.
    Excluded(&'static str),
}

impl Step {
    /// Returns the operation that the step belongs to.
    pub fn flow(self) -> Flow {
        match self {
            Step::Validate | Step::WriteObject | Step::SwapRow | Step::PublishAnswer => {
                Flow::Publish
            }
            Step::Hear | Step::Fetch | Step::Apply => Flow::Adopt,
            Step::Announce | Step::Refuse | Step::FinishWork | Step::Leave => Flow::Drain,
            Step::LearnGeneration | Step::LearnEngine | Step::TakeLease => Flow::Restart,
            _ => Flow::Request,
        }
    }

    fn involves_agent(self) -> bool {
        let flow = matches!(self.flow(), Flow::Drain | Flow::Restart);
        flow || (Step::Dispatch..=Step::Record).contains(&self)
    }
}

/// Returns whether `fault` applies to `step`.
pub fn cell(step: Step, fault: Fault) -> Cell {
    let flow = step.flow();
    let (applies, reason) = match fault {
        Fault::TableDown | Fault::TableSlow | Fault::TableLost | Fault::ClockJump => (true, ""),
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLost => (
            flow != Flow::Drain,
            "a drain neither reads nor writes the object store",
        ),
        Fault::EngineRestart => (step.involves_agent(), "the step involves no engine"),
        Fault::LoadFails => (
            matches!(flow, Flow::Drain | Flow::Restart) || (Step::Pick..=Step::Pin).contains(&step),
            "no load is pending",
        ),
        Fault::LeaseExpires | Fault::FencingIgnored => (
            step.involves_agent(),
            "the step involves no command to an engine",
        ),
        Fault::EntryPaused => (
            matches!(flow, Flow::Request | Flow::Drain),
            "the step involves no entry",
        ),
        Fault::MessageLost | Fault::MessageLate | Fault::MessageTwice | Fault::MessageSwapped => (
            flow != Flow::Publish,
            "the publisher calls only the table and the object store",
        ),
        Fault::PeerGone => (
            matches!(flow, Flow::Adopt | Flow::Restart),
            "the step involves no peer",
        ),
        Fault::EntryGone => (
            matches!(flow, Flow::Request | Flow::Drain),
            "the step involves no entry",
        ),
        Fault::AgentGone | Fault::InstanceReplaced => (
            step.involves_agent() || matches!(step, Step::Claim | Step::Pick | Step::Answer),
            "the step involves no agent",
        ),
        Fault::ListLags => (
            flow != Flow::Publish,
            "the publisher does not read the membership list",
        ),
        Fault::CacheLate | Fault::CacheGap => (
            step == Step::Pick,
            "only `pick` uses prefixes, from earlier picks of the entry and not from cache events",
        ),
        Fault::PublishConflict => (
            matches!(flow, Flow::Publish | Flow::Adopt) || step == Step::Resolve,
            "a request keeps the version that it resolved to",
        ),
        Fault::PopularityShift => (
            flow == Flow::Request && (Step::Resolve..=Step::Pin).contains(&step),
            "the version is already chosen, or the step involves no request",
        ),
    };
    match applies {
        true => Cell::Applies,
        false => Cell::Excluded(reason),
    }
}

/// Returns the faults that apply to a step.
pub fn applicable_faults(step: Step) -> Vec<Fault> {
    let all = Fault::ALL.iter().copied();
    all.filter(|fault| cell(step, *fault) == Cell::Applies)
        .collect()
}
