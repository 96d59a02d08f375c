//! Lease and fencing: who may command the engine, and when.

mod world;
use world::*;

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
    let mut world = World::cold(config, OWN);
    world.row = held.map(|row| (5, row));
    world.dispatch(world::job(1, "a@1"));
    world.run(ms(29_000));
    let (at, _, token) = world.loads[0].clone();
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
    let mut world = World::new(config(2, 1, 8));
    assert!(world.core.may_command(world.now));
    world.ticking = false;
    world.run(ms(3_100));
    world.dispatch(job(1, "a@1"));
    assert!(world.asks.is_empty(), "no command without a tick");
    world.row = Some((9, row(99, 9, false)));
    world.ticking = true;
    world.run(ms(1_000));
    assert!(world.loads.is_empty(), "the lease was taken over meanwhile");
    assert!(!world.core.may_command(world.now));
}

/// Guards against an answer that was on its way during a pause and renews nothing.
#[test]
fn late_renewal_does_not_count() {
    let mut world = World::new(config(2, 1, 8));
    world.run(ms(2_985));
    let sent = world.leases.len();
    world.run(ms(6));
    assert_eq!(world.leases.len(), sent + 1, "a renewal is on its way");
    world.ticking = false;
    let before = world.now;
    world.now = before.after(Duration::from_secs(30));
    world.run(ms(1));
    assert!(!world.core.may_command(world.now));
}

/// Guards against a table outage that stops loads although nobody else can take the lease, and
/// against commands of a restarted agent that has none.
#[test]
fn table_outage_keeps_holder_only() {
    let mut world = World::new(config(2, 1, 8));
    world.table_up = false;
    world.run(Duration::from_secs(60));
    world.dispatch(job(1, "a@1"));
    world.run(ms(500));
    assert_eq!(world.loads.len(), 1);

    let mut fresh = World::cold(config(2, 2, 8), Incarnation(8));
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
    let mut world = World::cold(config(2, 1, 8), OWN);
    world.row = Some((3, row(OWN.0, 4, false)));
    world.run(ms(50));
    assert!(world.core.may_command(world.now));
    assert_eq!(world.row.unwrap().1, row(OWN.0, 4, false));
    world.table_up = false;
    world.run(ms(3_100));
    world.row = world.row.map(|(version, row)| (version + 1, row));
    world.table_up = true;
    world.run(ms(1_100));
    let tail = &world.leases[world.leases.len() - 2..];
    assert!(matches!(tail, [LeaseCall::Read, LeaseCall::Write { .. }]));
    assert!(world.core.may_command(world.now));
}

/// Guards against a second holder that goes on after the engine rejected its token.
#[test]
fn fenced_agent_stops_commands() {
    let mut world = World::new(config(2, 1, 8));
    world.failing = vec![CommandFault::Fenced];
    world.row = Some((9, row(99, 9, false)));
    world.dispatch(job(1, "a@1"));
    world.run(ms(3_000));
    assert_eq!(world.loads.len(), 1);
    assert!(!world.core.may_command(world.now));
}

/// Guards against a foreign command to the engine that goes unnoticed.
#[test]
fn drift_is_reconciled() {
    let mut world = World::new(config(2, 1, 8));
    world.dispatch(claimed(1, "a@1"));
    world.run(ms(1_000));
    world.resident.clear();
    world.resident.insert("x@1".into());
    world.run(ms(5_100));
    assert_eq!(world.core.counters().drifts, 1);
    assert_eq!(world.core.report(world.now).resident, ["x@1".into()]);
    world.dispatch(job(2, "a@1"));
    world.run(ms(1_000));
    assert_eq!(world.loads.len(), 2);
    assert!(world.now > Time::from_ms(7_000));
}
