//! The job queue: order, bounds on overtaking, shedding and deadlines.

use std::time::Duration;

use decision::ids::Name;
use decision::ids::Priority;
use decision::ids::RequestId;
use decision::ledger::AttemptKey;
use decision::queue::PickConstraints;
use decision::queue::PushResult;
use decision::queue::Queue;
use decision::queue::QueuedJob;
use decision::time::Time;

const UNCONSTRAINED: PickConstraints<'static> = PickConstraints {
    allow_overnight: true,
    last_started: None,
    evicting: None,
};

fn job(id: u128, name: &str, priority: Priority, arrived: u64, left: u64) -> QueuedJob {
    QueuedJob {
        key: AttemptKey {
            request: RequestId(id),
            attempt: 1,
        },
        name: name.into(),
        priority,
        arrived: Time::from_ms(arrived),
        deadline: Time::from_ms(arrived + left),
    }
}

fn order(
    queue: &mut Queue,
    now: u64,
    resident: &[&str],
    constraints: PickConstraints<'_>,
) -> Vec<u128> {
    let ready = |name: &Name| resident.contains(&&**name);
    std::iter::from_fn(|| queue.pick(Time::from_ms(now), ready, constraints))
        .map(|job| job.key.request.0)
        .collect()
}

/// Guards against head-of-line blocking: jobs whose version is resident must not wait behind one that
/// needs a load.
#[test]
fn jobs_of_resident_versions_overtake() {
    let mut queue = Queue::new(8);
    queue.push(job(1, "absent", Priority::Interactive, 0, 9_000));
    queue.push(job(2, "here", Priority::Interactive, 1, 9_000));
    assert_eq!(order(&mut queue, 2, &["here"], UNCONSTRAINED), [2]);
    assert_eq!(queue.len(), 1);
}

/// Guards against mixing versions in the batch when jobs of one version could run together, and
/// against grouping by version beyond the overtake deadline of other jobs.
#[test]
fn same_version_is_grouped_within_overtake_bound() {
    let jobs = [(1, "b", 0), (2, "a", 10), (3, "a", 20), (4, "b", 30)];
    let last: Name = "a".into();
    let constraints = PickConstraints {
        last_started: Some(&last),
        ..UNCONSTRAINED
    };
    for (now, expected) in [(40, [2, 3, 1, 4]), (505, [1, 2, 3, 4])] {
        let mut queue = Queue::new(8);
        for (id, name, at) in jobs {
            queue.push(job(id, name, Priority::Interactive, at, 9_000));
        }
        assert_eq!(order(&mut queue, now, &["a", "b"], constraints), expected);
    }
}

/// Guards against a job that spends its whole short deadline on being overtaken; the bound is half of
/// the time to the deadline.
#[test]
fn short_deadline_lowers_overtake_bound() {
    assert_eq!(
        job(1, "a", Priority::Interactive, 100, 600).overtake_deadline(),
        Time::from_ms(400)
    );
    assert_eq!(
        job(1, "a", Priority::Booking, 100, 60_000).overtake_deadline(),
        Time::from_ms(600)
    );
    assert_eq!(
        job(1, "a", Priority::Overnight, 100, 600_000).overtake_deadline(),
        Time::from_ms(60_100)
    );
}

/// Guards against overnight jobs that take the last free places of the batch from interactive ones,
/// and against overnight jobs that starve.
#[test]
fn overnight_jobs_use_spare_capacity() {
    let no_overnight = PickConstraints {
        allow_overnight: false,
        ..UNCONSTRAINED
    };
    let mut queue = Queue::new(8);
    queue.push(job(1, "a", Priority::Overnight, 0, 3_600_000));
    queue.push(job(2, "a", Priority::Interactive, 10, 9_000));
    queue.push(job(3, "a", Priority::Booking, 20, 9_000));
    assert_eq!(
        order(&mut queue.clone(), 30, &["a"], UNCONSTRAINED),
        [2, 3, 1]
    );
    assert_eq!(order(&mut queue.clone(), 30, &["a"], no_overnight), [2, 3]);
    queue.push(job(4, "a", Priority::Interactive, 60_000, 9_000));
    assert_eq!(
        order(&mut queue, 60_001, &["a"], no_overnight),
        [2, 3, 1, 4]
    );
}

/// Guards against an unbounded queue, and against shedding interactive jobs for lower classes.
#[test]
fn lowest_class_is_shed_first() {
    let mut queue = Queue::new(2);
    queue.push(job(1, "a", Priority::Overnight, 0, 90_000));
    queue.push(job(2, "b", Priority::Overnight, 1, 90_000));
    let third = job(3, "a", Priority::Overnight, 2, 90_000);
    assert_eq!(queue.push(third), PushResult::Full);
    let PushResult::Shed(shed) = queue.push(job(4, "a", Priority::Booking, 3, 9_000)) else {
        panic!("the booking did not replace an overnight job");
    };
    assert_eq!(shed.key.request, RequestId(2));
    queue.push(job(5, "a", Priority::Interactive, 4, 9_000));
    let sixth = job(6, "a", Priority::Interactive, 5, 9_000);
    assert!(matches!(queue.push(sixth), PushResult::Shed(shed) if shed.key.request.0 == 4));
    let last = job(7, "a", Priority::Booking, 6, 9_000);
    assert_eq!(queue.push(last), PushResult::Full);
    assert_eq!((queue.len(), queue.counts()), (2, [2, 0, 0]));
}

/// Guards against loading a version or running a job whose deadline passes before it can start.
#[test]
fn jobs_that_miss_their_deadline_expire() {
    let mut queue = Queue::new(4);
    queue.push(job(1, "here", Priority::Interactive, 0, 300));
    queue.push(job(2, "absent", Priority::Interactive, 0, 300));
    let start_delay =
        |name: &Name| Duration::from_millis(if &**name == "absent" { 250 } else { 0 });
    let ids = |late: Vec<QueuedJob>| late.iter().map(|job| job.key.request.0).collect::<Vec<_>>();
    assert_eq!(ids(queue.expire(Time::from_ms(49), start_delay)), []);
    assert_eq!(ids(queue.expire(Time::from_ms(50), start_delay)), [2]);
    assert_eq!(ids(queue.expire(Time::from_ms(300), start_delay)), [1]);
    assert!(queue.is_empty());
}

/// Guards against a version that is never evicted because new jobs for it keep arriving.
#[test]
fn evicted_version_runs_earlier_jobs_only() {
    let mut queue = Queue::new(4);
    queue.push(job(1, "hot", Priority::Interactive, 0, 9_000));
    queue.push(job(2, "hot", Priority::Interactive, 200, 9_000));
    let hot: Name = "hot".into();
    let constraints = PickConstraints {
        evicting: Some((&hot, Time::from_ms(600))),
        ..UNCONSTRAINED
    };
    assert_eq!(order(&mut queue, 800, &["hot"], constraints), [1]);
    assert!(!queue.has_job_due_by("hot", Time::from_ms(600)));
}
