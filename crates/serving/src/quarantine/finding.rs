//! What the end of an attempt shows of its request, which may be one that crashes runners.

use derive_more::Display;

use crate::attempt::Outcome;

/// The statuses of a runner that gave up, or wants fewer requests, before or in the course of its work.
const GIVEN_UP_STATUSES: [u16; 2] = [408, 429];

/// What the end of an attempt shows. A request is no threat to a runner only if the runner has begun and
/// survived the work that it might crash on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Finding {
    /// No answer to the request arrived: the runner may have crashed on it, or be about to.
    #[display("unanswered")]
    Unanswered,
    /// The runner did not run the request.
    #[display("not run")]
    NotRun,
    /// The runner failed the request by a fault of its own. It lives, but it may not have begun the work.
    #[display("runner fault")]
    RunnerFault,
    /// The runner has dealt with the request to its end, without an answer to its prompt.
    #[display("declined")]
    Declined,
    /// The runner has answered the request, or begun to write the answer to its prompt.
    #[display("answered")]
    Answered,
}

impl Finding {
    /// Returns what an attempt shows that had no success. `status` is that of the runner's complete
    /// failure response, if there is one.
    pub fn of_failure(outcome: Outcome, status: Option<u16>) -> Finding {
        match (outcome, status) {
            (Outcome::NotSent | Outcome::NotRun, _) => Finding::NotRun,
            (Outcome::Unknown, _) | (Outcome::Failed, None) => Finding::Unanswered,
            (Outcome::Failed, Some(status)) if is_declined(status) => Finding::Declined,
            (Outcome::Failed, Some(_)) => Finding::RunnerFault,
        }
    }

    /// Returns whether the runner lived after it had begun to respond.
    pub fn shows_life(self) -> bool {
        match self {
            Finding::Unanswered | Finding::NotRun => false,
            Finding::RunnerFault | Finding::Declined | Finding::Answered => true,
        }
    }

    /// Returns whether the whole request is under no suspicion any more.
    pub fn clears_whole(self) -> bool {
        match self {
            Finding::Unanswered | Finding::NotRun | Finding::RunnerFault => false,
            Finding::Declined | Finding::Answered => true,
        }
    }

    /// Returns whether the parts of its prompt are under no suspicion any more.
    pub fn clears_parts(self) -> bool {
        match self {
            Finding::Unanswered | Finding::NotRun | Finding::RunnerFault | Finding::Declined => {
                false
            }
            Finding::Answered => true,
        }
    }

    /// Returns whether a request that tries what is under suspicion has shown nothing, and may be sent
    /// again for the same trial.
    pub fn is_inconclusive(self) -> bool {
        match self {
            Finding::NotRun | Finding::RunnerFault => true,
            Finding::Unanswered | Finding::Declined | Finding::Answered => false,
        }
    }
}

fn is_declined(status: u16) -> bool {
    (400..500).contains(&status) && !GIVEN_UP_STATUSES.contains(&status)
}
