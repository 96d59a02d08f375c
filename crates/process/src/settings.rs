//! Loading and validation of settings files.

use std::path::Path;

use derive_more::Display;
use derive_more::Error;
use error_stack::Report;
use error_stack::ResultExt;
use serde::de::DeserializeOwned;

/// Settings could not be loaded; the report has one attachment for each error in the file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("failed to load settings file {path}")]
pub struct SettingsError {
    path: String,
}

/// Settings with constraints beyond the types of their fields.
pub trait Validate {
    /// Returns all violated constraints, each with the name of the field and its valid values.
    fn errors(&self) -> Vec<String>;
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read, if it is not TOML with the expected fields (the error names line
/// and field), or if values are out of range (the error names all of them).
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, Report<SettingsError>> {
    let context = || SettingsError {
        path: path.display().to_string(),
    };
    let text = std::fs::read_to_string(path).change_context_lazy(context)?;
    parse(&text).map_err(|errors| {
        let report = Report::new(context());
        errors
            .into_iter()
            .fold(report, |report, error| report.attach(error))
    })
}

/// Parses and validates settings.
///
/// # Errors
///
/// Returns the first syntax or type error, or else all violated constraints.
pub fn parse<T: DeserializeOwned + Validate>(text: &str) -> Result<T, Vec<String>> {
    let settings: T = toml::from_str(text).map_err(|err| vec![err.to_string()])?;
    let errors = settings.errors();
    if errors.is_empty() {
        Ok(settings)
    } else {
        Err(errors)
    }
}

/// Minimum length of the secret that peers share, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Adds an error if a secret is too short to resist guessing.
pub fn check_secret(field: &str, secret: &str, errors: &mut Vec<String>) {
    if secret.len() < MIN_SECRET_BYTES {
        errors.push(format!(
            "`{field}` must have at least {MIN_SECRET_BYTES} bytes"
        ));
    }
}

/// Adds an error if a name is empty.
pub fn check_name(field: &str, name: &str, errors: &mut Vec<String>) {
    if name.is_empty() {
        errors.push(format!("`{field}` must not be empty"));
    }
}
