//! Reading of TOML files.

use std::sync::Arc;
use std::time::Duration;

use toml::de::DeTable;
use toml::de::DeValue;

use crate::Adapter;
use crate::AdapterVersion;
use crate::Backend;
use crate::Endpoint;
use crate::Fencing;
use crate::Model;
use crate::Name;
use crate::ObjectSet;
use crate::Policy;
use crate::Priority;
use crate::Route;
use crate::RouteTarget;
use crate::Service;
use crate::WeightedVersion;
use crate::Workspace;
use crate::fields::Fields;
use crate::fields::File;
use crate::finding::Finding;
use crate::finding::FindingCode;
use crate::finding::ObjectSource;
use crate::finding::Severity;
use crate::finding::SourceMap;
use crate::ident::Object;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;
use crate::ident::POLICY_NAME;
use crate::resolve::resolve_route;
use crate::validate::validate;

/// The longest deadline, in milliseconds: one day covers overnight work.
const DEADLINE_MAX: u32 = 86_400_000;
/// The largest context length, in tokens.
const CONTEXT_MAX: u32 = 100_000_000;
/// The largest weight of a target, so that the sum over a route fits into 32 bits.
const WEIGHT_MAX: u32 = 1_000_000;
/// The largest number of adapter slots of an endpoint.
const SLOTS_MAX: u32 = 65_536;
/// The largest count of sequences, queued jobs or requests in progress.
const COUNT_MAX: u32 = 1_000_000;
/// The smallest and largest rate per second.
const RATE: std::ops::RangeInclusive<f64> = 0.001..=1_000_000.0;

/// A set read from files, with everything that is wrong with it.
#[derive(Clone, Debug, Default)]
pub struct LoadedSet {
    /// The objects that could be read.
    pub set: ObjectSet,
    /// Where they stand.
    pub sources: SourceMap,
    /// All errors and warnings, in the order of file and line.
    pub findings: Vec<Finding>,
}

/// What one file holds.
#[derive(Clone, Debug, Default)]
pub struct ParsedFile {
    /// The objects in the order of the kinds, with their sources.
    pub objects: Vec<(Object, ObjectSource)>,
    /// The objects whose name could be read but not their fields.
    pub invalid: Vec<ObjectKey>,
    /// The errors.
    pub findings: Vec<Finding>,
}

/// Reads and validates the files of a directory, given as pairs of file name and text.
pub fn load<'a>(files: impl IntoIterator<Item = (&'a str, &'a str)>) -> LoadedSet {
    let mut loaded = LoadedSet::default();
    for (file, text) in files {
        let parsed = parse(file, text);
        loaded.findings.extend(parsed.findings);
        loaded.sources.invalid.extend(parsed.invalid);
        for (object, source) in parsed.objects {
            add(&mut loaded, object, source);
        }
    }
    inherit_priorities(&mut loaded);
    let findings = validate(&loaded.set, &loaded.sources);
    loaded.findings.extend(findings);
    loaded.findings.sort();
    loaded
}

fn add(loaded: &mut LoadedSet, object: Object, source: ObjectSource) {
    let key = object.key();
    if let Some(first) = loaded.sources.objects.get(&key) {
        loaded.findings.push(Finding {
            location: Some(source.location),
            severity: Severity::Error,
            code: FindingCode::Duplicate,
            message: format!("already defined at {}", first.location),
            fix: "remove or rename one of the two".into(),
            object: Some(key),
        });
        return;
    }
    loaded.sources.objects.insert(key, source);
    loaded.set.insert(object);
}

/// Gives each alias that names no priority the one of the route that it leads to.
fn inherit_priorities(loaded: &mut LoadedSet) {
    let mut inherited = Vec::new();
    for route in loaded.set.routes.values() {
        let key = ObjectKey::new(ObjectKind::Route, route.name.clone());
        let source = loaded.sources.objects.get(&key);
        let given = source.is_some_and(|source| source.has("priority"));
        if given || !matches!(route.target, RouteTarget::Alias(_)) {
            continue;
        }
        if let Ok(resolved) = resolve_route(&loaded.set, &route.name) {
            let mut route = Route::clone(route);
            route.priority = resolved.route.priority;
            inherited.push(route);
        }
    }
    for route in inherited {
        loaded.set.insert(Object::Route(Arc::new(route)));
    }
}

