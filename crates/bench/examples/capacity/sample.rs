//! Object sets of any size.

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

/// The failure domains of one region.
const DOMAINS: usize = 4;

/// Versions of each adapter.
const VERSIONS: usize = 2;

/// Returns a set with one model, `adapters` adapters with two versions and a route each, and
/// `endpoints` endpoints in one region.
pub(crate) fn set(adapters: usize, endpoints: usize) -> ObjectSet {
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
        let endpoint = endpoint(number);
        set.endpoints
            .insert(endpoint.name.clone(), Arc::new(endpoint));
    }
    set
}

/// Points the route of adapter `number` at its first version alone, as a small change of the set.
pub(crate) fn change(set: &mut ObjectSet, number: usize) {
    let name: Name = format!("route-{number:06}").as_str().into();
    let Some(route) = set.routes.get_mut(&name) else {
        return;
    };
    Arc::make_mut(route).target = target(number, 1);
}

/// Returns the served name of the first version of adapter `number`.
pub(crate) fn served(number: usize) -> Name {
    format!("adapter-{number:06}@v0").as_str().into()
}

/// Returns the state of every endpoint: live.
pub(crate) fn live(set: &ObjectSet) -> Map<Name, InstanceState> {
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
    for version in 0..VERSIONS {
        let full: Name = format!("{name}@v{version}").as_str().into();
        let version = AdapterVersion {
            name: full.clone(),
            adapter: name.clone(),
            weights: format!("weights/{name}/{version}").as_str().into(),
            digest: digest((number * VERSIONS + version) as u64).as_str().into(),
            withdrawn: false,
        };
        set.versions.insert(full, Arc::new(version));
    }
    let route = Route {
        name: format!("route-{number:06}").as_str().into(),
        workspace: workspace.clone(),
        target: target(number, VERSIONS),
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

/// Returns a digest without regularities, which a compressed bucket would hide.
fn digest(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    format!("sha256:{:032x}{:032x}", rng.u128(..), rng.u128(..))
}

fn target(number: usize, versions: usize) -> RouteTarget {
    let name = |version: usize| format!("adapter-{number:06}@v{version}").as_str().into();
    let weighted = |version| WeightedVersion {
        version: name(version),
        weight: 50,
    };
    RouteTarget::Versions((0..versions).map(weighted).collect())
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        name: format!("runner-{number:04}").as_str().into(),
        backend: Backend::Model("base".into()),
        region: "south".into(),
        domain: format!("south-{}", number % DOMAINS).as_str().into(),
        slots: 32,
        batch: 64,
        queue: 256,
        fencing: Fencing::Checked,
        draining: false,
    }
}
