//! The entry's access to the platform's store, and the one place that knows the store's era.
//!
//! Invariants: the era of each answer is recorded before the answer is used; an answer of before the
//! last restore is never used; after a call without an answer, the next one goes over a new connection.
//!
//! API boundary: all tasks of an entry call the store through [`Store`].

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use derive_more::Display;
use derive_more::From;
use edges::EdgeError;
use edges::EdgeResult;
use edges::ErrorKind;
use platform::evidence::Evidence;
use platform::evidence::EvidenceKey;
use platform::holds::HoldRow;
use platform::holds::StoredHold;
use platform::store::Answer;
use platform::store::FeedReply;
use platform::store::RowBatch;
use platform::store::StoreClient;
use platform::store::Table;
use prometheus::IntCounter;
use serving::request::PartId;
use serving::store_era::EraChange;
use serving::store_era::EraTracker;
use serving::store_era::RestoreCount;
use spdlog::warn;
use tokio::sync::watch;

use crate::RuntimeClock;
use crate::recover::lock;

/// Why a call to the store has no usable answer.
#[derive(Debug, Display, From)]
pub enum StoreError {
    /// The call failed.
    #[display("{_0}")]
    Call(EdgeError),
    /// The store answered before it came back from a copy.
    #[display("the answer was given before the store was restored")]
    Outdated,
}

/// An answer of the store, with the number of restores before it.
#[derive(Debug)]
pub struct Fresh<T> {
    /// What the store was asked for.
    pub value: T,
    /// The number of restores that were seen by then. What has the same number fits together.
    pub restores: RestoreCount,
}

/// The platform's store, as all tasks of an entry use it.
#[derive(Debug)]
pub struct Store {
    addr: SocketAddr,
    /// Replaced when a call has no answer, so that the next one goes over a new connection.
    client: Mutex<StoreClient>,
    clock: RuntimeClock,
    era: Mutex<EraTracker>,
    restores: watch::Sender<RestoreCount>,
    restores_total: IntCounter,
}

impl Store {
    /// Creates a client for the store at this address, which counts the restores that it sees.
    pub(crate) fn new(addr: SocketAddr, clock: RuntimeClock, restores_total: IntCounter) -> Store {
        Store {
            addr,
            client: Mutex::new(StoreClient::new(addr)),
            clock,
            era: Mutex::default(),
            restores: watch::Sender::default(),
            restores_total,
        }
    }

    /// Returns a receiver of the number of restores, which changes when the store turns out to be restored.
    pub fn subscribe(&self) -> watch::Receiver<RestoreCount> {
        self.restores.subscribe()
    }

    /// Returns whether the last restore was seen at least `period` ago.
    pub fn is_settled(&self, period: Duration) -> bool {
        lock(&self.era).is_settled(self.clock.now(), period)
    }

    /// Reads all rows of a table.
    pub(crate) async fn read_all(&self, table: Table) -> Result<Fresh<RowBatch>, StoreError> {
        let client = self.client();
        self.observe(client.read_all(table)).await
    }

    /// Waits up to `wait` until rows of a table change after version `after`.
    pub(crate) async fn wait_for_changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<Fresh<FeedReply>, StoreError> {
        let client = self.client();
        self.observe(client.wait_for_changes(table, after, wait))
            .await
    }

    /// Reads all held parts.
    pub(crate) async fn read_holds(&self) -> Result<Fresh<Vec<StoredHold>>, StoreError> {
        let client = self.client();
        self.observe(client.read_holds()).await
    }

    /// Reads the row of one held part.
    pub(crate) async fn read_hold(&self, part: PartId) -> Result<Fresh<HoldRow>, StoreError> {
        let client = self.client();
        self.observe(client.read_hold(part)).await
    }

    /// Writes a hold unless its row has changed since it was read; returns whether it was written.
    pub(crate) async fn write_hold(
        &self,
        row: &HoldRow,
        length: Duration,
        level: u32,
    ) -> Result<Fresh<bool>, StoreError> {
        let client = self.client();
        self.observe(client.write_hold(row, length, level)).await
    }

    /// Removes the rows of these parts.
    pub(crate) async fn remove_holds(&self, parts: &[PartId]) -> Result<(), StoreError> {
        let client = self.client();
        self.observe(client.remove_holds(parts)).await?;
        Ok(())
    }

    /// Writes rows of evidence.
    pub(crate) async fn write_evidence(
        &self,
        rows: &[(EvidenceKey, Evidence)],
    ) -> Result<(), StoreError> {
        let client = self.client();
        self.observe(client.write_evidence(rows)).await?;
        Ok(())
    }

    /// Removes rows of evidence.
    pub(crate) async fn remove_evidence(&self, keys: &[EvidenceKey]) -> Result<(), StoreError> {
        let client = self.client();
        self.observe(client.remove_evidence(keys)).await?;
        Ok(())
    }

    fn client(&self) -> StoreClient {
        lock(&self.client).clone()
    }

    /// Makes later calls go over new connections: those that are idle may have gone silent with the one
    /// that did not answer. Calls that are open go on.
    fn drop_connections(&self) {
        *lock(&self.client) = StoreClient::new(self.addr);
    }

    /// Records the era of a call's answer, and drops an outdated one.
    async fn observe<T>(
        &self,
        call: impl Future<Output = EdgeResult<Answer<T>>>,
    ) -> Result<Fresh<T>, StoreError> {
        let started_at = self.clock.now();
        let answer = call.await;
        if let Err(error) = &answer
            && error.kind == ErrorKind::NoResponse
        {
            self.drop_connections();
        }
        let Answer { value, era } = answer?;
        let (change, restores) = {
            let mut tracker = lock(&self.era);
            let change = tracker.record(started_at, self.clock.now(), era);
            (change, tracker.restores())
        };
        match change {
            EraChange::None => {}
            EraChange::Outdated => return Err(StoreError::Outdated),
            EraChange::Restored(before) => {
                let (era, before) = (era.map_or(0, |era| era.0), before.0);
                warn!("store restored from a copy", kv: { era, before });
                self.restores_total.inc();
                self.restores.send_replace(restores);
            }
        }
        Ok(Fresh { value, restores })
    }
}
