//! A fake transactional table service that keeps its rows in memory.

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

/// A table service. Fault injection counts commits as writes.
pub struct Table {
    server: Server,
    core: Arc<Core>,
}

/// Counts of the requests that reached a table's data, without those that faults stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Reads of one row, found or not, and of lists of rows.
    pub reads: u64,
    /// Transactions, whether or not their conditions held.
    pub commits: u64,
    /// Rows written or deleted by committed transactions.
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

    /// Returns a row without a request, or `None` if it does not exist or was deleted.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.core.row(key)
    }

    /// Returns the rows whose key starts with `prefix` in order of key, without a request.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.core.rows_with_prefix(prefix)
    }

    /// Commits a transaction directly, bypassing HTTP, injected faults and counts.
    pub fn commit(&self, tx: &Transaction) -> CommitResult {
        self.core.commit(tx)
    }

    /// Returns the request counts since the start.
    pub fn counts(&self) -> TableCounts {
        let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
        TableCounts {
            reads: load(&self.core.reads),
            commits: load(&self.core.commits),
            writes: load(&self.core.writes),
        }
    }
}

/// A row, or a deleted one if `value` is `None`. Deleted rows keep their version, so that no
/// version of a key is used twice.
#[derive(Default)]
struct StoredRow {
    version: u64,
    value: Option<Bytes>,
}

#[derive(Default)]
struct Core {
    rows: Mutex<BTreeMap<String, StoredRow>>,
    reads: AtomicU64,
    commits: AtomicU64,
    writes: AtomicU64,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        async move {
            let uri = request.uri();
            match (request.method(), uri.path()) {
                (&Method::POST, "/tx") => self.handle_commit(&request),
                (&Method::GET, "/rows") => {
                    let prefix = reply::query_param(uri, "prefix").unwrap_or_default();
                    self.reads.fetch_add(1, Ordering::SeqCst);
                    reply::json(
                        StatusCode::OK,
                        &RowList {
                            rows: self.rows_with_prefix(&prefix),
                        },
                    )
                }
                (&Method::GET, _) => self.handle_get_row(reply::path_suffix(uri, "/rows/")),
                _ => reply::empty(StatusCode::NOT_FOUND),
            }
        }
        .boxed()
    }
}

impl Core {
    fn handle_get_row(&self, key: Option<String>) -> Reply {
        self.reads.fetch_add(1, Ordering::SeqCst);
        match key.and_then(|k| self.row(&k)) {
            Some(row) => reply::json(StatusCode::OK, &row),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_commit(&self, request: &Request<Bytes>) -> Reply {
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
        let rows = self.rows.lock().expect("no panic under this lock");
        let stored = rows.get(key)?;
        let value = stored.value.clone()?;
        Some(Row {
            key: key.to_owned(),
            version: stored.version,
            value,
        })
    }

    fn rows_with_prefix(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.lock().expect("no panic under this lock");
        let matching = rows
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        let row = |(key, stored): (&String, &StoredRow)| {
            let value = stored.value.clone()?;
            Some(Row {
                key: key.clone(),
                version: stored.version,
                value,
            })
        };
        matching.filter_map(row).collect()
    }

    fn commit(&self, tx: &Transaction) -> CommitResult {
        let mut rows = self.rows.lock().expect("no panic under this lock");
        let version = |key: &str| match rows.get(key) {
            Some(StoredRow {
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
            let stored = rows.entry(w.key.clone()).or_default();
            stored.version += 1;
            stored.value = w.value.clone();
            stored.version
        };
        CommitResult::Committed(tx.writes.iter().map(write).collect())
    }
}
