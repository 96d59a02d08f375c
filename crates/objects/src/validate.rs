//! Validation of a whole set.

use std::collections::BTreeSet;

use crate::Adapter;
use crate::Backend;
use crate::Endpoint;
use crate::Name;
use crate::ObjectSet;
use crate::Route;
use crate::RouteTarget;
use crate::WeightedVersion;
use crate::finding::Finding;
use crate::finding::FindingCode;
use crate::finding::Severity;
use crate::finding::SourceMap;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;
use crate::resolve::ResolveError;
use crate::resolve::resolve_route;

/// Reports everything that is wrong with a set, errors and warnings.
pub fn validate(set: &ObjectSet, sources: &SourceMap) -> Vec<Finding> {
    let mut check = Check::new(set, sources);
    for adapter in set.adapters.values() {
        check.adapter(adapter);
    }
    for version in set.versions.values() {
        let key = ObjectKey::new(ObjectKind::Version, version.name.clone());
        check.reference(&key, "adapter", ObjectKind::Adapter, &version.adapter);
    }
    for route in set.routes.values() {
        check.route(route);
    }
    for endpoint in set.endpoints.values() {
        check.endpoint(endpoint);
    }
    check.findings.sort();
    // Several targets may have the same fault, for example one adapter of another workspace.
    check.findings.dedup();
    check.findings
}

/// Reports the changes from `base` to `set` that must not be published.
///
/// An engine may still hold the old weights under a version's name, so a name never stands for
/// other weights.
pub fn validate_change(base: &ObjectSet, set: &ObjectSet, sources: &SourceMap) -> Vec<Finding> {
    let mut check = Check::new(set, sources);
    for (name, version) in &set.versions {
        let Some(before) = base.versions.get(name) else {
            continue;
        };
        if before.digest != version.digest {
            let key = ObjectKey::new(ObjectKind::Version, name.clone());
            let message = format!(
                "the digest of published weights changed from {}",
                before.digest
            );
            let fix = "publish the new weights as a new version";
            check.error(&key, "digest", FindingCode::Contradiction, message, fix);
        }
    }
    check.findings
}

struct Check<'a> {
    set: &'a ObjectSet,
    sources: &'a SourceMap,
    models: BTreeSet<&'a Name>,
    services: BTreeSet<&'a Name>,
    findings: Vec<Finding>,
}

impl<'a> Check<'a> {
    fn new(set: &'a ObjectSet, sources: &'a SourceMap) -> Self {
        let backends = || set.endpoints.values().map(|endpoint| &endpoint.backend);
        let models = backends().filter_map(|backend| match backend {
            Backend::Model(name) => Some(name),
            Backend::Service(_) => None,
        });
        let services = backends().filter_map(|backend| match backend {
            Backend::Model(_) => None,
            Backend::Service(name) => Some(name),
        });
        Check {
            set,
            sources,
            models: models.collect(),
            services: services.collect(),
            findings: Vec::new(),
        }
    }

    fn adapter(&mut self, adapter: &Adapter) {
        let key = ObjectKey::new(ObjectKind::Adapter, adapter.name.clone());
        self.reference(&key, "workspace", ObjectKind::Workspace, &adapter.workspace);
        if self.reference(&key, "model", ObjectKind::Model, &adapter.model) {
            self.served_model(&key, "model", &adapter.model);
        }
    }

    fn endpoint(&mut self, endpoint: &Endpoint) {
        let key = ObjectKey::new(ObjectKind::Endpoint, endpoint.name.clone());
        match &endpoint.backend {
            Backend::Model(name) => self.reference(&key, "model", ObjectKind::Model, name),
            Backend::Service(name) => self.reference(&key, "service", ObjectKind::Service, name),
        };
    }

    fn route(&mut self, route: &Route) {
        let key = ObjectKey::new(ObjectKind::Route, route.name.clone());
        self.reference(&key, "workspace", ObjectKind::Workspace, &route.workspace);
        match &route.target {
            RouteTarget::Versions(targets) => self.targets(&key, route, targets),
            RouteTarget::Model(name) => {
                if self.reference(&key, "model", ObjectKind::Model, name) {
                    self.served_model(&key, "model", name);
                }
            }
            RouteTarget::Alias(name) => self.alias(&key, route, name),
            RouteTarget::Service(name) => {
                if self.reference(&key, "service", ObjectKind::Service, name) {
                    self.served_service(&key, name);
                }
            }
        }
    }

