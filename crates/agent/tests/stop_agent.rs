//! Graceful and forced stops, claim rows after the loss of an entry, permits between agents, and the
//! HTTP endpoint for metrics and state.

mod harness;
use harness::*;

/// Guards against a graceful stop that truncates a stream, even if its caller reads slowly, that
/// accepts new jobs, or that does not release the lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_finishes_streams() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(5)).await;
    let running = harness.dispatch(&agent, &job(1, "a@1", true), 400).await;
    eventually("the job runs", || engine.running_count() == 1).await;
    let seen = harness.peer(&agent).report(0, WAIT).await.unwrap().unwrap();
    agent.drain();
    let report = harness.peer(&agent).report(seen.seq, WAIT).await.unwrap();
    assert!(report.unwrap().draining);
    let refused = harness.run(&agent, &job(2, "a@1", true), 2).await;
    assert_eq!(refused.end().outcome, Outcome::NotRun(Refusal::Draining));
    let complete = tokio::spawn(async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        receive(running).await
    });
    tokio::time::timeout(WAIT, agent.wait_drained())
        .await
        .unwrap();
    agent.stop().await;
    let complete = complete.await.unwrap();
    assert_eq!(complete.end().outcome, Outcome::Ran);
    assert!(complete.body.ends_with("data: [DONE]\n\n"));
    assert!(harness.row::<LeaseRow>("lease/e1").released);
}

/// Guards against a stop without a drain that waits for queued jobs or still starts them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forced_stop_ends_at_once() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(5)).await;
    let mut jobs = Vec::new();
    for id in 0..6 {
        jobs.push(
            harness
                .dispatch(&agent, &job(id, "a@1", true), 100_000)
                .await,
        );
    }
    eventually("the batch is full", || engine.running_count() == 4).await;
    tokio::time::timeout(WAIT, agent.stop()).await.unwrap();
    assert_eq!(engine.record().executions.len(), 4);
}

/// Guards against an agent that does not drain although its instance is leaving, and against a
/// restarted agent that drains because the lagging membership list still shows its predecessor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_instance_stops() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(5)).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    harness.set_instance("e1", agent.addr(), Liveness::Leaving);
    tokio::time::timeout(WAIT, agent.wait_drained())
        .await
        .unwrap();
    agent.stop().await;
    // A successor takes the released lease at once, with the next token.
    harness.members.set_lag(Duration::from_millis(1_500));
    let next = harness.agent("e1", engine.addr()).await;
    assert_eq!(harness.row::<LeaseRow>("lease/e1").token, 2);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let served = harness.run(&next, &job(1, "a@1", true), 2).await;
    assert_eq!(served.end().outcome, Outcome::Ran);
    next.stop().await;
}

/// Guards against losing the outcome of a claimed call together with the entry that dispatched it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_goes_to_claim_row() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(5)).await;
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
    harness.put_row("claim/w/k", serde_json::to_vec(&claim).unwrap());
    let me = Identity {
        name: "lost".into(),
        incarnation: Incarnation(2),
    };
    let lost_entry = Links::start(1, me, SECRET).unwrap();
    let claimed_job = Job {
        claim: Some(agent.incarnation()),
        row: Some("claim/w/k".to_owned()),
        ..job(1, "a@1", true)
    };
    let body = harness::body(&claimed_job, 100);
    let peer = lost_entry.peer(agent.addr());
    let dispatched = peer
        .dispatch(&claimed_job, body.into(), WAIT)
        .await
        .unwrap();
    eventually("the job runs", || engine.running_count() == 1).await;
    dispatched.detach();
    drop(peer);
    lost_entry.stop().await;
    harness.table.faults().set_outage(true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    harness.table.faults().set_outage(false);
    let done = || harness.row::<ClaimRow>("claim/w/k").state == ClaimState::Done;
    eventually("the claim row is done", done).await;
    let row: ClaimRow = harness.row("claim/w/k");
    assert_eq!(row.stored.unwrap().outcome, Outcome::Ran);
    agent.stop().await;
}

/// Guards against agents that load without a permit of their coordinator, and against permits that
/// are not returned.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_share_permits() {
    let mut harness = Harness::start().await;
    harness.publish(vec![model_endpoint("e1"), model_endpoint("e2")]);
    let engines = [
        Engine::start(engine_config(5)).await,
        Engine::start(engine_config(5)).await,
    ];
    let first = harness.agent("e1", engines[0].addr()).await;
    let second = harness.agent("e2", engines[1].addr()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for (id, agent) in [&first, &second, &first, &second].into_iter().enumerate() {
        let job = job(id as u128, &format!("v{id}@1"), true);
        let run = harness.run(agent, &job, 2).await;
        assert_eq!(run.end().outcome, Outcome::Ran);
    }
    let mut outstanding = 0;
    for agent in [&first, &second] {
        let dump = harness.peer(agent).dump(WAIT).await.unwrap();
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

/// Guards against metrics that show the state of the previous scrape, and against missing ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_show_current_state() {
    let (harness, _engine, agent) = Harness::with_engine(engine_config(5)).await;
    harness.run(&agent, &job(1, "a@1", true), 2).await;
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
