//! Permits: rate, number, order, expiry, choice of the coordinator, and the asker's fallback.

use std::time::Duration;

use decision::ids::Incarnation;
use decision::ids::Name;
use decision::permit::Ask;
use decision::permit::Asking;
use decision::permit::Coordinator;
use decision::permit::Grant;
use decision::permit::Reply;
use decision::permit::Step;
use decision::permit::coordinators;
use decision::time::Time;

fn ask(endpoint: &str, waiting: u32, left_ms: u64, expected: u32) -> Ask {
    Ask {
        endpoint: endpoint.into(),
        incarnation: Incarnation(1),
        version: "a@1".into(),
        waiting,
        left: Duration::from_millis(left_ms),
        expected,
    }
}

fn granted(reply: Reply) -> Option<u64> {
    match reply {
        Reply::Granted(grant) => Some(grant.id),
        Reply::Wait(_) => None,
    }
}

/// Guards against overloading the weight store by rate or by number of loads at once.
#[test]
fn rate_and_number_are_limited() {
    let mut coordinator = Coordinator::new(Time::default(), 5.0, 3, 1);
    let mut grants = Vec::new();
    for step in 0..100u64 {
        let now = Time::from_ms(step * 10);
        for agent in 0..10 {
            let name = format!("e{agent}");
            let id = granted(coordinator.ask(now, ask(&name, 1, 30_000, 0)));
            grants.extend(id.map(|id| (id, name)));
        }
    }
    grants.sort();
    grants.dedup();
    assert_eq!(grants.len(), 3, "three are outstanding: {grants:?}");
    coordinator.release(Time::from_ms(1_000), grants[0].0);
    let agents: Vec<String> = (0..10).map(|agent| format!("e{agent}")).collect();
    let waiting = agents
        .iter()
        .filter(|name| grants.iter().all(|held| held.1 != **name));
    let more = waiting.filter(|name| {
        let reply = coordinator.ask(Time::from_ms(1_001), ask(name, 1, 30_000, 0));
        granted(reply).is_some()
    });
    assert_eq!(more.count(), 1);
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
        let held = coordinator.ask(Time::default(), ask("other", 1, 30_000, 0));
        let id = granted(held).expect("the first load is free");
        let early = Time::from_ms(900);
        assert_eq!(granted(coordinator.ask(early, second.clone())), None);
        assert_eq!(granted(coordinator.ask(early, first.clone())), None);
        coordinator.release(Time::from_ms(1_100), id);
        let now = Time::from_ms(1_101);
        assert_eq!(granted(coordinator.ask(now, second)), None);
        assert!(granted(coordinator.ask(now, first)).is_some());
    }
}

/// Guards against permits that are lost for ever with an agent that died or an ask that was given
/// up.
#[test]
fn grants_and_asks_expire() {
    let mut coordinator = Coordinator::new(Time::default(), 10.0, 1, 1);
    assert!(granted(coordinator.ask(Time::default(), ask("dead", 1, 30_000, 0))).is_some());
    let at = |ms| Time::from_ms(ms);
    coordinator.ask(at(9_000), ask("gone", 9, 30_000, 0));
    assert_eq!(
        granted(coordinator.ask(at(9_990), ask("live", 1, 30_000, 0))),
        None
    );
    assert!(granted(coordinator.ask(at(10_000), ask("live", 1, 30_000, 0))).is_some());
}

/// Guards against a repeated ask, after a lost reply, that takes a second permit.
#[test]
fn repeated_ask_gets_same_grant() {
    let mut coordinator = Coordinator::new(Time::default(), 100.0, 3, 1);
    let first = granted(coordinator.ask(Time::from_ms(50), ask("e", 1, 30_000, 0)));
    let again = granted(coordinator.ask(Time::from_ms(90), ask("e", 1, 30_000, 0)));
    assert!(first.is_some() && first == again);
}

/// Guards against agents that choose different coordinators from the same list, and against a
/// change of the list that moves more than it has to.
#[test]
fn coordinator_does_not_depend_on_list_order() {
    let mut live: Vec<Name> = (0..40).map(|n| format!("e{n}").as_str().into()).collect();
    let chosen = coordinators("weights", &live);
    live.reverse();
    assert_eq!(coordinators("weights", &live), chosen);
    live.retain(|name| *name != chosen[0]);
    assert_eq!(coordinators("weights", &live)[..2], chosen[1..]);
}

/// Guards against waiting for ever for coordinators that do not answer: after three the agent
/// loads at its own share of the rate.
#[test]
fn silent_coordinators_are_passed_over() {
    let order: Vec<Name> = vec!["x".into(), "y".into(), "z".into()];
    let mut asking = Asking::new(Time::default(), order);
    let mut asked = Vec::new();
    let mut loaded = None;
    for ms in 0..3_000 {
        match asking.step(Time::from_ms(ms), || Duration::from_secs(2)) {
            Step::Ask(name) => asked.push((ms, name.to_string())),
            Step::Wait(_) => {}
            Step::Load(permit) => {
                loaded = Some((ms, permit));
                break;
            }
        }
    }
    assert_eq!(asked.len(), 3);
    assert_eq!(asked[1], (200, "y".to_owned()));
    assert_eq!(loaded, Some((2_600, None)));
    let late = Reply::Granted(Grant {
        id: 9,
        ttl: Duration::from_secs(1),
    });
    let returned = asking.reply(Time::from_ms(2_700), &"x".into(), Some(late));
    assert_eq!(returned, Some(9), "a grant that came too late is returned");
}
