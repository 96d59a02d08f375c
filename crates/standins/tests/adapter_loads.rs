//! Loads and unloads at the fake engine.

use std::time::Duration;

use edges::EdgeResult;
use edges::ErrorKind;
use edges::engine::Engine as _;
use edges::engine::HttpEngine;
use edges::weights::WeightInfo;
use standins::Engine;
use standins::EngineConfig;
use standins::Weights;
use standins::WeightsConfig;
use standins::calls::load_command;
use standins::engine::CommandKind;
use standins::engine::CommandResult;
use standins::weights::digest_of;

const TIMEOUT: Duration = Duration::from_secs(5);

struct Harness {
    weights: Weights,
    engine: Engine,
    client: HttpEngine,
}

impl Harness {
    async fn start(transfer_time: Duration, config: EngineConfig) -> Harness {
        let weights_config = WeightsConfig {
            transfer_time,
            ..WeightsConfig::default()
        };
        let weights = Weights::start(weights_config).await;
        let config = EngineConfig {
            weight_store: Some(weights.addr()),
            ..config
        };
        let engine = Engine::start(config).await;
        let client = HttpEngine::new(engine.addr());
        Harness {
            weights,
            engine,
            client,
        }
    }

    async fn load(&self, name: &str, fencing: u64) -> EdgeResult<()> {
        self.client.load(load_command(name, fencing), TIMEOUT).await
    }

    async fn stop(self) {
        self.engine.stop().await;
        self.weights.stop().await;
    }
}

/// Guards against an engine that accepts more adapters than it has slots.
#[tokio::test]
async fn slot_limit() {
    let config = EngineConfig {
        slots: 2,
        ..EngineConfig::default()
    };
    let harness = Harness::start(Duration::ZERO, config).await;
    harness.load("a@1", 1).await.unwrap();
    harness.load("b@1", 1).await.unwrap();
    harness.load("b@1", 1).await.unwrap();
    let error = harness.load("c@1", 1).await.unwrap_err();
    assert!(
        matches!(error.kind, ErrorKind::Refused { status: 400, .. }),
        "{error}"
    );
    harness.client.unload("a@1", 1, TIMEOUT).await.unwrap();
    assert_eq!(
        harness
            .client
            .unload("a@1", 1, TIMEOUT)
            .await
            .unwrap_err()
            .kind,
        ErrorKind::NotFound
    );
    harness.load("c@1", 1).await.unwrap();
    assert_eq!(
        harness.client.resident(TIMEOUT).await.unwrap(),
        ["b@1", "c@1"]
    );
    harness.stop().await;
}

/// Guards against commands from a former holder of a lease, whose fencing token is too old. The
/// engine must reject them if it checks tokens, and apply them if it does not.
#[tokio::test]
async fn fencing_tokens() {
    for (check_fencing, expected) in [
        (true, CommandResult::Fenced),
        (false, CommandResult::Applied),
    ] {
        let config = EngineConfig {
            check_fencing,
            ..EngineConfig::default()
        };
        let harness = Harness::start(Duration::ZERO, config).await;
        harness.load("a@1", 5).await.unwrap();
        let stale = harness.client.unload("a@1", 4, TIMEOUT).await;
        assert_eq!(
            stale.err().map(|e| e.kind),
            check_fencing.then_some(ErrorKind::Conflict)
        );
        let command = &harness.engine.record().commands[1];
        assert_eq!(
            (command.kind, command.result),
            (CommandKind::Unload, expected)
        );
        assert_eq!(
            harness.engine.resident_adapters().len(),
            usize::from(check_fencing)
        );
        harness.stop().await;
    }
}

/// Guards against an adapter that becomes resident although its load failed or fetched other
/// weights.
#[tokio::test]
async fn failed_loads() {
    let harness = Harness::start(Duration::ZERO, EngineConfig::default()).await;
    harness.engine.fail_loads(1);
    let error = harness.load("a@1", 1).await.unwrap_err();
    assert!(matches!(error.kind, ErrorKind::Malformed(_)), "{error}");
    harness.weights.fail_transfers(1);
    harness.load("a@1", 1).await.unwrap_err();
    let other = WeightInfo {
        digest: digest_of("other"),
        bytes: 1,
    };
    harness.weights.declare("w/b@1", Some(other));
    let error = harness.load("b@1", 1).await.unwrap_err();
    assert!(matches!(error.kind, ErrorKind::Refused { .. }), "{error}");
    assert_eq!(harness.engine.resident_adapters(), [] as [&str; 0]);
    harness.load("a@1", 1).await.unwrap();
    let results: Vec<_> = harness
        .engine
        .record()
        .commands
        .iter()
        .map(|c| c.result)
        .collect();
    use CommandResult::*;
    assert_eq!(results, [Failed, Failed, Rejected, Applied]);
    harness.stop().await;
}

/// Guards against a lost response that also undoes the load. The client receives no response
/// although the adapter is resident, so it must not assume that the load had no effect.
#[tokio::test]
async fn lost_load_response() {
    let harness = Harness::start(Duration::ZERO, EngineConfig::default()).await;
    harness.engine.faults().lose_responses(1);
    assert_eq!(
        harness.load("a@1", 1).await.unwrap_err().kind,
        ErrorKind::NoResponse
    );
    assert_eq!(harness.client.resident(TIMEOUT).await.unwrap(), ["a@1"]);
    harness.stop().await;
}

/// Guards against a load that survives the restart of its engine.
#[tokio::test]
async fn restart_during_load() {
    let harness = Harness::start(Duration::from_secs(60), EngineConfig::default()).await;
    let load = harness.load("a@1", 1);
    let restart = async {
        assert!(
            harness
                .engine
                .wait_for_record(TIMEOUT, |r| !r.commands.is_empty())
                .await
        );
        harness.engine.restart().await;
    };
    let (load, ()) = futures::future::join(load, restart).await;
    assert_eq!(load.unwrap_err().kind, ErrorKind::NoResponse);
    assert_eq!(
        harness.engine.record().commands[0].result,
        CommandResult::Failed
    );
    assert_eq!(
        harness.client.resident(TIMEOUT).await.unwrap(),
        [] as [&str; 0]
    );
    harness.stop().await;
}

/// Guards against a weight store whose transfers do not slow down beyond the full-speed number.
#[tokio::test(start_paused = true)]
async fn transfer_speed() {
    let config = WeightsConfig {
        full_speed_transfers: 2,
        ..WeightsConfig::default()
    };
    let mut times = Vec::new();
    for count in [1, 2, 6] {
        let start = tokio::time::Instant::now();
        let link = standins::weights::SharedLink::new(config);
        futures::future::join_all((0..count).map(|_| link.transfer(1.0))).await;
        times.push(start.elapsed().as_millis());
    }
    assert_eq!(times, [250, 250, 750]);
}
