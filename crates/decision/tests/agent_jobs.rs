//! Jobs in an agent: admission, batching, load stalls, cancellation and failures.

mod harness;
use harness::*;

fn not_run(reason: Refusal) -> Option<Outcome> {
    Some(Outcome::NotRun(reason))
}

/// Guards against submitting a job before its adapter is resident, and against wrong load stall
/// times.
#[test]
fn absent_version_is_loaded_first() {
    let mut harness = Harness::new(config(2, 4, 8));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(100));
    assert!(harness.submitted.is_empty());
    harness.dispatch(job(2, "a@1"));
    harness.advance(ms(600));
    assert_eq!(harness.loads.len(), 1);
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    let (first, second) = (harness.end(1).stall, harness.end(2).stall);
    assert!(first >= ms(250) && first < ms(300), "{first:?}");
    assert!(second >= ms(150) && second < ms(200), "{second:?}");
    assert_eq!(harness.returned_permits.len(), 1, "the permit is returned");
}

/// Guards against unloading an adapter that a running request uses, and against a job that waits
/// forever because all slots stay in use.
#[test]
fn stalled_job_gets_slot_within_bound() {
    let mut harness = Harness::new(config(1, 2, 64));
    harness.service_time = ms(50);
    for id in 0..100 {
        if id == 10 {
            harness.dispatch(job(1_000, "cold@1"));
        }
        harness.dispatch(job(id, "hot@1"));
        harness.advance(ms(20));
    }
    let stall = harness.end(1_000).stall;
    assert!(stall < ms(500 + 64 * 25 + 300), "stalled for {stall:?}");
    harness.advance(ms(3_000));
    assert_eq!(
        harness
            .ends
            .iter()
            .filter(|end| end.outcome == Outcome::Ran)
            .count(),
        101
    );
}

/// Guards against two versions that evict each other after every job.
#[test]
fn waiting_jobs_of_one_version_share_its_load() {
    let mut harness = Harness::new(config(1, 4, 64));
    for id in 0..40 {
        let name = if id % 2 == 0 { "a@1" } else { "b@1" };
        harness.dispatch(job(id, name));
    }
    harness.advance(ms(5_000));
    assert_eq!(harness.ends.len(), 40);
    assert_eq!(harness.loads.len(), 2);
}

/// Guards against loading a version for a job whose deadline cannot be met, and against running a
/// job after its deadline.
#[test]
fn unmeetable_deadline_is_refused() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(Job {
        left: ms(200),
        ..job(1, "a@1")
    });
    assert_eq!(harness.refusal(1), Some(Refusal::Deadline));
    assert!(
        harness.refused[0].2.is_some(),
        "the refusal has a retry delay"
    );
    harness.handle(Event::Settle(key(1)));
    let settled = Outcome::NotRun(Refusal::Deadline);
    assert_eq!(
        harness.settled,
        [(key(1), settled)],
        "the refusal is recorded"
    );
    harness.dispatch(Job {
        left: ms(400),
        ..job(2, "a@1")
    });
    harness.load_time = ms(2_000);
    harness.advance(ms(500));
    assert_eq!(harness.outcome(2), not_run(Refusal::Deadline));
    harness.advance(ms(5_000));
    assert!(harness.submitted.is_empty());
}

/// Guards against a full queue that drops a job for one of a lower priority class, or refuses a job
/// without a retry delay.
#[test]
fn full_queue_drops_overnight_jobs_first() {
    let mut harness = Harness::new(config(1, 1, 2));
    for id in 1..=2 {
        harness.dispatch(Job {
            priority: Priority::Overnight,
            ..job(id, "a@1")
        });
    }
    harness.dispatch(job(3, "a@1"));
    assert_eq!(harness.outcome(2), not_run(Refusal::Overloaded));
    assert!(harness.end(2).after.is_some());
    harness.dispatch(Job {
        priority: Priority::Overnight,
        ..job(4, "a@1")
    });
    assert_eq!(harness.refusal(4), Some(Refusal::Overloaded));
}

