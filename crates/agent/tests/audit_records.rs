//! The audit chain that an agent leaves in the object store.

mod platform;
use audit::Expected;
use audit::Problem;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use platform::*;
use serde_json::Value;

/// Guards against attempts, refusals and commands that the chain of a stopped agent lacks, and
/// against a load without the fencing token or the generation that explain it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_agent_leaves_its_records() {
    let (platform, _engine, agent) = Platform::with_engine(engine_config(0)).await;
    let whole = platform.run(&agent, &job(1, "a@1", false), 5).await;
    assert_eq!(whole.end().outcome, Outcome::Ran);
    let token = platform.row::<LeaseRow>("lease/e1").token;
    let head = platform.row::<Head>("config/head");
    agent.drain();
    let refused = platform.run(&agent, &job(2, "a@1", false), 5).await;
    assert_eq!(refused.end().outcome, Outcome::NotRun(Refusal::Draining));
    agent.wait_drained().await;
    agent.stop().await;

    let store = HttpObjects::new(platform.objects.addr());
    let report = audit::verify(&store, &Expected::default(), WAIT)
        .await
        .unwrap();
    let unexplained = |p: &Problem| matches!(p, Problem::UnknownGeneration { .. });
    assert!(report.problems.iter().all(unexplained), "{report:?}");
    assert_eq!((report.records, report.chains.len()), (3, 1));
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