    fn targets(&mut self, key: &ObjectKey, route: &Route, targets: &[WeightedVersion]) {
        if targets.iter().all(|target| target.weight == 0) {
            let message = "no target has a weight above 0".to_owned();
            let fix = "add a target with a weight of at least 1";
            self.error(key, "targets", FindingCode::Range, message, fix);
        }
        let mut seen = BTreeSet::new();
        let mut models = BTreeSet::new();
        for target in targets {
            if !seen.insert(&target.version) {
                let message = format!("version \"{}\" is a target twice", target.version);
                let fix = "merge the two targets";
                self.error(key, "targets", FindingCode::Duplicate, message, fix);
                continue;
            }
            models.extend(self.target(key, route, &target.version));
        }
        if models.len() > 1 {
            let names: Vec<_> = models.iter().map(|name| format!("\"{name}\"")).collect();
            let message = format!("the targets belong to the models {}", names.join(" and "));
            let fix = "keep the targets of one model";
            self.error(key, "targets", FindingCode::Contradiction, message, fix);
        }
    }

    /// Checks one target and returns its model if it is known.
    fn target(&mut self, key: &ObjectKey, route: &Route, name: &Name) -> Option<&'a Name> {
        if !self.reference(key, "targets", ObjectKind::Version, name) {
            return None;
        }
        let version = self.set.versions.get(name)?;
        if version.withdrawn {
            let message = format!("target version \"{name}\" is withdrawn");
            let fix = "choose another version or clear `withdrawn`";
            self.error(key, "targets", FindingCode::Contradiction, message, fix);
        }
        let adapter = self.set.adapters.get(&version.adapter)?;
        if adapter.workspace != route.workspace {
            let message = format!(
                "workspace \"{}\" differs from \"{}\", the workspace of adapter \"{}\"",
                route.workspace, adapter.workspace, adapter.name
            );
            let fix = "use an adapter of the route's workspace";
            self.error(key, "workspace", FindingCode::Contradiction, message, fix);
        }
        Some(&adapter.model)
    }

    fn alias(&mut self, key: &ObjectKey, route: &Route, name: &Name) {
        if !self.reference(key, "alias", ObjectKind::Route, name) {
            return;
        }
        let target = self.set.routes.get(name);
        if target.is_some_and(|target| target.workspace != route.workspace) {
            let message = format!("route \"{name}\" belongs to another workspace");
            let fix = "alias a route of the same workspace";
            self.error(key, "alias", FindingCode::Contradiction, message, fix);
        }
        match resolve_route(self.set, &route.name) {
            Err(error @ ResolveError::Cycle(_)) => {
                let fix = "let one of them name targets, a model or a service";
                self.error(key, "alias", FindingCode::Cycle, error.to_string(), fix);
            }
            Err(error @ ResolveError::ChainTooLong) => {
                let fix = "alias a route nearer to the end of the chain";
                self.error(key, "alias", FindingCode::Range, error.to_string(), fix);
            }
            // What is missing further along the chain is reported with the route that names it.
            Err(ResolveError::MissingRoute(_) | ResolveError::MissingService(_)) | Ok(_) => {}
        }
    }

    /// Checks that a referenced object exists and returns whether the set holds it.
    fn reference(&mut self, key: &ObjectKey, field: &str, kind: ObjectKind, name: &Name) -> bool {
        if self.set.contains(kind, name) {
            return true;
        }
        let wanted = ObjectKey::new(kind, name.clone());
        if !self.sources.invalid.contains(&wanted) {
            let message = format!("{wanted} does not exist");
            let fix = format!("add `[[{kind}]]` with this name or correct `{field}`");
            self.error(key, field, FindingCode::Dangling, message, &fix);
        }
        false
    }

    fn served_model(&mut self, key: &ObjectKey, field: &str, name: &Name) {
        if !self.models.contains(name) {
            let message = format!("no endpoint serves model \"{name}\"");
            let fix = format!("add `[[endpoint]]` with `model = \"{name}\"`");
            self.report(
                key,
                field,
                Severity::Warning,
                FindingCode::Unserved,
                message,
                &fix,
            );
        }
    }

    fn served_service(&mut self, key: &ObjectKey, name: &Name) {
        if !self.services.contains(name) {
            let message = format!("no endpoint runs service \"{name}\"");
            let fix = format!("add `[[endpoint]]` with `service = \"{name}\"`");
            let (severity, code) = (Severity::Warning, FindingCode::Unserved);
            self.report(key, "service", severity, code, message, &fix);
        }
    }

    fn error(
        &mut self,
        key: &ObjectKey,
        field: &str,
        code: FindingCode,
        message: String,
        fix: &str,
    ) {
        self.report(key, field, Severity::Error, code, message, fix);
    }

    fn report(
        &mut self,
        key: &ObjectKey,
        field: &str,
        severity: Severity,
        code: FindingCode,
        message: String,
        fix: &str,
    ) {
        self.findings.push(Finding {
            location: self.sources.location(key, field),
            severity,
            code,
            object: Some(key.clone()),
            message,
            fix: fix.to_owned(),
        });
    }
}
