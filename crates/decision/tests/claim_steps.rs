//! Single steps of the claim state machine, and the group commit.

use decision::claim::Claim;
use decision::claim::ClaimAction;
use decision::claim::ClaimEvent;
use decision::claim::ClaimRow;
use decision::claim::ClaimState;
use decision::claim::Reason;
use decision::claim::group::GroupCommit;
use decision::claim::group::MAX_TX_ROWS;
use decision::claim::group::TxResult;
use decision::claim::group::WriteResult;
use decision::ids::Incarnation;
use decision::ids::RequestId;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::time::Time;

/// Starts a claim at time 0 and returns it with the row that it writes.
fn start_claim() -> (Claim, ClaimRow) {
    let deadline = Time::from_ms(5_000);
    let (mut claim, action) = Claim::new(
        Time::from_ms(0),
        RequestId(1),
        "body".to_owned(),
        "nonce".to_owned(),
        deadline,
    );
    assert_eq!(action, ClaimAction::Pick);
    let picked = ClaimEvent::Picked {
        endpoint: "e".into(),
        agent: Incarnation(9),
    };
    let ClaimAction::Commit { row, version: 0 } = claim.next(Time::from_ms(1), picked) else {
        panic!("the claim does not write its row");
    };
    (claim, *row)
}

/// Guards against a dispatch after the time limit, by a claimant that was paused while its claim was
/// confirmed.
#[test]
fn late_confirmation_is_refused_and_recorded() {
    let (mut claim, _) = start_claim();
    let done = ClaimEvent::Written(WriteResult::Committed(1));
    let action = claim.next(Time::from_ms(801), done);
    assert_eq!(action, ClaimAction::Refuse(Reason::Storage));
    let outcome = Outcome::NotRun(Refusal::Deadline);
    let (version, row) = claim.outcome_write(outcome, None).unwrap();
    assert_eq!((version, row.state), (1, ClaimState::Refused));
}

/// Guards against a request that fails because the response to the write of its claim was lost.
#[test]
fn lost_response_is_resolved_by_reading_back() {
    let (mut claim, row) = start_claim();
    let lost = ClaimEvent::Written(WriteResult::Unknown);
    assert_eq!(claim.next(Time::from_ms(10), lost), ClaimAction::Read);
    let read = ClaimEvent::RowRead(Some((1, row)));
    assert!(matches!(
        claim.next(Time::from_ms(20), read),
        ClaimAction::Dispatch(_)
    ));
}

/// Guards against reporting "not run" for a request whose row exists but cannot be read.
#[test]
fn unreadable_row_of_another_leaves_the_outcome_unknown() {
    let (mut claim, _) = start_claim();
    let failed = ClaimEvent::Written(WriteResult::Conflict);
    assert_eq!(claim.next(Time::from_ms(10), failed), ClaimAction::Read);
    assert_eq!(
        claim.next(Time::from_ms(800), ClaimEvent::ReadFailed),
        ClaimAction::Unknown
    );
}

/// Guards against reporting "not run" for a request that another claimant with the same key runs:
/// it settled this claim's attempt between the write of the row and the dispatch.
#[test]
fn attempt_settled_by_another_claimant_is_in_progress() {
    let (mut claim, _) = start_claim();
    let written = ClaimEvent::Written(WriteResult::Committed(1));
    let action = claim.next(Time::from_ms(10), written);
    assert!(matches!(action, ClaimAction::Dispatch(_)));
    let ended = |reason, by| ClaimEvent::Ended {
        outcome: Outcome::NotRun(reason),
        by: Incarnation(by),
    };
    let mut other = claim.clone();
    let settled = claim.next(Time::from_ms(20), ended(Refusal::Settled, 9));
    assert_eq!(settled, ClaimAction::InProgress);
    let refused = other.next(Time::from_ms(20), ended(Refusal::Overloaded, 9));
    assert_eq!(refused, ClaimAction::NotRun(Refusal::Overloaded));
}

/// Guards against an agent that records an outcome late and overwrites that of a later attempt.
#[test]
fn agent_records_only_its_own_attempt() {
    let (_, row) = start_claim();
    let ended = |attempt, agent| row.ended(RequestId(1), attempt, Incarnation(agent), Outcome::Ran);
    assert!(ended(2, 9).is_none());
    assert!(ended(1, 8).is_none());
    let done = ended(1, 9).unwrap();
    assert_eq!(done.state, ClaimState::Done);
    assert!(
        done.ended(RequestId(1), 1, Incarnation(9), Outcome::Ran)
            .is_none()
    );
}

/// Guards against a claim that fails because of another claim in the same transaction.
#[test]
fn only_the_failed_row_of_a_transaction_fails() {
    let (_, row) = start_claim();
    let mut group = GroupCommit::default();
    let tickets = ["a", "b", "a"].map(|key| group.push(key.to_owned(), 0, row.clone()));
    assert_eq!(
        group.next_tx().unwrap().len(),
        2,
        "two writes of one row must not share a transaction"
    );
    assert!(
        group.next_tx().is_none(),
        "only one transaction may be in flight"
    );
    let results = group.finish(&TxResult::Conflict(vec!["a".to_owned()]));
    // The second write of row "a" expects the same version, which the row does not have.
    let conflicts = [
        (tickets[0], WriteResult::Conflict),
        (tickets[2], WriteResult::Conflict),
    ];
    assert_eq!(results, conflicts);
    assert_eq!(group.next_tx().unwrap().len(), 1);
    let results = group.finish(&TxResult::Committed(vec![1]));
    assert_eq!(results, [(tickets[1], WriteResult::Committed(1))]);
}

/// Guards against a request that times out because others with its key take one transaction each,
/// and against failing a write that expects the new version along with them.
#[test]
fn commit_fails_queued_writes_of_the_old_version() {
    let (_, row) = start_claim();
    let mut group = GroupCommit::default();
    let first = group.push("a".to_owned(), 0, row.clone());
    assert_eq!(group.next_tx().unwrap().len(), 1);
    let same = group.push("a".to_owned(), 0, row.clone());
    let next = group.push("a".to_owned(), 1, row);
    let results = group.finish(&TxResult::Committed(vec![1]));
    let expected = [
        (first, WriteResult::Committed(1)),
        (same, WriteResult::Conflict),
    ];
    assert_eq!(results, expected);
    assert_eq!(group.next_tx().unwrap()[0].ticket, next);
}

/// Guards against a transaction that grows without limit while the table is slow.
#[test]
fn transactions_are_bounded() {
    let (_, row) = start_claim();
    let mut group = GroupCommit::default();
    for key in 0..100 {
        group.push(key.to_string(), 0, row.clone());
    }
    assert_eq!(group.next_tx().unwrap().len(), MAX_TX_ROWS);
    assert_eq!(group.counts(), (100 - MAX_TX_ROWS, MAX_TX_ROWS));
}
