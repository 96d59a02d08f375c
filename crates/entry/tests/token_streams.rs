//! Streams of server-sent events.

mod harness;

use std::time::Duration;

use decision::job::Failure;
use decision::job::Refusal;
use harness::Harness;
use harness::Reply;
use harness::Script;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time after a close within which it must have its effect.
const CLOSE_BOUND: Duration = Duration::from_millis(500);
const BODY: &str = r#"{"model":"rooms","stream":true}"#;
const CHUNKS: [&str; 2] = [
    "data: {\"n\":1}\n\ndata: {\"n\":2,\"t\":\"[DONE]\"}\n\n",
    "data: {\"n\":3}\n\ndata: [DONE]\n\n",
];

/// Guards against chunks that are lost, duplicated or reordered, and against a stream that ends
/// without a receipt.
#[tokio::test]
async fn complete_stream_ends_with_receipt() {
    let harness = Harness::start(1).await;
    harness.set_scripts(&Script::Chunks(CHUNKS.to_vec(), None));
    let reply = harness.chat(BODY).await;
    assert_eq!(reply.headers["content-type"], "text/event-stream");
    let sent = CHUNKS.concat();
    let (tokens, rest) = reply.text.split_once("event: receipt\n").unwrap();
    assert_eq!(format!("{tokens}data: [DONE]\n\n"), sent);
    assert!(rest.starts_with("data: {\"request\":"), "{rest}");
    assert!(rest.ends_with("}\n\ndata: [DONE]\n\n"), "{rest}");
    harness.stop().await;
}

/// Guards against an incomplete stream that looks complete, and against a second attempt after the
/// caller has received a part of the first.
#[tokio::test]
async fn incomplete_stream_ends_with_an_error() {
    let harness = Harness::start(2).await;
    harness.set_scripts(&Script::Chunks(
        CHUNKS[..1].to_vec(),
        Some(Failure::Truncated),
    ));
    let reply = harness.chat(BODY).await;
    assert_eq!(reply.status, 200);
    let (tokens, rest) = reply.text.split_once("event: error\n").unwrap();
    assert_eq!(tokens, CHUNKS[0]);
    assert!(rest.contains("\"answer_truncated\""), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    assert_eq!(harness.run_count(), 1);
    harness.stop().await;
}

/// Guards against a stream that fails, rather than being retried, before its first byte was sent.
#[tokio::test]
async fn stream_is_retried_before_its_first_byte() {
    let harness = Harness::start(2).await;
    harness.set_scripts(&Script::Chunks(CHUNKS.to_vec(), None));
    for script in [Script::Refuse(Refusal::EngineDown), Script::RunAndDropLink] {
        harness.agent("e0").set_script(script);
        let reply = harness.chat(BODY).await;
        assert!(reply.text.ends_with("data: [DONE]\n\n"), "{}", reply.text);
    }
    harness.stop().await;
}

/// Guards against a job that keeps running after its caller disconnects, before or after the first
/// byte of the response.
#[tokio::test]
async fn disconnect_cancels_at_the_agent() {
    let harness = Harness::start(1).await;
    harness.set_scripts(&Script::Paused(CHUNKS[0], CHUNKS[1]));
    let mut streaming = harness
        .send(harness.request("/v1/chat/completions", BODY, &[]))
        .await;
    assert!(streaming.frame().await.is_some());
    drop(streaming);
    wait_cancelled(&harness, 1).await;
    let body = r#"{"model":"rooms"}"#;
    let waiting = harness.send(harness.request("/v1/chat/completions", body, &[]));
    let dropped = tokio::time::timeout(Duration::from_millis(300), waiting).await;
    assert!(dropped.is_err());
    wait_cancelled(&harness, 2).await;
    harness
        .wait_for_dump(|dump| {
            dump["limits"]["inflight"] == 0 && dump["endpoints"][0]["own_inflight"] == 0
        })
        .await;
    harness.stop().await;
}

/// Guards against a job that keeps running because a line end lies between its request and the close.
#[tokio::test]
async fn disconnect_behind_a_line_end_cancels_at_the_agent() {
    let harness = Harness::start(1).await;
    harness.set_scripts(&Script::Paused(CHUNKS[0], CHUNKS[1]));
    let mut count = 0;
    for body in [BODY, r#"{"model":"rooms"}"#] {
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n\
             authorization: Bearer inn-key\r\ncontent-length: {}\r\n\r\n{body}\r\n",
            body.len()
        );
        let mut caller = TcpStream::connect(harness.addr).await.unwrap();
        caller.write_all(request.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(caller);
        count += 1;
        let cancelled = tokio::time::timeout(CLOSE_BOUND, wait_cancelled(&harness, count)).await;
        assert!(cancelled.is_ok(), "{body} is not cancelled in time");
    }
    harness.stop().await;
}

async fn wait_cancelled(harness: &Harness, count: usize) {
    let wait = async {
        while harness.agent("e0").cancelled().len() < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(harness::TIMEOUT, wait)
        .await
        .expect("not cancelled");
}

/// Guards against a stop that ends before a stream in progress is complete.
#[tokio::test]
async fn stop_waits_for_responses_in_progress() {
    let harness = Harness::start(1).await;
    harness.set_scripts(&Script::Paused(CHUNKS[0], CHUNKS[1]));
    let mut streaming = harness
        .send(harness.request("/v1/chat/completions", BODY, &[]))
        .await;
    let first = streaming.frame().await.unwrap().unwrap();
    assert_eq!(first.data_ref().unwrap(), CHUNKS[0]);
    let Harness { entry, agents, .. } = harness;
    let mut stopping = tokio::spawn(entry.stop());
    let early = tokio::time::timeout(Duration::from_millis(500), &mut stopping).await;
    assert!(early.is_err(), "the entry stopped before its stream ended");
    agents[0].resume();
    let rest = Reply::read(streaming).await;
    assert!(rest.text.ends_with("data: [DONE]\n\n"), "{}", rest.text);
    tokio::time::timeout(harness::TIMEOUT, stopping)
        .await
        .expect("the entry does not stop")
        .unwrap();
}
