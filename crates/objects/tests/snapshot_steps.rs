//! Snapshots: same bytes for the same set, updates by changed buckets, checked digests.

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

fn valid() -> ObjectSet {
    load([("a.toml", VALID)]).set
}

fn edited() -> ObjectSet {
    let text = VALID
        .replace("rate = 50", "rate = 51")
        .replace("\"runner-2\"", "\"runner-3\"");
    load([("a.toml", &*text)]).set
}

fn fetch(snapshot: &Snapshot, indexes: &[usize]) -> Vec<(usize, Vec<u8>)> {
    indexes
        .iter()
        .map(|i| (*i, snapshot.buckets[*i].clone()))
        .collect()
}

fn all(snapshot: &Snapshot) -> Vec<(usize, Vec<u8>)> {
    fetch(snapshot, &(0..256).collect::<Vec<_>>())
}

#[test]
fn bytes_do_not_depend_on_order() {
    // Guards against a digest that differs between two publishers of the same set.
    let set = valid();
    let mut reversed = ObjectSet::default();
    let objects: Vec<Object> = set.objects().collect();
    for object in objects.into_iter().rev() {
        reversed.insert(object);
    }
    let one = Snapshot::build(&set, 4, "anna", 1_700_000_000);
    assert_eq!(one, Snapshot::build(&reversed, 4, "anna", 1_700_000_000));
    // A format that changes by accident would make peers of two releases disagree.
    let digest = "sha256:e7828903e205ef9c08b7c9368a7b841fc718a7608360a3bd65262be843b2fc4b";
    assert_eq!(one.digest.to_string(), digest);
    assert_eq!(
        Manifest::decode_checked(&one.manifest_bytes, one.digest),
        Ok(one.manifest)
    );
}

#[test]
fn older_set_catches_up_with_the_changed_buckets_alone() {
    // Guards against a process that keeps a removed object or has to fetch the whole set.
    let old = Snapshot::build(&valid(), 0, "anna", 1);
    let new = Snapshot::build(&edited(), 1, "ben", 2);
    assert_eq!(
        ObjectSet::from_buckets(&old.manifest, &all(&old)),
        Ok(valid())
    );
    let changed = changed_buckets(&old.manifest, &new.manifest);
    assert!((1..=3).contains(&changed.len()), "{changed:?}");
    let fetched = fetch(&new, &changed);
    assert_eq!(
        apply_buckets(&valid(), &old.manifest, &new.manifest, &fetched),
        Ok(edited())
    );
    // Guards against memory that grows with each update: what did not change is shared.
    let before = valid();
    let after = apply_buckets(&before, &old.manifest, &new.manifest, &fetched).unwrap();
    for (name, workspace) in &before.workspaces {
        let shared = Arc::ptr_eq(workspace, &after.workspaces[name]);
        assert_eq!(shared, *workspace == after.workspaces[name], "{name}");
    }
    let adapter = after.adapters["harbor-tides"].clone();
    let whole = ObjectSet::from_buckets(&new.manifest, &all(&new)).unwrap();
    assert!(Arc::ptr_eq(
        &whole.adapters["harbor-tides"].name,
        &whole.versions["harbor-tides@v1"].adapter
    ));
    assert!(Arc::ptr_eq(&adapter, &before.adapters["harbor-tides"]));
    // Back to an empty set: no bucket needs fetching, every object and the policy go.
    let none: [(usize, Vec<u8>); 0] = [];
    let emptied = apply_buckets(&valid(), &old.manifest, &Manifest::empty(), &none);
    assert_eq!(emptied, Ok(ObjectSet::default()));
}

#[test]
fn damaged_or_missing_buckets_are_refused() {
    // Guards against adopting bytes that differ from what was published.
    let snapshot = Snapshot::build(&valid(), 0, "anna", 1);
    let wanted = changed_buckets(&Manifest::empty(), &snapshot.manifest);
    let mut fetched = fetch(&snapshot, &wanted);
    let last = fetched.pop().unwrap();
    let missing = ObjectSet::from_buckets(&snapshot.manifest, &fetched);
    assert_eq!(missing, Err(SnapshotError::MissingBucket(last.0)));
    let mut damaged = last.clone();
    damaged.1[10] ^= 1;
    fetched.push(damaged);
    let refused = ObjectSet::from_buckets(&snapshot.manifest, &fetched);
    assert!(
        matches!(refused, Err(SnapshotError::DigestMismatch { .. })),
        "{refused:?}"
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
fn object_in_a_foreign_bucket_is_refused() {
    // Guards against an object that later updates of its real bucket would not replace.
    let snapshot = Snapshot::build(&valid(), 0, "anna", 1);
    let wanted = changed_buckets(&Manifest::empty(), &snapshot.manifest);
    let bytes = snapshot.buckets[wanted[0]].clone();
    let mut manifest = Manifest::empty();
    let foreign = (wanted[0] + 1) % 256;
    manifest.buckets[foreign] = Digest::of(&bytes);
    let refused = ObjectSet::from_buckets(&manifest, &[(foreign, bytes)]);
    assert!(
        matches!(refused, Err(SnapshotError::InvalidObject { .. })),
        "{refused:?}"
    );
}
