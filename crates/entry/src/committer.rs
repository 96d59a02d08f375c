//! The task that writes claim rows to the table in group commits.

use std::sync::Arc;
use std::time::Duration;

use decision::claim::ClaimRow;
use decision::claim::group::GroupCommit;
use decision::claim::group::RowWrite;
use decision::claim::group::TxResult;
use decision::claim::group::WriteResult;
use decision::collections::Map;
use edges::EdgeResult;
use edges::table::CommitResult;
use edges::table::Condition;
use edges::table::Table;
use edges::table::Transaction;
use edges::table::Write;
use futures::future::BoxFuture;
use futures::future::OptionFuture;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Timeout of one table call for a claim. Two calls and the pauses between them fit into
/// [`CONFIRM_TIMEOUT`](decision::claim::CONFIRM_TIMEOUT).
pub(crate) const TABLE_TIMEOUT: Duration = Duration::from_millis(300);

struct PendingWrite {
    key: String,
    version: u64,
    row: ClaimRow,
    reply: oneshot::Sender<WriteResult>,
}

/// Handle to the task that writes claim rows. The task ends once every handle is dropped.
#[derive(Clone)]
pub(crate) struct Committer {
    pending: mpsc::Sender<PendingWrite>,
}

impl Committer {
    /// Returns a handle and the task, which the caller must spawn. At most `queue_len` writes wait
    /// for the task; further ones end as not sent.
    pub(crate) fn new(
        table: Arc<dyn Table>,
        queue_len: usize,
    ) -> (Committer, impl Future<Output = ()>) {
        let (pending, receiver) = mpsc::channel(queue_len);
        (Committer { pending }, run(table, receiver))
    }

    /// Writes a row if it has the given version; 0 means that it must not exist. Dropping the
    /// future withdraws a write that is not yet in flight.
    pub(crate) async fn write(&self, key: String, version: u64, row: ClaimRow) -> WriteResult {
        let (reply, result) = oneshot::channel();
        let write = PendingWrite {
            key,
            version,
            row,
            reply,
        };
        if self.pending.try_send(write).is_err() {
            return WriteResult::NotSent;
        }
        result.await.unwrap_or(WriteResult::Unknown)
    }
}

async fn run(table: Arc<dyn Table>, mut pending: mpsc::Receiver<PendingWrite>) {
    let mut group = GroupCommit::default();
    let mut replies: Map<u64, oneshot::Sender<WriteResult>> = Map::default();
    let mut in_flight: OptionFuture<BoxFuture<'_, TxResult>> = None.into();
    let mut accepting = true;
    loop {
        let idle = group.counts() == (0, 0);
        if idle && !accepting {
            return;
        }
        tokio::select! {
            write = pending.recv(), if accepting => match write {
                Some(write) => {
                    let ticket = group.push(write.key, write.version, write.row);
                    replies.insert(ticket, write.reply);
                }
                None => accepting = false,
            },
            Some(result) = &mut in_flight => {
                in_flight = None.into();
                for (ticket, result) in group.finish(&result) {
                    if let Some(reply) = replies.remove(&ticket) {
                        let _ = reply.send(result);
                    }
                }
            }
        }
        while let Ok(write) = pending.try_recv() {
            let ticket = group.push(write.key, write.version, write.row);
            replies.insert(ticket, write.reply);
        }
        withdraw_closed(&mut group, &mut replies);
        if let Some(writes) = group.next_tx() {
            let tx = transaction(writes);
            let table = table.clone();
            let call = async move { to_tx_result(table.commit(tx, TABLE_TIMEOUT).await) };
            let call: BoxFuture<'_, TxResult> = Box::pin(call);
            in_flight = Some(call).into();
        }
    }
}

/// Withdraws writes whose callers have stopped waiting.
fn withdraw_closed(group: &mut GroupCommit, replies: &mut Map<u64, oneshot::Sender<WriteResult>>) {
    replies.retain(|ticket, reply| !(reply.is_closed() && group.withdraw(*ticket)));
}

fn transaction(writes: &[RowWrite]) -> Transaction {
    let condition = |write: &RowWrite| Condition {
        key: write.key.clone(),
        version: write.version,
    };
    let write = |write: &RowWrite| Write {
        key: write.key.clone(),
        value: Some(serde_json::to_vec(&write.row).unwrap_or_default().into()),
    };
    Transaction {
        conditions: writes.iter().map(condition).collect(),
        writes: writes.iter().map(write).collect(),
    }
}

fn to_tx_result(commit: EdgeResult<CommitResult>) -> TxResult {
    match commit {
        Ok(CommitResult::Committed(versions)) => TxResult::Committed(versions),
        Ok(CommitResult::Conflict(keys)) => TxResult::Conflict(keys),
        Err(err) if err.had_no_effect() => TxResult::NotSent,
        Err(_) => TxResult::Unknown,
    }
}
