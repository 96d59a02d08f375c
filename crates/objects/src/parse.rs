//! Parsing of TOML files into objects.

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
use crate::table::SourceFile;
use crate::table::TableReader;
use crate::validate::validate;

/// The maximum deadline: one day, which covers overnight batch work.
const MAX_DEADLINE_MS: u32 = 86_400_000;
const MAX_CONTEXT_TOKENS: u32 = 100_000_000;
/// The maximum weight of a target, low enough that the sum of a route's weights fits into 32 bits.
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_SLOTS: u32 = 65_536;
/// The maximum number of sequences, queued jobs, requests in flight or concurrent loads.
const MAX_CONCURRENCY: u32 = 1_000_000;
/// The valid rates of requests and of adapter loads.
const RATE_RANGE_PER_S: std::ops::RangeInclusive<f64> = 0.001..=1_000_000.0;

/// A set read from files, with the findings of parsing and validation.
#[derive(Clone, Debug, Default)]
pub struct LoadedSet {
    /// The objects that were parsed without errors; of duplicates only the first.
    pub set: ObjectSet,
    /// The source locations of the objects.
    pub sources: SourceMap,
    /// All errors and warnings, ordered by file and line.
    pub findings: Vec<Finding>,
}

/// The objects and findings of one file.
#[derive(Clone, Debug, Default)]
pub struct ParsedFile {
    /// The objects that were parsed without errors, grouped by kind, with their source locations.
    pub objects: Vec<(Object, ObjectSource)>,
    /// The objects whose name could be read but whose fields have errors.
    pub invalid: Vec<ObjectKey>,
    /// The errors of parsing, not those of validation.
    pub findings: Vec<Finding>,
}

/// Parses and validates the files of a directory, given as pairs of file name and content.
pub fn load<'a>(files: impl IntoIterator<Item = (&'a str, &'a str)>) -> LoadedSet {
    let mut loaded = LoadedSet::default();
    for (file, text) in files {
        let parsed = parse(file, text);
        loaded.findings.extend(parsed.findings);
        loaded.sources.invalid.extend(parsed.invalid);
        for (object, source) in parsed.objects {
            insert_object(&mut loaded, object, source);
        }
    }
    inherit_priorities(&mut loaded);
    let findings = validate(&loaded.set, &loaded.sources);
    loaded.findings.extend(findings);
    loaded.findings.sort();
    loaded
}

