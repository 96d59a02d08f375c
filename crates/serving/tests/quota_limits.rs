//! Checks changes of limits, and many tenants: a lowered limit must bind within a window, a raised one at once,
//! and what is kept for tenants must stay bounded.

mod quota_sim;

use std::time::Duration;

use decision::time::Time;
use quota_sim::World;
use quota_sim::bound;
use quota_sim::quota;
use quota_sim::tenants;
use serving::line_limit::LineLimit;
use serving::quota::Accounts;
use serving::quota::Bucket;
use serving::quota::Buckets;
use serving::quota::Decision;
use serving::quota::Shares;
use serving::quota::TokenRequest;
use serving::tenants::Quota;

fn send(world: &mut World, entries: usize, tenant: &str, rate: f64, ms: u64) {
    let mut owed = 0.0;
    for _ in 0..ms {
        owed += rate / 1_000.0;
        while owed > 0.0 {
            let entry = world.rng.usize(..entries);
            let cost = world.rng.u64(200..=5_000);
            owed -= cost as f64;
            world.request(entry, tenant, cost);
        }
        world.advance(1);
    }
}

fn request(version: u64, quota: Quota, want: u64) -> TokenRequest {
    TokenRequest {
        version,
        quota,
        want,
        least: want,
        spent: 0,
        moved: false,
        membership: None,
    }
}

fn shares() -> Shares {
    Shares {
        entries: 1,
        slack: 0.0,
        excess_s: 0.0,
    }
}

/// A limit that is lowered tenfold must bind one window later.
#[test]
fn lowered_tenfold() {
    let (before, after) = (quota(300_000.0), quota(30_000.0));
    let mut world = World::new(10, 3, &[before]);
    send(&mut world, 10, "t0", 1_200_000.0, 4_000);
    world.set_limits(&[after]);
    world.advance(1_000);
    let lowered_at = world.now;
    send(&mut world, 10, "t0", 1_200_000.0, 8_000);
    let used = world.used_since("t0", lowered_at) as f64;
    assert!(used <= bound(after), "used {used}");
    assert!(used >= 0.8 * 240_000.0, "used {used}");
}

/// A raised limit must be usable at once, burst included.
#[test]
fn raised_tenfold() {
    let (before, after) = (quota(30_000.0), quota(300_000.0));
    let mut world = World::new(10, 3, &[before]);
    send(&mut world, 10, "t0", 1_200_000.0, 4_000);
    world.set_limits(&[after]);
    let raised_at = world.now;
    send(&mut world, 10, "t0", 1_200_000.0, 2_000);
    let used = world.used_since("t0", raised_at) as f64;
    assert!(used >= 0.9 * 870_000.0, "used {used}");
}

/// An entry that has an older configuration must not bring back the limit of it, and a lowered limit must
/// forgive no debt.
#[test]
fn older_limit() {
    let now = Time::from_ms(1_000);
    let (old, new) = (quota(1_000.0), quota(100.0));
    let mut bucket = Bucket::new(now, 1, old);
    let full = now.after(Duration::from_secs(2));
    assert_eq!(bucket.ask(full, 1.0, &request(2, new, 500)).granted, 500);
    assert!(bucket.level() < 0.0);
    let mut bucket = Bucket::new(now, 1, old);
    assert_eq!(bucket.ask(full, 1.0, &request(2, new, 100)).granted, 100);
    assert_eq!(bucket.ask(full, 1.0, &request(1, old, 100)).granted, 0);
    let spent = TokenRequest {
        spent: 400,
        ..request(2, new, 0)
    };
    bucket.ask(full, 1.0, &spent);
    bucket.ask(full, 1.0, &request(3, quota(10.0), 0));
    assert!(bucket.level() < -350.0);
}

/// Each of many tenants must get its own limit, with one bucket each.
#[test]
fn many_tenants() {
    for count in [16, 1_600] {
        let limit = quota(29_000.0);
        let mut world = World::new(4, 5, &vec![limit; count]);
        world.advance(6_000);
        for index in 0..count {
            let tenant = format!("t{index}");
            for round in 0..4 {
                world.request(round, &tenant, 5_000);
            }
        }
        world.advance(200);
        assert_eq!(world.refused, 0);
        assert!(world.bucket_count() <= count);
    }
}

