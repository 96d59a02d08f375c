//! Chat answers that are not streams, and who may ask for what.

mod rig;

use decision::job::Failure;
use decision::job::Refusal;
use decision::job::Target;
use rig::Rig;
use rig::Script;
use rig::error;

/// Guards against an answer of another version than the route's, and against a body that is
/// changed in more than the model's name.
#[tokio::test]
async fn answer_names_what_ran() {
    let rig = Rig::start(2).await;
    let reply = rig
        .chat(r#"{"a": [1.50, "model"],  "model" : "rooms", "stream":false}"#)
        .await;
    assert_eq!(reply.status, 200);
    assert_eq!(
        reply.text,
        r#"{"a": [1.50, "model"],  "model" : "rooms@1", "stream":false}"#
    );
    let receipt = reply.receipt();
    assert_eq!(receipt["generation"], 1);
    assert_eq!(receipt["route"], "rooms");
    assert_eq!(receipt["adapter"], "rooms");
    assert_eq!(receipt["version"], "1");
    assert_eq!(receipt["attempt"], 1);
    let runs: Vec<_> = rig.agents.iter().flat_map(|agent| agent.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert!(matches!(&runs[0].job.target, Target::Version { name, .. } if &**name == "rooms@1"));
    let id = reply.headers["x-request-id"].to_str().unwrap().to_owned();
    let shown = rig.get(&format!("/v1/requests/{id}"), &[]).await.json();
    assert_eq!(shown["status"]["state"], "done");
    assert_eq!(shown["receipt"], receipt);
    rig.stop().await;
}

/// Guards against an escaped name that bypasses the replacement of the model.
#[tokio::test]
async fn escaped_model_is_replaced() {
    let rig = Rig::start(1).await;
    let reply = rig.chat(r#"{"model":"\u0072ooms"}"#).await;
    assert_eq!(reply.text, r#"{"model":"rooms@1"}"#);
    let twice = rig.chat(r#"{"model":"rooms","model":"x"}"#).await;
    assert_eq!(twice.error(), error(400, "invalid_request", "no"));
    rig.stop().await;
}

/// Guards against one workspace that learns of, or uses, what belongs to another.
#[tokio::test]
async fn workspaces_are_apart() {
    let rig = Rig::start(1).await;
    let mill = [("x-workspace", "mill")];
    let send = |path, body, headers| rig.send(rig.request(path, body, headers));
    let foreign = send("/v1/chat/completions", r#"{"model":"rooms"}"#, &mill).await;
    let foreign = rig::Reply::read(foreign).await;
    let missing = send("/v1/chat/completions", r#"{"model":"nothing"}"#, &mill).await;
    let missing = rig::Reply::read(missing).await;
    assert_eq!(foreign.error(), error(404, "model_not_found", "no"));
    assert_eq!(foreign.text, missing.text);
    let models = rig.get("/v1/models", &mill).await.json();
    assert_eq!(models["data"].as_array().unwrap().len(), 1);
    assert_eq!(models["data"][0]["id"], "plain");
    let known = rig.chat(r#"{"model":"rooms"}"#).await;
    let id = known.headers["x-request-id"].to_str().unwrap().to_owned();
    let other = rig.get(&format!("/v1/requests/{id}"), &mill).await;
    assert_eq!(other.error(), error(404, "request_not_found", "unknown"));
    for headers in [
        [("x-workspace", "inn"), ("authorization", "Bearer wrong")],
        [("x-workspace", "none"), ("authorization", "Bearer inn-key")],
    ] {
        let denied = rig.get("/v1/models", &headers).await;
        assert_eq!(denied.error(), error(401, "unauthorized", "no"));
    }
    assert_eq!(rig.runs(), 1);
    rig.stop().await;
}

/// Guards against a caller that raises its own class or its deadline.
#[tokio::test]
async fn headers_only_lower_the_terms() {
    let rig = Rig::start(1).await;
    let body = r#"{"model":"rooms"}"#;
    let path = "/v1/chat/completions";
    let lower = [("x-priority", "overnight"), ("x-deadline-ms", "60000")];
    rig.send(rig.request(path, body, &lower)).await;
    let wrong = rig
        .send(rig.request(path, body, &[("x-priority", "first")]))
        .await;
    assert_eq!(wrong.status(), 400);
    let raised = [("x-priority", "interactive")];
    rig.send(rig.request("/v1/services/book", "{}", &raised))
        .await;
    let jobs: Vec<_> = rig.agents.iter().flat_map(|agent| agent.runs()).collect();
    let classes: Vec<_> = jobs
        .iter()
        .map(|run| run.job.priority.to_string())
        .collect();
    assert_eq!(classes, ["overnight", "booking"]);
    assert!(jobs[0].job.left <= std::time::Duration::from_secs(3));
    rig.stop().await;
}

/// Guards against a failed attempt that reaches the caller although another endpoint can answer.
#[tokio::test]
async fn repeatable_request_is_retried_elsewhere() {
    let rig = Rig::start(2).await;
    let body = r#"{"model":"rooms"}"#;
    for failure in [
        Script::Refuse(Refusal::Draining),
        Script::Lose,
        Script::Pieces(vec!["{\"mod"], Some(Failure::Truncated)),
        Script::Pieces(vec![], Some(Failure::WrongAdapter("x@1".to_owned()))),
    ] {
        rig.agent("e0").set_script(failure.clone());
        rig.agent("e1").set_script(Script::Echo);
        let reply = rig.chat(body).await;
        assert_eq!(reply.status, 200, "{failure:?}: {}", reply.text);
        assert_eq!(reply.receipt()["endpoint"], "e1", "{failure:?}");
    }
    rig.stop().await;
}

/// Guards against a truncated or wrong answer that is passed on as if it were whole, and against
/// "not run" about an attempt that ran.
#[tokio::test]
async fn failures_keep_their_names() {
    let rig = Rig::start(1).await;
    let body = r#"{"model":"rooms"}"#;
    let refused = Script::Refuse(Refusal::Overloaded);
    let truncated = Script::Pieces(vec!["{"], Some(Failure::Truncated));
    let wrong = Script::Pieces(vec![], Some(Failure::WrongAdapter("x@1".to_owned())));
    for (script, expected) in [
        (refused, error(503, "overloaded", "no")),
        (truncated, error(502, "answer_truncated", "yes")),
        (wrong, error(502, "wrong_adapter", "yes")),
    ] {
        rig.script(&script);
        assert_eq!(rig.chat(body).await.error(), expected);
    }
    let dump: serde_json::Value = serde_json::from_str(&rig.entry.dump()).unwrap();
    assert_eq!(dump["endpoints"][0]["health"]["cause"], "wrong adapter");
    assert!(
        dump["endpoints"][0]["health"]["next_probe_ms"]
            .as_u64()
            .unwrap()
            > 3_000
    );
    assert_eq!(dump["last_picks"][0]["candidates"][0]["verdict"], "chosen");
    assert_eq!(
        rig.chat(body).await.error(),
        error(503, "no_endpoint", "no")
    );
    rig.stop().await;
}