fn insert_object(loaded: &mut LoadedSet, object: Object, source: ObjectSource) {
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

/// Sets the priority of each alias without a `priority` field to that of the route that it resolves
/// to.
fn inherit_priorities(loaded: &mut LoadedSet) {
    let mut inherited = Vec::new();
    for route in loaded.set.routes.values() {
        let key = ObjectKey::new(ObjectKind::Route, route.name.clone());
        let source = loaded.sources.objects.get(&key);
        let is_set = source.is_some_and(|source| source.has_field("priority"));
        if is_set || !matches!(route.target, RouteTarget::Alias(_)) {
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

/// Parses one file. The result depends only on the arguments; references are not checked.
pub fn parse(file: &str, text: &str) -> ParsedFile {
    let mut parsed = ParsedFile::default();
    let file = SourceFile::new(file, text);
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
    // The recovered content of a file with syntax errors would produce misleading findings.
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
    file: &SourceFile,
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

/// Records the names of the objects in a file with syntax errors, so that references to them are not
/// reported as dangling.
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
    file: &SourceFile,
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
            let message = format!("`{kind}` contains a value that is not a table");
            let fix = format!("write each object as `[[{kind}]]`");
            report(parsed, file, offset, FindingCode::Form, message, &fix);
        }
    }
}

fn parse_object(
    parsed: &mut ParsedFile,
    file: &SourceFile,
    kind: ObjectKind,
    offset: usize,
    table: &DeTable<'_>,
) {
    let findings_before = parsed.findings.len();
    let mut reader = TableReader::new(file, kind, table, offset, &mut parsed.findings);
    if let Some(name) = recover_name(kind, table) {
        reader.set_object(&name);
    }
    let object = match kind {
        ObjectKind::Model => read_model(&mut reader).map(|object| Object::Model(Arc::new(object))),
        ObjectKind::Adapter => {
            read_adapter(&mut reader).map(|object| Object::Adapter(Arc::new(object)))
        }
        ObjectKind::Version => {
            read_version(&mut reader).map(|object| Object::Version(Arc::new(object)))
        }
        ObjectKind::Route => read_route(&mut reader).map(|object| Object::Route(Arc::new(object))),
        ObjectKind::Endpoint => {
            read_endpoint(&mut reader).map(|object| Object::Endpoint(Arc::new(object)))
        }
        ObjectKind::Service => {
            read_service(&mut reader).map(|object| Object::Service(Arc::new(object)))
        }
        ObjectKind::Workspace => {
            read_workspace(&mut reader).map(|object| Object::Workspace(Arc::new(object)))
        }
        ObjectKind::Policy => {
            reader.set_object(POLICY_NAME);
            read_policy(&mut reader).map(|object| Object::Policy(Arc::new(object)))
        }
    };
    reader.finish();
    let key = reader.object().cloned();
    let source = reader.source();
    match object {
        Some(object) if parsed.findings.len() == findings_before => {
            parsed.objects.push((object, source))
        }
        _ => parsed.invalid.extend(key),
    }
}

fn read_model(reader: &mut TableReader<'_, '_>) -> Option<Model> {
    let name = reader.name("name");
    let base = reader.locator("base");
    let context = reader.optional_integer("context", 1..=MAX_CONTEXT_TOKENS);
    Some(Model {
        name: name?,
        base: base?,
        context: context?,
    })
}

fn read_adapter(reader: &mut TableReader<'_, '_>) -> Option<Adapter> {
    let name = reader.name("name");
    let model = reader.name("model");
    let workspace = reader.name("workspace");
    Some(Adapter {
        name: name?,
        model: model?,
        workspace: workspace?,
    })
}

fn read_version(reader: &mut TableReader<'_, '_>) -> Option<AdapterVersion> {
    let adapter = reader.name("adapter");
    let version = reader.version_label("version");
    let weights = reader.locator("weights");
    let digest = reader.digest("digest");
    let withdrawn = reader.boolean("withdrawn", false);
    let adapter = adapter?;
    Some(AdapterVersion {
        name: format!("{adapter}@{}", version?).into(),
        adapter,
        weights: weights?,
        digest: digest?,
        withdrawn: withdrawn?,
    })
}

fn read_route(reader: &mut TableReader<'_, '_>) -> Option<Route> {
    let name = reader.name("name");
    let workspace = reader.name("workspace");
    let target = read_route_target(reader);
    let priority = reader.choice("priority", &PRIORITY_VALUES);
    let deadline = match reader.contains("alias") {
        true => read_alias_deadline(reader),
        false => read_deadline(reader),
    };
    let repeatable = reader.boolean("repeatable", true);
    Some(Route {
        name: name?,
        workspace: workspace?,
        target: target?,
        priority: priority?,
        deadline: deadline?,
        repeatable: repeatable?,
    })
}

const PRIORITY_VALUES: [(&str, Priority); 3] = [
    ("interactive", Priority::Interactive),
    ("booking", Priority::Booking),
    ("overnight", Priority::Overnight),
];

fn read_route_target(reader: &mut TableReader<'_, '_>) -> Option<RouteTarget> {
    let targets = read_present(reader, "targets", |r| r.tables("targets", read_target));
    let model = read_present(reader, "model", |r| r.name("model"));
    let alias = read_present(reader, "alias", |r| r.name("alias"));
    let service = read_present(reader, "service", |r| r.name("service"));
    let present: Vec<_> = ["targets", "model", "alias", "service"]
        .into_iter()
        .filter(|field| reader.contains(field))
        .collect();
    if present.len() != 1 {
        let (code, message) = match present.is_empty() {
            true => (FindingCode::Missing, "the route has no target".to_owned()),
            false => (
                FindingCode::Contradiction,
                format!("the route has {}", present.join(" and ")),
            ),
        };
        let fix = "give exactly one of targets, model, alias and service".to_owned();
        reader.report_object(code, message, fix);
        return None;
    }
    let targets = targets.map(RouteTarget::Versions);
    let model = model.map(RouteTarget::Model);
    let alias = alias.map(RouteTarget::Alias);
    let service = service.map(RouteTarget::Service);
    targets.or(model).or(alias).or(service)
}

/// Reads a field if it is present; returns `None` if it is absent or not valid.
fn read_present<'a, 'i, T>(
    reader: &mut TableReader<'a, 'i>,
    field: &'static str,
    read: impl FnOnce(&mut TableReader<'a, 'i>) -> Option<T>,
) -> Option<T> {
    reader.optional(field, read).flatten()
}

fn read_target(reader: &mut TableReader<'_, '_>) -> Option<WeightedVersion> {
    let version = reader.full_version("version");
    let weight = reader.integer("weight", 0..=MAX_WEIGHT);
    Some(WeightedVersion {
        version: version?,
        weight: weight?,
    })
}

fn read_deadline(reader: &mut TableReader<'_, '_>) -> Option<Duration> {
    let ms = reader.integer("deadline_ms", 1..=MAX_DEADLINE_MS)?;
    Some(Duration::from_millis(ms.into()))
}

/// Reads the deadline of an alias. Without one the deadlines of the routes that it resolves to apply,
/// since the maximum does not shorten them.
fn read_alias_deadline(reader: &mut TableReader<'_, '_>) -> Option<Duration> {
    let ms = reader.optional_integer("deadline_ms", 1..=MAX_DEADLINE_MS)?;
    Some(Duration::from_millis(ms.unwrap_or(MAX_DEADLINE_MS).into()))
}

fn read_endpoint(reader: &mut TableReader<'_, '_>) -> Option<Endpoint> {
    let name = reader.name("name");
    let backend = read_backend(reader);
    let region = reader.name("region");
    let domain = reader.name("domain");
    let slots = match backend {
        Some(Backend::Service(_)) => reader.optional_integer("slots", 0..=0),
        _ => reader.integer("slots", 1..=MAX_SLOTS).map(Some),
    };
    let batch = reader.integer("batch", 1..=MAX_CONCURRENCY);
    let queue = reader.integer("queue", 1..=MAX_CONCURRENCY);
    let fencing = reader.choice("fencing", &FENCING_VALUES);
    let draining = reader.boolean("draining", false);
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

const FENCING_VALUES: [(&str, Fencing); 2] =
    [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];

fn read_backend(reader: &mut TableReader<'_, '_>) -> Option<Backend> {
    let model = reader.optional_name("model");
    let service = reader.optional_name("service");
    let (code, message) = match (reader.contains("model"), reader.contains("service")) {
        (true, false) => return model?.map(Backend::Model),
        (false, true) => return service?.map(Backend::Service),
        (true, true) => (
            FindingCode::Contradiction,
            "the endpoint has both model and service",
        ),
        (false, false) => (
            FindingCode::Missing,
            "the endpoint has neither model nor service",
        ),
    };
    let fix = "give exactly one of model and service".to_owned();
    reader.report_object(code, message.to_owned(), fix);
    None
}

fn read_service(reader: &mut TableReader<'_, '_>) -> Option<Service> {
    let name = reader.name("name");
    let repeatable = reader.boolean("repeatable", false);
    let deadline = read_deadline(reader);
    Some(Service {
        name: name?,
        repeatable: repeatable?,
        deadline: deadline?,
    })
}

fn read_workspace(reader: &mut TableReader<'_, '_>) -> Option<Workspace> {
    let name = reader.name("name");
    let rate = reader.number("rate", RATE_RANGE_PER_S);
    let inflight = reader.integer("inflight", 1..=MAX_CONCURRENCY);
    let secret: Option<Option<Name>> = reader.optional_digest("secret");
    Some(Workspace {
        name: name?,
        rate: rate?,
        inflight: inflight?,
        secret: secret?,
    })
}

fn read_policy(reader: &mut TableReader<'_, '_>) -> Option<Policy> {
    let default = Policy::default();
    let stall_weight = reader.optional_number("stall_weight", 0.0..=1.0);
    let retry_share = reader.optional_number("retry_share", 0.0..=1.0);
    let loads_per_s = reader.optional_number("loads_per_s", RATE_RANGE_PER_S);
    let loads_at_once = reader.optional_integer("loads_at_once", 1..=MAX_CONCURRENCY);
    Some(Policy {
        stall_weight: stall_weight?.unwrap_or(default.stall_weight),
        retry_share: retry_share?.unwrap_or(default.retry_share),
        loads_per_s: loads_per_s?.unwrap_or(default.loads_per_s),
        loads_at_once: loads_at_once?.unwrap_or(default.loads_at_once),
    })
}
