//! Deliberate faults in the code under test, each of which one invariant's check has to catch.

use crate::matrix::Invariant;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The agent lets the engine run a job on another version.
    OtherVersion,
    /// The agent unloads a version as soon as a request is submitted on it.
    UnloadInUse,
    /// The entry takes the first chunk for the whole answer.
    FirstChunkOnly,
    /// The entry reports "not run" where the outcome is unknown.
    SayNotRun,
    /// The agent forgets its ledger whenever a job arrives.
    ForgetLedger,
    /// The agent accepts jobs while it drains.
    AcceptDraining,
    /// The agent exits at once when it is told to stop.
    LeaveAtOnce,
    /// A process puts an older head in force when it hears of one.
    TakeOlderHead,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Mutant; 8] = [
        Mutant::OtherVersion,
        Mutant::UnloadInUse,
        Mutant::FirstChunkOnly,
        Mutant::SayNotRun,
        Mutant::ForgetLedger,
        Mutant::AcceptDraining,
        Mutant::LeaveAtOnce,
        Mutant::TakeOlderHead,
    ];

    /// Returns the invariant that the mutant breaks.
    pub fn breaks(self) -> Invariant {
        match self {
            Mutant::OtherVersion => Invariant::ExactAdapter,
            Mutant::UnloadInUse => Invariant::PinnedAdapter,
            Mutant::FirstChunkOnly => Invariant::WholeAnswer,
            Mutant::SayNotRun => Invariant::NotRun,
            Mutant::ForgetLedger => Invariant::AtMostOnce,
            Mutant::AcceptDraining => Invariant::DrainFast,
            Mutant::LeaveAtOnce => Invariant::GracefulStop,
            Mutant::TakeOlderHead => Invariant::ConfigForward,
        }
    }
}
