//! Answers of engines that arrive piece by piece.

use std::time::Duration;

use edges::ErrorKind;
use edges::engine::Engine as _;
use edges::engine::HttpEngine;
use futures::StreamExt;
use standins::Engine;
use standins::EngineConfig;
use standins::calls::chat;
use standins::calls::read;
use standins::engine::RunEnd;

const LONG: Duration = Duration::from_secs(5);

/// Guards against lost, repeated or reordered pieces.
#[tokio::test]
async fn whole_stream() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    let answer = client
        .submit(chat("r", "base", 300, true), LONG)
        .await
        .unwrap();
    assert_eq!(
        (answer.status, &*answer.content_type),
        (200, "text/event-stream")
    );
    let (text, end) = read(answer).await;
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
    assert_eq!(engine.record().executions[0].end, RunEnd::Completed);
    engine.stop().await;
}

/// Guards against a caller that left while its request still occupies the batch.
#[tokio::test]
async fn dropped_answer() {
    let config = EngineConfig {
        step: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let mut answer = client
        .submit(chat("r", "base", 100_000, true), LONG)
        .await
        .unwrap();
    assert!(answer.body.next().await.unwrap().is_ok());
    drop(answer);
    assert!(
        engine
            .wait(LONG, |r| r.executions[0].end == RunEnd::Cancelled)
            .await
    );
    assert_eq!(engine.running(), 0);
    engine.stop().await;
}

/// Guards against the same before the head of the answer: the engine works on the whole answer.
#[tokio::test]
async fn dropped_submission() {
    let config = EngineConfig {
        step: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let submit = client.submit(chat("r", "base", 100_000, false), Duration::from_millis(50));
    assert_eq!(submit.await.err().unwrap().kind, ErrorKind::NoResponse);
    assert!(
        engine
            .wait(LONG, |r| r.executions[0].end == RunEnd::Cancelled)
            .await
    );
    engine.stop().await;
}

/// Guards against a truncated answer that looks complete, as a stream and as a whole.
#[tokio::test]
async fn truncated_answer() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    engine.truncate(7, 2);
    let (text, end) = read(
        client
            .submit(chat("r", "base", 30, true), LONG)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(end.unwrap_err().kind, ErrorKind::NoResponse);
    assert_eq!(text.matches("data: ").count(), 7);
    let (text, end) = read(
        client
            .submit(chat("r", "base", 30, false), LONG)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(end.unwrap_err().kind, ErrorKind::NoResponse);
    assert!(text.starts_with('{') && !text.ends_with('}'));
    let record = engine.record();
    assert!(record.executions.iter().all(|e| e.end == RunEnd::Truncated));
    engine.stop().await;
}

/// Guards against a restart of the engine that looks like the end of an answer.
#[tokio::test]
async fn engine_restart() {
    let config = EngineConfig {
        step: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let mut answer = client
        .submit(chat("r", "base", 100_000, true), LONG)
        .await
        .unwrap();
    assert!(answer.body.next().await.unwrap().is_ok());
    engine.restart().await;
    assert_eq!(
        read(answer).await.1.unwrap_err().kind,
        ErrorKind::NoResponse
    );
    assert_eq!(engine.record().executions[0].end, RunEnd::Lost);
    assert_eq!(
        client
            .submit(chat("r", "base", 1, true), LONG)
            .await
            .unwrap()
            .status,
        200
    );
    engine.stop().await;
}

/// Guards against an engine's refusal that is passed on as an answer or counts as run.
#[tokio::test]
async fn refused_submission() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    let mut faults = Vec::new();
    for status in [404, 429, 503] {
        engine.reject(status, 1);
        faults.push(
            client
                .submit(chat("r", "base", 1, true), LONG)
                .await
                .err()
                .unwrap(),
        );
    }
    assert!(faults.iter().all(|e| e.had_no_effect()));
    assert_eq!(faults[0].kind, ErrorKind::NotFound);
    assert!(matches!(
        &faults[1].kind,
        ErrorKind::Refused { status: 429, .. }
    ));
    assert_eq!(faults[2].kind, ErrorKind::Unavailable);
    engine.reject(500, 1);
    assert_eq!(
        client
            .submit(chat("r", "base", 1, true), LONG)
            .await
            .unwrap()
            .status,
        500
    );
    assert_eq!(engine.record().executions, []);
    engine.stop().await;
}
