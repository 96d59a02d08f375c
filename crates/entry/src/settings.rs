//! Settings of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use edges::members::HttpMembers;
use edges::members::Members;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use edges::table::HttpTable;
use edges::table::Table;
use process::logs::LogForm;
use process::logs::LogLevel;
use process::settings::Validate;
use process::settings::check_name;
use process::settings::check_secret;
use serde::Deserialize;

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which peers are served.
    pub peers: SocketAddr,
    /// Address of the metrics, health and dump endpoints.
    pub http: SocketAddr,
    /// Region of the instance; requests go to agents in the same region.
    pub region: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Secret that all processes share, for calls between peers and the dump endpoint.
    pub secret: String,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the membership list.
    pub members: SocketAddr,
    /// Peers to contact while the membership list is unknown.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of threads for incoming calls of peers; as many again make calls to peers.
    #[serde(default = "one")]
    pub threads: usize,
    /// Format of log lines.
    #[serde(default)]
    pub log_form: LogForm,
    /// Lowest level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limits on connections, requests and memory.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Limits of one entry on connections, requests and memory.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Maximum number of requests in flight.
    pub inflight: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of the request bodies in flight, in bytes.
    pub bodies_bytes: usize,
    /// Maximum size of a response that is not a stream, in bytes.
    pub answer_bytes: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub header_bytes: u32,
    /// Time limit for receiving the headers of a request, in milliseconds.
    pub header_ms: u64,
    /// Time limit for receiving the body of a request, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of claim writes that wait for the committer.
    pub claims: usize,
    /// Time for which a stopping entry keeps listening after it reports not ready, so that the load
    /// balancer stops sending requests to it, in milliseconds.
    pub linger_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        EntryLimits {
            connections: 4_096,
            inflight: 4_096,
            body_bytes: 4 << 20,
            bodies_bytes: 256 << 20,
            answer_bytes: 16 << 20,
            header_bytes: 32 << 10,
            header_ms: 10_000,
            body_ms: 30_000,
            claims: 1_024,
            linger_ms: 2_000,
        }
    }
}

impl EntryLimits {
    /// Returns `header_ms` as a duration.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Returns `body_ms` as a duration.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    fn check(&self, errors: &mut Vec<String>) {
        let minimums = [
            ("limits.connections", self.connections as u64, 1),
            ("limits.inflight", self.inflight.into(), 1),
            ("limits.body_bytes", self.body_bytes as u64, 1),
            (
                "limits.bodies_bytes",
                self.bodies_bytes as u64,
                self.body_bytes as u64,
            ),
            ("limits.answer_bytes", self.answer_bytes as u64, 1),
            // Hyper requires a buffer of at least this size.
            ("limits.header_bytes", self.header_bytes.into(), 8_192),
            ("limits.header_ms", self.header_ms, 1),
            ("limits.body_ms", self.body_ms, 1),
            ("limits.claims", self.claims as u64, 1),
        ];
        for (field, value, min) in minimums {
            if value < min {
                errors.push(format!("`{field}` must be at least {min}"));
            }
        }
    }
}

fn one() -> usize {
    1
}

impl Validate for Settings {
    fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        check_name("name", &self.name, &mut errors);
        check_name("region", &self.region, &mut errors);
        check_name("domain", &self.domain, &mut errors);
        check_secret("secret", &self.secret, &mut errors);
        if self.threads == 0 {
            errors.push("`threads` must be at least 1".to_owned());
        }
        self.limits.check(&mut errors);
        errors
    }
}

/// Clients of the external services that an entry uses.
#[derive(Clone)]
pub struct ExternalServices {
    /// Table service, which holds the configuration head and claim rows.
    pub table: Arc<dyn Table>,
    /// Object store, which holds configuration blobs and the audit log.
    pub objects: Arc<dyn ObjectStore>,
    /// Source of the membership list.
    pub members: Arc<dyn Members>,
}

impl ExternalServices {
    /// Creates HTTP clients for the addresses in the settings.
    pub fn http(settings: &Settings) -> ExternalServices {
        ExternalServices {
            table: Arc::new(HttpTable::new(settings.table)),
            objects: Arc::new(HttpObjects::new(settings.objects)),
            members: Arc::new(HttpMembers::new(settings.members)),
        }
    }
}
