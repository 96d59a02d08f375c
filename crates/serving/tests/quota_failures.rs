//! Checks limits while entries, links and agents fail: what is lost must stay small, and no failure may let a
//! tenant use more than its limit allows in a window.

mod quota_sim;

use std::time::Duration;

use decision::time::Time;
use quota_sim::World;
use quota_sim::quota;
use quota_sim::tenants;
use serving::quota::Accounts;
use serving::quota::Ask;
use serving::quota::BUSY_TERM;
use serving::quota::Bucket;
use serving::quota::Grant;
use serving::quota::Membership;
use serving::quota::SharedBucket;
use serving::quota::Shares;
use serving::quota::TokenRequest;
use serving::tenants::Quota;

/// Sends requests to all entries in turn, at this many tokens a second.
fn send(world: &mut World, entries: usize, rate: f64, ms: u64) {
    let mut owed = 0.0;
    for _ in 0..ms {
        owed += rate / 1_000.0;
        while owed > 0.0 {
            let entry = world.rng.usize(..entries);
            let cost = world.rng.u64(200..=10_000);
            owed -= cost as f64;
            world.request(entry, "t0", cost);
        }
        world.advance(1);
    }
}

fn request(quota: Quota, want: u64) -> TokenRequest {
    TokenRequest {
        version: 1,
        quota,
        want,
        least: want,
        spent: 0,
        moved: false,
        membership: None,
    }
}

/// An entry that stops while it holds tokens must not keep them from the others for long.
#[test]
fn entry_stops() {
    let limit = quota(100_000.0);
    let mut world = World::new(4, 3, &[limit]);
    send(&mut world, 4, 400_000.0, 4_000);
    world.stop_entry(2);
    let began_at = world.now;
    send(&mut world, 2, 400_000.0, 4_000);
    let used = world.used_since("t0", began_at) as f64;
    assert!(used >= 0.9 * 400_000.0, "used {used}");
    world.check_bound("t0", limit);
}

/// An entry that is cut off from all agents, while the others are not, must serve its part of the limit, and all of
/// them together no more than the bound.
#[test]
fn entry_cut_off() {
    let limit = quota(100_000.0);
    let mut world = World::new(10, 3, &[limit]);
    world.cut_off(0);
    let began_at = world.now;
    for _ in 0..8_000 {
        let cost = world.rng.u64(200..=2_000);
        world.request(0, "t0", cost);
        world.advance(1);
    }
    let used = world.used_since("t0", began_at) as f64;
    assert!((70_000.0..=100_000.0).contains(&used), "used {used}");
    send(&mut world, 10, 400_000.0, 9_000);
    world.check_bound("t0", limit);
}

/// Entries without any agent must each serve their part of the limit, and no more.
#[test]
fn no_agent() {
    let limit = quota(100_000.0);
    let mut world = World::new(4, 1, &[limit]);
    let began_at = world.now;
    world.stop_agent(0);
    send(&mut world, 4, 400_000.0, 8_000);
    let used = world.used_since("t0", began_at) as f64;
    assert!(used >= 0.8 * 800_000.0, "used {used}");
    world.start_agent(0);
    send(&mut world, 4, 400_000.0, 8_000);
    world.check_bound("t0", limit);
}

/// The bound must hold in a window with the restart of the agent that has the bucket, for the rates of all
/// sizes, and the next agent must serve meanwhile.
#[test]
fn agent_restarts() {
    for rate in [29_000.0, 100_000.0, 450_000.0] {
        for down_ms in [300, 1_500, 20_000] {
            let limit = quota(rate);
            let mut world = World::new(31, 5, &[limit]);
            let began_at = world.now;
            let holder = world.holder("t0");
            send(&mut world, 31, 4.0 * rate, 2_000);
            world.stop_agent(holder);
            send(&mut world, 31, 4.0 * rate, down_ms);
            world.start_agent(holder);
            send(&mut world, 31, 4.0 * rate, 10_000);
            world.check_bound("t0", limit);
            let seconds = world.now.since(began_at).as_secs_f64();
            let used = world.used_since("t0", began_at) as f64;
            assert!(used >= 0.9 * seconds * rate, "used {used} at {rate}");
        }
    }
}

