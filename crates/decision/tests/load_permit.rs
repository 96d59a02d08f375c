//! Load permits: limits, order and expiry, the choice of coordinators, and loads without a permit.

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

fn request(endpoint: &str, waiting: u32, left_ms: u64, expected: u32) -> PermitRequest {
    PermitRequest {
        endpoint: endpoint.into(),
        incarnation: Incarnation(1),
        version: "a@1".into(),
        waiting,
        left: Duration::from_millis(left_ms),
        expected,
    }
}

/// Returns the id of the permit, if one was granted.
fn granted(reply: PermitReply) -> Option<u64> {
    match reply {
        PermitReply::Granted(grant) => Some(grant.id),
        PermitReply::Wait(_) => None,
    }
}

/// Lets 20 agents request permits every 10 ms for 10 s, each holding a permit for `hold_ms`. Returns
/// the number of grants and the largest number outstanding at once.
fn contend(hold_ms: u64) -> (usize, usize) {
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
            let request = request(&format!("e{agent}"), 1, 30_000, 0);
            let Some(id) = granted(coordinator.request(Time::from_ms(ms), request)) else {
                continue;
            };
            total += !held.contains_key(&id) as usize;
            held.entry(id).or_insert(ms + hold_ms);
        }
        most = most.max(held.len());
    }
    (total, most)
}

/// Guards against overloading the weight store by the rate or the number of concurrent loads. A
/// permit may be held longer than the fetch takes, because the engine still reads the weights in;
/// such permits may overlap only as far as the rate needs: at 5 loads/s held for 1 s, five.
#[test]
fn rate_and_number_are_limited() {
    for (hold, limit) in [(0, 3), (100, 3), (600, 3), (1_000, 5), (1_500, 8)] {
        let (total, most) = contend(hold);
        assert!(most <= limit, "{most} at once with a hold of {hold} ms");
        assert!(total <= 53, "{total} loads in 10 s at 5/s, hold {hold} ms");
        assert!(total >= 40, "{total} loads only, hold {hold} ms");
    }
}

/// Guards against granting permits in the order of requests instead of by urgency.
#[test]
fn urgent_work_is_served_first() {
    let cases = [
        (
            request("busy", 9, 30_000, 0),
            request("quiet", 1, 30_000, 0),
        ),
        (request("soon", 1, 2_000, 0), request("later", 1, 30_000, 0)),
        (
            request("used", 1, 30_000, 900),
            request("unused", 1, 30_000, 1),
        ),
    ];
    for (first, second) in cases {
        let mut coordinator = Coordinator::new(Time::default(), 1.0, 1, 1);
        let held = coordinator.request(Time::default(), request("other", 1, 30_000, 0));
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

/// Guards against permits that are lost for good when an agent dies or abandons its request.
#[test]
fn grants_and_requests_expire() {
    let mut coordinator = Coordinator::new(Time::default(), 10.0, 1, 1);
    assert!(granted(coordinator.request(Time::default(), request("dead", 1, 30_000, 0))).is_some());
    let at = |ms| Time::from_ms(ms);
    coordinator.request(at(9_000), request("gone", 9, 30_000, 0));
    assert_eq!(
        granted(coordinator.request(at(9_990), request("live", 1, 30_000, 0))),
        None
    );
    assert!(granted(coordinator.request(at(10_000), request("live", 1, 30_000, 0))).is_some());
}

/// Guards against a second permit for a request that is repeated because the reply was lost.
#[test]
fn repeated_request_gets_same_grant() {
    let mut coordinator = Coordinator::new(Time::default(), 100.0, 3, 1);
    let first = granted(coordinator.request(Time::from_ms(50), request("e", 1, 30_000, 0)));
    let again = granted(coordinator.request(Time::from_ms(90), request("e", 1, 30_000, 0)));
    assert!(first.is_some() && first == again);
}

/// Guards against agents that choose different coordinators from the same list, and against a change
/// of the list that replaces more coordinators than necessary.
#[test]
fn coordinator_does_not_depend_on_list_order() {
    let mut live: Vec<Name> = (0..40).map(|n| format!("e{n}").as_str().into()).collect();
    let chosen = rank_coordinators("weights", &live);
    live.reverse();
    assert_eq!(rank_coordinators("weights", &live), chosen);
    live.retain(|name| *name != chosen[0]);
    assert_eq!(rank_coordinators("weights", &live)[..2], chosen[1..]);
}

/// Guards against waiting forever for coordinators that do not reply: after three of them, the agent
/// loads without a permit at its own share of the rate.
#[test]
fn unresponsive_coordinators_are_skipped() {
    let order: Vec<Name> = vec!["x".into(), "y".into(), "z".into()];
    let mut client = PermitClient::new(Time::default(), order);
    let mut requested = Vec::new();
    let mut loaded = None;
    for ms in 0..3_000 {
        match client.next_step(Time::from_ms(ms), || Duration::from_secs(2)) {
            ClientStep::Request(name) => requested.push((ms, name.to_string())),
            ClientStep::Wait(_) => {}
            ClientStep::Load(permit) => {
                loaded = Some((ms, permit));
                break;
            }
        }
    }
    assert_eq!(requested.len(), 3);
    assert_eq!(requested[1], (200, "y".to_owned()));
    assert_eq!(loaded, Some((2_600, None)));
    let late = PermitReply::Granted(Grant {
        id: 9,
        ttl: Duration::from_secs(1),
    });
    let returned = client.on_reply(Time::from_ms(2_700), &"x".into(), Some(late));
    assert_eq!(returned, Some(9), "a late grant has to be returned");
}