/// Reads one file. The result depends on the arguments alone.
pub fn parse(file: &str, text: &str) -> ParsedFile {
    let mut parsed = ParsedFile::default();
    let file = File::new(file, text);
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message().to_owned();
        let fix = "correct the TOML syntax";
        report(
            &mut parsed,
            &file,
            offset,
            FindingCode::Syntax,
            message,
            fix,
        );
    }
    // What a broken file seems to hold would produce misleading findings.
    if !errors.is_empty() {
        recover_names(&mut parsed, document.get_ref());
        return parsed;
    }
    for (key, value) in document.get_ref() {
        let Some(kind) = ObjectKind::from_table(key.get_ref()) else {
            let message = format!("unknown table {:?}", key.get_ref());
            let kinds: Vec<_> = ObjectKind::ALL.iter().map(|kind| kind.as_str()).collect();
            let fix = format!("use one of: {}", kinds.join(", "));
            let offset = key.span().start;
            report(
                &mut parsed,
                &file,
                offset,
                FindingCode::Unknown,
                message,
                &fix,
            );
            continue;
        };
        parse_kind(&mut parsed, &file, kind, key.span().start, value.get_ref());
    }
    parsed
}

fn report(
    parsed: &mut ParsedFile,
    file: &File,
    offset: usize,
    code: FindingCode,
    message: String,
    fix: &str,
) {
    parsed.findings.push(Finding {
        location: Some(file.location(offset)),
        severity: Severity::Error,
        code,
        object: None,
        message,
        fix: fix.to_owned(),
    });
}

/// Notes the names in a file with syntax errors, so that references to them are not reported.
fn recover_names(parsed: &mut ParsedFile, document: &DeTable<'_>) {
    for (key, value) in document {
        let Some(kind) = ObjectKind::from_table(key.get_ref()) else {
            continue;
        };
        let items = value
            .get_ref()
            .as_array()
            .into_iter()
            .flat_map(|a| a.iter());
        for table in items.filter_map(|item| item.get_ref().as_table()) {
            if let Some(name) = recover_name(kind, table) {
                parsed.invalid.push(ObjectKey::new(kind, name));
            }
        }
    }
}

fn recover_name(kind: ObjectKind, table: &DeTable<'_>) -> Option<String> {
    let field = |name: &str| table.get(name).and_then(|value| value.get_ref().as_str());
    if kind == ObjectKind::Version {
        return Some(format!("{}@{}", field("adapter")?, field("version")?));
    }
    field("name").map(str::to_owned)
}

fn parse_kind(
    parsed: &mut ParsedFile,
    file: &File,
    kind: ObjectKind,
    offset: usize,
    value: &DeValue<'_>,
) {
    let items = match value {
        DeValue::Array(items) => items,
        DeValue::Table(table) if kind == ObjectKind::Policy => {
            return parse_object(parsed, file, kind, offset, table);
        }
        _ => {
            let message = format!("`{kind}` is not a list of tables");
            let fix = format!("write each object as `[[{kind}]]`");
            return report(parsed, file, offset, FindingCode::Form, message, &fix);
        }
    };
    for item in items.iter() {
        let offset = item.span().start;
        if let Some(table) = item.get_ref().as_table() {
            parse_object(parsed, file, kind, offset, table);
        } else {
            let message = format!("`{kind}` holds a value that is not a table");
            let fix = format!("write each object as `[[{kind}]]`");
            report(parsed, file, offset, FindingCode::Form, message, &fix);
        }
    }
}

