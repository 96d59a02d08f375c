//! Jobs that an agent runs at stand-in engines and services.

mod harness;
use harness::*;

/// Guards against a response that is incomplete, of another adapter, or lacks the time that the job
/// waited for its load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_are_complete_and_named() {
    let (harness, _engine, agent) = Harness::with_engine(engine_config(0)).await;
    let complete = harness.run(&agent, &job(1, "a@1", false), 5).await;
    assert_eq!(
        (complete.status, complete.end().outcome),
        (Some(200), Outcome::Ran)
    );
    let answer: serde_json::Value = serde_json::from_str(&complete.body).unwrap();
    assert_eq!(answer["model"], "a@1");
    assert!(complete.end().stall > Duration::ZERO);
    assert_eq!(complete.end().incarnation, agent.incarnation());
    let stream = harness.run(&agent, &job(2, "a@1", true), 300).await;
    assert_eq!(stream.body.matches("data: ").count(), 302);
    assert!(stream.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(stream.end().stall, Duration::ZERO);
    let base = Target::Model("base".into());
    let base = harness
        .run(
            &agent,
            &Job {
                target: base,
                ..job(3, "", true)
            },
            2,
        )
        .await;
    assert_eq!(base.end().outcome, Outcome::Ran);
    agent.stop().await;
}

/// Guards against passing on the response of another adapter, and against a truncated response that
/// counts as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_and_truncated_responses_fail() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(0)).await;
    for (id, stream) in [(1, false), (2, true)] {
        engine.misreport_model("b@1", 1);
        let wrong = harness.run(&agent, &job(id, "a@1", stream), 5).await;
        assert_eq!((wrong.status, &*wrong.body), (None, ""));
        let failure = Failure::WrongAdapter("b@1".to_owned());
        assert_eq!(wrong.end().failure, Some(failure));
    }
    for (id, stream) in [(3, false), (4, true)] {
        engine.truncate_responses(3, 1);
        let truncated = harness.run(&agent, &job(id, "a@1", stream), 9).await;
        assert_eq!(
            truncated.end().failure,
            Some(Failure::Truncated),
            "stream: {stream}"
        );
        assert_eq!(truncated.end().outcome, Outcome::Unknown);
    }
    engine.end_streams_early(3, 1);
    let early = harness.run(&agent, &job(5, "a@1", true), 9).await;
    assert_eq!(early.end().failure, Some(Failure::Truncated));
    assert!(
        early.body.contains("data: "),
        "the received part is passed on"
    );
    agent.stop().await;
}

/// Guards against a rejection by the engine that counts as an unknown outcome, and against a failure
/// that counts as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_errors_map_to_outcomes() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(0)).await;
    let not_run = Outcome::NotRun(Refusal::EngineDown);
    for (id, status, outcome) in [
        (1, 400, not_run),
        (2, 503, not_run),
        (3, 500, Outcome::Unknown),
    ] {
        engine.reject_submissions(status, 1);
        let received = harness.run(&agent, &job(id, "a@1", false), 5).await;
        assert_eq!(received.end().outcome, outcome, "{status}");
        assert_eq!(received.body, "");
    }
    let last = harness.run(&agent, &job(4, "a@1", false), 5).await;
    assert_eq!(last.end().outcome, Outcome::Ran);
    agent.stop().await;
}

/// Guards against a call that runs twice after a repeated dispatch, and against an attempt that runs
/// after it was settled as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claimed_call_runs_once() {
    let mut harness = Harness::start().await;
    harness.publish(vec![endpoint("service1", Backend::Service("book".into()))]);
    let service = BookingService::start().await;
    let agent = harness.agent("service1", service.addr()).await;
    let claimed_job = |id: u128, claim| Job {
        target: Target::Service("book".into()),
        claim: Some(claim),
        row: Some(format!("claim/w/{id}")),
        path: "/book".to_owned(),
        ..job(id, "", false)
    };
    let own = agent.incarnation();
    let first = harness.run(&agent, &claimed_job(1, own), 1).await;
    assert_eq!(first.end().outcome, Outcome::Ran);
    let again = harness.run(&agent, &claimed_job(1, own), 1).await;
    assert_eq!(again.end().outcome, Outcome::Ran);
    assert_eq!(again.body, "");
    let stale = harness
        .run(&agent, &claimed_job(2, Incarnation(own.0 ^ 1)), 1)
        .await;
    assert_eq!(stale.end().outcome, Outcome::NotRun(Refusal::StaleClaim));
    let peer = harness.peer(&agent);
    let settled = peer.settle(RequestId(3), 1, WAIT).await.unwrap();
    assert_eq!(settled, Outcome::NotRun(Refusal::Settled));
    let late = harness.run(&agent, &claimed_job(3, own), 1).await;
    assert_eq!(late.end().outcome, Outcome::NotRun(Refusal::Settled));
    assert_eq!(service.calls().len(), 1);
    agent.stop().await;
}

