//! Differences between sets, and the rebase of edits onto a newer set.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;

use crate::Name;
use crate::ObjectSet;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;
use crate::ident::POLICY_NAME;

/// The objects in which two sets differ, each list in the order of kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Only in the new set.
    pub added: Vec<ObjectKey>,
    /// Only in the old set.
    pub removed: Vec<ObjectKey>,
    /// In both sets with different fields.
    pub changed: Vec<ObjectKey>,
}

impl Diff {
    /// Returns whether the sets are equal.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of objects that differ.
    pub fn len(&self) -> usize {
        self.added.len() + self.removed.len() + self.changed.len()
    }

    /// Returns the keys of all objects that differ.
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
                Some(before) if Arc::ptr_eq(before, object) || before == object => {}
                Some(_) => self.changed.push(key(name)),
            }
        }
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        self.removed.extend(removed.map(key));
    }
}

/// Returns the objects in which `new` differs from `old`.
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

/// Applies the edits from `base` to `ours` to `theirs`.
///
/// The result still has to be validated: edits of different objects may contradict each other.
///
/// # Errors
///
/// The objects that both sides changed in different ways, in the order of kind and name.
pub fn rebase(
    base: &ObjectSet,
    ours: &ObjectSet,
    theirs: &ObjectSet,
) -> Result<ObjectSet, Vec<ObjectKey>> {
    let edits = diff(base, ours);
    let other = diff(base, theirs);
    let other: BTreeSet<_> = other.keys().collect();
    let overlaps = |key: &ObjectKey| other.contains(key) && ours.get(key) != theirs.get(key);
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
