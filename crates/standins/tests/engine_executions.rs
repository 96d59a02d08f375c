//! Execution of requests at the fake engine.

use std::time::Duration;

use edges::engine::Engine as _;
use edges::engine::HttpEngine;
use edges::engine::StreamingResponse;
use serde_json::Value;
use serde_json::json;
use standins::Engine;
use standins::EngineConfig;
use standins::calls::chat_request;
use standins::calls::load_command;
use standins::calls::read_response;
use standins::engine::ExecutionEnd;
use standins::engine::prefix_hash;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn complete_text(response: StreamingResponse) -> String {
    let (text, end) = read_response(response).await;
    end.unwrap();
    text
}

/// Guards against a record or a response that names another adapter than the one that ran, unless a
/// fault makes the response do so.
#[tokio::test]
async fn reported_model() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    assert!(
        client
            .submit(chat_request("r1", "a@1", 3, false), TIMEOUT)
            .await
            .is_err()
    );
    client.load(load_command("a@1", 1), TIMEOUT).await.unwrap();
    let response = complete_text(
        client
            .submit(chat_request("r2", "a@1", 3, false), TIMEOUT)
            .await
            .unwrap(),
    )
    .await;
    let response: Value = serde_json::from_str(&response).unwrap();
    assert_eq!(
        (
            &response["model"],
            &response["choices"][0]["message"]["content"]
        ),
        (&json!("a@1"), &json!("r2 1 2"))
    );
    assert_eq!(response["usage"]["completion_tokens"], 3);
    let record = engine.record();
    let [execution] = &record.executions[..] else {
        panic!("{record:?}")
    };
    assert_eq!(
        (&*execution.request, &*execution.model, &*execution.priority),
        ("r2", "a@1", "interactive")
    );
    assert_eq!(
        (execution.tokens, execution.end),
        (3, ExecutionEnd::Completed)
    );
    engine.misreport_model("b@1", 1);
    let response = complete_text(
        client
            .submit(chat_request("r3", "a@1", 3, true), TIMEOUT)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(response.matches("\"model\":\"b@1\"").count(), 4);
    engine.stop().await;
}

/// Guards against a stream that an injected early end does not shorten, and against a record that
/// shows it as complete.
#[tokio::test]
async fn early_end() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    engine.end_streams_early(2, 1);
    let response = complete_text(
        client
            .submit(chat_request("r", "base", 9, true), TIMEOUT)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(
        (
            response.matches("data: ").count(),
            response.contains("[DONE]")
        ),
        (2, false)
    );
    assert_eq!(engine.record().executions[0].end, ExecutionEnd::Truncated);
    engine.stop().await;
}

/// Guards against a batch that runs more sequences than its limit, and against a request that is
/// recorded as run although its caller disconnected while it waited.
#[tokio::test]
async fn batch_limit() {
    let config = EngineConfig {
        batch: 1,
        ..EngineConfig::default()
    };
    let config = EngineConfig {
        token_interval: Duration::from_millis(10),
        ..config
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let first = client
        .submit(chat_request("r1", "base", 10_000, true), TIMEOUT)
        .await
        .unwrap();
    let short = Duration::from_millis(50);
    assert!(
        client
            .submit(chat_request("r2", "base", 1, true), short)
            .await
            .is_err()
    );
    let report = client.load_report(TIMEOUT).await.unwrap();
    assert_eq!((report.running, report.batch), (1, 1));
    drop(first);
    client
        .submit(chat_request("r3", "base", 1, true), TIMEOUT)
        .await
        .unwrap();
    let requests: Vec<_> = engine
        .record()
        .executions
        .into_iter()
        .map(|e| e.request)
        .collect();
    assert_eq!(requests, ["r1", "r3"]);
    engine.stop().await;
}

/// Guards against a record that does not show the unload of an adapter in use.
#[tokio::test]
async fn unload_in_use() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    client.load(load_command("a@1", 1), TIMEOUT).await.unwrap();
    let response = client
        .submit(chat_request("r", "a@1", 10_000, true), TIMEOUT)
        .await
        .unwrap();
    client.unload("a@1", 1, TIMEOUT).await.unwrap();
    assert_eq!(engine.record().unloads_in_use().count(), 1);
    drop(response);
    engine.stop().await;
}

/// Guards against a frozen engine that continues streams or responds to requests.
#[tokio::test]
async fn frozen_engine() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(1),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let response = client
        .submit(chat_request("r", "base", 20, true), TIMEOUT)
        .await
        .unwrap();
    engine.faults().set_frozen(true);
    let reading = tokio::spawn(complete_text(response));
    assert!(client.resident(Duration::from_millis(100)).await.is_err());
    assert!(!reading.is_finished());
    engine.faults().set_frozen(false);
    assert!(reading.await.unwrap().contains("[DONE]"));
    engine.stop().await;
}

/// Guards against a load report that ignores its lag, and against one that never catches up.
#[tokio::test]
async fn lagged_report() {
    for (lag, is_stale) in [(TIMEOUT * 12, true), (Duration::from_millis(20), false)] {
        let config = EngineConfig {
            token_interval: TIMEOUT,
            ..EngineConfig::default()
        };
        let engine = Engine::start(EngineConfig {
            report_lag: lag,
            ..config
        })
        .await;
        let client = HttpEngine::new(engine.addr());
        let _response = client
            .submit(chat_request("r", "base", 1000, true), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(engine.running_count(), 1);
        let started = tokio::time::Instant::now();
        let mut running = client.load_report(TIMEOUT).await.unwrap().running;
        while !is_stale && running == 0 && started.elapsed() < TIMEOUT {
            running = client.load_report(TIMEOUT).await.unwrap().running;
        }
        assert_eq!(running, u32::from(!is_stale));
        engine.stop().await;
    }
}

/// Guards against cache events that hide a gap: readers must learn that events were dropped or lost
/// in a restart.
#[tokio::test]
async fn cache_gaps() {
    let engine = Engine::start(EngineConfig {
        prefix_capacity: 1,
        ..EngineConfig::default()
    })
    .await;
    let client = HttpEngine::new(engine.addr());
    client.load(load_command("a@1", 1), TIMEOUT).await.unwrap();
    for model in ["base", "base", "a@1"] {
        complete_text(
            client
                .submit(chat_request("r", model, 1, true), TIMEOUT)
                .await
                .unwrap(),
        )
        .await;
    }
    let [base, adapter] = ["base", "a@1"].map(|m| prefix_hash(m, "hello"));
    let all = client.cache_events(0, TIMEOUT).await.unwrap();
    assert_eq!((all.next, all.gap), (3, false));
    assert_eq!(all.events, [(base, true), (base, false), (adapter, true)]);
    engine.drop_cache_events(2);
    let rest = client.cache_events(1, TIMEOUT).await.unwrap();
    assert_eq!(
        (rest.next, rest.gap, &*rest.events),
        (3, true, &[(adapter, true)][..])
    );
    engine.restart().await;
    assert!(client.cache_events(2, TIMEOUT).await.unwrap().gap);
    engine.stop().await;
}
