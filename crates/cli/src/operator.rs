//! Settings of the operator commands.

use std::net::SocketAddr;

use process::settings;
use process::settings::Validate;
use serde::Deserialize;

use crate::report::Exit;
use crate::report::Report;

/// Addresses of the platform's services and of the processes, from the operator's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Secret shared with entries and agents. May be empty if no command calls them.
    #[serde(default)]
    pub secret: String,
    /// Peer addresses of the entries and agents that `status` calls.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
}

impl OperatorSettings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns a report of all errors in the file.
    pub fn load(path: &str) -> Result<OperatorSettings, Report> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let fix = "create it or name another file with `--config FILE`";
            Report::error(Exit::Usage, format!("read settings {path}: {error}; {fix}"))
        })?;
        settings::parse(&text).map_err(|errors| Report {
            exit: Exit::Usage,
            lines: Vec::new(),
            errors: errors
                .iter()
                .map(|error| format!("error: settings {path}: {}", error.trim_end()))
                .collect(),
        })
    }
}

impl Validate for OperatorSettings {
    fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if !self.secret.is_empty() {
            settings::check_secret("secret", &self.secret, &mut errors);
        }
        errors
    }
}
