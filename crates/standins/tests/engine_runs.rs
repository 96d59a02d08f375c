//! Executions at the engine stand-in.

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

const LONG: Duration = Duration::from_secs(5);

async fn text(answer: StreamingResponse) -> String {
    let (text, end) = read_response(answer).await;
    end.unwrap();
    text
}

/// Guards against a record or an answer that names another adapter than the one that ran.
#[tokio::test]
async fn named_model() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    assert!(
        client
            .submit(chat_request("r1", "a@1", 3, false), LONG)
            .await
            .is_err()
    );
    client.load(load_command("a@1", 1), LONG).await.unwrap();
    let answer = text(
        client
            .submit(chat_request("r2", "a@1", 3, false), LONG)
            .await
            .unwrap(),
    )
    .await;
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(
        (
            &answer["model"],
            &answer["choices"][0]["message"]["content"]
        ),
        (&json!("a@1"), &json!("r2 1 2"))
    );
    assert_eq!(answer["usage"]["completion_tokens"], 3);
    let record = engine.record();
    let [run] = &record.executions[..] else {
        panic!("{record:?}")
    };
    assert_eq!(
        (&*run.request, &*run.model, &*run.priority),
        ("r2", "a@1", "interactive")
    );
    assert_eq!((run.tokens, run.end), (3, ExecutionEnd::Completed));
    engine.misreport_model("b@1", 1);
    let answer = text(
        client
            .submit(chat_request("r3", "a@1", 3, true), LONG)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(answer.matches("\"model\":\"b@1\"").count(), 4);
    engine.stop().await;
}

/// Guards against a stream that ends without its final events and passes for a whole one.
#[tokio::test]
async fn early_end() {
    let engine = Engine::start(EngineConfig::default()).await;
    let client = HttpEngine::new(engine.addr());
    engine.end_streams_early(2, 1);
    let answer = text(
        client
            .submit(chat_request("r", "base", 9, true), LONG)
            .await
            .unwrap(),
    )
    .await;
    assert_eq!(
        (answer.matches("data: ").count(), answer.contains("[DONE]")),
        (2, false)
    );
    assert_eq!(engine.record().executions[0].end, ExecutionEnd::Truncated);
    engine.stop().await;
}

/// Guards against a batch that holds more sequences than its limit, and against a request that is
/// recorded as run although it left while it waited.
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
        .submit(chat_request("r1", "base", 10_000, true), LONG)
        .await
        .unwrap();
    let short = Duration::from_millis(50);
    assert!(
        client
            .submit(chat_request("r2", "base", 1, true), short)
            .await
            .is_err()
    );
    let report = client.load_report(LONG).await.unwrap();
    assert_eq!((report.running, report.batch), (1, 1));
    drop(first);
    client
        .submit(chat_request("r3", "base", 1, true), LONG)
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

/// Guards against an unload of an adapter in use that the record does not show.
#[tokio::test]
async fn unload_in_use() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    client.load(load_command("a@1", 1), LONG).await.unwrap();
    let answer = client
        .submit(chat_request("r", "a@1", 10_000, true), LONG)
        .await
        .unwrap();
    client.unload("a@1", 1, LONG).await.unwrap();
    assert_eq!(engine.record().unloads_in_use().count(), 1);
    drop(answer);
    engine.stop().await;
}

/// Guards against a frozen engine that goes on with streams or answers calls.
#[tokio::test]
async fn frozen_engine() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(1),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await;
    let client = HttpEngine::new(engine.addr());
    let answer = client
        .submit(chat_request("r", "base", 20, true), LONG)
        .await
        .unwrap();
    engine.faults().set_frozen(true);
    let reading = tokio::spawn(text(answer));
    assert!(client.resident(Duration::from_millis(100)).await.is_err());
    assert!(!reading.is_finished());
    engine.faults().set_frozen(false);
    assert!(reading.await.unwrap().contains("[DONE]"));
    engine.stop().await;
}

/// Guards against a load report without its lag, and against one that never catches up.
#[tokio::test]
async fn lagged_report() {
    for (lag, is_late) in [(LONG * 12, true), (Duration::from_millis(20), false)] {
        let config = EngineConfig {
            token_interval: LONG,
            ..EngineConfig::default()
        };
        let engine = Engine::start(EngineConfig {
            report_lag: lag,
            ..config
        })
        .await;
        let client = HttpEngine::new(engine.addr());
        let _answer = client
            .submit(chat_request("r", "base", 1000, true), LONG)
            .await
            .unwrap();
        assert_eq!(engine.running_count(), 1);
        let started = tokio::time::Instant::now();
        let mut running = client.load_report(LONG).await.unwrap().running;
        while !is_late && running == 0 && started.elapsed() < LONG {
            running = client.load_report(LONG).await.unwrap().running;
        }
        assert_eq!(running, u32::from(!is_late));
        engine.stop().await;
    }
}

/// Guards against a reader that takes a gap in the cache events for no change.
#[tokio::test]
async fn cache_gaps() {
    let engine = Engine::start(EngineConfig {
        prefix_capacity: 1,
        ..EngineConfig::default()
    })
    .await;
    let client = HttpEngine::new(engine.addr());
    client.load(load_command("a@1", 1), LONG).await.unwrap();
    for model in ["base", "base", "a@1"] {
        text(
            client
                .submit(chat_request("r", model, 1, true), LONG)
                .await
                .unwrap(),
        )
        .await;
    }
    let [base, adapter] = ["base", "a@1"].map(|m| prefix_hash(m, "hello"));
    let all = client.cache_events(0, LONG).await.unwrap();
    assert_eq!((all.next, all.gap), (3, false));
    assert_eq!(all.events, [(base, true), (base, false), (adapter, true)]);
    engine.drop_cache_events(2);
    let rest = client.cache_events(1, LONG).await.unwrap();
    assert_eq!(
        (rest.next, rest.gap, &*rest.events),
        (3, true, &[(adapter, true)][..])
    );
    engine.restart().await;
    assert!(client.cache_events(2, LONG).await.unwrap().gap);
    engine.stop().await;
}
