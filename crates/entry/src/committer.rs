//! The task that writes claim rows to the table, in groups.

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

/// The timeout of one call to the table for a claim. Two of them and the pauses between fit into
/// the time after which a claim is given up.
pub(crate) const TABLE_TIMEOUT: Duration = Duration::from_millis(300);

struct Order {
    key: String,
    version: u64,
    row: ClaimRow,
    reply: oneshot::Sender<WriteResult>,
}

/// A handle to the task; the task ends once every handle is dropped.
#[derive(Clone)]
pub(crate) struct Committer {
    orders: mpsc::Sender<Order>,
}

impl Committer {
    /// Returns a handle and the task, which has to be spawned. `queue` bounds the orders that wait.
    pub(crate) fn new(
        table: Arc<dyn Table>,
        queue: usize,
    ) -> (Committer, impl Future<Output = ()>) {
        let (orders, receiver) = mpsc::channel(queue);
        (Committer { orders }, run(table, receiver))
    }

    /// Writes a row if it has the given version. Dropping the future withdraws a write that is not
    /// in flight yet.
    pub(crate) async fn write(&self, key: String, version: u64, row: ClaimRow) -> WriteResult {
        let (reply, result) = oneshot::channel();
        let order = Order {
            key,
            version,
            row,
            reply,
        };
        if self.orders.try_send(order).is_err() {
            return WriteResult::NotSent;
        }
        result.await.unwrap_or(WriteResult::Unknown)
    }
}

async fn run(table: Arc<dyn Table>, mut orders: mpsc::Receiver<Order>) {
    let mut group = GroupCommit::default();
    let mut replies: Map<u64, oneshot::Sender<WriteResult>> = Map::default();
    let mut flight: OptionFuture<BoxFuture<'_, TxResult>> = None.into();
    let mut open = true;
    loop {
        let idle = group.counts() == (0, 0);
        if idle && !open {
            return;
        }
        tokio::select! {
            order = orders.recv(), if open => match order {
                Some(order) => {
                    let ticket = group.push(order.key, order.version, order.row);
                    replies.insert(ticket, order.reply);
                }
                None => open = false,
            },
            Some(result) = &mut flight => {
                flight = None.into();
                for (ticket, result) in group.finish(&result) {
                    if let Some(reply) = replies.remove(&ticket) {
                        let _ = reply.send(result);
                    }
                }
            }
        }
        while let Ok(order) = orders.try_recv() {
            let ticket = group.push(order.key, order.version, order.row);
            replies.insert(ticket, order.reply);
        }
        withdraw_closed(&mut group, &mut replies);
        if let Some(writes) = group.next_tx() {
            let tx = transaction(writes);
            let table = table.clone();
            let call = async move { result(table.commit(tx, TABLE_TIMEOUT).await) };
            let call: BoxFuture<'_, TxResult> = Box::pin(call);
            flight = Some(call).into();
        }
    }
}

/// Withdraws writes that nobody waits for any more.
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

fn result(commit: EdgeResult<CommitResult>) -> TxResult {
    match commit {
        Ok(CommitResult::Committed(versions)) => TxResult::Committed(versions),
        Ok(CommitResult::Conflict(keys)) => TxResult::Conflict(keys),
        Err(err) if err.had_no_effect() => TxResult::NotSent,
        Err(_) => TxResult::Unknown,
    }
}
