//! Responses of engines whose bodies are received as streams.

use std::time::Duration;

use edges::ErrorKind;
use edges::engine::Engine as _;
use edges::engine::HttpEngine;
use futures::StreamExt;
use standins::Engine;
use standins::EngineConfig;
use standins::calls::chat_request;
use standins::calls::read_response;
use standins::engine::ExecutionEnd;

const LONG: Duration = Duration::from_secs(5);

/// Guards against lost, repeated or reordered chunks.
#[tokio::test]
async fn complete_stream() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    let response = client
        .submit(chat_request("r", "base", 300, true), LONG)
        .await
        .unwrap();
    assert_eq!(
        (response.status, &*response.content_type),
        (200, "text/event-stream")
    );
    let (text, end) = read_response(response).await;
    assert_eq!(end, Ok(()));
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    assert_eq!((events.len(), events[301]), (302, "data: [DONE]"));
    let content = events[..300].iter().map(|e| {
        let event: serde_json::Value = serde_json::from_str(&e["data: ".len()..]).unwrap();
        assert_eq!(event["model"], "base");
        event["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap()
            .to_owned()
    });
    let expected: String = (1..300).fold("r".into(), |text, i| format!("{text} {i}"));
    assert_eq!(content.collect::<String>(), expected);
    assert_eq!(engine.record().executions[0].end, ExecutionEnd::Completed);
    engine.stop().await;
}

/// Guards against a request that keeps its place in the batch after the caller dropped the response.
#[tokio::test]
async fn dropped_response() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let mut response = client
        .submit(chat_request("r", "base", 100_000, true), LONG)
        .await
        .unwrap();
    assert!(response.body.next().await.unwrap().is_ok());
    drop(response);
    assert!(
        engine
            .wait_for_record(LONG, |r| r.executions[0].end == ExecutionEnd::Cancelled)
            .await
    );
    assert_eq!(engine.running_count(), 0);
    engine.stop().await;
}

/// Guards against the same if the submission is dropped before the response head: without streaming,
/// the engine sends the head only after it has generated the complete response.
#[tokio::test]
async fn dropped_submission() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let submit = client.submit(
        chat_request("r", "base", 100_000, false),
        Duration::from_millis(50),
    );
    assert_eq!(submit.await.err().unwrap().kind, ErrorKind::NoResponse);
    assert!(
        engine
            .wait_for_record(LONG, |r| r.executions[0].end == ExecutionEnd::Cancelled)
            .await
    );
    engine.stop().await;
}

/// Guards against a truncated response that counts as complete, with and without streaming.
#[tokio::test]
async fn truncated_response() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    engine.truncate_responses(7, 2);
    let (text, end) = read_response(
        client
            .submit(chat_request("r", "base", 30, true), LONG)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(end.unwrap_err().kind, ErrorKind::NoResponse);
    assert_eq!(text.matches("data: ").count(), 7);
    let (text, end) = read_response(
        client
            .submit(chat_request("r", "base", 30, false), LONG)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(end.unwrap_err().kind, ErrorKind::NoResponse);
    assert!(text.starts_with('{') && !text.ends_with('}'));
    let record = engine.record();
    assert!(
        record
            .executions
            .iter()
            .all(|e| e.end == ExecutionEnd::Truncated)
    );
    engine.stop().await;
}

/// Guards against a restart of the engine that counts as the end of a response.
#[tokio::test]
async fn engine_restart() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let mut response = client
        .submit(chat_request("r", "base", 100_000, true), LONG)
        .await
        .unwrap();
    assert!(response.body.next().await.unwrap().is_ok());
    engine.restart().await;
    assert_eq!(
        read_response(response).await.1.unwrap_err().kind,
        ErrorKind::NoResponse
    );
    assert_eq!(engine.record().executions[0].end, ExecutionEnd::Lost);
    assert_eq!(
        client
            .submit(chat_request("r", "base", 1, true), LONG)
            .await
            .unwrap()
            .status,
        200
    );
    engine.stop().await;
}

/// Guards against a rejection by the engine that is returned as a response or counts as run.
#[tokio::test]
async fn rejected_submission() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    let mut errors = Vec::new();
    for status in [404, 429, 503] {
        engine.reject_submissions(status, 1);
        errors.push(
            client
                .submit(chat_request("r", "base", 1, true), LONG)
                .await
                .err()
                .unwrap(),
        );
    }
    assert!(errors.iter().all(|e| e.had_no_effect()));
    assert_eq!(errors[0].kind, ErrorKind::NotFound);
    assert!(matches!(
        &errors[1].kind,
        ErrorKind::Refused { status: 429, .. }
    ));
    assert_eq!(errors[2].kind, ErrorKind::Unavailable);
    engine.reject_submissions(500, 1);
    assert_eq!(
        client
            .submit(chat_request("r", "base", 1, true), LONG)
            .await
            .unwrap()
            .status,
        500
    );
    assert_eq!(engine.record().executions, []);
    engine.stop().await;
}