/// Answers health checks completely, and calls with a body that is shorter than its content length.
async fn truncating_service(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 4_096];
        let read = stream.read(&mut request).await.unwrap_or(0);
        let length = match request[..read].starts_with(b"GET") {
            true => 2,
            false => 100,
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{{}}");
        let _ = stream.write_all(head.as_bytes()).await;
    }
}

/// Guards against a truncated response of a service that counts as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_service_response_is_unknown() {
    let mut harness = Harness::start().await;
    harness.publish(vec![endpoint("service1", Backend::Service("book".into()))]);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let service = tokio::spawn(truncating_service(listener));
    let agent = harness.agent("service1", addr).await;
    let call = Job {
        target: Target::Service("book".into()),
        ..job(1, "", false)
    };
    let truncated = harness.run(&agent, &call, 1).await;
    assert_eq!(truncated.end().failure, Some(Failure::Truncated));
    assert_eq!(truncated.end().outcome, Outcome::Unknown);
    agent.stop().await;
    service.abort();
}

/// Guards against an engine that keeps running a request whose caller has disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_caller_cancels_request() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(10)).await;
    let mut dispatched = harness
        .dispatch(&agent, &job(1, "a@1", true), 100_000)
        .await;
    dispatched.next().await.expect("the response begins");
    drop(dispatched);
    let cancelled = engine.wait_for_record(WAIT, |record| {
        record
            .executions
            .iter()
            .any(|run| run.end == ExecutionEnd::Cancelled)
    });
    assert!(cancelled.await);
    agent.stop().await;
}

/// Guards against an engine restart that loses queued jobs or that the agent does not detect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_survive_engine_restart() {
    let mut harness = Harness::start().await;
    let mut small = model_endpoint("e1");
    small.batch = 1;
    harness.publish(vec![small]);
    let engine = Engine::start(engine_config(10)).await;
    let agent = harness.agent("e1", engine.addr()).await;
    let running = harness
        .dispatch(&agent, &job(1, "a@1", true), 100_000)
        .await;
    eventually("the first job runs", || engine.running_count() == 1).await;
    let queued = harness.dispatch(&agent, &job(2, "a@1", true), 3).await;
    engine.restart().await;
    let broken = receive(running).await;
    assert_eq!(broken.end().outcome, Outcome::Unknown);
    let later = receive(queued).await;
    assert_eq!(later.end().outcome, Outcome::Ran);
    agent.stop().await;
}

/// Guards against unloading a version in use where there are more versions than slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn versions_in_use_are_not_unloaded() {
    let mut harness = Harness::start().await;
    let mut wide = model_endpoint("e1");
    wide.queue = 64;
    harness.publish(vec![wide]);
    let engine = Engine::start(engine_config(1)).await;
    let agent = harness.agent("e1", engine.addr()).await;
    let jobs: Vec<Job> = (0..40u128)
        .map(|id| job(id, &format!("v{}@1", id % 8), id % 2 == 0))
        .collect();
    let runs = jobs.iter().map(|job| harness.run(&agent, job, 10));
    let received = futures::future::join_all(runs).await;
    let ran = received
        .iter()
        .filter(|job| job.end().outcome == Outcome::Ran);
    assert_eq!(ran.count(), 40);
    let record = engine.record();
    assert_eq!(record.unloads_in_use().count(), 0);
    assert!(
        record
            .commands
            .iter()
            .any(|command| command.kind == standins::engine::CommandKind::Unload)
    );
    agent.stop().await;
}

/// Guards against a repeated dispatch of an ended attempt whose empty response counts as complete
/// (`whole-answer`).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_dispatch_is_incomplete() {
    let (harness, engine, agent) = Harness::with_engine(engine_config(0)).await;
    let first = harness.run(&agent, &job(1, "a@1", false), 5).await;
    assert_eq!(first.end().failure, None);
    let second = harness.run(&agent, &job(1, "a@1", false), 5).await;
    assert_eq!((second.status, &*second.body), (None, ""));
    assert_eq!(second.end().outcome, Outcome::Ran);
    assert_eq!(second.end().failure, Some(Failure::Truncated));
    assert_eq!(engine.record().executions.len(), 1);
    agent.stop().await;
}
