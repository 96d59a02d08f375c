//! Tests of route resolution.

mod common;

use common::*;
use decision::ids::Head;
use decision::route::Pool;
use decision::route::RouteTable;
use decision::route::Unresolved;
use objects::RouteTarget;

fn head() -> Head {
    Head {
        generation: 7,
        digest: "sha256:07".into(),
    }
}

/// Guards against a route with weighted versions that switches a conversation's version between two
/// requests.
#[test]
fn weighted_versions_are_sticky() {
    let mut set = sample_set(1, 0);
    add_adapter(&mut set, "w", "a", &["1", "2"]);
    let table = RouteTable::build(head(), &set);
    let mut counts = [0, 0];
    for index in 0..1_000 {
        let key = format!("conversation-{index}");
        let first = table.resolve("w", "a", &key).unwrap();
        let second = table.resolve("w", "a", &key).unwrap();
        assert_eq!(first.choice, second.choice);
        assert_eq!(first.head.generation, 7);
        counts[usize::from(first.choice.version.as_deref() == Some("2"))] += 1;
    }
    assert!(
        counts.iter().all(|count| (420..580).contains(count)),
        "{counts:?}"
    );
}

/// Guards against an alias that makes a non-repeatable request repeatable or extends its deadline.
#[test]
fn alias_keeps_the_strictest_settings() {
    let mut set = sample_set(1, 0);
    add_service(&mut set, "orders", false);
    add_route(
        &mut set,
        "w",
        "order",
        RouteTarget::Service("orders".into()),
        true,
    );
    add_route(
        &mut set,
        "w",
        "buy",
        RouteTarget::Alias("order".into()),
        true,
    );
    let table = RouteTable::build(head(), &set);
    let resolved = table.resolve("w", "buy", "c").unwrap();
    assert!(!resolved.route.repeatable);
    assert_eq!(resolved.route.deadline.as_secs(), 2);
    assert_eq!(resolved.choice.pool, Pool::Service("orders".into()));
    assert!(resolved.route.is_service());
}

/// Guards against a workspace that can use the routes of another one.
#[test]
fn routes_are_private_to_their_workspace() {
    let mut set = sample_set(1, 1);
    add_workspace(&mut set, "other");
    let table = RouteTable::build(head(), &set);
    assert_eq!(
        table.resolve("other", "a0", "c").unwrap_err(),
        Unresolved::Route
    );
    assert_eq!(
        table.resolve("none", "a0", "c").unwrap_err(),
        Unresolved::Workspace
    );
}