/// A bucket that no entry asks for must be dropped, and a flood of names must not grow the table.
#[test]
fn bounded_buckets() {
    let now = Time::from_ms(1_000);
    let limit = quota(1_000.0);
    let mut buckets = Buckets::default();
    for index in 0..3_000 {
        let name = format!("t{index}").into();
        buckets.ask(now, &name, &request(1, limit, 1));
    }
    assert_eq!(buckets.len(), 2_000);
    let later = now.after(Duration::from_secs(61));
    buckets.ask(later, &"new".into(), &request(1, limit, 1));
    buckets.ask(later, &"n".repeat(201).into(), &request(1, limit, 1));
    assert_eq!(buckets.len(), 1);
}

/// Tokens of a request that was not sent must be usable by the next one, but not after they expire.
#[test]
fn given_back() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut accounts = Accounts::new(
        1,
        Shares {
            entries: 1,
            slack: 2_000.0,
            excess_s: 0.0,
        },
    );
    let tenant = "t0".into();
    accounts.set_limits(1, Some(&tenants(&[quota(1_000.0)])));
    let now = Time::from_ms(1_000);
    let (first, _) = accounts.charge(now, &tenant, 1_000, &mut rng);
    let Decision::Admitted(charge) = first else {
        panic!("the credit covers the request");
    };
    let (second, _) = accounts.charge(now, &tenant, 1_000, &mut rng);
    assert!(matches!(second, Decision::Refused(_)));
    let mut accounts = Accounts::new(1, shares());
    accounts.set_limits(1, Some(&tenants(&[quota(1_000.0)])));
    accounts.refund(now, &tenant, charge);
    let (third, _) = accounts.charge(now, &tenant, 1_000, &mut rng);
    let Decision::Admitted(charge) = third else {
        panic!("the tokens were given back");
    };
    let late = now.after(Duration::from_secs(2));
    accounts.refund(late, &tenant, charge);
    assert_eq!(
        accounts.get("t0").map(serving::quota::Account::held),
        Some(0)
    );
}

/// A flood of refusals must not write a line each, and the next line must say how many were left out.
#[test]
fn bounded_lines() {
    let mut lines = LineLimit::new(20);
    let now = Time::from_ms(10_000);
    let written = (0..100).filter(|_| lines.admit(now).is_some()).count();
    assert_eq!(written, 20);
    let later = now.after(Duration::from_secs(1));
    assert_eq!(lines.admit(later), Some(80));
}

/// A slack that is large beside a limit must not let entries spend so much on credit that the tenant is refused for
/// long after.
#[test]
fn bounded_credit() {
    let shares = Shares {
        entries: 10,
        slack: 110_000.0,
        excess_s: 0.0,
    };
    assert!(shares.credit(quota(100.0)) <= 20.0);
    assert!((shares.credit(quota(450_000.0)) - 5_500.0).abs() < 1e-6);
}

/// A request that states an absurd number of tokens must neither be run beyond the limit nor keep its tenant
/// refused for days.
#[test]
fn absurd_cost() {
    let limit = quota(29_000.0);
    let mut world = World::new(4, 3, &[limit]);
    world.request(0, "t0", 2 * u64::from(u32::MAX));
    world.request(1, "t0", u64::MAX);
    world.advance(2_000);
    assert_eq!(
        (world.used_since("t0", Time::default()), world.refused),
        (0, 2)
    );
    for entry in 0..4 {
        world.request(entry, "t0", 5_000);
    }
    world.advance(200);
    assert_eq!(world.refused, 2);
    world.check_bound("t0", limit);
}

/// A request larger than the burst must be served by a full bucket, as long as the slack covers what it exceeds.
#[test]
fn cost_above_burst() {
    let limit = quota(1_000.0);
    let mut world = World::new(4, 3, &[limit]);
    world.request(0, "t0", 10_000);
    world.advance(200);
    assert_eq!(
        (world.used_since("t0", Time::default()), world.refused),
        (10_000, 0)
    );
    world.check_bound("t0", limit);
}

/// When an agent is lost, the limits of all its tenants must be named to other agents soon, however many there
/// are: a bucket that nobody has named is empty when the traffic of its tenant begins.
#[test]
fn many_renamed() {
    let count = 600;
    let mut world = World::new(1, 2, &vec![quota(29_000.0); count]);
    world.advance(5_000);
    world.stop_agent(0);
    world.advance(3_000);
    assert_eq!(world.bucket_count(), count);
}
