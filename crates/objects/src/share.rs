//! Sharing of names between the objects of a set.
//!
//! Every reference is read as a text of its own. With tens of thousands of adapters the copies take
//! a sixth of a set's memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Name;
use crate::ObjectSet;
use crate::RouteTarget;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;

/// Lets the references in the objects `keys` share the text of the names that they refer to. Objects
/// that another set holds as well are left as they are.
pub(crate) fn share_names(set: &mut ObjectSet, keys: &[ObjectKey]) {
    for key in keys {
        match key.kind {
            ObjectKind::Adapter => share_adapter(set, &key.name),
            ObjectKind::Version => share_version(set, &key.name),
            ObjectKind::Route => share_route(set, &key.name),
            ObjectKind::Model
            | ObjectKind::Endpoint
            | ObjectKind::Service
            | ObjectKind::Workspace
            | ObjectKind::Policy => {}
        }
    }
}

fn share_adapter(set: &mut ObjectSet, name: &Name) {
    if let Some(adapter) = set.adapters.get_mut(name).and_then(Arc::get_mut) {
        share(&set.models, &mut adapter.model);
        share(&set.workspaces, &mut adapter.workspace);
    }
}

fn share_version(set: &mut ObjectSet, name: &Name) {
    if let Some(version) = set.versions.get_mut(name).and_then(Arc::get_mut) {
        share(&set.adapters, &mut version.adapter);
    }
}

fn share_route(set: &mut ObjectSet, name: &Name) {
    let Some(route) = set.routes.get_mut(name).and_then(Arc::get_mut) else {
        return;
    };
    share(&set.workspaces, &mut route.workspace);
    match &mut route.target {
        RouteTarget::Versions(targets) => {
            for target in targets {
                share(&set.versions, &mut target.version);
            }
        }
        RouteTarget::Model(name) => share(&set.models, name),
        RouteTarget::Service(name) => share(&set.services, name),
        RouteTarget::Alias(_) => {}
    }
}

fn share<T>(map: &BTreeMap<Name, T>, name: &mut Name) {
    if let Some((known, _)) = map.get_key_value(name) {
        *name = known.clone();
    }
}
