//! Requests that must not run twice.

mod rig;

use std::time::Duration;

use decision::job::Refusal;
use rig::Rig;
use rig::Script;
use rig::error;

const BODY: &str = r#"{"room":1}"#;

/// Guards against a retry that books again, and one that gets another answer than the first.
#[tokio::test]
async fn retry_replays_the_stored_answer() {
    let rig = Rig::start(2).await;
    let first = rig.book("k1", BODY).await;
    assert_eq!((first.status, &*first.text), (200, BODY));
    rig.script(&Script::Refuse(Refusal::Draining));
    let again = rig.book("k1", BODY).await;
    assert_eq!((again.status, &*again.text), (200, BODY));
    assert_eq!(again.headers["x-dotterelwheel-replayed"], "true");
    assert_eq!(again.receipt(), first.receipt());
    let other = rig.book("k1", r#"{"room":2}"#).await;
    assert_eq!(other.error(), error(409, "idempotency_conflict", "no"));
    assert_eq!(rig.runs(), 1);
    rig.stop().await;
}

/// Guards against two runs of requests with one key that are sent at the same time.
#[tokio::test]
async fn simultaneous_requests_run_once() {
    let rig = Rig::start(2).await;
    let all = futures::future::join_all((0..20).map(|_| rig.book("k1", BODY))).await;
    assert_eq!(rig.runs(), 1);
    assert!(all.iter().any(|reply| reply.status == 200));
    for reply in all.iter().filter(|reply| reply.status != 200) {
        let (_, code, ran) = reply.error();
        assert!(
            ["request_in_progress", "answer_lost"].contains(&&*code),
            "{code}"
        );
        assert_ne!(ran, "no");
    }
    rig.stop().await;
}

/// Guards against a booking that hangs, or whose fate is unclear, while storage is down.
#[tokio::test]
async fn storage_outage_is_a_definite_no() {
    let rig = Rig::start(2).await;
    for freeze in [false, true] {
        rig.table.switches().set_outage(!freeze);
        rig.table.switches().set_frozen(freeze);
        let started = std::time::Instant::now();
        let reply = rig.book("k1", BODY).await;
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "{:?}",
            started.elapsed()
        );
        assert_eq!(reply.error(), error(503, "storage_unavailable", "no"));
        assert!(reply.headers.contains_key("retry-after"));
        let chat = rig.chat(r#"{"model":"rooms"}"#).await;
        assert_eq!(chat.status, 200, "repeatable requests need no storage");
    }
    rig.table.switches().set_frozen(false);
    let reply = rig.book("k2", BODY).await;
    assert_eq!(reply.status, 200);
    rig.stop().await;
}

/// Guards against a booking that fails or runs twice because a response of the table was lost.
#[tokio::test]
async fn lost_table_response_is_resolved() {
    let rig = Rig::start(1).await;
    rig.table.switches().lose_responses(1);
    assert_eq!(rig.book("k1", BODY).await.status, 200);
    rig.table.switches().lose_requests(1);
    assert_eq!(rig.book("k2", BODY).await.status, 200);
    assert_eq!(rig.runs(), 2);
    rig.stop().await;
}

/// Guards against a second run after the answer of the first was lost.
#[tokio::test]
async fn lost_answer_is_not_run_again() {
    let rig = Rig::start(2).await;
    rig.script(&Script::RunAndLose);
    let lost = rig.book("k1", BODY).await;
    assert_eq!(lost.error(), error(502, "answer_lost", "yes"));
    rig.script(&Script::Echo);
    assert_eq!(
        rig.book("k1", BODY).await.error(),
        error(502, "answer_lost", "yes")
    );
    assert_eq!(rig.runs(), 1);
    rig.stop().await;
}

/// Guards against a replaced agent whose empty ledger is taken as proof that nothing ran.
#[tokio::test]
async fn replaced_agent_leaves_the_outcome_unknown() {
    let rig = Rig::start(1).await;
    rig.agent("s0").set_script(Script::Held("{}", ""));
    let request = rig.request("/v1/services/book", BODY, &[("idempotency-key", "k1")]);
    let waiting = rig.send(request);
    let _ = tokio::time::timeout(Duration::from_millis(500), waiting).await;
    assert_eq!(rig.runs(), 1);
    rig.agent("s0").replace();
    rig.agent("s0").set_script(Script::Echo);
    let again = rig.book("k1", BODY).await;
    assert_eq!(again.error(), error(504, "outcome_unknown", "unknown"));
    assert_eq!(rig.runs(), 1);
    // The replaced agent's incarnation is learned, so that other bookings run.
    rig.wait(|dump| dump["endpoints"][1]["incarnation"] == "0000000000000008")
        .await;
    assert_eq!(rig.book("k2", BODY).await.status, 200);
    rig.agent("s0").proceed();
    rig.stop().await;
}

/// Guards against a refusal that ends a booking although another agent can take it, and against a
/// refused key that can never be used again.
#[tokio::test]
async fn proven_refusal_allows_another_attempt() {
    let rig = Rig::start(2).await;
    rig.agent("s0")
        .set_script(Script::Refuse(Refusal::Overloaded));
    for key in ["k1", "k2", "k3", "k4"] {
        let reply = rig.book(key, BODY).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
        assert_eq!(reply.receipt()["endpoint"], "s1");
    }
    rig.script(&Script::Refuse(Refusal::Overloaded));
    assert_eq!(
        rig.book("k5", BODY).await.error(),
        error(503, "overloaded", "no")
    );
    rig.script(&Script::Echo);
    let reply = rig.book("k5", BODY).await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!(rig.runs(), 5);
    rig.stop().await;
}

/// Guards against an outcome that is lost because the caller went away while the booking ran.
#[tokio::test]
async fn booking_runs_on_without_its_caller() {
    let rig = Rig::start(1).await;
    rig.agent("s0").set_script(Script::Held("{\"ok\":", "1}"));
    let request = rig.request("/v1/services/book", BODY, &[("idempotency-key", "k1")]);
    let gone = tokio::time::timeout(Duration::from_millis(300), rig.send(request)).await;
    assert!(gone.is_err());
    let busy = rig.book("k1", BODY).await;
    assert_eq!(busy.error(), error(409, "request_in_progress", "unknown"));
    rig.agent("s0").proceed();
    rig.wait(|dump| dump["claims_in_progress"].as_array().unwrap().is_empty())
        .await;
    let replayed = rig.book("k1", BODY).await;
    assert_eq!((replayed.status, &*replayed.text), (200, "{\"ok\":1}"));
    assert!(rig.agent("s0").cancelled().is_empty());
    rig.stop().await;
}
