//! Lease and fencing: who may command the engine, and when.

mod harness;
use harness::*;

fn row(holder: u64, token: u64, released: bool) -> LeaseRow {
    LeaseRow {
        token,
        holder: Incarnation(holder),
        released,
    }
}

/// Returns when the agent sends its first command, and the token that it carries.
fn first_command(fencing: Fencing, held: Option<LeaseRow>) -> (u64, u64) {
    let mut config = config(1, 1, 8);
    config.fencing = fencing;
    let mut harness = Harness::cold(config, OWN);
    harness.row = held.map(|row| (5, row));
    harness.dispatch(harness::job(1, "a@1"));
    harness.run(ms(29_000));
    let (at, _, token) = harness.loads[0].clone();
    (at.as_ms(), token)
}

/// Guards against two processes that command one engine: a lease is taken over only when it was not
/// renewed for its whole time, and then an engine that ignores tokens is left alone for another.
#[test]
fn takeover_waits() {
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

/// Guards against a holder that was paused and resumes as if nothing had happened.
#[test]
fn paused_holder_renews_before_next_command() {
    let mut harness = Harness::new(config(2, 1, 8));
    assert!(harness.core.may_command(harness.now));
    harness.ticking = false;
    harness.run(ms(3_100));
    harness.dispatch(job(1, "a@1"));
    assert!(harness.asks.is_empty(), "no command without a tick");
    harness.row = Some((9, row(99, 9, false)));
    harness.ticking = true;
    harness.run(ms(1_000));
    assert!(
        harness.loads.is_empty(),
        "the lease was taken over meanwhile"
    );
    assert!(!harness.core.may_command(harness.now));
}

/// Guards against an answer that was on its way during a pause and renews nothing.
#[test]
fn late_renewal_does_not_count() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.run(ms(2_985));
    let sent = harness.leases.len();
    harness.run(ms(6));
    assert_eq!(harness.leases.len(), sent + 1, "a renewal is on its way");
    harness.ticking = false;
    let before = harness.now;
    harness.now = before.after(Duration::from_secs(30));
    harness.run(ms(1));
    assert!(!harness.core.may_command(harness.now));
}

/// Guards against a table outage that stops loads although nobody else can take the lease, and
/// against commands of a restarted agent that has none.
#[test]
fn table_outage_keeps_holder_only() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.table_up = false;
    harness.run(Duration::from_secs(60));
    harness.dispatch(job(1, "a@1"));
    harness.run(ms(500));
    assert_eq!(harness.loads.len(), 1);

    let mut fresh = Harness::cold(config(2, 2, 8), Incarnation(8));
    fresh.table_up = false;
    fresh.resident.insert("a@1".into());
    fresh.run(ms(20));
    fresh.dispatch(job(1, "a@1"));
    fresh.dispatch(job(2, "b@1"));
    fresh.run(Duration::from_secs(20));
    assert_eq!(fresh.submits.len(), 1, "what is resident is served");
    assert!(fresh.loads.is_empty());
}

/// Guards against a lost answer to a write: the row is read back before the next write.
#[test]
fn lost_answer_is_read_back() {
    let mut harness = Harness::cold(config(2, 1, 8), OWN);
    harness.row = Some((3, row(OWN.0, 4, false)));
    harness.run(ms(50));
    assert!(harness.core.may_command(harness.now));
    assert_eq!(harness.row.unwrap().1, row(OWN.0, 4, false));
    harness.table_up = false;
    harness.run(ms(3_100));
    harness.row = harness.row.map(|(version, row)| (version + 1, row));
    harness.table_up = true;
    harness.run(ms(1_100));
    let tail = &harness.leases[harness.leases.len() - 2..];
    assert!(matches!(tail, [LeaseCall::Read, LeaseCall::Write { .. }]));
    assert!(harness.core.may_command(harness.now));
}

/// Guards against a second holder that goes on after the engine rejected its token.
#[test]
fn fenced_agent_stops_commands() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.failing = vec![CommandFault::Fenced];
    harness.row = Some((9, row(99, 9, false)));
    harness.dispatch(job(1, "a@1"));
    harness.run(ms(3_000));
    assert_eq!(harness.loads.len(), 1);
    assert!(!harness.core.may_command(harness.now));
}

/// Guards against a foreign command to the engine that goes unnoticed.
#[test]
fn drift_is_reconciled() {
    let mut harness = Harness::new(config(2, 1, 8));
    harness.dispatch(claimed(1, "a@1"));
    harness.run(ms(1_000));
    harness.resident.clear();
    harness.resident.insert("x@1".into());
    harness.run(ms(5_100));
    assert_eq!(harness.core.counters().drifts, 1);
    assert_eq!(harness.core.report(harness.now).resident, ["x@1".into()]);
    harness.dispatch(job(2, "a@1"));
    harness.run(ms(1_000));
    assert_eq!(harness.loads.len(), 2);
    assert!(harness.now > Time::from_ms(7_000));
}
