//! What the end of an attempt shows of a request that may crash runners. Guards against an end that is taken
//! as evidence of what it does not show.

use serving::attempt::Outcome;
use serving::quarantine::Finding;

#[test]
fn each_end_shows_what_it_can() {
    for (outcome, status, expected) in [
        (Outcome::NotSent, None, Finding::NotRun),
        // Full, paused, leaving, without the adapter, or another runner at the address.
        (Outcome::NotRun, None, Finding::NotRun),
        // Broken in the head or the body, garbled, or silent until the deadline.
        (Outcome::Unknown, None, Finding::Unanswered),
        (Outcome::Failed, None, Finding::Unanswered),
        (Outcome::Failed, Some(500), Finding::RunnerFault),
        (Outcome::Failed, Some(503), Finding::RunnerFault),
        (Outcome::Failed, Some(504), Finding::RunnerFault),
        (Outcome::Failed, Some(301), Finding::RunnerFault),
        (Outcome::Failed, Some(408), Finding::RunnerFault),
        (Outcome::Failed, Some(429), Finding::RunnerFault),
        (Outcome::Failed, Some(400), Finding::Declined),
        (Outcome::Failed, Some(404), Finding::Declined),
    ] {
        let finding = Finding::of_failure(outcome, status);
        assert_eq!(finding, expected, "{outcome:?} {status:?}");
    }
}

#[test]
fn only_an_answer_clears_the_parts_of_a_prompt() {
    for (finding, life, whole, parts, inconclusive) in [
        (Finding::Unanswered, false, false, false, false),
        (Finding::NotRun, false, false, false, true),
        (Finding::RunnerFault, true, false, false, true),
        (Finding::Declined, true, true, false, false),
        (Finding::Answered, true, true, true, false),
    ] {
        assert_eq!(finding.shows_life(), life, "{finding}");
        assert_eq!(finding.clears_whole(), whole, "{finding}");
        assert_eq!(finding.clears_parts(), parts, "{finding}");
        assert_eq!(finding.is_inconclusive(), inconclusive, "{finding}");
    }
}
