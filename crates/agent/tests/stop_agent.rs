//! Graceful stop, claim rows of lost entries, permits between agents, and the ops endpoint.

mod platform;
use platform::*;

/// Guards against a planned stop that cuts off a stream, also one whose caller reads slowly, takes
/// new work or keeps the lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_finishes_streams() {
    let (platform, engine, agent) = Platform::with_engine(engine_config(5)).await;
    let running = platform.dispatch(&agent, &job(1, "a@1", true), 400).await;
    eventually("the job runs", || engine.running() == 1).await;
    let seen = platform
        .peer(&agent)
        .report(0, WAIT)
        .await
        .unwrap()
        .unwrap();
    agent.drain();
    let report = platform.peer(&agent).report(seen.seq, WAIT).await.unwrap();
    assert!(report.unwrap().draining);
    let refused = platform.run(&agent, &job(2, "a@1", true), 2).await;
    assert_eq!(refused.end().outcome, Outcome::NotRun(Refusal::Draining));
    let whole = tokio::spawn(async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        receive(running).await
    });
    tokio::time::timeout(WAIT, agent.wait_drained())
        .await
        .unwrap();
    agent.stop().await;
    let whole = whole.await.unwrap();
    assert_eq!(whole.end().outcome, Outcome::Ran);
    assert!(whole.body.ends_with("data: [DONE]\n\n"));
    assert!(platform.row::<LeaseRow>("lease/e1").released);
}

/// Guards against a stop without a drain that hangs on queued jobs or still starts them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forced_stop_ends_at_once() {
    let (platform, engine, agent) = Platform::with_engine(engine_config(5)).await;
    let mut jobs = Vec::new();
    for id in 0..6 {
        jobs.push(
            platform
                .dispatch(&agent, &job(id, "a@1", true), 100_000)
                .await,
        );
    }
    eventually("the batch is full", || engine.running() == 4).await;
    tokio::time::timeout(WAIT, agent.stop()).await.unwrap();
    assert_eq!(engine.record().executions.len(), 4);
}

/// Guards against an agent of a leaving instance that goes on, and against a successor that takes
/// its predecessor's entry in the lagging list for its own and stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_instance_stops() {
    let (platform, engine, agent) = Platform::with_engine(engine_config(5)).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    platform.list("e1", agent.addr(), Liveness::Leaving);
    tokio::time::timeout(WAIT, agent.wait_drained())
        .await
        .unwrap();
    agent.stop().await;
    // A successor takes the released lease at once, with the next token.
    platform.members.set_lag(Duration::from_millis(1_500));
    let next = platform.agent("e1", engine.addr()).await;
    assert_eq!(platform.row::<LeaseRow>("lease/e1").token, 2);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let served = platform.run(&next, &job(1, "a@1", true), 2).await;
    assert_eq!(served.end().outcome, Outcome::Ran);
    next.stop().await;
}

/// Guards against an order whose outcome is lost with the entry that dispatched it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_goes_to_claim_row() {
    let (platform, engine, agent) = Platform::with_engine(engine_config(5)).await;
    let claim = ClaimRow {
        digest: "d".to_owned(),
        request: RequestId(1),
        attempt: 1,
        endpoint: "e1".into(),
        agent: agent.incarnation(),
        nonce: "n".to_owned(),
        state: ClaimState::Claimed,
        stored: None,
    };
    platform.put_row("claim/w/k", serde_json::to_vec(&claim).unwrap());
    let me = Identity {
        name: "lost".into(),
        incarnation: Incarnation(2),
    };
    let lost = Links::start(1, me, SECRET).unwrap();
    let order = Job {
        claim: Some(agent.incarnation()),
        row: Some("claim/w/k".to_owned()),
        ..job(1, "a@1", true)
    };
    let body = platform::body(&order, 100);
    let peer = lost.peer(agent.addr());
    let dispatched = peer.dispatch(&order, body.into(), WAIT).await.unwrap();
    eventually("the job runs", || engine.running() == 1).await;
    dispatched.detach();
    drop(peer);
    lost.stop().await;
    platform.table.switches().set_outage(true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    platform.table.switches().set_outage(false);
    let done = || platform.row::<ClaimRow>("claim/w/k").state == ClaimState::Done;
    eventually("the claim row is done", done).await;
    let row: ClaimRow = platform.row("claim/w/k");
    assert_eq!(row.stored.unwrap().outcome, Outcome::Ran);
    agent.stop().await;
}

/// Guards against agents that load without asking one another, and against permits that are kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_share_permits() {
    let mut platform = Platform::start().await;
    platform.publish(vec![model_endpoint("e1"), model_endpoint("e2")]);
    let engines = [
        Engine::start(engine_config(5)).await,
        Engine::start(engine_config(5)).await,
    ];
    let first = platform.agent("e1", engines[0].addr()).await;
    let second = platform.agent("e2", engines[1].addr()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for (id, agent) in [&first, &second, &first, &second].into_iter().enumerate() {
        let job = job(id as u128, &format!("v{id}@1"), true);
        let run = platform.run(agent, &job, 2).await;
        assert_eq!(run.end().outcome, Outcome::Ran);
    }
    let mut outstanding = 0;
    for agent in [&first, &second] {
        let dump = platform.peer(agent).dump(WAIT).await.unwrap();
        let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
        outstanding += dump["coordinator"]["outstanding_grants"].as_u64().unwrap();
    }
    assert_eq!(outstanding, 0);
    first.stop().await;
    second.stop().await;
}

async fn get(addr: SocketAddr, path: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let request =
        format!("GET {path} HTTP/1.0\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Guards against metrics that lag by a scrape or lack what operators watch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_show_present_state() {
    let (platform, _engine, agent) = Platform::with_engine(engine_config(5)).await;
    platform.run(&agent, &job(1, "a@1", true), 2).await;
    let metrics = get(agent.ops_addr(), "/metrics").await;
    for line in [
        "dotterelwheel_agent_attempts_total{outcome=\"ran\"} 1",
        "dotterelwheel_agent_load_stall_seconds_count 1",
        "dotterelwheel_agent_loads_total{result=\"done\"} 1",
        "dotterelwheel_agent_batch_sequences{kind=\"limit\"} 4",
        "dotterelwheel_agent_lease_held_bool 1",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
    assert!(get(agent.ops_addr(), "/readyz").await.contains("200"));
    let dump = get(agent.ops_addr(), "/dump").await;
    assert!(dump.contains("no other version needs the slot"), "{dump}");
    agent.drain();
    assert!(get(agent.ops_addr(), "/readyz").await.contains("503"));
    agent.stop().await;
}
