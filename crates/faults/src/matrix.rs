//! The closed sets of steps, faults and invariants, and which faults apply to which steps.

use derive_more::Display;

/// What a step belongs to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flow {
    /// Publishing of an object set.
    #[display("publish")]
    Publish,
    /// Adoption of a generation.
    #[display("adopt")]
    Adopt,
    /// One request.
    #[display("request")]
    Request,
    /// Drain and stop of an agent.
    #[display("drain")]
    Drain,
    /// Start of a replacement agent.
    #[display("restart")]
    Restart,
}

macro_rules! closed_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $item:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])* #[display($text)] $item,)* }

        impl $name {
            /// All values, in order.
            pub const ALL: &'static [$name] = &[$($name::$item),*];

            /// Returns the value with this name.
            pub fn parse(text: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|item| item.to_string() == text)
            }
        }
    };
}

closed_enum! {
    /// A step at which a fault is injected.
    Step {
        /// The publisher reads the head and validates the set.
        Validate = "validate",
        /// The publisher writes buckets and manifest.
        WriteObject = "write-object",
        /// The publisher swaps the head row.
        SwapRow = "swap-row",
        /// The operator gets the result.
        Published = "publish-answer",
        /// A process hears of a newer head.
        Hear = "hear",
        /// A process fetches the snapshot.
        Fetch = "fetch",
        /// A process puts the set in force.
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
        /// Chunks of the answer arrive.
        Stream = "stream",
        /// The answer ends.
        Finish = "finish",
        /// The outcome is recorded in the claim row.
        Record = "record",
        /// The caller gets the answer.
        Answer = "answer",
        /// The agent gets the stop signal.
        Announce = "announce",
        /// The draining agent refuses new work.
        Refuse = "refuse",
        /// Work in progress at the draining agent ends.
        Settle = "finish-work",
        /// The agent releases its lease and exits.
        Leave = "leave",
        /// A fresh agent learns the generation.
        LearnHead = "learn-generation",
        /// A fresh agent reads what is resident.
        LearnEngine = "learn-engine",
        /// A fresh agent takes the lease.
        TakeLease = "take-lease",
    }
}

closed_enum! {
    /// A fault.
    Fault {
        /// The engine restarts and loses its adapters and requests.
        EngineRestart = "engine-restart",
        /// The next load fails partway.
        LoadFails = "load-fails",
        /// The table does not respond.
        TableDown = "table-down",
        /// The table responds after most callers have given up.
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
        /// The next message is overtaken by the one after it.
        MessageSwapped = "message-swapped",
        /// A peer that holds the newest head is gone.
        PeerGone = "peer-gone",
        /// The entry is gone.
        EntryGone = "entry-gone",
        /// The agent is gone and comes back after a while.
        AgentGone = "agent-gone",
        /// Another instance takes the name of an agent that is paused and resumes later.
        InstanceReplaced = "instance-replaced",
        /// The membership list is 30 s behind.
        ListLags = "list-lags",
        /// Cache events arrive late.
        CacheLate = "cache-late",
        /// Cache events are missing.
        CacheGap = "cache-gap",
        /// Another operator publishes a conflicting change.
        PublishConflict = "publish-conflict",
        /// All demand moves to adapters that are not resident.
        PopularityShift = "popularity-shift",
        /// The engine ignores the fencing token of a command from an old holder.
        FencingIgnored = "fencing-ignored",
        /// A process's clock jumps forward.
        ClockJump = "clock-jump",
    }
}

closed_enum! {
    /// An invariant of section 1.1 of the design page.
    Invariant {
        /// Every request runs on exactly the adapter and version it named.
        ExactAdapter = "exact-adapter",
        /// An adapter that a running request uses is never unloaded.
        PinnedAdapter = "pinned-adapter",
        /// Each caller gets the whole answer to its own request.
        WholeAnswer = "whole-answer",
        /// A request reported as not run was not run.
        NotRun = "not-run-means-not-run",
        /// A request that must not be repeated runs at most once.
        AtMostOnce = "at-most-once",
        /// A leaving endpoint gets no new work after 3 s.
        DrainFast = "drain-fast",
        /// A planned stop cuts off no request in progress.
        GracefulStop = "graceful-stop",
        /// Configurations come into force everywhere and never revert.
        ConfigForward = "config-forward",
    }
}

/// Whether a fault applies to a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cell {
    /// The fault can occur at the step.
    Applies,
    /// The fault cannot affect the step, for this reason.
    Excluded(&'static str),
}

impl Step {
    /// Returns what the step belongs to.
    pub fn flow(self) -> Flow {
        match self {
            Step::Validate | Step::WriteObject | Step::SwapRow | Step::Published => Flow::Publish,
            Step::Hear | Step::Fetch | Step::Apply => Flow::Adopt,
            Step::Announce | Step::Refuse | Step::Settle | Step::Leave => Flow::Drain,
            Step::LearnHead | Step::LearnEngine | Step::TakeLease => Flow::Restart,
            _ => Flow::Request,
        }
    }

    fn is_at_agent(self) -> bool {
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
            "a stop neither reads nor writes objects",
        ),
        Fault::EngineRestart => (step.is_at_agent(), "no engine takes part"),
        Fault::LoadFails => (
            matches!(flow, Flow::Drain | Flow::Restart) || (Step::Pick..=Step::Pin).contains(&step),
            "no load is pending",
        ),
        Fault::LeaseExpires | Fault::FencingIgnored => {
            (step.is_at_agent(), "no command goes to an engine")
        }
        Fault::EntryPaused => (
            matches!(flow, Flow::Request | Flow::Drain),
            "no entry takes part",
        ),
        Fault::MessageLost | Fault::MessageLate | Fault::MessageTwice | Fault::MessageSwapped => (
            flow != Flow::Publish,
            "the publisher talks to table and store only",
        ),
        Fault::PeerGone => (
            matches!(flow, Flow::Adopt | Flow::Restart),
            "no peer is asked",
        ),
        Fault::EntryGone => (
            matches!(flow, Flow::Request | Flow::Drain),
            "no entry takes part",
        ),
        Fault::AgentGone | Fault::InstanceReplaced => (
            step.is_at_agent() || matches!(step, Step::Claim | Step::Pick | Step::Answer),
            "no agent takes part",
        ),
        Fault::ListLags => (flow != Flow::Publish, "the publisher reads no list"),
        Fault::CacheLate | Fault::CacheGap => (
            step == Step::Pick,
            "only the pick reads prefixes, from its own picks and not from cache events",
        ),
        Fault::PublishConflict => (
            matches!(flow, Flow::Publish | Flow::Adopt) || step == Step::Resolve,
            "the resolved version is kept for the lifetime of the request",
        ),
        Fault::PopularityShift => (
            flow == Flow::Request && (Step::Resolve..=Step::Pin).contains(&step),
            "the choice of the version is already made",
        ),
    };
    match applies {
        true => Cell::Applies,
        false => Cell::Excluded(reason),
    }
}

/// Returns the faults that apply to a step.
pub fn faults_of(step: Step) -> Vec<Fault> {
    let all = Fault::ALL.iter().copied();
    all.filter(|fault| cell(step, *fault) == Cell::Applies)
        .collect()
}
