//! Records that contradict each other or the published objects.

mod support;

use audit::AttemptRecord;
use audit::CommandKind;
use audit::CommandRecord;
use decision::ids::Incarnation;
use decision::job::Outcome;
use decision::job::Refusal;
use support::A1;
use support::A2;
use support::Bed;
use support::assert_single;
use support::attempt;
use support::booking;
use support::head;
use support::version;

/// Guards against a booking that ran twice: in two incarnations, twice in one, and for a caller's
/// retry with the same key.
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
        let bed = Bed::start().await;
        bed.write("agent-1", first).await;
        bed.write("agent-2", second).await;
        assert_single(&bed.problems().await, expected);
    }
}

/// Guards against a false alarm: the entry and the agent both record one run, the entry perhaps
/// without the incarnation; a replay and a refused attempt are no runs.
#[tokio::test]
async fn single_booking() {
    let bed = Bed::start().await;
    let refused = Outcome::NotRun(Refusal::StaleClaim);
    let second = AttemptRecord {
        attempt: 2,
        ..booking(1)
    };
    bed.write(
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
    let unnamed = AttemptRecord {
        incarnation: None,
        ..second
    };
    let replay = AttemptRecord {
        replay: true,
        ..booking(3)
    };
    bed.write("entry-1", [unnamed, replay]).await;
    bed.write(
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
    assert_eq!(bed.problems().await, [] as [&str; 0]);
}

/// Guards against "not run" to the caller of an attempt that an agent ran.
#[tokio::test]
async fn false_refusal() {
    let bed = Bed::start().await;
    bed.write("agent-1", [attempt(1)]).await;
    let refused = Outcome::NotRun(Refusal::Deadline);
    bed.write(
        "entry-1",
        [AttemptRecord {
            outcome: refused,
            ..attempt(1)
        }],
    )
    .await;
    assert_single(&bed.problems().await, "as run and as not run");
}

/// Guards against a run on another version than the entry chose, when the route allows both.
#[tokio::test]
async fn changed_target() {
    let bed = Bed::start().await;
    let split = |target| AttemptRecord {
        route: "split".into(),
        target,
        ..attempt(1)
    };
    bed.write("entry-1", [split(version("a@1", "w/a1", A1))])
        .await;
    bed.write("agent-1", [split(version("a@2", "w/a2", A2))])
        .await;
    assert_single(&bed.problems().await, "changed its target");
}

/// Guards against a record whose route, version, weights, workspace or generation is not what was
/// published.
#[tokio::test]
async fn unpublished_targets() {
    let record = attempt(1);
    let target = |target| AttemptRecord {
        target,
        ..attempt(1)
    };
    let under = |generation, digest| {
        let head = head(generation, digest);
        AttemptRecord { head, ..attempt(1) }
    };
    let [mut route, mut workspace] = [record.clone(), record];
    route.route = "gone".into();
    workspace.workspace = "b".into();
    let cases = [
        (
            target(version("a@2", "w/a2", A2)),
            "`chat` does not lead to `a@2`",
        ),
        (
            target(version("a@1", "w/a1", A2)),
            &format!("`a@1` has weight digest {A1}"),
        ),
        (
            target(version("a@1", "w/a2", A1)),
            "`a@1` has other weights than `w/a2`",
        ),
        (route, "no route `gone`"),
        (workspace, "`chat` is of workspace `ws`"),
        (under(2, "sha256:head"), "generation 2 is not known"),
        (under(1, "other"), "has digest sha256:head"),
    ];
    for (record, expected) in cases {
        let bed = Bed::start().await;
        let alias = AttemptRecord {
            route: "alias".into(),
            ..attempt(2)
        };
        bed.write("entry-1", [alias, record]).await;
        assert_single(&bed.problems().await, expected);
    }
}

/// Guards against a load of weights that were not published for the version.
#[tokio::test]
async fn unpublished_load() {
    let bed = Bed::start().await;
    let (log, task) = bed.log(bed.settings("agent-1"));
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
    assert_single(
        &bed.problems().await,
        &format!("entry 3: version `a@2` has weight digest {A2}"),
    );
}
