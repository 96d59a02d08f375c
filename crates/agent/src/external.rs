//! The clients of the systems that an agent calls.

use std::sync::Arc;
use std::time::Duration;

use decision::agent::CommandFault;
use decision::ids::Name;
use decision::lease::LeaseCall;
use decision::lease::LeaseReply;
use decision::lease::LeaseRow;
use edges::EdgeError;
use edges::EdgeResult;
use edges::ErrorKind;
use edges::engine::Engine;
use edges::engine::HttpEngine;
use edges::engine::LoadCommand;
use edges::members::HttpMembers;
use edges::members::Members;
use edges::service::HttpService;
use edges::service::Service;
use edges::store::HttpObjects;
use edges::store::ObjectStore;
use edges::table::CommitResult;
use edges::table::Condition;
use edges::table::HttpTable;
use edges::table::Row;
use edges::table::Table;
use edges::table::Transaction;
use edges::table::Write;
use spdlog::warn;

use crate::settings::Settings;

pub(crate) const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for listing the resident versions and for the health check of a service.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of loading or unloading a version.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// The clients of the engine or service, the table, the object store and the membership list.
#[derive(Clone)]
pub struct ExternalServices {
    /// The engine. Called only if the endpoint runs a model.
    pub engine: Arc<dyn Engine>,
    /// The service. Called only if the endpoint runs a service.
    pub service: Arc<dyn Service>,
    /// The table service, which holds the lease and the claim rows.
    pub table: Arc<dyn Table>,
    /// The object store, which holds the configuration and the audit log.
    pub objects: Arc<dyn ObjectStore>,
    /// The membership list.
    pub members: Arc<dyn Members>,
}

impl ExternalServices {
    /// Creates HTTP clients for the addresses in the settings. Connections are opened on demand.
    pub fn http(settings: &Settings) -> ExternalServices {
        ExternalServices {
            engine: Arc::new(HttpEngine::new(settings.backend)),
            service: Arc::new(HttpService::new(settings.backend)),
            table: Arc::new(HttpTable::new(settings.table)),
            objects: Arc::new(HttpObjects::new(settings.objects)),
            members: Arc::new(HttpMembers::new(settings.members)),
        }
    }

    /// Lists the served names of the resident versions; `None` if the call failed. A service has no
    /// versions, so its list is empty as soon as it is ready.
    pub(crate) async fn resident(&self, is_service: bool) -> Option<Vec<Name>> {
        if is_service {
            return self.service.ready(READ_TIMEOUT).await.ok().map(|()| vec![]);
        }
        let names = self.engine.resident(READ_TIMEOUT).await.ok()?;
        Some(names.into_iter().map(Name::from).collect())
    }

    pub(crate) async fn load(&self, command: LoadCommand) -> Result<(), CommandFault> {
        let result = self.engine.load(command, COMMAND_TIMEOUT).await;
        command_result(result)
    }

    /// Unloads a version. Succeeds if the engine does not hold the version.
    pub(crate) async fn unload(&self, name: &str, fencing: u64) -> Result<(), CommandFault> {
        let result = self.engine.unload(name, fencing, COMMAND_TIMEOUT).await;
        match result {
            Err(err) if err.kind == ErrorKind::NotFound => Ok(()),
            result => command_result(result),
        }
    }

    pub(crate) async fn lease(&self, endpoint: &str, call: LeaseCall) -> LeaseReply {
        let key = format!("lease/{endpoint}");
        match call {
            LeaseCall::Read => self.read_lease(&key).await,
            LeaseCall::Write { version, row } => self.write_lease(key, version, row).await,
        }
    }

    async fn read_lease(&self, key: &str) -> LeaseReply {
        let row = match self.table.get(key, TABLE_TIMEOUT).await {
            Ok(row) => row,
            Err(_) => return LeaseReply::Failed,
        };
        let Some(row) = row else {
            return LeaseReply::Row(None);
        };
        match serde_json::from_slice(&row.value) {
            Ok(value) => LeaseReply::Row(Some((row.version, value))),
            Err(err) => {
                warn!("lease row {key} is malformed: {err}");
                LeaseReply::Failed
            }
        }
    }

    async fn write_lease(&self, key: String, version: u64, row: LeaseRow) -> LeaseReply {
        let value = serde_json::to_vec(&row).expect("a lease row is plain data");
        match self.write_row(key, version, value).await {
            Ok(CommitResult::Committed(versions)) => match versions.first() {
                Some(version) => LeaseReply::Written(*version),
                None => LeaseReply::Failed,
            },
            Ok(CommitResult::Conflict(_)) => LeaseReply::Conflict,
            Err(_) => LeaseReply::Failed,
        }
    }

    pub(crate) async fn read_row(&self, key: &str) -> EdgeResult<Option<Row>> {
        self.table.get(key, TABLE_TIMEOUT).await
    }

    /// Writes a row on the condition that it has this version.
    pub(crate) async fn write_row(
        &self,
        key: String,
        version: u64,
        value: Vec<u8>,
    ) -> EdgeResult<CommitResult> {
        let tx = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key,
                value: Some(value.into()),
            }],
        };
        self.table.commit(tx, TABLE_TIMEOUT).await
    }
}

fn command_result(result: Result<(), EdgeError>) -> Result<(), CommandFault> {
    let Err(err) = result else {
        return Ok(());
    };
    warn!("engine command failed: {err}");
    Err(match err.kind {
        ErrorKind::Conflict => CommandFault::Fenced,
        ErrorKind::NoResponse | ErrorKind::Malformed(_) => CommandFault::Unknown,
        _ => CommandFault::Failed,
    })
}
