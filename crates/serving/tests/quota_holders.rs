//! Guards against two agents that both grant a tenant's whole limit, because some entries have no answer of one of
//! them in time while others do.

mod quota_sim;

use quota_sim::World;
use quota_sim::quota;

const ENTRIES: usize = 31;
const AGENTS: usize = 5;
/// The entries of one failure domain.
const DOMAIN: std::ops::Range<usize> = 0..10;

/// Sends requests to all entries in turn, at this many tokens a second.
fn send(world: &mut World, rate: f64, ms: u64) {
    let mut owed = 0.0;
    for _ in 0..ms {
        owed += rate / 1_000.0;
        while owed > 0.0 {
            let entry = world.rng.usize(..ENTRIES);
            let cost = world.rng.u64(200..=10_000);
            owed -= cost as f64;
            world.request(entry, "t0", cost);
        }
        world.advance(1);
    }
}

fn set_loss(world: &mut World, share: f64) {
    for entry in DOMAIN {
        world.set_loss(entry, share);
    }
}

/// A failure domain loses packets, one after the other, while a tenant sends many times its limit.
#[test]
fn lost_packets() {
    for rate in [100_000.0, 230_000.0, 700_000.0] {
        for share in [0.01, 0.025, 0.1] {
            let limit = quota(rate);
            let mut world = World::new(ENTRIES, AGENTS, &[limit]);
            set_loss(&mut world, share);
            send(&mut world, 4.0 * rate, 12_000);
            world.check_bound("t0", limit);
        }
    }
}

/// Some entries have no answer of the agent for a while, and their messages arrive after that.
#[test]
fn held_up_messages() {
    for ms in [200, 400, 900, 1_500, 3_000, 6_000] {
        let limit = quota(300_000.0);
        let mut world = World::new(ENTRIES, AGENTS, &[limit]);
        let holder = world.holder("t0");
        for _ in 0..3 {
            send(&mut world, 1_200_000.0, 1_000);
            for entry in DOMAIN {
                world.hold_up(entry, holder, ms);
            }
            send(&mut world, 1_200_000.0, ms);
        }
        send(&mut world, 1_200_000.0, 4_000);
        world.check_bound("t0", limit);
    }
}

/// The agent answers none of the entries for a while, and then all that had been asked.
#[test]
fn agent_held_up() {
    for ms in [300, 1_000, 2_500, 5_000] {
        let limit = quota(300_000.0);
        let mut world = World::new(ENTRIES, AGENTS, &[limit]);
        let holder = world.holder("t0");
        let mut used = 0.0;
        for _ in 0..3 {
            send(&mut world, 1_200_000.0, 2_000);
            for entry in 0..ENTRIES {
                world.hold_up(entry, holder, ms);
            }
            let cut_at = world.now;
            send(&mut world, 1_200_000.0, ms + 2_000);
            used += world.used_since("t0", cut_at) as f64;
        }
        world.check_bound("t0", limit);
        let owed = 3.0 * 300_000.0 * (ms as f64 + 2_000.0) / 1_000.0;
        assert!(used >= 0.6 * owed, "used {used} of {owed} with {ms} ms");
    }
}

/// Random losses, cuts, freezes and restarts at once.
#[test]
fn random_troubles() {
    for seed in 0..40 {
        let rate = [29_000.0, 100_000.0, 300_000.0, 700_000.0][seed as usize % 4];
        let limit = quota(rate);
        let mut world = World::new(ENTRIES, AGENTS, &[limit]);
        world.rng = fastrand::Rng::with_seed(seed);
        for _ in 0..16 {
            let first = world.rng.usize(..ENTRIES);
            let agent = world.rng.usize(..AGENTS);
            let ms = world.rng.u64(100..4_000);
            match world.rng.u8(..8) {
                0..2 => set_loss(&mut world, 0.05),
                2..4 => set_loss(&mut world, 0.0),
                4..6 => {
                    for entry in first..(first + 10).min(ENTRIES) {
                        world.hold_up(entry, agent, ms);
                    }
                }
                6 => world.freeze_agent(agent, ms),
                _ => {
                    world.stop_agent(agent);
                    world.start_agent(agent);
                }
            }
            send(&mut world, 4.0 * rate, 1_000);
        }
        world.check_bound("t0", limit);
    }
}

/// What is below the limit must be served although packets are lost.
#[test]
fn below_the_limit() {
    let limit = quota(300_000.0);
    let mut world = World::new(ENTRIES, AGENTS, &[limit]);
    set_loss(&mut world, 0.025);
    let began_at = world.now;
    send(&mut world, 165_000.0, 10_000);
    let used = world.used_since("t0", began_at) as f64;
    println!(
        "used {used}, refused {}, waited {}",
        world.refused, world.waited
    );
    assert!(used >= 0.95 * 1_650_000.0, "used {used}");
    world.check_bound("t0", limit);
}
