//! What parsing and validation report.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use crate::ident::ObjectKey;

/// Whether a finding prevents publishing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The set must not be published.
    #[display("error")]
    Error,
    /// The set may be published.
    #[display("warning")]
    Warning,
}

/// The class of a finding.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingCode {
    /// The file is not valid TOML.
    #[display("syntax")]
    Syntax,
    /// A table or field that does not exist.
    #[display("unknown")]
    Unknown,
    /// A required field is absent.
    #[display("missing")]
    Missing,
    /// A value of the wrong type or form.
    #[display("form")]
    Form,
    /// A number outside its limits.
    #[display("range")]
    Range,
    /// Two objects of one kind with the same name, or one target twice.
    #[display("duplicate")]
    Duplicate,
    /// A reference to an object that does not exist.
    #[display("dangling")]
    Dangling,
    /// Settings that exclude each other.
    #[display("contradiction")]
    Contradiction,
    /// Aliases that lead back to themselves.
    #[display("cycle")]
    Cycle,
    /// An object that nothing can serve.
    #[display("unserved")]
    Unserved,
    /// A setting without effect.
    #[display("unused")]
    Unused,
}

/// A line of a file.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{file}:{line}")]
pub struct SourceLocation {
    /// The file name as it was passed in.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: u32,
}

/// One error or warning.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Where it was found, if the set came from files.
    #[serde(rename = "place")]
    pub location: Option<SourceLocation>,
    /// Whether it prevents publishing.
    pub severity: Severity,
    /// The class.
    pub code: FindingCode,
    /// The object, if its name could be read.
    pub object: Option<ObjectKey>,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
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

/// Where one object and its fields stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectSource {
    /// The object's first line.
    pub location: SourceLocation,
    /// The line of each field.
    pub field_lines: Vec<(String, u32)>,
}

impl ObjectSource {
    /// Returns whether the object names the field.
    pub fn has(&self, field: &str) -> bool {
        self.field_lines.iter().any(|(name, _)| name == field)
    }
}

/// Where the objects of a set stand; empty for a set that did not come from files.
#[derive(Clone, Debug, Default)]
pub struct SourceMap {
    /// The objects that were read.
    pub objects: BTreeMap<ObjectKey, ObjectSource>,
    /// The objects whose name could be read but not their fields. References to them are not
    /// reported as dangling.
    pub invalid: BTreeSet<ObjectKey>,
}

impl SourceMap {
    /// Returns the place of an object's field, or of the object where the field is absent.
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
