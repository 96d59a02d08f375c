//! Typed access to the fields of a TOML table.
//!
//! A method that reads a field records a finding and returns `None` if the field is missing or not
//! valid. The caller continues with the other fields, so that all errors of an object are reported
//! together. Methods that read optional fields return `Some(None)` if the field is absent.

use std::ops::RangeInclusive;
use std::sync::Arc;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::Name;
use crate::finding::Finding;
use crate::finding::FindingCode;
use crate::finding::ObjectSource;
use crate::finding::Severity;
use crate::finding::SourceLocation;
use crate::ident::ObjectKey;
use crate::ident::ObjectKind;
use crate::names;

/// A source file's name and the byte offsets at which its lines start, except the first.
pub(crate) struct SourceFile {
    name: Arc<str>,
    line_starts: Vec<usize>,
}

impl SourceFile {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        SourceFile {
            name: name.into(),
            line_starts: breaks.map(|(offset, _)| offset + 1).collect(),
        }
    }

    pub(crate) fn location(&self, offset: usize) -> SourceLocation {
        let line = self
            .line_starts
            .partition_point(|line_start| *line_start <= offset)
            + 1;
        SourceLocation {
            file: self.name.clone(),
            line: line as u32,
        }
    }
}

/// Reads the table of an object, or a table nested in it.
pub(crate) struct TableReader<'a, 'i> {
    file: &'a SourceFile,
    table: &'a DeTable<'i>,
    offset: usize,
    kind: ObjectKind,
    object: Option<ObjectKey>,
    requested: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a, 'i> TableReader<'a, 'i> {
    pub(crate) fn new(
        file: &'a SourceFile,
        kind: ObjectKind,
        table: &'a DeTable<'i>,
        offset: usize,
        findings: &'a mut Vec<Finding>,
    ) -> Self {
        TableReader {
            file,
            table,
            offset,
            kind,
            object: None,
            requested: Vec::new(),
            findings,
        }
    }

    /// Sets the object to which all further findings refer.
    pub(crate) fn set_object(&mut self, name: &str) {
        self.object = Some(ObjectKey::new(self.kind, name));
    }

    pub(crate) fn object(&self) -> Option<&ObjectKey> {
        self.object.as_ref()
    }

    pub(crate) fn contains(&self, field: &str) -> bool {
        self.table.get(field).is_some()
    }

    /// Returns the source locations of the object and its fields.
    pub(crate) fn source(&self) -> ObjectSource {
        let fields = self.table.iter().map(|(key, value)| {
            let line = self.file.location(value.span().start).line;
            (key.get_ref().to_string(), line)
        });
        ObjectSource {
            location: self.file.location(self.offset),
            field_lines: fields.collect(),
        }
    }

    /// Records an error at a byte offset in the file.
    pub(crate) fn report(
        &mut self,
        offset: usize,
        code: FindingCode,
        message: String,
        fix: String,
    ) {
        self.findings.push(Finding {
            location: Some(self.file.location(offset)),
            severity: Severity::Error,
            code,
            object: self.object.clone(),
            message,
            fix,
        });
    }

    /// Records an error at the start of the table.
    pub(crate) fn report_object(&mut self, code: FindingCode, message: String, fix: String) {
        self.report(self.offset, code, message, fix);
    }

    /// Reports the fields that have not been requested as unknown. To be called last.
    pub(crate) fn finish(&mut self) {
        let table = self.table;
        for (key, _) in table {
            let name = key.get_ref();
            if self.requested.iter().any(|requested| requested == name) {
                continue;
            }
            let message = format!("unknown field {name:?}");
            let fix = format!("remove it or use one of: {}", self.requested.join(", "));
            self.report(key.span().start, FindingCode::Unknown, message, fix);
        }
    }

    pub(crate) fn name(&mut self, field: &'static str) -> Option<Name> {
        self.validated_string(field, names::check_name)
    }

    pub(crate) fn optional_name(&mut self, field: &'static str) -> Option<Option<Name>> {
        self.optional(field, |reader| reader.name(field))
    }

    pub(crate) fn version_label(&mut self, field: &'static str) -> Option<Name> {
        self.validated_string(field, names::check_version_label)
    }

    pub(crate) fn locator(&mut self, field: &'static str) -> Option<Name> {
        self.validated_string(field, names::check_locator)
    }

    pub(crate) fn full_version(&mut self, field: &'static str) -> Option<Name> {
        self.validated_string(field, names::check_full_version)
    }

    pub(crate) fn digest(&mut self, field: &'static str) -> Option<Name> {
        self.validated_string(field, names::check_digest)
    }

    pub(crate) fn optional_digest(&mut self, field: &'static str) -> Option<Option<Name>> {
        self.optional(field, |reader| reader.digest(field))
    }

