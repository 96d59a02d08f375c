//! The external systems of one agent, and its calls to them.

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

/// The timeout of one call to the table.
pub(crate) const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a read of the resident versions.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a load or unload.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// The external systems of one agent.
#[derive(Clone)]
pub struct ExternalServices {
    /// The engine, if the endpoint runs a model.
    pub engine: Arc<dyn Engine>,
    /// The service, if the endpoint is one.
    pub service: Arc<dyn Service>,
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The membership list.
    pub members: Arc<dyn Members>,
}

impl ExternalServices {
    /// Returns HTTP clients of the addresses in the settings.
    pub fn http(settings: &Settings) -> ExternalServices {
        ExternalServices {
            engine: Arc::new(HttpEngine::new(settings.backend)),
            service: Arc::new(HttpService::new(settings.backend)),
            table: Arc::new(HttpTable::new(settings.table)),
            objects: Arc::new(HttpObjects::new(settings.objects)),
            members: Arc::new(HttpMembers::new(settings.members)),
        }
    }

    /// Reads the resident versions; a service has none, but has to be ready.
    pub(crate) async fn resident(&self, service: bool) -> Option<Vec<Name>> {
        if service {
            return self.service.ready(READ_TIMEOUT).await.ok().map(|()| vec![]);
        }
        let names = self.engine.resident(READ_TIMEOUT).await.ok()?;
        Some(names.into_iter().map(Name::from).collect())
    }

    /// Loads a version.
    pub(crate) async fn load(&self, order: LoadCommand) -> Result<(), CommandFault> {
        let result = self.engine.load(order, COMMAND_TIMEOUT).await;
        command_result(result)
    }

    /// Unloads a version; one that is not there any more counts as unloaded.
    pub(crate) async fn unload(&self, name: &str, fencing: u64) -> Result<(), CommandFault> {
        let result = self.engine.unload(name, fencing, COMMAND_TIMEOUT).await;
        match result {
            Err(err) if err.kind == ErrorKind::NotFound => Ok(()),
            result => command_result(result),
        }
    }

    /// Carries a lease call out.
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

    /// Reads a row.
    pub(crate) async fn read_row(&self, key: &str) -> EdgeResult<Option<Row>> {
        self.table.get(key, TABLE_TIMEOUT).await
    }

    /// Writes a row if it still has this version.
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
