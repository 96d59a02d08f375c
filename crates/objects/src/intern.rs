//! Interning of the names by which objects refer to each other.
//!
//! Deserialization allocates a separate string for every reference. With tens of thousands of
//! adapters these copies take a sixth of a set's memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Name;
use crate::ObjectSet;
use crate::RouteTarget;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;

/// Makes the references in the objects with these keys share the strings of the names that they
/// refer to. Objects that are shared with another set are not changed.
pub(crate) fn intern_names(set: &mut ObjectSet, keys: &[ObjectKey]) {
    for key in keys {
        match key.kind {
            ObjectKind::Adapter => intern_adapter(set, &key.name),
            ObjectKind::Version => intern_version(set, &key.name),
            ObjectKind::Route => intern_route(set, &key.name),
            ObjectKind::Model
            | ObjectKind::Endpoint
            | ObjectKind::Service
            | ObjectKind::Workspace
            | ObjectKind::Policy => {}
        }
    }
}

fn intern_adapter(set: &mut ObjectSet, name: &Name) {
    if let Some(adapter) = set.adapters.get_mut(name).and_then(Arc::get_mut) {
        intern(&set.models, &mut adapter.model);
        intern(&set.workspaces, &mut adapter.workspace);
    }
}

fn intern_version(set: &mut ObjectSet, name: &Name) {
    if let Some(version) = set.versions.get_mut(name).and_then(Arc::get_mut) {
        intern(&set.adapters, &mut version.adapter);
    }
}

fn intern_route(set: &mut ObjectSet, name: &Name) {
    let Some(route) = set.routes.get_mut(name).and_then(Arc::get_mut) else {
        return;
    };
    intern(&set.workspaces, &mut route.workspace);
    match &mut route.target {
        RouteTarget::Versions(targets) => {
            for target in targets {
                intern(&set.versions, &mut target.version);
            }
        }
        RouteTarget::Model(name) => intern(&set.models, name),
        RouteTarget::Service(name) => intern(&set.services, name),
        RouteTarget::Alias(_) => {}
    }
}

fn intern<T>(map: &BTreeMap<Name, T>, name: &mut Name) {
    if let Some((interned, _)) = map.get_key_value(name) {
        *name = interned.clone();
    }
}
