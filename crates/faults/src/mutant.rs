//! Mutants: deliberate faults in the code under test that show that each check can fail.

use crate::matrix::Invariant;

/// A deliberate fault, which the check of one invariant has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The agent submits jobs on another resident version, if there is one.
    SubmitOtherVersion,
    /// The agent unloads a version as soon as a request is submitted on it.
    UnloadInUse,
    /// The entry reports the response as complete after the first chunk.
    CompleteAfterFirstChunk,
    /// The entry reports a request with an unknown outcome as not run.
    ReportNotRun,
    /// The agent loses its ledger whenever a job arrives.
    ForgetLedger,
    /// The agent accepts jobs after the stop signal.
    AcceptWhileDraining,
    /// The agent exits at the stop signal without a drain.
    ExitWithoutDrain,
    /// A process puts an older head in force when it learns of one.
    AdoptOlderHead,
}

impl Mutant {
    /// All mutants, in the order of declaration.
    pub const ALL: [Mutant; 8] = [
        Mutant::SubmitOtherVersion,
        Mutant::UnloadInUse,
        Mutant::CompleteAfterFirstChunk,
        Mutant::ReportNotRun,
        Mutant::ForgetLedger,
        Mutant::AcceptWhileDraining,
        Mutant::ExitWithoutDrain,
        Mutant::AdoptOlderHead,
    ];

    /// Returns the invariant that the mutant violates.
    pub fn violated_invariant(self) -> Invariant {
        match self {
            Mutant::SubmitOtherVersion => Invariant::ExactAdapter,
            Mutant::UnloadInUse => Invariant::PinnedAdapter,
            Mutant::CompleteAfterFirstChunk => Invariant::WholeAnswer,
            Mutant::ReportNotRun => Invariant::NotRun,
            Mutant::ForgetLedger => Invariant::AtMostOnce,
            Mutant::AcceptWhileDraining => Invariant::DrainFast,
            Mutant::ExitWithoutDrain => Invariant::GracefulStop,
            Mutant::AdoptOlderHead => Invariant::ConfigForward,
        }
    }
}
