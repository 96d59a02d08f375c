//! The settings of the agent.

use std::net::SocketAddr;

use process::logs::LogForm;
use process::logs::LogLevel;
use process::settings::Validate;
use process::settings::check_name;
use process::settings::check_secret;
use serde::Deserialize;

/// The settings file of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the endpoint.
    pub name: String,
    /// The address for peers.
    pub listen: SocketAddr,
    /// The address for metrics, health and dump.
    pub http: SocketAddr,
    /// The region.
    pub region: String,
    /// The failure domain.
    pub domain: String,
    /// The secret that all processes share.
    pub secret: String,
    /// The address of the engine or service.
    pub backend: SocketAddr,
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the membership list.
    pub members: SocketAddr,
    /// Peers to ask while the membership list is not known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The number of threads for calls of peers, and of those for calls to peers.
    #[serde(default = "one")]
    pub threads: usize,
    /// The form of log lines.
    #[serde(default)]
    pub log_form: LogForm,
    /// The lowest level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

fn one() -> usize {
    1
}

impl Validate for Settings {
    fn errors(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check_name("name", &self.name, &mut faults);
        check_name("region", &self.region, &mut faults);
        check_name("domain", &self.domain, &mut faults);
        check_secret("secret", &self.secret, &mut faults);
        if self.threads == 0 {
            faults.push("`threads` must be at least 1".to_owned());
        }
        faults
    }
}
