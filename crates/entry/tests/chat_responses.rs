//! Chat responses that are not streams, and isolation between workspaces.

mod harness;

use decision::job::Failure;
use decision::job::Refusal;
use decision::job::Target;
use harness::Harness;
use harness::Script;
use harness::error;

/// Guards against a request that runs on another version than the route's, and against changes to
/// the body other than the model name.
#[tokio::test]
async fn receipt_names_the_version_that_ran() {
    let harness = Harness::start(2).await;
    let reply = harness
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
    let runs: Vec<_> = harness
        .agents
        .iter()
        .flat_map(|agent| agent.runs())
        .collect();
    assert_eq!(runs.len(), 1);
    assert!(matches!(&runs[0].job.target, Target::Version { name, .. } if &**name == "rooms@1"));
    let id = reply.headers["x-request-id"].to_str().unwrap().to_owned();
    let shown = harness.get(&format!("/v1/requests/{id}"), &[]).await.json();
    assert_eq!(shown["status"]["state"], "done");
    assert_eq!(shown["receipt"], receipt);
    harness.stop().await;
}

/// Guards against a model name that bypasses its replacement because it contains JSON escapes or
/// occurs twice.
#[tokio::test]
async fn escaped_model_is_replaced() {
    let harness = Harness::start(1).await;
    let reply = harness.chat(r#"{"model":"\u0072ooms"}"#).await;
    assert_eq!(reply.text, r#"{"model":"rooms@1"}"#);
    let duplicate = harness.chat(r#"{"model":"rooms","model":"x"}"#).await;
    assert_eq!(duplicate.error(), error(400, "invalid_request", "no"));
    harness.stop().await;
}

/// Guards against a workspace that can use or detect the routes and requests of another.
#[tokio::test]
async fn workspaces_are_isolated() {
    let harness = Harness::start(1).await;
    let mill = [("x-workspace", "mill")];
    let send = |path, body, headers| harness.send(harness.request(path, body, headers));
    let foreign = send("/v1/chat/completions", r#"{"model":"rooms"}"#, &mill).await;
    let foreign = harness::Reply::read(foreign).await;
    let missing = send("/v1/chat/completions", r#"{"model":"nothing"}"#, &mill).await;
    let missing = harness::Reply::read(missing).await;
    assert_eq!(foreign.error(), error(404, "model_not_found", "no"));
    assert_eq!(foreign.text, missing.text);
    let models = harness.get("/v1/models", &mill).await.json();
    assert_eq!(models["data"].as_array().unwrap().len(), 1);
    assert_eq!(models["data"][0]["id"], "plain");
    let known = harness.chat(r#"{"model":"rooms"}"#).await;
    let id = known.headers["x-request-id"].to_str().unwrap().to_owned();
    let other = harness.get(&format!("/v1/requests/{id}"), &mill).await;
    assert_eq!(other.error(), error(404, "request_not_found", "unknown"));
    for headers in [
        [("x-workspace", "inn"), ("authorization", "Bearer wrong")],
        [("x-workspace", "none"), ("authorization", "Bearer inn-key")],
    ] {
        let denied = harness.get("/v1/models", &headers).await;
        assert_eq!(denied.error(), error(401, "unauthorized", "no"));
    }
    assert_eq!(harness.run_count(), 1);
    harness.stop().await;
}

/// Guards against a caller that raises its own priority or deadline above those of the route.
#[tokio::test]
async fn headers_cannot_raise_priority_or_deadline() {
    let harness = Harness::start(1).await;
    let body = r#"{"model":"rooms"}"#;
    let path = "/v1/chat/completions";
    let lowered = [("x-priority", "overnight"), ("x-deadline-ms", "60000")];
    harness.send(harness.request(path, body, &lowered)).await;
    let invalid = harness
        .send(harness.request(path, body, &[("x-priority", "first")]))
        .await;
    assert_eq!(invalid.status(), 400);
    let raised = [("x-priority", "interactive")];
    harness
        .send(harness.request("/v1/services/book", "{}", &raised))
        .await;
    let jobs: Vec<_> = harness
        .agents
        .iter()
        .flat_map(|agent| agent.runs())
        .collect();
    let classes: Vec<_> = jobs
        .iter()
        .map(|run| run.job.priority.to_string())
        .collect();
    assert_eq!(classes, ["overnight", "booking"]);
    assert!(jobs[0].job.left <= std::time::Duration::from_secs(3));
    harness.stop().await;
}

/// Guards against reporting a failed attempt to the caller although another endpoint can serve the
/// request.
#[tokio::test]
async fn repeatable_request_is_retried_elsewhere() {
    let harness = Harness::start(2).await;
    let body = r#"{"model":"rooms"}"#;
    for failure in [
        Script::Refuse(Refusal::Draining),
        Script::DropLink,
        Script::Chunks(vec!["{\"mod"], Some(Failure::Truncated)),
        Script::Chunks(vec![], Some(Failure::WrongAdapter("x@1".to_owned()))),
    ] {
        harness.agent("e0").set_script(failure.clone());
        harness.agent("e1").set_script(Script::Echo);
        let reply = harness.chat(body).await;
        assert_eq!(reply.status, 200, "{failure:?}: {}", reply.text);
        assert_eq!(reply.receipt()["endpoint"], "e1", "{failure:?}");
    }
    harness.stop().await;
}

/// Guards against a truncated response, or one from another adapter, that is returned as a success,
/// and against an attempt that ran but is reported as not run.
#[tokio::test]
async fn failures_map_to_error_codes() {
    let harness = Harness::start(1).await;
    let body = r#"{"model":"rooms"}"#;
    let refused = Script::Refuse(Refusal::Overloaded);
    let truncated = Script::Chunks(vec!["{"], Some(Failure::Truncated));
    let wrong = Script::Chunks(vec![], Some(Failure::WrongAdapter("x@1".to_owned())));
    for (script, expected) in [
        (refused, error(503, "overloaded", "no")),
        (truncated, error(502, "answer_truncated", "yes")),
        (wrong, error(502, "wrong_adapter", "yes")),
    ] {
        harness.set_scripts(&script);
        assert_eq!(harness.chat(body).await.error(), expected);
    }
    let dump: serde_json::Value = serde_json::from_str(&harness.entry.dump()).unwrap();
    assert_eq!(dump["endpoints"][0]["health"]["cause"], "wrong adapter");
    assert!(
        dump["endpoints"][0]["health"]["next_probe_ms"]
            .as_u64()
            .unwrap()
            > 3_000
    );
    assert_eq!(dump["last_picks"][0]["candidates"][0]["verdict"], "chosen");
    assert_eq!(
        harness.chat(body).await.error(),
        error(503, "no_endpoint", "no")
    );
    harness.stop().await;
}
