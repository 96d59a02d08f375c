//! Comparison of sets, and rebasing of edits onto a newer set.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;

use crate::Name;
use crate::ObjectSet;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;
use crate::ident::POLICY_NAME;

/// The objects in which two sets differ. Each list is ordered by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// The objects that only the new set contains.
    pub added: Vec<ObjectKey>,
    /// The objects that only the old set contains.
    pub removed: Vec<ObjectKey>,
    /// The objects that both sets contain with different fields.
    pub changed: Vec<ObjectKey>,
}

impl Diff {
    /// Returns whether the sets are equal.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of objects that were added, removed or changed.
    pub fn len(&self) -> usize {
        self.added.len() + self.removed.len() + self.changed.len()
    }

    /// Iterates over the added objects, then the removed and then the changed ones.
    pub fn keys(&self) -> impl Iterator<Item = &ObjectKey> {
        self.added.iter().chain(&self.removed).chain(&self.changed)
    }

    fn compare<T: PartialEq>(
        &mut self,
        kind: ObjectKind,
        old: &BTreeMap<Name, Arc<T>>,
        new: &BTreeMap<Name, Arc<T>>,
    ) {
        let key = |name: &Name| ObjectKey::new(kind, name.clone());
        for (name, object) in new {
            match old.get(name) {
                None => self.added.push(key(name)),
                Some(previous) if Arc::ptr_eq(previous, object) || previous == object => {}
                Some(_) => self.changed.push(key(name)),
            }
        }
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        self.removed.extend(removed.map(key));
    }
}

/// Compares two sets. Objects that the sets share are not compared field by field.
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Diff {
    let mut diff = Diff::default();
    diff.compare(ObjectKind::Model, &old.models, &new.models);
    diff.compare(ObjectKind::Adapter, &old.adapters, &new.adapters);
    diff.compare(ObjectKind::Version, &old.versions, &new.versions);
    diff.compare(ObjectKind::Route, &old.routes, &new.routes);
    diff.compare(ObjectKind::Endpoint, &old.endpoints, &new.endpoints);
    diff.compare(ObjectKind::Service, &old.services, &new.services);
    diff.compare(ObjectKind::Workspace, &old.workspaces, &new.workspaces);
    if old.policy != new.policy {
        let policy = ObjectKey::new(ObjectKind::Policy, POLICY_NAME);
        diff.changed.push(policy);
    }
    diff
}

/// Applies the changes between `base` and `ours` to `theirs`.
///
/// The result has to be validated again, because edits of different objects can contradict each
/// other.
///
/// # Errors
///
/// Fails if both sides changed the same objects differently; returns their keys ordered by kind and
/// name.
pub fn rebase(
    base: &ObjectSet,
    ours: &ObjectSet,
    theirs: &ObjectSet,
) -> Result<ObjectSet, Vec<ObjectKey>> {
    let edits = diff(base, ours);
    let their_edits = diff(base, theirs);
    let their_keys: BTreeSet<_> = their_edits.keys().collect();
    let overlaps = |key: &ObjectKey| their_keys.contains(key) && ours.get(key) != theirs.get(key);
    let mut overlap: Vec<_> = edits.keys().filter(|key| overlaps(key)).cloned().collect();
    if !overlap.is_empty() {
        overlap.sort();
        return Err(overlap);
    }
    let mut merged = theirs.clone();
    for key in edits.keys() {
        match ours.get(key) {
            Some(object) => merged.insert(object),
            None => merged.remove(key),
        }
    }
    Ok(merged)
}
