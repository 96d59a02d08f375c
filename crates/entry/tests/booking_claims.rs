//! Non-repeatable requests, which claims keep from running twice.

mod harness;

use std::time::Duration;

use decision::job::Refusal;
use harness::Harness;
use harness::Script;
use harness::error;

const BODY: &str = r#"{"room":1}"#;

/// Guards against a retry with the same key that runs the booking again or receives another
/// response than the first request.
#[tokio::test]
async fn retry_replays_the_stored_response() {
    let harness = Harness::start(2).await;
    let first = harness.book("k1", BODY).await;
    assert_eq!((first.status, &*first.text), (200, BODY));
    harness.set_scripts(&Script::Refuse(Refusal::Draining));
    let retry = harness.book("k1", BODY).await;
    assert_eq!((retry.status, &*retry.text), (200, BODY));
    assert_eq!(retry.headers["x-dotterelwheel-replayed"], "true");
    assert_eq!(retry.receipt(), first.receipt());
    let other = harness.book("k1", r#"{"room":2}"#).await;
    assert_eq!(other.error(), error(409, "idempotency_conflict", "no"));
    assert_eq!(harness.run_count(), 1);
    harness.stop().await;
}

/// Guards against more than one run when requests with the same key arrive concurrently.
#[tokio::test]
async fn simultaneous_requests_run_once() {
    let harness = Harness::start(2).await;
    let replies = futures::future::join_all((0..20).map(|_| harness.book("k1", BODY))).await;
    assert_eq!(harness.run_count(), 1);
    assert!(replies.iter().any(|reply| reply.status == 200));
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        let (_, code, ran) = reply.error();
        assert!(
            ["request_in_progress", "answer_lost"].contains(&&*code),
            "{code}"
        );
        assert_ne!(ran, "no");
    }
    harness.stop().await;
}

/// Guards against a booking that hangs or reports an unknown outcome while the table fails or does
/// not respond.
#[tokio::test]
async fn storage_outage_is_reported_as_not_run() {
    let harness = Harness::start(2).await;
    for freeze in [false, true] {
        harness.table.faults().set_outage(!freeze);
        harness.table.faults().set_frozen(freeze);
        let started = std::time::Instant::now();
        let reply = harness.book("k1", BODY).await;
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "{:?}",
            started.elapsed()
        );
        assert_eq!(reply.error(), error(503, "storage_unavailable", "no"));
        assert!(reply.headers.contains_key("retry-after"));
        let chat = harness.chat(r#"{"model":"rooms"}"#).await;
        assert_eq!(chat.status, 200, "repeatable requests need no storage");
    }
    harness.table.faults().set_frozen(false);
    let reply = harness.book("k2", BODY).await;
    assert_eq!(reply.status, 200);
    harness.stop().await;
}

/// Guards against a booking that fails or runs twice because the request to the table or its
/// response was lost.
#[tokio::test]
async fn lost_table_response_is_resolved() {
    let harness = Harness::start(1).await;
    harness.table.faults().lose_responses(1);
    assert_eq!(harness.book("k1", BODY).await.status, 200);
    harness.table.faults().lose_requests(1);
    assert_eq!(harness.book("k2", BODY).await.status, 200);
    assert_eq!(harness.run_count(), 2);
    harness.stop().await;
}

/// Guards against a second run after the agent ran the booking and its response was lost.
#[tokio::test]
async fn booking_with_lost_response_is_not_run_again() {
    let harness = Harness::start(2).await;
    harness.set_scripts(&Script::RunAndDropLink);
    let first = harness.book("k1", BODY).await;
    assert_eq!(first.error(), error(502, "answer_lost", "yes"));
    harness.set_scripts(&Script::Echo);
    assert_eq!(
        harness.book("k1", BODY).await.error(),
        error(502, "answer_lost", "yes")
    );
    assert_eq!(harness.run_count(), 1);
    harness.stop().await;
}

/// Guards against taking the empty ledger of a replaced agent as proof that the attempt never ran.
#[tokio::test]
async fn replaced_agent_leaves_the_outcome_unknown() {
    let harness = Harness::start(1).await;
    harness.agent("s0").set_script(Script::Paused("{}", ""));
    let request = harness.request("/v1/services/book", BODY, &[("idempotency-key", "k1")]);
    let pending = harness.send(request);
    let _ = tokio::time::timeout(Duration::from_millis(500), pending).await;
    assert_eq!(harness.run_count(), 1);
    harness.agent("s0").replace();
    harness.agent("s0").set_script(Script::Echo);
    let retry = harness.book("k1", BODY).await;
    assert_eq!(retry.error(), error(504, "outcome_unknown", "unknown"));
    assert_eq!(harness.run_count(), 1);
    // The entry learns the new incarnation, so that other bookings run.
    harness
        .wait_for_dump(|dump| dump["endpoints"][1]["incarnation"] == "0000000000000008")
        .await;
    assert_eq!(harness.book("k2", BODY).await.status, 200);
    harness.agent("s0").resume();
    harness.stop().await;
}

/// Guards against a refusal that fails a booking although another agent can run it, and against a
/// key that cannot be reused after every agent refused.
#[tokio::test]
async fn refused_booking_is_attempted_elsewhere() {
    let harness = Harness::start(2).await;
    harness
        .agent("s0")
        .set_script(Script::Refuse(Refusal::Overloaded));
    for key in ["k1", "k2", "k3", "k4"] {
        let reply = harness.book(key, BODY).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
        assert_eq!(reply.receipt()["endpoint"], "s1");
    }
    harness.set_scripts(&Script::Refuse(Refusal::Overloaded));
    assert_eq!(
        harness.book("k5", BODY).await.error(),
        error(503, "overloaded", "no")
    );
    harness.set_scripts(&Script::Echo);
    let reply = harness.book("k5", BODY).await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!(harness.run_count(), 5);
    harness.stop().await;
}

/// Guards against an outcome that is lost because the caller disconnects while the booking runs.
#[tokio::test]
async fn booking_continues_after_caller_disconnects() {
    let harness = Harness::start(1).await;
    harness
        .agent("s0")
        .set_script(Script::Paused("{\"ok\":", "1}"));
    let request = harness.request("/v1/services/book", BODY, &[("idempotency-key", "k1")]);
    let timed_out = tokio::time::timeout(Duration::from_millis(300), harness.send(request)).await;
    assert!(timed_out.is_err());
    let duplicate = harness.book("k1", BODY).await;
    assert_eq!(
        duplicate.error(),
        error(409, "request_in_progress", "unknown")
    );
    harness.agent("s0").resume();
    harness
        .wait_for_dump(|dump| dump["claims_in_progress"].as_array().unwrap().is_empty())
        .await;
    let replayed = harness.book("k1", BODY).await;
    assert_eq!((replayed.status, &*replayed.text), (200, "{\"ok\":1}"));
    assert!(harness.agent("s0").cancelled().is_empty());
    harness.stop().await;
}
