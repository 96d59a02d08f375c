//! Object sets of the simulated site.

use std::sync::Arc;
use std::time::Duration;

use objects::Adapter;
use objects::AdapterVersion;
use objects::Backend;
use objects::Endpoint;
use objects::Fencing;
use objects::Model;
use objects::Object;
use objects::ObjectSet;
use objects::Priority;
use objects::Route;
use objects::RouteTarget;
use objects::Service;
use objects::WeightedVersion;
use objects::Workspace;

/// Workspace of all callers.
pub(crate) const WORKSPACE: &str = "w";
/// Endpoints, and whether their engines check fencing tokens. Names that start with `s` are plain
/// services.
pub(crate) const ENDPOINTS: [(&str, bool); 3] = [("e0", true), ("e1", false), ("s0", false)];
/// Number of adapters, more than an engine has slots for.
const ADAPTERS: usize = 4;

/// Returns the set of generation 1.
pub(crate) fn base_set() -> ObjectSet {
    let mut set = ObjectSet::default();
    set.insert(Object::Model(Arc::new(Model {
        name: "m".into(),
        base: "base".into(),
        context: None,
    })));
    set.insert(Object::Workspace(Arc::new(Workspace {
        name: WORKSPACE.into(),
        rate: 1_000.0,
        inflight: 100,
        secret: None,
    })));
    set.insert(Object::Service(Arc::new(Service {
        name: "svc".into(),
        repeatable: false,
        deadline: Duration::from_secs(4),
    })));
    for (index, (name, checks)) in ENDPOINTS.iter().enumerate() {
        set.insert(endpoint(index, name, *checks));
    }
    for index in 0..ADAPTERS {
        let name = format!("a{index}");
        set.insert(Object::Adapter(Arc::new(Adapter {
            name: name.as_str().into(),
            model: "m".into(),
            workspace: WORKSPACE.into(),
        })));
        set.insert(version(&name, "1"));
        set.insert(route(&name, to_version(&name, "1"), true));
    }
    set.insert(route("order", to_version("a0", "1"), false));
    set.insert(route("pay", RouteTarget::Service("svc".into()), false));
    set
}

/// Returns the set with a new version of the first adapter, to which the route `a0` points.
pub(crate) fn changed_set(base: &ObjectSet, version_name: &str) -> ObjectSet {
    let mut set = base.clone();
    set.insert(version("a0", version_name));
    set.insert(route("a0", to_version("a0", version_name), true));
    set
}

fn endpoint(index: usize, name: &str, checks: bool) -> Object {
    let plain = name.starts_with('s');
    Object::Endpoint(Arc::new(Endpoint {
        name: name.into(),
        backend: match plain {
            true => Backend::Service("svc".into()),
            false => Backend::Model("m".into()),
        },
        region: "r".into(),
        domain: format!("d{}", index % 2).as_str().into(),
        slots: if plain { 0 } else { 2 },
        batch: 4,
        queue: 32,
        fencing: match checks {
            true => Fencing::Checked,
            false => Fencing::Ignored,
        },
        draining: false,
    }))
}

fn version(adapter: &str, name: &str) -> Object {
    Object::Version(Arc::new(AdapterVersion {
        name: format!("{adapter}@{name}").as_str().into(),
        adapter: adapter.into(),
        weights: format!("weights/{adapter}/{name}").as_str().into(),
        digest: format!("sha256:{:064}", 0).as_str().into(),
        withdrawn: false,
    }))
}

fn route(name: &str, target: RouteTarget, repeatable: bool) -> Object {
    Object::Route(Arc::new(Route {
        name: name.into(),
        workspace: WORKSPACE.into(),
        target,
        priority: match repeatable {
            true => Priority::Interactive,
            false => Priority::Booking,
        },
        deadline: Duration::from_secs(4),
        repeatable,
    }))
}

fn to_version(adapter: &str, name: &str) -> RouteTarget {
    RouteTarget::Versions(vec![WeightedVersion {
        version: format!("{adapter}@{name}").as_str().into(),
        weight: 1,
    }])
}
