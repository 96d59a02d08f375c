//! Streams of server-sent events.

mod rig;

use std::time::Duration;

use decision::job::Failure;
use decision::job::Refusal;
use http_body_util::BodyExt;
use rig::Reply;
use rig::Rig;
use rig::Script;

const BODY: &str = r#"{"model":"rooms","stream":true}"#;
const PIECES: [&str; 2] = [
    "data: {\"n\":1}\n\ndata: {\"n\":2,\"t\":\"[DONE]\"}\n\n",
    "data: {\"n\":3}\n\ndata: [DONE]\n\n",
];

/// Guards against pieces that are lost, doubled or reordered, and against an end without receipt.
#[tokio::test]
async fn whole_stream_ends_with_receipt() {
    let rig = Rig::start(1).await;
    rig.script(&Script::Pieces(PIECES.to_vec(), None));
    let reply = rig.chat(BODY).await;
    assert_eq!(reply.headers["content-type"], "text/event-stream");
    let sent = PIECES.concat();
    let (tokens, rest) = reply.text.split_once("event: receipt\n").unwrap();
    assert_eq!(format!("{tokens}data: [DONE]\n\n"), sent);
    assert!(rest.starts_with("data: {\"request\":"), "{rest}");
    assert!(rest.ends_with("}\n\ndata: [DONE]\n\n"), "{rest}");
    rig.stop().await;
}

/// Guards against a broken stream that looks complete, and against a second attempt after the
/// caller has seen the start of the first.
#[tokio::test]
async fn broken_stream_ends_with_an_error() {
    let rig = Rig::start(2).await;
    rig.script(&Script::Pieces(
        PIECES[..1].to_vec(),
        Some(Failure::Truncated),
    ));
    let reply = rig.chat(BODY).await;
    assert_eq!(reply.status, 200);
    let (tokens, rest) = reply.text.split_once("event: error\n").unwrap();
    assert_eq!(tokens, PIECES[0]);
    assert!(rest.contains("\"answer_truncated\""), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    assert_eq!(rig.runs(), 1);
    rig.stop().await;
}

/// Guards against a stream that fails although nothing of it was sent yet.
#[tokio::test]
async fn stream_is_retried_before_its_first_byte() {
    let rig = Rig::start(2).await;
    rig.script(&Script::Pieces(PIECES.to_vec(), None));
    for script in [Script::Refuse(Refusal::EngineDown), Script::RunAndLose] {
        rig.agent("e0").set_script(script);
        let reply = rig.chat(BODY).await;
        assert!(reply.text.ends_with("data: [DONE]\n\n"), "{}", reply.text);
    }
    rig.stop().await;
}

/// Guards against work that goes on for a caller who is gone, before and after the first byte.
#[tokio::test]
async fn disconnect_cancels_at_the_agent() {
    let rig = Rig::start(1).await;
    rig.script(&Script::Held(PIECES[0], PIECES[1]));
    let mut streaming = rig
        .send(rig.request("/v1/chat/completions", BODY, &[]))
        .await;
    assert!(streaming.frame().await.is_some());
    drop(streaming);
    wait_cancelled(&rig, 1).await;
    let body = r#"{"model":"rooms"}"#;
    let waiting = rig.send(rig.request("/v1/chat/completions", body, &[]));
    let dropped = tokio::time::timeout(Duration::from_millis(300), waiting).await;
    assert!(dropped.is_err());
    wait_cancelled(&rig, 2).await;
    rig.wait(|dump| dump["limits"]["inflight"] == 0 && dump["endpoints"][0]["own_inflight"] == 0)
        .await;
    rig.stop().await;
}

async fn wait_cancelled(rig: &Rig, count: usize) {
    let wait = async {
        while rig.agent("e0").cancelled().len() < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(rig::WAIT, wait)
        .await
        .expect("not cancelled");
}

/// Guards against a stop that cuts off a stream or an answer in progress.
#[tokio::test]
async fn stop_waits_for_answers_in_progress() {
    let rig = Rig::start(1).await;
    rig.script(&Script::Held(PIECES[0], PIECES[1]));
    let mut streaming = rig
        .send(rig.request("/v1/chat/completions", BODY, &[]))
        .await;
    let first = streaming.frame().await.unwrap().unwrap();
    assert_eq!(first.data_ref().unwrap(), PIECES[0]);
    let Rig { entry, agents, .. } = rig;
    let mut stopping = tokio::spawn(entry.stop());
    let early = tokio::time::timeout(Duration::from_millis(500), &mut stopping).await;
    assert!(early.is_err(), "the entry stopped before its stream ended");
    agents[0].proceed();
    let rest = Reply::read(streaming).await;
    assert!(rest.text.ends_with("data: [DONE]\n\n"), "{}", rest.text);
    tokio::time::timeout(rig::WAIT, stopping)
        .await
        .expect("no stop")
        .unwrap();
}
