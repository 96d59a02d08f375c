//! Permits: rate, number, order, expiry, choice of the coordinator, and the asker's fallback.

use std::collections::BTreeMap;
use std::time::Duration;

use decision::ids::Incarnation;
use decision::ids::Name;
use decision::permit::ClientStep;
use decision::permit::Coordinator;
use decision::permit::Grant;
use decision::permit::PermitClient;
use decision::permit::PermitReply;
use decision::permit::PermitRequest;
use decision::permit::rank_coordinators;
use decision::time::Time;

fn ask(endpoint: &str, waiting: u32, left_ms: u64, expected: u32) -> PermitRequest {
    PermitRequest {
        endpoint: endpoint.into(),
        incarnation: Incarnation(1),
        version: "a@1".into(),
        waiting,
        left: Duration::from_millis(left_ms),
        expected,
    }
}

fn granted(reply: PermitReply) -> Option<u64> {
    match reply {
        PermitReply::Granted(grant) => Some(grant.id),
        PermitReply::Wait(_) => None,
    }
}

/// Lets 20 agents ask every 10 ms for 10 s, each holding its permits for `hold` ms; returns the
/// number of grants and the most that were outstanding at once.
fn contend(hold: u64) -> (usize, usize) {
    let mut coordinator = Coordinator::new(Time::default(), 5.0, 3, 1);
    let mut held: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut total, mut most) = (0, 0);
    for ms in (0..10_000).step_by(10) {
        let due = held.iter().filter(|(_, until)| **until <= ms);
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            held.remove(&id);
            coordinator.release(Time::from_ms(ms), id);
        }
        for agent in 0..20 {
            let ask = ask(&format!("e{agent}"), 1, 30_000, 0);
            let Some(id) = granted(coordinator.request(Time::from_ms(ms), ask)) else {
                continue;
            };
            total += !held.contains_key(&id) as usize;
            held.entry(id).or_insert(ms + hold);
        }
        most = most.max(held.len());
    }
    (total, most)
}

/// Guards against overloading the weight store by rate or by number of loads at once. Permits that
/// are held longer than the store takes, because the engine takes the weights in, may overlap only
/// as far as the rate needs: 5 loads/s held for 1 s are five.
#[test]
fn rate_and_number_are_limited() {
    for (hold, limit) in [(0, 3), (100, 3), (600, 3), (1_000, 5), (1_500, 8)] {
        let (total, most) = contend(hold);
        assert!(most <= limit, "{most} at once with a hold of {hold} ms");
        assert!(total <= 53, "{total} loads in 10 s at 5/s, hold {hold} ms");
        assert!(total >= 40, "{total} loads only, hold {hold} ms");
    }
}

/// Guards against serving whoever asks first instead of who has the most urgent work.
#[test]
fn urgent_work_is_served_first() {
    let cases = [
        (ask("busy", 9, 30_000, 0), ask("quiet", 1, 30_000, 0)),
        (ask("soon", 1, 2_000, 0), ask("later", 1, 30_000, 0)),
        (ask("used", 1, 30_000, 900), ask("unused", 1, 30_000, 1)),
    ];
    for (first, second) in cases {
        let mut coordinator = Coordinator::new(Time::default(), 1.0, 1, 1);
        let held = coordinator.request(Time::default(), ask("other", 1, 30_000, 0));
        let id = granted(held).expect("the first load is free");
        let early = Time::from_ms(900);
        assert_eq!(granted(coordinator.request(early, second.clone())), None);
        assert_eq!(granted(coordinator.request(early, first.clone())), None);
        coordinator.release(Time::from_ms(1_100), id);
        let now = Time::from_ms(1_101);
        assert_eq!(granted(coordinator.request(now, second)), None);
        assert!(granted(coordinator.request(now, first)).is_some());
    }
}

/// Guards against permits that are lost for ever with an agent that died or an ask that was given
/// up.
#[test]
fn grants_and_asks_expire() {
    let mut coordinator = Coordinator::new(Time::default(), 10.0, 1, 1);
    assert!(granted(coordinator.request(Time::default(), ask("dead", 1, 30_000, 0))).is_some());
    let at = |ms| Time::from_ms(ms);
    coordinator.request(at(9_000), ask("gone", 9, 30_000, 0));
    assert_eq!(
        granted(coordinator.request(at(9_990), ask("live", 1, 30_000, 0))),
        None
    );
    assert!(granted(coordinator.request(at(10_000), ask("live", 1, 30_000, 0))).is_some());
}

/// Guards against a repeated ask, after a lost reply, that takes a second permit.
#[test]
fn repeated_ask_gets_same_grant() {
    let mut coordinator = Coordinator::new(Time::default(), 100.0, 3, 1);
    let first = granted(coordinator.request(Time::from_ms(50), ask("e", 1, 30_000, 0)));
    let again = granted(coordinator.request(Time::from_ms(90), ask("e", 1, 30_000, 0)));
    assert!(first.is_some() && first == again);
}

/// Guards against agents that choose different coordinators from the same list, and against a
/// change of the list that moves more than it has to.
#[test]
fn coordinator_does_not_depend_on_list_order() {
    let mut live: Vec<Name> = (0..40).map(|n| format!("e{n}").as_str().into()).collect();
    let chosen = rank_coordinators("weights", &live);
    live.reverse();
    assert_eq!(rank_coordinators("weights", &live), chosen);
    live.retain(|name| *name != chosen[0]);
    assert_eq!(rank_coordinators("weights", &live)[..2], chosen[1..]);
}

/// Guards against waiting for ever for coordinators that do not answer: after three the agent
/// loads at its own share of the rate.
#[test]
fn silent_coordinators_are_passed_over() {
    let order: Vec<Name> = vec!["x".into(), "y".into(), "z".into()];
    let mut asking = PermitClient::new(Time::default(), order);
    let mut asked = Vec::new();
    let mut loaded = None;
    for ms in 0..3_000 {
        match asking.next_step(Time::from_ms(ms), || Duration::from_secs(2)) {
            ClientStep::Request(name) => asked.push((ms, name.to_string())),
            ClientStep::Wait(_) => {}
            ClientStep::Load(permit) => {
                loaded = Some((ms, permit));
                break;
            }
        }
    }
    assert_eq!(asked.len(), 3);
    assert_eq!(asked[1], (200, "y".to_owned()));
    assert_eq!(loaded, Some((2_600, None)));
    let late = PermitReply::Granted(Grant {
        id: 9,
        ttl: Duration::from_secs(1),
    });
    let returned = asking.on_reply(Time::from_ms(2_700), &"x".into(), Some(late));
    assert_eq!(returned, Some(9), "a grant that came too late is returned");
}