/// Guards against running a cancelled job, and against an engine that continues a job whose caller
/// has cancelled it.
#[test]
fn cancelled_jobs_stop() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.handle(Event::Cancel(key(9)));
    harness.dispatch(job(9, "a@1"));
    assert_eq!(harness.refusal(9), Some(Refusal::Cancelled));
    harness.dispatch(job(1, "a@1"));
    harness.dispatch(job(2, "a@1"));
    harness.advance(ms(280));
    harness.handle(Event::Cancel(key(2)));
    assert_eq!(harness.outcome(2), not_run(Refusal::Cancelled));
    harness.handle(Event::Cancel(key(1)));
    harness.advance(ms(2));
    assert_eq!(harness.outcome(1), Some(Outcome::Unknown));
    assert!(harness.engine_jobs.is_empty());
    harness.advance(ms(1_000));
    assert_eq!(harness.submitted, [key(1)]);
}

/// Guards against losing a claimed job when its entry is lost: the job runs to its end, and its
/// outcome is written to the claim row.
#[test]
fn claimed_job_survives_loss_of_its_entry() {
    let mut harness = Harness::new(config(1, 2, 8));
    harness.dispatch(claimed(1, "a@1"));
    harness.dispatch(job(2, "a@1"));
    harness.advance(ms(300));
    harness.handle(Event::SinkBroken(key(1)));
    harness.handle(Event::SinkBroken(key(2)));
    harness.advance(ms(200));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    assert_eq!(harness.outcome(2), Some(Outcome::Unknown));
    assert_eq!(
        harness.claim_writes,
        [("claim/w/1".to_owned(), Outcome::Ran)]
    );
    harness.entry_reachable = false;
    harness.dispatch(claimed(3, "a@1"));
    harness.advance(ms(200));
    assert_eq!(
        harness.claim_writes.len(),
        2,
        "an end that was not delivered is written"
    );
}

/// Guards against refusing jobs after the first failed load, and against retrying forever.
#[test]
fn second_failed_load_refuses() {
    let mut harness = Harness::new(config(2, 4, 8));
    harness.load_faults = vec![CommandFault::Failed];
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(1_000));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    harness.load_faults = vec![CommandFault::Failed, CommandFault::Unknown];
    harness.dispatch(job(2, "b@1"));
    harness.advance(ms(1_000));
    assert_eq!(harness.outcome(2), not_run(Refusal::LoadFailed));
    harness.dispatch(job(3, "b@1"));
    assert_eq!(harness.refusal(3), Some(Refusal::LoadFailed));
    harness.advance(ms(2_500));
    harness.dispatch(job(4, "b@1"));
    harness.advance(ms(1_000));
    assert_eq!(harness.outcome(4), Some(Outcome::Ran));
    assert_eq!(harness.returned_permits.len(), 5, "each permit is returned");
}

/// Guards against retrying a rejected unload without a delay.
#[test]
fn rejected_unload_is_retried_with_delay() {
    let mut harness = Harness::new(config(1, 4, 8));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(1_000));
    harness.refuse_unloads = true;
    harness.dispatch(job(2, "b@1"));
    harness.advance(ms(5_000));
    assert!(
        harness.unloads.len() <= 6,
        "{} tries",
        harness.unloads.len()
    );
    harness.refuse_unloads = false;
    harness.advance(ms(2_000));
    assert_eq!(harness.outcome(2), Some(Outcome::Ran));
}

/// Guards against losing queued jobs when the engine restarts, and against reporting running ones
/// as not run: queued jobs run after another load, and the outcome of running ones is unknown.
#[test]
fn queued_jobs_survive_engine_restart() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(job(1, "a@1"));
    harness.dispatch(job(2, "a@1"));
    harness.advance(ms(300));
    harness.restart_engine();
    assert_eq!(harness.outcome(1), Some(Outcome::Unknown));
    harness.advance(ms(1_000));
    assert_eq!(harness.outcome(2), Some(Outcome::Ran));
    assert_eq!(harness.loads.len(), 2);
}