fn parse_object(
    parsed: &mut ParsedFile,
    file: &File,
    kind: ObjectKind,
    offset: usize,
    table: &DeTable<'_>,
) {
    let before = parsed.findings.len();
    let mut fields = Fields::new(file, kind, table, offset, &mut parsed.findings);
    if let Some(name) = recover_name(kind, table) {
        fields.identify(&name);
    }
    let object = match kind {
        ObjectKind::Model => model(&mut fields).map(|o| Object::Model(Arc::new(o))),
        ObjectKind::Adapter => adapter(&mut fields).map(|o| Object::Adapter(Arc::new(o))),
        ObjectKind::Version => version(&mut fields).map(|o| Object::Version(Arc::new(o))),
        ObjectKind::Route => route(&mut fields).map(|o| Object::Route(Arc::new(o))),
        ObjectKind::Endpoint => endpoint(&mut fields).map(|o| Object::Endpoint(Arc::new(o))),
        ObjectKind::Service => service(&mut fields).map(|o| Object::Service(Arc::new(o))),
        ObjectKind::Workspace => workspace(&mut fields).map(|o| Object::Workspace(Arc::new(o))),
        ObjectKind::Policy => {
            fields.identify(POLICY_NAME);
            policy(&mut fields).map(|o| Object::Policy(Arc::new(o)))
        }
    };
    fields.finish();
    let key = fields.object().cloned();
    let source = fields.source();
    match object {
        Some(object) if parsed.findings.len() == before => parsed.objects.push((object, source)),
        _ => parsed.invalid.extend(key),
    }
}

fn model(fields: &mut Fields<'_, '_>) -> Option<Model> {
    let name = fields.name("name");
    let base = fields.locator("base");
    let context = fields.optional_integer("context", 1..=CONTEXT_MAX);
    Some(Model {
        name: name?,
        base: base?,
        context: context?,
    })
}

fn adapter(fields: &mut Fields<'_, '_>) -> Option<Adapter> {
    let name = fields.name("name");
    let model = fields.name("model");
    let workspace = fields.name("workspace");
    Some(Adapter {
        name: name?,
        model: model?,
        workspace: workspace?,
    })
}

fn version(fields: &mut Fields<'_, '_>) -> Option<AdapterVersion> {
    let adapter = fields.name("adapter");
    let version = fields.label("version");
    let weights = fields.locator("weights");
    let digest = fields.digest("digest");
    let withdrawn = fields.flag("withdrawn", false);
    let adapter = adapter?;
    Some(AdapterVersion {
        name: format!("{adapter}@{}", version?).into(),
        adapter,
        weights: weights?,
        digest: digest?,
        withdrawn: withdrawn?,
    })
}

fn route(fields: &mut Fields<'_, '_>) -> Option<Route> {
    let name = fields.name("name");
    let workspace = fields.name("workspace");
    let target = route_target(fields);
    let priority = fields.choice("priority", &PRIORITIES);
    let deadline = match fields.has("alias") {
        true => alias_deadline(fields),
        false => deadline(fields),
    };
    let repeatable = fields.flag("repeatable", true);
    Some(Route {
        name: name?,
        workspace: workspace?,
        target: target?,
        priority: priority?,
        deadline: deadline?,
        repeatable: repeatable?,
    })
}

const PRIORITIES: [(&str, Priority); 3] = [
    ("interactive", Priority::Interactive),
    ("booking", Priority::Booking),
    ("overnight", Priority::Overnight),
];

fn route_target(fields: &mut Fields<'_, '_>) -> Option<RouteTarget> {
    let targets = read_present(fields, "targets", |f| f.tables("targets", target));
    let model = read_present(fields, "model", |f| f.name("model"));
    let alias = read_present(fields, "alias", |f| f.name("alias"));
    let service = read_present(fields, "service", |f| f.name("service"));
    let given: Vec<_> = ["targets", "model", "alias", "service"]
        .into_iter()
        .filter(|field| fields.has(field))
        .collect();
    if given.len() != 1 {
        let (code, message) = match given.is_empty() {
            true => (FindingCode::Missing, "the route leads nowhere".to_owned()),
            false => (
                FindingCode::Contradiction,
                format!("the route has {}", given.join(" and ")),
            ),
        };
        let fix = "give exactly one of targets, model, alias and service".to_owned();
        fields.report_object(code, message, fix);
        return None;
    }
    let targets = targets.map(RouteTarget::Versions);
    let model = model.map(RouteTarget::Model);
    let alias = alias.map(RouteTarget::Alias);
    let service = service.map(RouteTarget::Service);
    targets.or(model).or(alias).or(service)
}

/// Reads a field that may be absent; `None` where it is absent or not valid.
fn read_present<'a, 'i, T>(
    fields: &mut Fields<'a, 'i>,
    field: &'static str,
    read: impl FnOnce(&mut Fields<'a, 'i>) -> Option<T>,
) -> Option<T> {
    fields.optional(field, read).flatten()
}

