//! Verification of records that contradict each other or the published objects.

mod support;

use audit::AttemptRecord;
use audit::CommandKind;
use audit::CommandRecord;
use decision::ids::Incarnation;
use decision::job::Outcome;
use decision::job::Refusal;
use support::A1;
use support::A2;
use support::Harness;
use support::assert_single_problem;
use support::attempt;
use support::booking;
use support::head;
use support::version;

/// Guards against an undetected second run of a booking: in another incarnation, in the same one,
/// and through a caller's retry with the same idempotency key.
#[tokio::test]
async fn repeated_booking() {
    let second = AttemptRecord {
        attempt: 2,
        incarnation: Some(Incarnation(8)),
        ..booking(1)
    };
    let unclaimed = |n| AttemptRecord {
        claim: None,
        attempt: n,
        ..booking(1)
    };
    let cases = [
        (vec![booking(1)], vec![second], "claim/ws/key ran 2 times"),
        (
            vec![booking(1), booking(1)],
            vec![],
            "claim/ws/key ran 2 times",
        ),
        (
            vec![booking(1)],
            vec![booking(2)],
            "claim/ws/key ran 2 times",
        ),
        (
            vec![unclaimed(1)],
            vec![unclaimed(2)],
            "00000001 ran 2 times",
        ),
    ];
    for (first, second, expected) in cases {
        let harness = Harness::start().await;
        harness.write("agent-1", first).await;
        harness.write("agent-2", second).await;
        assert_single_problem(&harness.problems().await, expected);
    }
}

/// Guards against false positives. The entry and the agent both record the same run, the entry
/// possibly without the incarnation; a replay and a refused attempt are not runs.
#[tokio::test]
async fn single_booking() {
    let harness = Harness::start().await;
    let refused = Outcome::NotRun(Refusal::StaleClaim);
    let second = AttemptRecord {
        attempt: 2,
        ..booking(1)
    };
    harness
        .write(
            "agent-1",
            [
                AttemptRecord {
                    outcome: refused,
                    ..booking(1)
                },
                second.clone(),
            ],
        )
        .await;
    let without_incarnation = AttemptRecord {
        incarnation: None,
        ..second
    };
    let replay = AttemptRecord {
        replay: true,
        ..booking(3)
    };
    harness
        .write("entry-1", [without_incarnation, replay])
        .await;
    harness
        .write(
            "entry-2",
            [
                attempt(5),
                AttemptRecord {
                    attempt: 2,
                    ..attempt(5)
                },
            ],
        )
        .await;
    assert_eq!(harness.problems().await, [] as [&str; 0]);
}

/// Guards against an undetected false refusal: the entry reports "not run" for an attempt that an
/// agent ran.
#[tokio::test]
async fn false_refusal() {
    let harness = Harness::start().await;
    harness.write("agent-1", [attempt(1)]).await;
    let refused = Outcome::NotRun(Refusal::Deadline);
    harness
        .write(
            "entry-1",
            [AttemptRecord {
                outcome: refused,
                ..attempt(1)
            }],
        )
        .await;
    assert_single_problem(&harness.problems().await, "as run and as not run");
}

/// Guards against an undetected run on a version that the entry did not choose, although the route
/// allows both.
#[tokio::test]
async fn changed_target() {
    let harness = Harness::start().await;
    let split = |target| AttemptRecord {
        route: "split".into(),
        target,
        ..attempt(1)
    };
    harness
        .write("entry-1", [split(version("a@1", "w/a1", A1))])
        .await;
    harness
        .write("agent-1", [split(version("a@2", "w/a2", A2))])
        .await;
    assert_single_problem(&harness.problems().await, "changed its target");
}

/// Guards against undetected records whose route, version, weights, workspace or generation differs
/// from what was published.
#[tokio::test]
async fn unpublished_targets() {
    let record = attempt(1);
    let with_target = |target| AttemptRecord {
        target,
        ..attempt(1)
    };
    let with_head = |generation, digest| {
        let head = head(generation, digest);
        AttemptRecord { head, ..attempt(1) }
    };
    let [mut route, mut workspace] = [record.clone(), record];
    route.route = "gone".into();
    workspace.workspace = "b".into();
    let cases = [
        (
            with_target(version("a@2", "w/a2", A2)),
            "`chat` does not lead to `a@2`",
        ),
        (
            with_target(version("a@1", "w/a1", A2)),
            &format!("`a@1` has weight digest {A1}"),
        ),
        (
            with_target(version("a@1", "w/a2", A1)),
            "`a@1` has other weights than `w/a2`",
        ),
        (route, "no route `gone`"),
        (workspace, "`chat` is of workspace `ws`"),
        (with_head(2, "sha256:head"), "generation 2 is not known"),
        (with_head(1, "other"), "has digest sha256:head"),
    ];
    for (record, expected) in cases {
        let harness = Harness::start().await;
        let alias = AttemptRecord {
            route: "alias".into(),
            ..attempt(2)
        };
        harness.write("entry-1", [alias, record]).await;
        assert_single_problem(&harness.problems().await, expected);
    }
}

/// Guards against an undetected load of weights that were not published for the version.
#[tokio::test]
async fn unpublished_load() {
    let harness = Harness::start().await;
    let (log, task) = harness.log(harness.settings("agent-1"));
    let command = |kind, version: &str, weights: Option<&str>| CommandRecord {
        endpoint: "e1".into(),
        kind,
        version: version.into(),
        weight_digest: weights.map(Into::into),
        fencing_token: 3,
        head: head(1, "sha256:head"),
        error: None,
        start: 1,
        end: 2,
    };
    log.record(command(CommandKind::Load, "a@2", Some(A2)));
    log.record(command(CommandKind::Unload, "old@1", None));
    log.record(command(CommandKind::Load, "a@2", Some(A1)));
    log.close().await.unwrap();
    task.await.unwrap();
    assert_single_problem(
        &harness.problems().await,
        &format!("entry 3: version `a@2` has weight digest {A2}"),
    );
}
