//! Validation of whole sets, and of the changes between two sets.

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

/// Validates a set and returns all errors and warnings, ordered by location.
pub fn validate(set: &ObjectSet, sources: &SourceMap) -> Vec<Finding> {
    let mut validator = Validator::new(set, sources);
    for adapter in set.adapters.values() {
        validator.check_adapter(adapter);
    }
    for version in set.versions.values() {
        let key = ObjectKey::new(ObjectKind::Version, version.name.clone());
        validator.check_reference(&key, "adapter", ObjectKind::Adapter, &version.adapter);
    }
    for route in set.routes.values() {
        validator.check_route(route);
    }
    for endpoint in set.endpoints.values() {
        validator.check_endpoint(endpoint);
    }
    validator.findings.sort();
    // Several targets of a route can have the same error, for example if they are versions of one
    // adapter of another workspace.
    validator.findings.dedup();
    validator.findings
}

/// Returns an error for each change from `base` to `set` that cannot be published.
///
/// The weights of a published version cannot change, because an engine may still have the old
/// weights loaded under the version's name.
pub fn validate_change(base: &ObjectSet, set: &ObjectSet, sources: &SourceMap) -> Vec<Finding> {
    let mut validator = Validator::new(set, sources);
    for (name, version) in &set.versions {
        let Some(previous) = base.versions.get(name) else {
            continue;
        };
        if previous.digest != version.digest {
            let key = ObjectKey::new(ObjectKind::Version, name.clone());
            let message = format!(
                "the digest of published weights changed from {}",
                previous.digest
            );
            let fix = "publish the new weights as a new version";
            validator.error(&key, "digest", FindingCode::Contradiction, message, fix);
        }
    }
    validator.findings
}

struct Validator<'a> {
    set: &'a ObjectSet,
    sources: &'a SourceMap,
    served_models: BTreeSet<&'a Name>,
    served_services: BTreeSet<&'a Name>,
    findings: Vec<Finding>,
}

impl<'a> Validator<'a> {
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
        Validator {
            set,
            sources,
            served_models: models.collect(),
            served_services: services.collect(),
            findings: Vec::new(),
        }
    }

    fn check_adapter(&mut self, adapter: &Adapter) {
        let key = ObjectKey::new(ObjectKind::Adapter, adapter.name.clone());
        self.check_reference(&key, "workspace", ObjectKind::Workspace, &adapter.workspace);
        if self.check_reference(&key, "model", ObjectKind::Model, &adapter.model) {
            self.check_model_served(&key, "model", &adapter.model);
        }
    }

    fn check_endpoint(&mut self, endpoint: &Endpoint) {
        let key = ObjectKey::new(ObjectKind::Endpoint, endpoint.name.clone());
        match &endpoint.backend {
            Backend::Model(name) => self.check_reference(&key, "model", ObjectKind::Model, name),
            Backend::Service(name) => {
                self.check_reference(&key, "service", ObjectKind::Service, name)
            }
        };
    }

    fn check_route(&mut self, route: &Route) {
        let key = ObjectKey::new(ObjectKind::Route, route.name.clone());
        self.check_reference(&key, "workspace", ObjectKind::Workspace, &route.workspace);
        match &route.target {
            RouteTarget::Versions(targets) => self.check_targets(&key, route, targets),
            RouteTarget::Model(name) => {
                if self.check_reference(&key, "model", ObjectKind::Model, name) {
                    self.check_model_served(&key, "model", name);
                }
            }
            RouteTarget::Alias(name) => self.check_alias(&key, route, name),
            RouteTarget::Service(name) => {
                if self.check_reference(&key, "service", ObjectKind::Service, name) {
                    self.check_service_served(&key, name);
                }
            }
        }
    }

    fn check_targets(&mut self, key: &ObjectKey, route: &Route, targets: &[WeightedVersion]) {
        if targets.iter().all(|target| target.weight == 0) {
            let message = "no target has a weight above 0".to_owned();
            let fix = "add a target with a weight of at least 1";
            self.error(key, "targets", FindingCode::Range, message, fix);
        }
        let mut seen = BTreeSet::new();
        let mut models = BTreeSet::new();
        for target in targets {
            if !seen.insert(&target.version) {
                let message = format!("version \"{}\" is listed twice", target.version);
                let fix = "merge the two targets";
                self.error(key, "targets", FindingCode::Duplicate, message, fix);
                continue;
            }
            models.extend(self.check_target(key, route, &target.version));
        }
        if models.len() > 1 {
            let names: Vec<_> = models.iter().map(|name| format!("\"{name}\"")).collect();
            let message = format!("the targets belong to the models {}", names.join(" and "));
            let fix = "keep the targets of one model";
            self.error(key, "targets", FindingCode::Contradiction, message, fix);
        }
    }

    /// Checks a target and returns the model of its adapter, if the version and the adapter exist.
    fn check_target(&mut self, key: &ObjectKey, route: &Route, name: &Name) -> Option<&'a Name> {
        if !self.check_reference(key, "targets", ObjectKind::Version, name) {
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

    fn check_alias(&mut self, key: &ObjectKey, route: &Route, name: &Name) {
        if !self.check_reference(key, "alias", ObjectKind::Route, name) {
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
                let fix = "set targets, model or service on one of these routes";
                self.error(key, "alias", FindingCode::Cycle, error.to_string(), fix);
            }
            Err(error @ ResolveError::ChainTooLong) => {
                let fix = "alias a route closer to the end of the chain";
                self.error(key, "alias", FindingCode::Range, error.to_string(), fix);
            }
            // A missing object further along the chain is reported for the route that refers to it.
            Err(ResolveError::MissingRoute(_) | ResolveError::MissingService(_)) | Ok(_) => {}
        }
    }

    /// Returns whether the set contains a referenced object. Reports an error if it does not, unless
    /// the object is defined in the source files but has errors itself.
    fn check_reference(
        &mut self,
        key: &ObjectKey,
        field: &str,
        kind: ObjectKind,
        name: &Name,
    ) -> bool {
        if self.set.contains(kind, name) {
            return true;
        }
        let referenced = ObjectKey::new(kind, name.clone());
        if !self.sources.invalid.contains(&referenced) {
            let message = format!("{referenced} does not exist");
            let fix = format!("add `[[{kind}]]` with this name or correct `{field}`");
            self.error(key, field, FindingCode::Dangling, message, &fix);
        }
        false
    }

    fn check_model_served(&mut self, key: &ObjectKey, field: &str, name: &Name) {
        if !self.served_models.contains(name) {
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

    fn check_service_served(&mut self, key: &ObjectKey, name: &Name) {
        if !self.served_services.contains(name) {
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