fn target(fields: &mut Fields<'_, '_>) -> Option<WeightedVersion> {
    let version = fields.full_version("version");
    let weight = fields.integer("weight", 0..=WEIGHT_MAX);
    Some(WeightedVersion {
        version: version?,
        weight: weight?,
    })
}

fn deadline(fields: &mut Fields<'_, '_>) -> Option<Duration> {
    let ms = fields.integer("deadline_ms", 1..=DEADLINE_MAX)?;
    Some(Duration::from_millis(ms.into()))
}

/// Reads the deadline of an alias; without one the routes behind it decide.
fn alias_deadline(fields: &mut Fields<'_, '_>) -> Option<Duration> {
    let ms = fields.optional_integer("deadline_ms", 1..=DEADLINE_MAX)?;
    Some(Duration::from_millis(ms.unwrap_or(DEADLINE_MAX).into()))
}

fn endpoint(fields: &mut Fields<'_, '_>) -> Option<Endpoint> {
    let name = fields.name("name");
    let backend = backend(fields);
    let region = fields.name("region");
    let domain = fields.name("domain");
    let slots = match backend {
        Some(Backend::Service(_)) => fields.optional_integer("slots", 0..=0),
        _ => fields.integer("slots", 1..=SLOTS_MAX).map(Some),
    };
    let batch = fields.integer("batch", 1..=COUNT_MAX);
    let queue = fields.integer("queue", 1..=COUNT_MAX);
    let fencing = fields.choice("fencing", &FENCINGS);
    let draining = fields.flag("draining", false);
    Some(Endpoint {
        name: name?,
        backend: backend?,
        region: region?,
        domain: domain?,
        slots: slots?.unwrap_or(0),
        batch: batch?,
        queue: queue?,
        fencing: fencing?,
        draining: draining?,
    })
}

const FENCINGS: [(&str, Fencing); 2] =
    [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];

fn backend(fields: &mut Fields<'_, '_>) -> Option<Backend> {
    let model = fields.optional_name("model");
    let service = fields.optional_name("service");
    let (code, message) = match (fields.has("model"), fields.has("service")) {
        (true, false) => return model?.map(Backend::Model),
        (false, true) => return service?.map(Backend::Service),
        (true, true) => (
            FindingCode::Contradiction,
            "the endpoint has model and service",
        ),
        (false, false) => (
            FindingCode::Missing,
            "the endpoint has no model and no service",
        ),
    };
    let fix = "give exactly one of model and service".to_owned();
    fields.report_object(code, message.to_owned(), fix);
    None
}

fn service(fields: &mut Fields<'_, '_>) -> Option<Service> {
    let name = fields.name("name");
    let repeatable = fields.flag("repeatable", false);
    let deadline = deadline(fields);
    Some(Service {
        name: name?,
        repeatable: repeatable?,
        deadline: deadline?,
    })
}

fn workspace(fields: &mut Fields<'_, '_>) -> Option<Workspace> {
    let name = fields.name("name");
    let rate = fields.number("rate", RATE);
    let inflight = fields.integer("inflight", 1..=COUNT_MAX);
    let secret: Option<Option<Name>> = fields.optional_digest("secret");
    Some(Workspace {
        name: name?,
        rate: rate?,
        inflight: inflight?,
        secret: secret?,
    })
}

fn policy(fields: &mut Fields<'_, '_>) -> Option<Policy> {
    let default = Policy::default();
    let stall_weight = fields.optional_number("stall_weight", 0.0..=1.0);
    let retry_share = fields.optional_number("retry_share", 0.0..=1.0);
    let loads_per_s = fields.optional_number("loads_per_s", RATE);
    let loads_at_once = fields.optional_integer("loads_at_once", 1..=COUNT_MAX);
    Some(Policy {
        stall_weight: stall_weight?.unwrap_or(default.stall_weight),
        retry_share: retry_share?.unwrap_or(default.retry_share),
        loads_per_s: loads_per_s?.unwrap_or(default.loads_per_s),
        loads_at_once: loads_at_once?.unwrap_or(default.loads_at_once),
    })
}
