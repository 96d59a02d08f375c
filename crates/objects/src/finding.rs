//! Findings of parsing and validation, and the source locations that they refer to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use crate::ident::ObjectKey;

/// The severity of a finding.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The set cannot be published.
    #[display("error")]
    Error,
    /// The set can be published.
    #[display("warning")]
    Warning,
}

/// The category of a finding.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingCode {
    /// The file is not valid TOML.
    #[display("syntax")]
    Syntax,
    /// A table or field has an unknown name.
    #[display("unknown")]
    Unknown,
    /// A required field is absent.
    #[display("missing")]
    Missing,
    /// A value has the wrong type or format.
    #[display("form")]
    Form,
    /// A number is outside its valid range, or an alias chain is too long.
    #[display("range")]
    Range,
    /// Two objects of one kind have the same name, or a route lists a target twice.
    #[display("duplicate")]
    Duplicate,
    /// A referenced object does not exist.
    #[display("dangling")]
    Dangling,
    /// Settings exclude each other.
    #[display("contradiction")]
    Contradiction,
    /// Aliases form a cycle.
    #[display("cycle")]
    Cycle,
    /// No endpoint serves a model or runs a service.
    #[display("unserved")]
    Unserved,
    /// A setting has no effect.
    #[display("unused")]
    Unused,
}

/// A line of a source file.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{file}:{line}")]
pub struct SourceLocation {
    /// The file name as passed to the parser.
    pub file: Arc<str>,
    /// The line number, starting at 1.
    pub line: u32,
}

/// One error or warning.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// The location in the source files; `None` if the set was not read from files.
    #[serde(rename = "place")]
    pub location: Option<SourceLocation>,
    /// An error prevents publishing, a warning does not.
    pub severity: Severity,
    /// The category, by which programs can tell findings apart.
    pub code: FindingCode,
    /// The object; `None` if its name could not be read or no single object is affected.
    pub object: Option<ObjectKey>,
    /// A description of the problem.
    pub message: String,
    /// A suggestion how to correct the problem.
    pub fix: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        write!(f, "{}", self.severity)?;
        if let Some(object) = &self.object {
            write!(f, ": {object}")?;
        }
        write!(f, ": {}; {}", self.message, self.fix)
    }
}

/// Returns whether any finding is an error.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity == Severity::Error)
}

/// The source locations of an object and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectSource {
    /// The object's first line.
    pub location: SourceLocation,
    /// The name and the line number of each field in the object's table.
    pub field_lines: Vec<(String, u32)>,
}

impl ObjectSource {
    /// Returns whether the object's table contains the field.
    pub fn has_field(&self, field: &str) -> bool {
        self.field_lines.iter().any(|(name, _)| name == field)
    }
}

/// The source locations of a set's objects; empty if the set was not read from files.
#[derive(Clone, Debug, Default)]
pub struct SourceMap {
    /// The locations of the objects that were parsed without errors.
    pub objects: BTreeMap<ObjectKey, ObjectSource>,
    /// The objects whose name could be read but whose fields have errors. References to them are
    /// not reported as dangling.
    pub invalid: BTreeSet<ObjectKey>,
}

impl SourceMap {
    /// Returns the location of an object's field, or of the object if the field is absent; `None`
    /// if the object was not read from a file.
    pub fn location(&self, key: &ObjectKey, field: &str) -> Option<SourceLocation> {
        let source = self.objects.get(key)?;
        let mut location = source.location.clone();
        let found = source.field_lines.iter().find(|(name, _)| name == field);
        if let Some((_, line)) = found {
            location.line = *line;
        }
        Some(location)
    }
}
