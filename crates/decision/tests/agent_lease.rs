//! Lease and fencing: which agent may send commands to the engine, and when.

mod harness;
use harness::*;

fn row(holder: u64, token: u64, released: bool) -> LeaseRow {
    LeaseRow {
        token,
        holder: Incarnation(holder),
        released,
    }
}

/// Returns the time of the agent's first load command in milliseconds, and its fencing token.
fn first_command(fencing: Fencing, held: Option<LeaseRow>) -> (u64, u64) {
    let mut config = config(1, 1, 8);
    config.fencing = fencing;
    let mut harness = Harness::unstarted(config, OWN);
    harness.lease_row = held.map(|row| (5, row));
    harness.dispatch(harness::job(1, "a@1"));
    harness.advance(ms(29_000));
    let (at, _, token) = harness.loads[0].clone();
    (at.as_ms(), token)
}

/// Guards against two processes that send commands to one engine: a lease is taken over only after
/// it was not renewed for its full time to live. If the engine ignores tokens, the new holder waits
/// for the same time again before its first command.
#[test]
fn takeover_waits_for_expiry() {
    let cases = [
        (Fencing::Ignored, None, 0..100, 1),
        (Fencing::Ignored, Some(row(1, 4, true)), 0..100, 5),
        (Fencing::Checked, Some(row(1, 4, false)), 10_000..11_200, 5),
        (Fencing::Ignored, Some(row(1, 4, false)), 20_000..21_300, 5),
    ];
    for (fencing, held, expected, token) in cases {
        let (at, seen) = first_command(fencing, held);
        assert!(expected.contains(&at), "{fencing:?} {held:?}: {at} ms");
        assert_eq!(seen, token);
    }
}

/// Guards against a lease holder that sends commands after a pause without renewing the lease.
#[test]
fn paused_holder_renews_before_next_command() {
    let mut harness = Harness::new(config(2, 1, 8));
    assert!(harness.core.may_command(harness.now));
    harness.ticking = false;
    harness.advance(ms(3_100));
    harness.dispatch(job(1, "a@1"));
    assert!(
        harness.permit_requests.is_empty(),
        "no command without a tick"
    );
    harness.lease_row = Some((9, row(99, 9, false)));
    harness.ticking = true;
    harness.advance(ms(1_000));
    assert!(
        harness.loads.is_empty(),
        "the lease was taken over during the pause"
    );
    assert!(!harness.core.may_command(harness.now));
}

/// Guards against extending the lease by a renewal that was sent before a pause and confirmed after
/// it.
#[test]
fn renewal_sent_before_pause_does_not_count() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.advance(ms(2_985));
    let sent = harness.lease_calls.len();
    harness.advance(ms(6));
    assert_eq!(harness.lease_calls.len(), sent + 1, "a renewal is pending");
    harness.ticking = false;
    let before = harness.now;
    harness.now = before.after(Duration::from_secs(30));
    harness.advance(ms(1));
    assert!(!harness.core.may_command(harness.now));
}

/// Guards against a table outage that stops the loads of a lease holder although no other agent can
/// take the lease, and against commands from a restarted agent that holds none.
#[test]
fn holder_keeps_lease_during_table_outage() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.table_up = false;
    harness.advance(Duration::from_secs(60));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(500));
    assert_eq!(harness.loads.len(), 1);

    let mut fresh = Harness::unstarted(config(2, 2, 8), Incarnation(8));
    fresh.table_up = false;
    fresh.resident.insert("a@1".into());
    fresh.advance(ms(20));
    fresh.dispatch(job(1, "a@1"));
    fresh.dispatch(job(2, "b@1"));
    fresh.advance(Duration::from_secs(20));
    assert_eq!(fresh.submitted.len(), 1, "jobs for resident versions run");
    assert!(fresh.loads.is_empty());
}

/// Guards against a write after a lost response: the row is read again first.
#[test]
fn row_is_read_again_after_lost_response() {
    let mut harness = Harness::unstarted(config(2, 1, 8), OWN);
    harness.lease_row = Some((3, row(OWN.0, 4, false)));
    harness.advance(ms(50));
    assert!(harness.core.may_command(harness.now));
    assert_eq!(harness.lease_row.unwrap().1, row(OWN.0, 4, false));
    harness.table_up = false;
    harness.advance(ms(3_100));
    harness.lease_row = harness.lease_row.map(|(version, row)| (version + 1, row));
    harness.table_up = true;
    harness.advance(ms(1_100));
    let last_calls = &harness.lease_calls[harness.lease_calls.len() - 2..];
    assert!(matches!(
        last_calls,
        [LeaseCall::Read, LeaseCall::Write { .. }]
    ));
    assert!(harness.core.may_command(harness.now));
}

/// Guards against a former holder that sends commands after the engine rejected its token.
#[test]
fn fenced_agent_stops_commands() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.load_faults = vec![CommandFault::Fenced];
    harness.lease_row = Some((9, row(99, 9, false)));
    harness.dispatch(job(1, "a@1"));
    harness.advance(ms(3_000));
    assert_eq!(harness.loads.len(), 1);
    assert!(!harness.core.may_command(harness.now));
}

/// Guards against missing a load or unload in the engine that this agent did not command.
#[test]
fn drift_is_reconciled() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(claimed(1, "a@1"));
    harness.advance(ms(1_000));
    harness.resident.clear();
    harness.resident.insert("x@1".into());
    harness.advance(ms(5_100));
    assert_eq!(harness.core.counters().drifts, 1);
    assert_eq!(harness.core.report(harness.now).resident, ["x@1".into()]);
    harness.dispatch(job(2, "a@1"));
    harness.advance(ms(1_000));
    assert_eq!(harness.loads.len(), 2);
    assert!(harness.now > Time::from_ms(7_000));
}
