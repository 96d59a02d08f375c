//! Object sets and reports for the tests of this crate.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::placement::InstanceState;
use decision::report::Report;
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
use objects::Service;
use objects::WeightedVersion;
use objects::Workspace;

/// Returns a set with model endpoints `e0`, `e1`, ... in four failure domains and adapters `a0`,
/// `a1`, ... with one version each.
pub(crate) fn sample_set(endpoints: usize, adapters: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    set.models.insert(
        "m".into(),
        Arc::new(Model {
            name: "m".into(),
            base: "base".into(),
            context: None,
        }),
    );
    add_workspace(&mut set, "w");
    for index in 0..endpoints {
        add_endpoint(&mut set, &format!("e{index}"), &format!("d{}", index % 4));
    }
    for index in 0..adapters {
        add_adapter(&mut set, "w", &format!("a{index}"), &["1"]);
    }
    set
}

pub(crate) fn add_workspace(set: &mut ObjectSet, name: &str) {
    let workspace = Workspace {
        name: name.into(),
        rate: 100.0,
        inflight: 10,
        secret: None,
    };
    set.workspaces.insert(name.into(), Arc::new(workspace));
}

pub(crate) fn add_endpoint(set: &mut ObjectSet, name: &str, domain: &str) {
    let endpoint = Endpoint {
        name: name.into(),
        backend: Backend::Model("m".into()),
        region: "r".into(),
        domain: domain.into(),
        slots: 8,
        batch: 16,
        queue: 64,
        fencing: Fencing::Checked,
        draining: false,
    };
    set.endpoints.insert(name.into(), Arc::new(endpoint));
}

/// Adds an adapter with its versions, and a route of the same name that gives them equal weights.
pub(crate) fn add_adapter(set: &mut ObjectSet, workspace: &str, name: &str, versions: &[&str]) {
    let adapter = Adapter {
        name: name.into(),
        model: "m".into(),
        workspace: workspace.into(),
    };
    set.adapters.insert(name.into(), Arc::new(adapter));
    let mut targets = Vec::new();
    for version in versions {
        let full: Name = format!("{name}@{version}").into();
        let object = AdapterVersion {
            name: full.clone(),
            adapter: name.into(),
            weights: format!("weights/{full}").into(),
            digest: "sha256:00".into(),
            withdrawn: false,
        };
        set.versions.insert(full.clone(), Arc::new(object));
        targets.push(WeightedVersion {
            version: full,
            weight: 1,
        });
    }
    add_route(set, workspace, name, RouteTarget::Versions(targets), true);
}

pub(crate) fn add_route(
    set: &mut ObjectSet,
    workspace: &str,
    name: &str,
    target: RouteTarget,
    repeatable: bool,
) {
    let route = Route {
        name: name.into(),
        workspace: workspace.into(),
        target,
        priority: Priority::Interactive,
        deadline: Duration::from_secs(10),
        repeatable,
    };
    set.routes.insert(name.into(), Arc::new(route));
}

pub(crate) fn add_service(set: &mut ObjectSet, name: &str, repeatable: bool) {
    let service = Service {
        name: name.into(),
        repeatable,
        deadline: Duration::from_secs(2),
    };
    set.services.insert(name.into(), Arc::new(service));
}

/// Returns a membership state in which all endpoints of the set are live.
pub(crate) fn all_live(set: &ObjectSet) -> Map<Name, InstanceState> {
    set.endpoints
        .keys()
        .map(|name| (name.clone(), InstanceState::Live))
        .collect()
}

/// Returns the report of an idle endpoint.
pub(crate) fn report(endpoint: &str, seq: u64, resident: &[&str]) -> Report {
    Report {
        endpoint: endpoint.into(),
        incarnation: Incarnation(1),
        seq,
        generation: 1,
        running: 0,
        batch: 16,
        queued: 0,
        stalled: 0,
        slots: 8,
        idle: 8,
        service_ms: 1_000,
        load_ms: 250,
        resident: resident.iter().map(|name| Name::from(*name)).collect(),
        loading: Vec::new(),
        draining: false,
        ready: true,
    }
}