/// Guards against submitting jobs to an engine that is known to be down.
#[test]
fn queued_jobs_wait_while_engine_is_down() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(600));
    harness.engine_up = false;
    for id in 2..6 {
        harness.dispatch(Job {
            left: ms(3_000),
            ..job(id, "a@1")
        });
    }
    harness.advance(ms(1_000));
    assert_eq!(
        harness.submitted.len(),
        2,
        "only one job is submitted to find out that the engine is down"
    );
    harness.engine_up = true;
    harness.advance(ms(2_000));
    assert_eq!(harness.outcome(5), Some(Outcome::Ran));
    harness.engine_up = false;
    harness.dispatch(Job {
        left: ms(1_000),
        ..job(6, "a@1")
    });
    harness.dispatch(Job {
        left: ms(1_000),
        ..job(7, "a@1")
    });
    harness.advance(ms(1_500));
    assert_eq!(harness.outcome(7), not_run(Refusal::EngineDown));
}

/// Guards against counting a response by another adapter as a successful run.
#[test]
fn wrong_adapter_ends_attempt() {
    let mut harness = Harness::new(config(1, 1, 8));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(280));
    let wrong = Failure::WrongAdapter("b@1".to_owned());
    harness.handle(Event::AttemptEnded(
        key(1),
        EngineResult::Incomplete(wrong.clone()),
    ));
    assert_eq!(harness.end(1).failure, Some(wrong));
    assert_eq!(harness.end(1).outcome, Outcome::Unknown);
    assert_eq!(harness.core.counters().wrong, 1);
}

/// Guards against running jobs that are claimed for another incarnation or meant for another
/// endpoint.
#[test]
fn jobs_for_other_agents_are_refused() {
    let mut harness = Harness::new(config(1, 1, 8));
    let other = Some(Incarnation(OWN.0 + 1));
    harness.dispatch(Job {
        claim: other,
        ..claimed(1, "a@1")
    });
    assert_eq!(harness.refusal(1), Some(Refusal::StaleClaim));
    harness.dispatch(Job {
        target: Target::Model("other".into()),
        ..job(2, "")
    });
    harness.dispatch(Job {
        target: Target::Service("mail".into()),
        ..job(3, "")
    });
    assert_eq!(harness.refusal(2), Some(Refusal::WrongEndpoint));
    assert_eq!(harness.refusal(3), Some(Refusal::WrongEndpoint));
}

/// Guards against a service endpoint whose jobs wait for a lease or a load.
#[test]
fn service_needs_no_lease() {
    let mut service = config(0, 1, 8);
    service.backend = Backend::Service("base".into());
    let mut harness = Harness::unstarted(service, OWN);
    harness.table_up = false;
    harness.advance(ms(20));
    let target = Target::Service("base".into());
    harness.dispatch(Job {
        target,
        ..claimed(1, "base")
    });
    harness.advance(ms(200));
    assert_eq!(harness.outcome(1), Some(Outcome::Ran));
    assert!(harness.lease_calls.is_empty());
}

/// Guards against a request that stays in the batch after its deadline because the engine does not
/// respond.
#[test]
fn unanswered_request_is_cancelled_at_deadline() {
    let mut harness = Harness::new(config(1, 2, 8));
    harness.service_time = Duration::from_secs(60);
    for dispatched in [job(1, "a@1"), claimed(2, "a@1")] {
        harness.dispatch(Job {
            left: ms(2_000),
            ..dispatched
        });
    }
    harness.advance(ms(2_100));
    assert_eq!(harness.end(1).failure, Some(Failure::Deadline));
    assert_eq!(harness.outcome(2), None, "a claimed job runs to its end");
    assert!(harness.now > Time::from_ms(2_000));
}

/// Guards against a report or a dump that does not follow the state of queue, batch and slots.
#[test]
fn report_follows_state() {
    let mut harness = Harness::new(config(2, 1, 8));
    let first = harness.core.report(harness.now);
    assert_eq!(harness.core.report(harness.now).seq, first.seq);
    harness.dispatch(job(1, "a@1"));
    harness.dispatch(job(2, "b@1"));
    harness.advance(ms(10));
    let report = harness.core.report(harness.now);
    assert!(report.seq > first.seq);
    assert_eq!((report.stalled, report.loading.len()), (2, 2));
    harness.advance(ms(260));
    let report = harness.core.report(harness.now);
    assert_eq!((report.running, report.queued, report.stalled), (1, 1, 0));
    assert_eq!((report.resident.len(), report.idle), (2, 0));
    let dump = serde_json::to_value(harness.core.dump(harness.now)).unwrap();
    assert_eq!(dump["slots"][1]["reason"], "promised to queued jobs");
}
