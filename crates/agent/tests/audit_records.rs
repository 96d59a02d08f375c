//! The audit chain that an agent writes to the object store.

mod harness;
use audit::Problem;
use audit::ReferenceData;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use harness::*;
use serde_json::Value;

/// Guards against an audit chain that is not closed by a stop or lacks attempts, refusals or commands,
/// and against a load record without its fencing token or generation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_agent_leaves_complete_chain() {
    let (harness, _engine, agent) = Harness::with_engine(engine_config(0)).await;
    let complete = harness.run(&agent, &job(1, "a@1", false), 5).await;
    assert_eq!(complete.end().outcome, Outcome::Ran);
    let token = harness.row::<LeaseRow>("lease/e1").token;
    let head = harness.row::<Head>("config/head");
    agent.drain();
    let refused = harness.run(&agent, &job(2, "a@1", false), 5).await;
    assert_eq!(refused.end().outcome, Outcome::NotRun(Refusal::Draining));
    agent.wait_drained().await;
    agent.stop().await;

    let store = HttpObjects::new(harness.objects.addr());
    let report = audit::verify(&store, &ReferenceData::default(), WAIT)
        .await
        .unwrap();
    let unexplained = |p: &Problem| matches!(p, Problem::UnknownGeneration { .. });
    assert!(report.problems.iter().all(unexplained), "{report:?}");
    assert_eq!((report.record_count, report.chains.len()), (3, 1));
    assert!(report.chains[0].closed);
    let mut text = String::new();
    for key in store.list("audit/", WAIT).await.unwrap() {
        text += std::str::from_utf8(&store.get(&key, WAIT).await.unwrap().unwrap()).unwrap();
    }
    let entries: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line.split_once(' ').unwrap().1).unwrap())
        .collect();
    let load = &entries[0]["body"]["record"]["command"];
    assert_eq!(
        (&load["kind"], &load["version"]),
        (&"load".into(), &"a@1".into())
    );
    assert_eq!(load["token"], token);
    assert_eq!(load["head"], serde_json::to_value(&head).unwrap());
    assert_eq!(entries[1]["body"]["record"]["attempt"]["outcome"], "ran");
    let refused = &entries[2]["body"]["record"]["attempt"];
    assert_eq!(refused["outcome"]["not_run"], "draining");
}
