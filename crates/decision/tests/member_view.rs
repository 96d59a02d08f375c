//! Tests of the membership view.

use decision::member::Instance;
use decision::member::Liveness;
use decision::member::MemberChanges;
use decision::member::Membership;
use decision::member::Role;

fn instance(name: &str, state: Liveness) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Agent,
        state,
        peer: "127.0.0.1:1".parse().unwrap(),
        region: "south".to_owned(),
        domain: "a".to_owned(),
    }
}

fn changes(version: u64, changed: Vec<Instance>, gone: &[&str]) -> MemberChanges {
    let gone = gone.iter().map(|name| (*name).to_owned()).collect();
    MemberChanges {
        version,
        whole: false,
        changed,
        gone,
    }
}

/// Guards against a delayed response that restores a removed instance.
#[test]
fn late_changes_are_ignored() {
    let mut view = Membership::default();
    assert!(view.apply(changes(1, vec![instance("runner-1", Liveness::Live)], &[])));
    assert!(view.apply(changes(3, vec![], &["runner-1"])));
    assert!(!view.apply(changes(2, vec![instance("runner-1", Liveness::Live)], &[])));
    assert!(view.is_empty());
}

/// Guards against homes that are recomputed although no instance changed.
#[test]
fn unchanged_list_keeps_epoch() {
    let mut view = Membership::default();
    let whole = |version| MemberChanges {
        whole: true,
        ..changes(version, vec![instance("runner-1", Liveness::Live)], &[])
    };
    view.apply(whole(1));
    let epoch = view.epoch();
    assert!(!view.apply(whole(2)));
    assert_eq!(view.epoch(), epoch);
}

/// Guards against instances that stay in the view after a complete list without them.
#[test]
fn complete_list_replaces_view() {
    let mut view = Membership::default();
    let names = ["runner-1", "runner-2"];
    let both = names
        .iter()
        .map(|name| instance(name, Liveness::Live))
        .collect();
    view.apply(changes(1, both, &[]));
    let one = vec![instance("runner-2", Liveness::Leaving)];
    view.apply(MemberChanges {
        whole: true,
        ..changes(2, one, &[])
    });
    assert!(view.get("runner-1").is_none());
    assert_eq!(view.get("runner-2").unwrap().state, Liveness::Leaving);
}
