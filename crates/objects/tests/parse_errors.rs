//! Findings of parsing and validation. All are reported together, each with file, line, object and a
//! suggested correction.

use objects::FindingCode;
use objects::LoadedSet;
use objects::RouteTarget;
use objects::Severity;
use objects::load;
use objects::parse;

const VALID: &str = include_str!("valid.toml");

fn messages(loaded: &LoadedSet) -> Vec<String> {
    loaded.findings.iter().map(ToString::to_string).collect()
}

/// Loads the valid set together with a second file.
fn load_with(extra: &str) -> LoadedSet {
    load([("a.toml", VALID), ("b.toml", extra)])
}

#[test]
fn valid_set_has_no_findings() {
    // Guards against validation rules that reject documented settings.
    let loaded = load([("a.toml", VALID)]);
    assert_eq!(messages(&loaded), Vec::<String>::new());
    assert_eq!(loaded.set.len(), 16);
    assert_eq!(loaded.set.policy.loads_at_once, 4);
    let route = &loaded.set.routes["tides"];
    let RouteTarget::Versions(targets) = &route.target else {
        panic!("expected targets, found {:?}", route.target);
    };
    assert_eq!(targets[1].weight, 10);
}

#[test]
fn all_errors_are_reported_together() {
    // Guards against parsing that stops at the first error, and against wrong line numbers.
    let text = "\
[[model]]
name = \"Big\"
base = \"org/base\"
context = 0
colour = 1

[[adapter]]
name = \"incomplete\"
workspace = \"harbor\"

[[route]]
name = \"tides\"
workspace = \"nowhere\"
model = \"base-1\"
deadline_ms = \"soon\"

[[gateway]]
name = \"x\"
";
    let expected = [
        "b.toml:2: error: model \"Big\": `name` is not valid; use 1 to 128 characters of a-z, \
         0-9, `-`, `_` and `.`",
        "b.toml:4: error: model \"Big\": `context` is out of range; use a value from 1 to \
         100000000",
        "b.toml:5: error: model \"Big\": unknown field \"colour\"; remove it or use one of: name, \
         base, context",
        "b.toml:7: error: adapter \"incomplete\": field `model` is missing; add `model = ...`",
        "b.toml:15: error: route \"tides\": `deadline_ms` has the type string; write a whole \
         number",
        "b.toml:17: error: unknown table \"gateway\"; use one of: model, adapter, version, \
         route, endpoint, service, workspace, policy",
    ];
    assert_eq!(messages(&load_with(text)), expected);
}

#[test]
fn contradictions_and_dangling_references_are_errors() {
    // Guards against publishing a set in which a request can reach the wrong adapter, or none.
    let text = r#"
[[route]]
name = "both"
workspace = "harbor"
model = "base-1"
service = "orders"
deadline_ms = 10
[[route]]
name = "foreign"
workspace = "market"
targets = [{version = "harbor-tides@v1", weight = 1}, {version = "harbor-tides@v0", weight = 1}]
deadline_ms = 10
[[route]]
name = "mixed"
workspace = "harbor"
targets = [{version = "harbor-tides@v1", weight = 1}, {version = "small@v1", weight = 1}]
deadline_ms = 10
[[route]]
name = "zero"
workspace = "harbor"
targets = [{version = "harbor-tides@v1", weight = 0}, {version = "harbor-tides@v1", weight = 0}]
deadline_ms = 10
[[route]]
name = "dangling"
workspace = "harbor"
alias = "absent"
[[route]]
name = "loop-a"
workspace = "harbor"
alias = "loop-b"
[[route]]
name = "loop-b"
workspace = "harbor"
alias = "loop-a"
[[endpoint]]
name = "two-backends"
model = "base-1"
service = "orders"
region = "r"
domain = "d"
slots = 1
batch = 1
queue = 1
[[version]]
adapter = "absent"
version = "v1"
weights = "w"
digest = "sha256:00"
[[adapter]]
name = "small"
model = "base-2"
workspace = "harbor"
[[version]]
adapter = "small"
version = "v1"
weights = "w"
digest = "sha256:1111111111111111111111111111111111111111111111111111111111111111"
[[model]]
name = "base-1"
base = "other"
"#;
    let loaded = load_with(text);
    let found: Vec<_> = loaded
        .findings
        .iter()
        .map(|finding| {
            let name = finding.object.as_ref().map(|key| key.name.to_string());
            let line = finding
                .location
                .as_ref()
                .map_or(0, |location| location.line);
            (line, finding.code, name.unwrap_or_default())
        })
        .collect();
    let expected = [
        (2, FindingCode::Contradiction, "both"),
        (10, FindingCode::Contradiction, "foreign"),
        (11, FindingCode::Contradiction, "foreign"),
        (16, FindingCode::Contradiction, "mixed"),
        (21, FindingCode::Range, "zero"),
        (21, FindingCode::Duplicate, "zero"),
        (26, FindingCode::Dangling, "dangling"),
        (30, FindingCode::Cycle, "loop-a"),
        (34, FindingCode::Cycle, "loop-b"),
        (35, FindingCode::Contradiction, "two-backends"),
        (48, FindingCode::Form, "absent@v1"),
        (58, FindingCode::Duplicate, "base-1"),
    ];
    let mut expected = expected.map(|(line, code, name)| (line, code, name.to_owned()));
    let mut found = found;
    found.sort();
    expected.sort();
    assert_eq!(found, expected);
}

#[test]
fn invalid_object_does_not_make_references_dangling() {
    // Guards against misleading errors caused by another error in an object or file: a reference to
    // an object with errors is not dangling.
    let version = "[[version]]\nadapter = \"harbor-tides\"\nversion = \"v9\"\nweights = \"\"\n";
    let route = "[[route]]\nname = \"r\"\nworkspace = \"harbor\"\ndeadline_ms = 1\n\
                 targets = [{version = \"harbor-tides@v9\", weight = 1}]\n";
    let codes =
        |text: &str| -> Vec<_> { load_with(text).findings.iter().map(|f| f.code).collect() };
    assert_eq!(
        codes(&format!("{route}{version}")),
        [FindingCode::Missing, FindingCode::Form]
    );
    assert_eq!(
        codes(&format!("{route}{version}x = ")),
        [FindingCode::Syntax]
    );
}

#[test]
fn unserved_model_is_only_a_warning() {
    // Guards against a validation that rejects a model whose endpoints do not exist yet.
    let loaded = load_with(
        "[[model]]\nname = \"next\"\nbase = \"n\"\n\
         [[adapter]]\nname = \"early\"\nmodel = \"next\"\nworkspace = \"harbor\"\n",
    );
    let found: Vec<_> = loaded
        .findings
        .iter()
        .map(|f| (f.severity, f.code))
        .collect();
    assert_eq!(found, [(Severity::Warning, FindingCode::Unserved)]);
    assert!(!objects::has_errors(&loaded.findings));
}

#[test]
fn syntax_error_names_its_line() {
    // Guards against a syntax error that is reported with the wrong line or without the file.
    let parsed = parse("dir/x.toml", "[[model]]\nname = \"a\"\nbase = \n");
    let messages: Vec<_> = parsed.findings.iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 1, "{messages:?}");
    assert!(
        messages[0].starts_with("dir/x.toml:3: error: "),
        "{messages:?}"
    );
}
