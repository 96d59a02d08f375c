//! Comparison and rebasing of sets, changes of published versions, and resolution of routes.

use std::time::Duration;

use objects::ObjectKey;
use objects::ObjectKind;
use objects::ObjectSet;
use objects::Priority;
use objects::diff;
use objects::load;
use objects::rebase;
use objects::resolve::ResolveError;
use objects::resolve_route;

const VALID: &str = include_str!("valid.toml");

/// Loads the valid set after replacing parts of its text.
fn edited(edits: &[(&str, &str)]) -> ObjectSet {
    let mut text = VALID.to_owned();
    for (from, to) in edits {
        assert!(
            text.contains(from),
            "{from:?} is not in the text of the set"
        );
        text = text.replace(from, to);
    }
    load([("a.toml", &*text)]).set
}

#[test]
fn diff_lists_added_removed_and_changed_objects() {
    // Guards against a change that the operator is not shown before publishing.
    let old = edited(&[]);
    let new = edited(&[
        ("\"runner-2\"", "\"runner-3\""),
        ("rate = 50", "rate = 51"),
        ("stall_weight = 0.7", "stall_weight = 0.2"),
    ]);
    let found = diff(&old, &new);
    assert_eq!(
        found.added,
        [ObjectKey::new(ObjectKind::Endpoint, "runner-3")]
    );
    assert_eq!(
        found.removed,
        [ObjectKey::new(ObjectKind::Endpoint, "runner-2")]
    );
    let changed = [
        ObjectKey::new(ObjectKind::Workspace, "harbor"),
        ObjectKey::new(ObjectKind::Policy, "policy"),
    ];
    assert_eq!(found.changed, changed);
    assert!(diff(&old, &edited(&[])).is_empty());
}

#[test]
fn rebase_keeps_the_edits_of_both_sides() {
    // Guards against a rebase that reverts the changes that another operator has published since.
    let base = edited(&[]);
    let ours = edited(&[("rate = 50", "rate = 51"), ("\"runner-2\"", "\"runner-3\"")]);
    let theirs = edited(&[
        ("rate = 2.5", "rate = 9"),
        ("inflight = 200", "inflight = 200"),
    ]);
    let both = edited(&[
        ("rate = 50", "rate = 51"),
        ("\"runner-2\"", "\"runner-3\""),
        ("rate = 2.5", "rate = 9"),
    ]);
    assert_eq!(rebase(&base, &ours, &theirs), Ok(both));
    // The same edit on both sides is not a conflict.
    assert_eq!(rebase(&base, &ours, &ours), Ok(ours.clone()));
}

#[test]
fn rebase_fails_on_conflicting_edits() {
    // Guards against a rebase that drops one of two conflicting edits, one of which may be a
    // removal, without an error.
    let base = edited(&[]);
    let ours = edited(&[("rate = 50", "rate = 51"), ("\"runner-2\"", "\"runner-3\"")]);
    let theirs = edited(&[
        ("rate = 50", "rate = 52"),
        (
            "name = \"runner-2\"\nmodel = \"base-2\"",
            "name = \"runner-2\"\nmodel = \"base-1\"",
        ),
    ]);
    let overlap = [
        ObjectKey::new(ObjectKind::Endpoint, "runner-2"),
        ObjectKey::new(ObjectKind::Workspace, "harbor"),
    ];
    assert_eq!(rebase(&base, &ours, &theirs), Err(overlap.to_vec()));
}

#[test]
fn digest_of_published_version_cannot_change() {
    // Guards against responses from the old weights, which break the invariant `exact-adapter`: an
    // engine may still have them loaded under the version's name.
    let base = edited(&[]);
    let set = edited(&[("sha256:1111", "sha256:4444")]);
    let found = objects::validate_change(&base, &set, &Default::default());
    assert_eq!(found.len(), 1);
    assert_eq!(
        found[0].object,
        Some(ObjectKey::new(ObjectKind::Version, "harbor-tides@v1"))
    );
}

#[test]
fn alias_inherits_the_settings_of_its_target() {
    // Guards against an alias that makes a booking repeatable, resets its priority to the default or
    // extends its deadline.
    let set = edited(&[("alias = \"tides\"", "alias = \"order\"")]);
    let order = resolve_route(&set, "tides-latest").unwrap();
    assert_eq!(&*order.route.name, "order");
    assert_eq!(order.priority, Priority::Booking);
    assert_eq!(order.deadline, Duration::from_secs(3));
    assert!(!order.repeatable);
    let tides = edited(&[]);
    assert!(resolve_route(&tides, "tides-latest").unwrap().repeatable);
    let missing = ResolveError::MissingRoute("absent".into());
    assert_eq!(resolve_route(&set, "absent"), Err(missing));
}
