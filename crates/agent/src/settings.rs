//! The settings file of the agent.

use std::net::SocketAddr;

use process::logs::LogForm;
use process::logs::LogLevel;
use process::settings::Validate;
use process::settings::check_name;
use process::settings::check_secret;
use serde::Deserialize;

/// The settings of an agent, as read from its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the endpoint, which is also the instance name in the membership list.
    pub name: String,
    /// The address that the RPC server for peers binds.
    pub listen: SocketAddr,
    /// The address that the HTTP endpoint for metrics, health and the state dump binds.
    pub http: SocketAddr,
    /// The region. Agents of one region share their load permits.
    pub region: String,
    /// The failure domain of the instance.
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
    /// Peers to contact before the membership list was read for the first time.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The number of RPC threads for incoming calls, and as many again for outgoing ones. At least 1.
    #[serde(default = "one")]
    pub threads: usize,
    /// The format of log lines.
    #[serde(default)]
    pub log_form: LogForm,
    /// The least severe level that is logged.
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