/// A frozen agent must be replaced at once, and grant no further burst when it goes on.
#[test]
fn frozen_agent() {
    for freeze_ms in [200, 1_000, 2_000, 5_000] {
        let limit = quota(450_000.0);
        let mut world = World::new(31, 5, &[limit]);
        let holder = world.holder("t0");
        send(&mut world, 31, 1_800_000.0, 2_000);
        let frozen_at = world.now;
        world.freeze_agent(holder, freeze_ms);
        send(&mut world, 31, 1_800_000.0, 9_000);
        let used = world.used_since("t0", frozen_at) as f64;
        assert!(
            used >= 0.9 * 9.0 * 450_000.0,
            "used {used} with {freeze_ms} ms"
        );
        world.check_bound("t0", limit);
    }
}

/// Two agents that both have a bucket of a tenant must not grant two bursts again and again.
#[test]
fn two_agents() {
    let limit = quota(100_000.0);
    let mut world = World::new(10, 2, &[limit]);
    let holder = world.holder("t0");
    for _ in 0..8 {
        for entry in 0..10 {
            world.cut_link(entry, holder);
        }
        send(&mut world, 10, 400_000.0, 2_000);
    }
    world.check_bound("t0", limit);
}

/// A clock that stands still or goes back must neither fill a bucket nor empty it.
#[test]
fn clock_stands() {
    let limit = quota(1_000.0);
    let mut bucket = Bucket::new(Time::from_ms(5_000), 1, limit);
    let now = Time::from_ms(6_000);
    assert_eq!(bucket.ask(now, 1.0, &request(limit, 400)).granted, 400);
    assert_eq!(bucket.ask(now, 1.0, &request(limit, 600)).granted, 600);
    let refused = bucket.ask(Time::from_ms(1_000), 1.0, &request(limit, 100));
    assert_eq!(refused.granted, 0);
    assert_eq!(refused.wait, Duration::from_millis(100));
    assert_eq!(bucket.ask(now, 1.0, &request(limit, 1)).granted, 0);
    let later = Time::from_ms(6_100);
    assert_eq!(bucket.ask(later, 1.0, &request(limit, 100)).granted, 100);
}

/// What was spent on credit must be subtracted, below zero too, and repaid before anything is granted.
#[test]
fn credit_repaid() {
    let limit = quota(1_000.0);
    let now = Time::from_ms(1_000);
    let mut bucket = Bucket::new(now, 1, limit);
    let spent = TokenRequest {
        spent: 500,
        ..request(limit, 100)
    };
    let grant = bucket.ask(now, 1.0, &spent);
    assert_eq!((grant.granted, grant.wait.as_millis()), (0, 600));
    let early = now.after(Duration::from_millis(400));
    assert_eq!(bucket.ask(early, 1.0, &request(limit, 1)).granted, 0);
    let later = now.after(Duration::from_millis(600));
    assert_eq!(bucket.ask(later, 1.0, &request(limit, 100)).granted, 100);
}

/// An agent that keeps answering too late must be left until it answers in time: each late answer that brought
/// entries back would cost another wait, after which the waiting requests are refused.
#[test]
fn late_agent() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut accounts = Accounts::new(
        1,
        Shares {
            entries: 31,
            slack: 0.0,
            excess_s: 0.0,
        },
    );
    accounts.set_limits(1, Some(&tenants(&[quota(29_000.0)])));
    accounts.link(&"r0".into());
    accounts.link(&"r1".into());
    let at = |ms: u64| Time::from_ms(1_000 + ms);
    let mut answer = |accounts: &mut Accounts, now, ask: &Ask| {
        let grant = Grant::default();
        accounts.apply(now, &ask.agent, &ask.tenant, ask.id, grant, &mut rng);
    };

    let first = accounts.due(at(0)).remove(0);
    let to_first = |asks: &[Ask]| asks.iter().find(|ask| ask.agent == first.agent).cloned();
    // One late answer may be the fault of the entry.
    assert_eq!(accounts.due(at(150)), []);
    let other = accounts.due(at(151)).remove(0);
    assert_ne!(other.agent, first.agent);
    answer(&mut accounts, at(152), &other);
    answer(&mut accounts, at(160), &first);
    let late = to_first(&accounts.due(at(400))).expect("the entry returns");
    assert_eq!(accounts.due(at(550)), []);
    let other = accounts.due(at(551)).remove(0);
    assert_ne!(other.agent, first.agent);
    answer(&mut accounts, at(552), &other);
    answer(&mut accounts, at(560), &late);
    assert_eq!(to_first(&accounts.due(at(900))), None);

    for (asked_ms, answered_ms, returns) in [(1_050, 1_250, false), (1_700, 1_702, true)] {
        let probe = to_first(&accounts.due(at(asked_ms))).expect("a silent agent is probed");
        answer(&mut accounts, at(answered_ms), &probe);
        let next = to_first(&accounts.due(at(answered_ms + 200)));
        assert_eq!(next.is_some(), returns, "{next:?}");
    }
}

