//! Loads and unloads at the engine stand-in.

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

const LONG: Duration = Duration::from_secs(5);

struct Pair {
    weights: Weights,
    engine: Engine,
    client: HttpEngine,
}

impl Pair {
    async fn start(load: Duration, config: EngineConfig) -> Pair {
        let speed = WeightsConfig {
            transfer_time: load,
            ..WeightsConfig::default()
        };
        let weights = Weights::start(speed).await;
        let config = EngineConfig {
            weight_store: Some(weights.addr()),
            ..config
        };
        let engine = Engine::start(config).await;
        let client = HttpEngine::new(engine.addr());
        Pair {
            weights,
            engine,
            client,
        }
    }

    async fn load(&self, name: &str, fencing: u64) -> EdgeResult<()> {
        self.client.load(load_command(name, fencing), LONG).await
    }

    async fn stop(self) {
        self.engine.stop().await;
        self.weights.stop().await;
    }
}

/// Guards against an engine that holds more adapters than it has slots.
#[tokio::test]
async fn slot_limit() {
    let config = EngineConfig {
        slots: 2,
        ..EngineConfig::default()
    };
    let pair = Pair::start(Duration::ZERO, config).await;
    pair.load("a@1", 1).await.unwrap();
    pair.load("b@1", 1).await.unwrap();
    pair.load("b@1", 1).await.unwrap();
    let error = pair.load("c@1", 1).await.unwrap_err();
    assert!(
        matches!(error.kind, ErrorKind::Refused { status: 400, .. }),
        "{error}"
    );
    pair.client.unload("a@1", 1, LONG).await.unwrap();
    assert_eq!(
        pair.client.unload("a@1", 1, LONG).await.unwrap_err().kind,
        ErrorKind::NotFound
    );
    pair.load("c@1", 1).await.unwrap();
    assert_eq!(pair.client.resident(LONG).await.unwrap(), ["b@1", "c@1"]);
    pair.stop().await;
}

/// Guards against an old holder of a lease that still gives commands.
#[tokio::test]
async fn fencing_tokens() {
    for (checks, expected) in [
        (true, CommandResult::Fenced),
        (false, CommandResult::Applied),
    ] {
        let config = EngineConfig {
            check_fencing: checks,
            ..EngineConfig::default()
        };
        let pair = Pair::start(Duration::ZERO, config).await;
        pair.load("a@1", 5).await.unwrap();
        let late = pair.client.unload("a@1", 4, LONG).await;
        assert_eq!(
            late.err().map(|e| e.kind),
            checks.then_some(ErrorKind::Conflict)
        );
        let command = &pair.engine.record().commands[1];
        assert_eq!(
            (command.kind, command.result),
            (CommandKind::Unload, expected)
        );
        assert_eq!(pair.engine.resident_adapters().len(), usize::from(checks));
        pair.stop().await;
    }
}

/// Guards against an adapter that is served after its load failed or brought other weights.
#[tokio::test]
async fn failed_loads() {
    let pair = Pair::start(Duration::ZERO, EngineConfig::default()).await;
    pair.engine.fail_loads(1);
    let error = pair.load("a@1", 1).await.unwrap_err();
    assert!(matches!(error.kind, ErrorKind::Malformed(_)), "{error}");
    pair.weights.fail_transfers(1);
    pair.load("a@1", 1).await.unwrap_err();
    let other = WeightInfo {
        digest: digest_of("other"),
        bytes: 1,
    };
    pair.weights.declare("w/b@1", Some(other));
    let error = pair.load("b@1", 1).await.unwrap_err();
    assert!(matches!(error.kind, ErrorKind::Refused { .. }), "{error}");
    assert_eq!(pair.engine.resident_adapters(), [] as [&str; 0]);
    pair.load("a@1", 1).await.unwrap();
    let results: Vec<_> = pair
        .engine
        .record()
        .commands
        .iter()
        .map(|c| c.result)
        .collect();
    use CommandResult::*;
    assert_eq!(results, [Failed, Failed, Rejected, Applied]);
    pair.stop().await;
}

/// Guards against a lost response to a load that is taken for a load without effect.
#[tokio::test]
async fn lost_load_response() {
    let pair = Pair::start(Duration::ZERO, EngineConfig::default()).await;
    pair.engine.faults().lose_responses(1);
    assert_eq!(
        pair.load("a@1", 1).await.unwrap_err().kind,
        ErrorKind::NoResponse
    );
    assert_eq!(pair.client.resident(LONG).await.unwrap(), ["a@1"]);
    pair.stop().await;
}

/// Guards against a load that outlives the restart of its engine.
#[tokio::test]
async fn restart_during_load() {
    let pair = Pair::start(Duration::from_secs(60), EngineConfig::default()).await;
    let load = pair.load("a@1", 1);
    let restart = async {
        assert!(
            pair.engine
                .wait_for_record(LONG, |r| !r.commands.is_empty())
                .await
        );
        pair.engine.restart().await;
    };
    let (load, ()) = futures::future::join(load, restart).await;
    assert_eq!(load.unwrap_err().kind, ErrorKind::NoResponse);
    assert_eq!(
        pair.engine.record().commands[0].result,
        CommandResult::Failed
    );
    assert_eq!(pair.client.resident(LONG).await.unwrap(), [] as [&str; 0]);
    pair.stop().await;
}

/// Guards against a weight store that carries any number of transfers at full speed.
#[tokio::test(start_paused = true)]
async fn transfer_speed() {
    let config = WeightsConfig {
        max_full_speed: 2,
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
