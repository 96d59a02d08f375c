//! Checks records against the object set published in their generation.

use decision::ids::Head;
use decision::ids::Name;
use decision::job::Target;
use objects::ObjectSet;
use objects::Route;
use objects::RouteTarget;
use objects::resolve_route;

use crate::record::AttemptRecord;
use crate::record::CommandKind;
use crate::record::CommandRecord;

/// Object set that was published as one generation.
#[derive(Clone, Copy, Debug)]
pub struct PublishedSet<'a> {
    /// Digest of the generation's manifest.
    pub digest: &'a str,
    /// The set that the manifest describes.
    pub set: &'a ObjectSet,
}

impl PublishedSet<'_> {
    /// Returns how an attempt contradicts the object set, or `None` if it agrees.
    pub(crate) fn attempt_problem(&self, record: &AttemptRecord) -> Option<String> {
        if let Some(problem) = self.head_problem(&record.head) {
            return Some(problem);
        }
        let Some(named_route) = self.set.routes.get(&record.route) else {
            return Some(format!("no route `{}`", record.route));
        };
        if named_route.workspace != record.workspace {
            return Some(format!(
                "route `{}` is of workspace `{}`",
                named_route.name, named_route.workspace
            ));
        }
        match resolve_route(self.set, &record.route) {
            Ok(resolved) => self.target_problem(resolved.route, &record.target),
            Err(err) => Some(err.to_string()),
        }
    }

    /// Returns how a command contradicts the object set, or `None` if it agrees. An unload may name
    /// a version that is no longer published.
    pub(crate) fn command_problem(&self, record: &CommandRecord) -> Option<String> {
        if let Some(problem) = self.head_problem(&record.head) {
            return Some(problem);
        }
        if record.kind == CommandKind::Unload {
            return None;
        }
        let weights = record.weight_digest.as_deref().unwrap_or_default();
        self.version_problem(&record.version, weights)
    }

    /// Returns whether the object set marks requests to a route as non-repeatable.
    pub(crate) fn is_non_repeatable(&self, route: &Name) -> bool {
        resolve_route(self.set, route).is_ok_and(|resolved| !resolved.repeatable)
    }

    fn head_problem(&self, head: &Head) -> Option<String> {
        let differs = head.digest != self.digest;
        differs.then(|| format!("generation {} has digest {}", head.generation, self.digest))
    }

    fn target_problem(&self, route: &Route, target: &Target) -> Option<String> {
        let is_target_of_route = match (&route.target, target) {
            (RouteTarget::Versions(versions), Target::Version { name, .. }) => {
                versions.iter().any(|v| v.version == *name)
            }
            (RouteTarget::Model(model), Target::Model(base)) => {
                self.set.models.get(model).is_some_and(|m| m.base == *base)
            }
            (RouteTarget::Service(service), Target::Service(name)) => service == name,
            _ => false,
        };
        if !is_target_of_route {
            return Some(format!(
                "route `{}` does not lead to `{}`",
                route.name,
                target.served_name()
            ));
        }
        let Target::Version {
            name,
            weights,
            digest,
        } = target
        else {
            return None;
        };
        let problem = self.version_problem(name, digest);
        problem.or_else(|| {
            let differs = self.set.versions[name].weights != *weights;
            differs.then(|| format!("version `{name}` has other weights than `{weights}`"))
        })
    }

    fn version_problem(&self, name: &Name, digest: &str) -> Option<String> {
        let Some(version) = self.set.versions.get(name) else {
            return Some(format!("no version `{name}`"));
        };
        let differs = *version.digest != *digest;
        differs.then(|| format!("version `{name}` has weight digest {}", version.digest))
    }
}
