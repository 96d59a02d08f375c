//! The settings of the operator commands.

use std::net::SocketAddr;

use process::settings;
use process::settings::Validate;
use serde::Deserialize;

use crate::report::Exit;
use crate::report::Report;

/// Where the platform and the processes are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The secret that entries and agents share; only commands that call them need it.
    #[serde(default)]
    pub secret: String,
    /// The addresses of entries and agents; only commands that call them need it.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
}

impl Operator {
    /// Reads the settings file `path`.
    ///
    /// # Errors
    ///
    /// The report with every fault of the file.
    pub fn load(path: &str) -> Result<Operator, Report> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let fix = "create it or name another file with `--config FILE`";
            Report::error(Exit::Usage, format!("read settings {path}: {error}; {fix}"))
        })?;
        settings::parse(&text).map_err(|faults| Report {
            exit: Exit::Usage,
            lines: Vec::new(),
            errors: faults
                .iter()
                .map(|fault| format!("error: settings {path}: {}", fault.trim_end()))
                .collect(),
        })
    }
}

impl Validate for Operator {
    fn errors(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if !self.secret.is_empty() {
            settings::check_secret("secret", &self.secret, &mut faults);
        }
        faults
    }
}
