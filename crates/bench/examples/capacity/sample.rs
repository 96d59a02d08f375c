//! Generated object sets.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::ids::Name;
use decision::placement::InstanceState;
use objects::Adapter;
use objects::AdapterVersion;
use objects::Backend;
use objects::Endpoint;
use objects::Fencing;
use objects::Model;
use objects::ObjectSet;
use objects::Priority;
use objects::Route;
use objects::RouteTarget;
use objects::WeightedVersion;
use objects::Workspace;

/// Number of failure domains in the region.
const DOMAIN_COUNT: usize = 4;

/// Number of versions of each adapter.
const VERSIONS_PER_ADAPTER: usize = 2;

/// Returns a set with one model, `adapters` adapters with two versions and a route each, and
/// `endpoints` endpoints in one region.
pub(crate) fn object_set(adapters: usize, endpoints: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    let model = Model {
        name: "base".into(),
        base: "base".into(),
        context: Some(32_768),
    };
    set.models.insert(model.name.clone(), Arc::new(model));
    for number in 0..adapters {
        add_adapter(&mut set, number);
    }
    for number in 0..endpoints {
        let endpoint = new_endpoint(number);
        set.endpoints
            .insert(endpoint.name.clone(), Arc::new(endpoint));
    }
    set
}

/// Changes the route of adapter `number` to target only its first version, as an example of a
/// small change.
pub(crate) fn change_route(set: &mut ObjectSet, number: usize) {
    let name: Name = format!("route-{number:06}").as_str().into();
    let Some(route) = set.routes.get_mut(&name) else {
        return;
    };
    Arc::make_mut(route).target = route_target(number, 1);
}

/// Returns the full name of the first version of adapter `number`.
pub(crate) fn version_name(number: usize) -> Name {
    format!("adapter-{number:06}@v0").as_str().into()
}

/// Returns the membership state in which every endpoint is live.
pub(crate) fn all_live(set: &ObjectSet) -> Map<Name, InstanceState> {
    set.endpoints
        .keys()
        .map(|name| (name.clone(), InstanceState::Live))
        .collect()
}

fn add_adapter(set: &mut ObjectSet, number: usize) {
    let workspace: Name = format!("workspace-{:04}", number / 10).as_str().into();
    let name: Name = format!("adapter-{number:06}").as_str().into();
    let adapter = Adapter {
        name: name.clone(),
        model: "base".into(),
        workspace: workspace.clone(),
    };
    set.adapters.insert(name.clone(), Arc::new(adapter));
    for version in 0..VERSIONS_PER_ADAPTER {
        let version_name: Name = format!("{name}@v{version}").as_str().into();
        let version = AdapterVersion {
            name: version_name.clone(),
            adapter: name.clone(),
            weights: format!("weights/{name}/{version}").as_str().into(),
            digest: digest((number * VERSIONS_PER_ADAPTER + version) as u64)
                .as_str()
                .into(),
            withdrawn: false,
        };
        set.versions.insert(version_name, Arc::new(version));
    }
    let route = Route {
        name: format!("route-{number:06}").as_str().into(),
        workspace: workspace.clone(),
        target: route_target(number, VERSIONS_PER_ADAPTER),
        priority: Priority::Interactive,
        deadline: Duration::from_secs(30),
        repeatable: true,
    };
    set.routes.insert(route.name.clone(), Arc::new(route));
    set.workspaces.entry(workspace.clone()).or_insert_with(|| {
        Arc::new(Workspace {
            name: workspace,
            rate: 1e4,
            inflight: 1_000,
            secret: None,
        })
    });
}

/// Returns a pseudorandom digest; a regular one would compress unrealistically well in a bucket.
fn digest(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    format!("sha256:{:032x}{:032x}", rng.u128(..), rng.u128(..))
}

fn route_target(number: usize, versions: usize) -> RouteTarget {
    let name = |version: usize| format!("adapter-{number:06}@v{version}").as_str().into();
    let weighted = |version| WeightedVersion {
        version: name(version),
        weight: 50,
    };
    RouteTarget::Versions((0..versions).map(weighted).collect())
}

fn new_endpoint(number: usize) -> Endpoint {
    Endpoint {
        name: format!("runner-{number:04}").as_str().into(),
        backend: Backend::Model("base".into()),
        region: "south".into(),
        domain: format!("south-{}", number % DOMAIN_COUNT).as_str().into(),
        slots: 32,
        batch: 64,
        queue: 256,
        fencing: Fencing::Checked,
        draining: false,
    }
}
