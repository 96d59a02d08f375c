//! Settings files.

use std::path::Path;

use derive_more::Display;
use derive_more::Error;
use error_stack::Report;
use error_stack::ResultExt;
use serde::de::DeserializeOwned;

/// Settings could not be used; the report's attachments name every fault.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("settings file {path} cannot be used")]
pub struct SettingsError {
    path: String,
}

/// Settings that can be checked beyond their form.
pub trait Validate {
    /// Returns every fault, each with the field's name and what it should be.
    fn errors(&self) -> Vec<String>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read, is not TOML of the expected form (with line and field), or has
/// values that are out of range (all of them are named).
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, Report<SettingsError>> {
    let context = || SettingsError {
        path: path.display().to_string(),
    };
    let text = std::fs::read_to_string(path).change_context_lazy(context)?;
    parse(&text).map_err(|faults| {
        let report = Report::new(context());
        faults
            .into_iter()
            .fold(report, |report, fault| report.attach(fault))
    })
}

/// Parses and checks settings; the error lists every fault.
pub fn parse<T: DeserializeOwned + Validate>(text: &str) -> Result<T, Vec<String>> {
    let settings: T = toml::from_str(text).map_err(|err| vec![err.to_string()])?;
    let faults = settings.errors();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

/// The shortest secret that peers may share, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Adds a fault if a secret is too short to resist guessing.
pub fn check_secret(field: &str, secret: &str, faults: &mut Vec<String>) {
    if secret.len() < MIN_SECRET_BYTES {
        faults.push(format!(
            "`{field}` must have at least {MIN_SECRET_BYTES} bytes"
        ));
    }
}

/// Adds a fault if a name is empty.
pub fn check_name(field: &str, name: &str, faults: &mut Vec<String>) {
    if name.is_empty() {
        faults.push(format!("`{field}` must not be empty"));
    }
}
