//! Snapshots: equal bytes for equal sets, updates from changed buckets, verification of digests.

use std::sync::Arc;

use objects::Digest;
use objects::Manifest;
use objects::Object;
use objects::ObjectSet;
use objects::Snapshot;
use objects::SnapshotError;
use objects::apply_buckets;
use objects::changed_buckets;
use objects::load;

const VALID: &str = include_str!("valid.toml");

fn valid_set() -> ObjectSet {
    load([("a.toml", VALID)]).set
}

fn edited_set() -> ObjectSet {
    let text = VALID
        .replace("rate = 50", "rate = 51")
        .replace("\"runner-2\"", "\"runner-3\"");
    load([("a.toml", &*text)]).set
}

fn select_buckets(snapshot: &Snapshot, indexes: &[usize]) -> Vec<(usize, Vec<u8>)> {
    indexes
        .iter()
        .map(|i| (*i, snapshot.buckets[*i].clone()))
        .collect()
}

fn all_buckets(snapshot: &Snapshot) -> Vec<(usize, Vec<u8>)> {
    select_buckets(snapshot, &(0..256).collect::<Vec<_>>())
}

#[test]
fn bytes_do_not_depend_on_insertion_order() {
    // Guards against different digests of the same set at two publishers.
    let set = valid_set();
    let mut reversed = ObjectSet::default();
    let objects: Vec<Object> = set.objects().collect();
    for object in objects.into_iter().rev() {
        reversed.insert(object);
    }
    let snapshot = Snapshot::build(&set, 4, "anna", 1_700_000_000);
    assert_eq!(
        snapshot,
        Snapshot::build(&reversed, 4, "anna", 1_700_000_000)
    );
    // Detects unintended changes of the format, which would make releases incompatible.
    let digest = "sha256:e7828903e205ef9c08b7c9368a7b841fc718a7608360a3bd65262be843b2fc4b";
    assert_eq!(snapshot.digest.to_string(), digest);
    assert_eq!(
        Manifest::decode_checked(&snapshot.manifest_bytes, snapshot.digest),
        Ok(snapshot.manifest)
    );
}

#[test]
fn changed_buckets_suffice_for_an_update() {
    // Guards against an update that keeps a removed object or needs buckets that did not change.
    let old = Snapshot::build(&valid_set(), 0, "anna", 1);
    let new = Snapshot::build(&edited_set(), 1, "ben", 2);
    assert_eq!(
        ObjectSet::from_buckets(&old.manifest, &all_buckets(&old)),
        Ok(valid_set())
    );
    let changed = changed_buckets(&old.manifest, &new.manifest);
    assert!((1..=3).contains(&changed.len()), "{changed:?}");
    let fetched = select_buckets(&new, &changed);
    assert_eq!(
        apply_buckets(&valid_set(), &old.manifest, &new.manifest, &fetched),
        Ok(edited_set())
    );
    // Guards against memory that grows with each update: the sets share unchanged objects.
    let before = valid_set();
    let after = apply_buckets(&before, &old.manifest, &new.manifest, &fetched).unwrap();
    for (name, workspace) in &before.workspaces {
        let shared = Arc::ptr_eq(workspace, &after.workspaces[name]);
        assert_eq!(shared, *workspace == after.workspaces[name], "{name}");
    }
    let adapter = after.adapters["harbor-tides"].clone();
    let whole = ObjectSet::from_buckets(&new.manifest, &all_buckets(&new)).unwrap();
    assert!(Arc::ptr_eq(
        &whole.adapters["harbor-tides"].name,
        &whole.versions["harbor-tides@v1"].adapter
    ));
    assert!(Arc::ptr_eq(&adapter, &before.adapters["harbor-tides"]));
    // An update to the empty set needs no buckets, and removes all objects and the policy settings.
    let none: [(usize, Vec<u8>); 0] = [];
    let emptied = apply_buckets(&valid_set(), &old.manifest, &Manifest::empty(), &none);
    assert_eq!(emptied, Ok(ObjectSet::default()));
}

#[test]
fn damaged_or_missing_buckets_are_rejected() {
    // Guards against adopting bytes that differ from the published ones.
    let snapshot = Snapshot::build(&valid_set(), 0, "anna", 1);
    let changed = changed_buckets(&Manifest::empty(), &snapshot.manifest);
    let mut fetched = select_buckets(&snapshot, &changed);
    let last = fetched.pop().unwrap();
    let missing = ObjectSet::from_buckets(&snapshot.manifest, &fetched);
    assert_eq!(missing, Err(SnapshotError::MissingBucket(last.0)));
    let mut damaged = last.clone();
    damaged.1[10] ^= 1;
    fetched.push(damaged);
    let result = ObjectSet::from_buckets(&snapshot.manifest, &fetched);
    assert!(
        matches!(result, Err(SnapshotError::DigestMismatch { .. })),
        "{result:?}"
    );
    let mut bytes = snapshot.manifest_bytes.clone();
    bytes[20] ^= 1;
    let manifest = Manifest::decode_checked(&bytes, snapshot.digest);
    assert!(
        matches!(manifest, Err(SnapshotError::DigestMismatch { .. })),
        "{manifest:?}"
    );
}

#[test]
fn object_in_the_wrong_bucket_is_rejected() {
    // Guards against an object in the wrong bucket, which updates of the right bucket do not replace.
    let snapshot = Snapshot::build(&valid_set(), 0, "anna", 1);
    let changed = changed_buckets(&Manifest::empty(), &snapshot.manifest);
    let bytes = snapshot.buckets[changed[0]].clone();
    let mut manifest = Manifest::empty();
    let wrong = (changed[0] + 1) % 256;
    manifest.buckets[wrong] = Digest::of(&bytes);
    let result = ObjectSet::from_buckets(&manifest, &[(wrong, bytes)]);
    assert!(
        matches!(result, Err(SnapshotError::InvalidObject { .. })),
        "{result:?}"
    );
}