    /// Reads a string that has to be one of `choices`; returns the default if the field is absent.
    pub(crate) fn choice<T: Copy + Default>(
        &mut self,
        field: &'static str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let Some(value) = self.value(field) else {
            return Some(T::default());
        };
        let text = value.get_ref().as_str();
        if let Some((_, choice)) = choices.iter().find(|(name, _)| Some(*name) == text) {
            return Some(*choice);
        }
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        let message = format!("`{field}` has an unknown value");
        let fix = format!("use one of: {}", names.join(", "));
        self.report(value.span().start, FindingCode::Form, message, fix);
        None
    }

    pub(crate) fn boolean(&mut self, field: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.value(field) else {
            return Some(default);
        };
        let boolean = value.get_ref().as_bool();
        if boolean.is_none() {
            self.wrong_type(field, value, "true or false");
        }
        boolean
    }

    pub(crate) fn integer(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = self.required(field)?;
        let Some(integer) = value.get_ref().as_integer() else {
            self.wrong_type(field, value, "a whole number");
            return None;
        };
        let number = u32::from_str_radix(integer.as_str(), integer.radix()).ok();
        let in_range = number.filter(|number| range.contains(number));
        if in_range.is_none() {
            self.out_of_range(field, value, range.start(), range.end());
        }
        in_range
    }

    pub(crate) fn optional_integer(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<Option<u32>> {
        self.optional(field, |reader| reader.integer(field, range))
    }

    pub(crate) fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let value = self.required(field)?;
        let number: Option<f64> = match value.get_ref() {
            DeValue::Float(float) => float.as_str().parse().ok(),
            DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().parse().ok(),
            _ => {
                self.wrong_type(field, value, "a number");
                return None;
            }
        };
        let in_range = number.filter(|number| range.contains(number));
        if in_range.is_none() {
            self.out_of_range(field, value, range.start(), range.end());
        }
        in_range
    }

    pub(crate) fn optional_number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<f64>,
    ) -> Option<Option<f64>> {
        self.optional(field, |reader| reader.number(field, range))
    }

    /// Reads an array of tables, calling `read` for each of them.
    pub(crate) fn tables<T>(
        &mut self,
        field: &'static str,
        mut read: impl FnMut(&mut TableReader<'_, 'i>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let value = self.required(field)?;
        let Some(items) = value.get_ref().as_array() else {
            self.wrong_type(field, value, "a list of tables");
            return None;
        };
        let mut values = Some(Vec::new());
        for item in items.iter() {
            let Some(table) = item.get_ref().as_table() else {
                self.wrong_type(field, item, "a list of tables");
                values = None;
                continue;
            };
            let offset = item.span().start;
            let mut reader = TableReader::new(self.file, self.kind, table, offset, self.findings);
            reader.object = self.object.clone();
            let read = read(&mut reader);
            reader.finish();
            match (&mut values, read) {
                (Some(values), Some(read)) => values.push(read),
                _ => values = None,
            }
        }
        values
    }

    /// Calls `read` if the field is present.
    pub(crate) fn optional<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<Option<T>> {
        if self.contains(field) {
            return read(self).map(Some);
        }
        self.requested.push(field);
        Some(None)
    }

    fn validated_string(
        &mut self,
        field: &'static str,
        check: fn(&str) -> Result<(), &'static str>,
    ) -> Option<Name> {
        let value = self.required(field)?;
        let Some(text) = value.get_ref().as_str() else {
            self.wrong_type(field, value, "a string");
            return None;
        };
        if let Err(format) = check(text) {
            let message = format!("`{field}` is not valid");
            self.report(
                value.span().start,
                FindingCode::Form,
                message,
                format!("use {format}"),
            );
            return None;
        }
        Some(text.into())
    }

    fn required(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        let value = self.value(field);
        if value.is_none() {
            let message = format!("field `{field}` is missing");
            self.report_object(
                FindingCode::Missing,
                message,
                format!("add `{field} = ...`"),
            );
        }
        value
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.requested.push(field);
        self.table.get(field)
    }

    fn wrong_type(&mut self, field: &str, value: &Spanned<DeValue<'i>>, expected: &str) {
        let found = value.get_ref().type_str();
        let message = format!("`{field}` has the type {found}");
        let fix = format!("write {expected}");
        self.report(value.span().start, FindingCode::Form, message, fix);
    }

    fn out_of_range<T: std::fmt::Display>(
        &mut self,
        field: &str,
        value: &Spanned<DeValue<'i>>,
        low: &T,
        high: &T,
    ) {
        let message = format!("`{field}` is out of range");
        let fix = format!("use a value from {low} to {high}");
        self.report(value.span().start, FindingCode::Range, message, fix);
    }
}
