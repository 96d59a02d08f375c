//! A transactional table service in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use edges::table::CommitReply;
use edges::table::CommitResult;
use edges::table::ConflictReply;
use edges::table::Row;
use edges::table::RowList;
use edges::table::Transaction;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;

use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// A table service. Writes for fault injection are commits.
pub struct Table {
    server: Server,
    core: Arc<Core>,
}

/// The requests that a table service carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Reads of one row and of lists of rows.
    pub reads: u64,
    /// Transactions, whether their conditions held or not.
    pub commits: u64,
    /// Rows written or deleted.
    pub writes: u64,
}

server_methods!(Table);

impl Table {
    /// Starts an empty table service.
    pub async fn start() -> Table {
        let core = Arc::new(Core::default());
        let server = Server::start(core.clone()).await;
        Table { server, core }
    }

    /// Returns one row as it is stored.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.core.row(key)
    }

    /// Returns the rows whose key starts with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.core.list(prefix)
    }

    /// Commits a transaction directly, without HTTP, faults and counters.
    pub fn commit(&self, tx: &Transaction) -> CommitResult {
        self.core.commit(tx)
    }

    /// Returns the counters of requests carried out.
    pub fn counts(&self) -> TableCounts {
        let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
        TableCounts {
            reads: load(&self.core.reads),
            commits: load(&self.core.commits),
            writes: load(&self.core.writes),
        }
    }
}

/// A row; a deleted one keeps its version, so that no version of a key is ever used twice.
#[derive(Default)]
struct Cell {
    version: u64,
    value: Option<Bytes>,
}

#[derive(Default)]
struct Core {
    cells: Mutex<BTreeMap<String, Cell>>,
    reads: AtomicU64,
    commits: AtomicU64,
    writes: AtomicU64,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        async move {
            let uri = request.uri();
            match (request.method(), uri.path()) {
                (&Method::POST, "/tx") => self.answer_commit(&request),
                (&Method::GET, "/rows") => {
                    let prefix = reply::query_param(uri, "prefix").unwrap_or_default();
                    self.reads.fetch_add(1, Ordering::SeqCst);
                    reply::json(
                        StatusCode::OK,
                        &RowList {
                            rows: self.list(&prefix),
                        },
                    )
                }
                (&Method::GET, _) => self.answer_row(reply::path_suffix(uri, "/rows/")),
                _ => reply::empty(StatusCode::NOT_FOUND),
            }
        }
        .boxed()
    }
}

impl Core {
    fn answer_row(&self, key: Option<String>) -> Reply {
        self.reads.fetch_add(1, Ordering::SeqCst);
        match key.and_then(|k| self.row(&k)) {
            Some(row) => reply::json(StatusCode::OK, &row),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn answer_commit(&self, request: &Request<Bytes>) -> Reply {
        let tx: Transaction = match serde_json::from_slice(request.body()) {
            Ok(tx) => tx,
            Err(e) => return reply::malformed(&e),
        };
        self.commits.fetch_add(1, Ordering::SeqCst);
        match self.commit(&tx) {
            CommitResult::Committed(versions) => {
                self.writes
                    .fetch_add(versions.len() as u64, Ordering::SeqCst);
                reply::json(StatusCode::OK, &CommitReply { versions })
            }
            CommitResult::Conflict(failed) => {
                reply::json(StatusCode::CONFLICT, &ConflictReply { failed })
            }
        }
    }

    fn row(&self, key: &str) -> Option<Row> {
        let cells = self.cells.lock().expect("no panic under this lock");
        let cell = cells.get(key)?;
        let value = cell.value.clone()?;
        Some(Row {
            key: key.to_owned(),
            version: cell.version,
            value,
        })
    }

    fn list(&self, prefix: &str) -> Vec<Row> {
        let cells = self.cells.lock().expect("no panic under this lock");
        let range = cells
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        let row = |(key, cell): (&String, &Cell)| {
            let value = cell.value.clone()?;
            Some(Row {
                key: key.clone(),
                version: cell.version,
                value,
            })
        };
        range.filter_map(row).collect()
    }

    fn commit(&self, tx: &Transaction) -> CommitResult {
        let mut cells = self.cells.lock().expect("no panic under this lock");
        let version = |key: &str| match cells.get(key) {
            Some(Cell {
                version,
                value: Some(_),
            }) => *version,
            _ => 0,
        };
        let failed = tx
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version);
        let failed: Vec<String> = failed.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return CommitResult::Conflict(failed);
        }
        let write = |w: &edges::table::Write| {
            let cell = cells.entry(w.key.clone()).or_default();
            cell.version += 1;
            cell.value = w.value.clone();
            cell.version
        };
        CommitResult::Committed(tx.writes.iter().map(write).collect())
    }
}
