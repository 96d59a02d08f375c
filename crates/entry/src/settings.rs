//! The settings of the entry.

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

/// The settings file of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance.
    pub name: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The address for metrics, health and dump.
    pub http: SocketAddr,
    /// The region.
    pub region: String,
    /// The failure domain.
    pub domain: String,
    /// The secret that all processes share.
    pub secret: String,
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
    /// What one entry accepts.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// What one entry accepts.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Connections of callers.
    pub connections: usize,
    /// Requests in flight.
    pub inflight: u32,
    /// The size of a body, in bytes.
    pub body_bytes: usize,
    /// The size of all bodies in flight together, in bytes.
    pub bodies_bytes: usize,
    /// The size of an answer that is not a stream, in bytes.
    pub answer_bytes: usize,
    /// The size of the headers of a request, in bytes.
    pub header_bytes: u32,
    /// The time in which the headers of a request must arrive, in milliseconds.
    pub header_ms: u64,
    /// The time in which the body of a request must arrive, in milliseconds.
    pub body_ms: u64,
    /// Claim writes that wait for a transaction.
    pub claims: usize,
    /// The time between the end of readiness and the end of listening at a stop, in milliseconds,
    /// in which the balancer takes note.
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
    /// Returns the time in which the headers must arrive.
    pub fn header_time(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Returns the time in which the body must arrive.
    pub fn body_time(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    fn faults(&self, faults: &mut Vec<String>) {
        let least = [
            ("limits.connections", self.connections as u64, 1),
            ("limits.inflight", self.inflight.into(), 1),
            ("limits.body_bytes", self.body_bytes as u64, 1),
            (
                "limits.bodies_bytes",
                self.bodies_bytes as u64,
                self.body_bytes as u64,
            ),
            ("limits.answer_bytes", self.answer_bytes as u64, 1),
            // Hyper needs a buffer of this size at least.
            ("limits.header_bytes", self.header_bytes.into(), 8_192),
            ("limits.header_ms", self.header_ms, 1),
            ("limits.body_ms", self.body_ms, 1),
            ("limits.claims", self.claims as u64, 1),
        ];
        for (field, value, min) in least {
            if value < min {
                faults.push(format!("`{field}` must be at least {min}"));
            }
        }
    }
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
        self.limits.faults(&mut faults);
        faults
    }
}

/// Clients of the external services that an entry uses.
#[derive(Clone)]
pub struct ExternalServices {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The membership list.
    pub members: Arc<dyn Members>,
}

impl ExternalServices {
    /// Returns HTTP clients for the addresses in the settings.
    pub fn http(settings: &Settings) -> ExternalServices {
        ExternalServices {
            table: Arc::new(HttpTable::new(settings.table)),
            objects: Arc::new(HttpObjects::new(settings.objects)),
            members: Arc::new(HttpMembers::new(settings.members)),
        }
    }
}