/// Returns a request of the only entry, which names an answer of the agent.
fn member_request(quota: Quota, want: u64, stamp: u64) -> TokenRequest {
    TokenRequest {
        membership: Some(Membership {
            holder: 1,
            entries: 1,
            stamp,
            term: BUSY_TERM,
        }),
        ..request(quota, want)
    }
}

/// An agent whose clock has counted a freeze must not grant a burst to entries that were served elsewhere
/// meanwhile, though it first answers what had been asked before.
#[test]
fn asks_from_before_a_freeze() {
    let limit = quota(1_000.0);
    let began_at = Time::from_ms(1_000);
    let mut bucket = SharedBucket::new(began_at, &request(limit, 0));
    let mut stamp = 0;
    for ms in (1_000..=2_600).step_by(200) {
        let asked = member_request(limit, 0, stamp);
        stamp = bucket.ask(Time::from_ms(ms), &asked).stamp;
    }
    assert!(bucket.level() >= 999.0, "{}", bucket.level());
    let resumed_at = Time::from_ms(5_000);
    let before = member_request(limit, 10, stamp);
    assert_eq!(bucket.ask(resumed_at, &before).granted, 0);
    let moved = TokenRequest {
        moved: true,
        ..member_request(limit, 500, 0)
    };
    let returned = bucket.ask(Time::from_ms(5_005), &moved);
    assert_eq!(returned.granted, 0);
    let early = member_request(limit, 500, returned.stamp);
    let again = bucket.ask(Time::from_ms(5_010), &early);
    assert_eq!(again.granted, 0);
    let later = member_request(limit, 500, again.stamp);
    assert_eq!(bucket.ask(Time::from_ms(5_515), &later).granted, 500);
}

/// Parts that are with different agents must fill their buckets by one limit together, and a part that is taken away
/// must leave nothing behind.
#[test]
fn parts_of_a_limit() {
    const TERM: Duration = Duration::from_secs(1);
    let limit = quota(1_000.0);
    let ask = |holder, entries, stamp, term| TokenRequest {
        membership: Some(Membership {
            holder,
            entries,
            stamp,
            term,
        }),
        ..request(limit, 0)
    };
    let mut bucket = SharedBucket::new(Time::from_ms(1_000), &request(limit, 0));
    for holder in 1..=3 {
        let first = bucket.ask(Time::from_ms(1_000), &ask(holder, 4, 0, TERM));
        bucket.ask(Time::from_ms(1_000), &ask(holder, 4, first.stamp, TERM));
    }
    let probe = ask(9, 0, 0, Duration::ZERO);
    bucket.ask(Time::from_ms(1_400), &probe);
    assert!((bucket.level() - 300.0).abs() < 1.0, "{}", bucket.level());
    bucket.ask(Time::from_ms(1_400), &ask(1, 4, 0, Duration::ZERO));
    bucket.ask(Time::from_ms(1_900), &probe);
    assert!((bucket.level() - 500.0).abs() < 1.0, "{}", bucket.level());
    // The other terms have ended.
    bucket.ask(Time::from_ms(2_000), &probe);
    assert!(bucket.level().abs() < 1.0, "{}", bucket.level());
}
