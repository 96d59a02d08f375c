//! Audit log of one incarnation of one process: an in-memory buffer and the task that writes it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Incarnation;
use derive_more::Display;
use derive_more::Error;
use edges::store::ObjectStore;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::chain;
use crate::chain::EntryBody;
use crate::chain::Tip;
use crate::record::Record;

/// Limits and timing of a [`Log`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Name of the process: letters, digits, `-`, `_` and `.`.
    pub process: String,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Maximum number of entries per object. A full batch is written without waiting for
    /// `write_interval`.
    pub max_batch_entries: usize,
    /// Interval between writes. 1,550 processes that write every 10 s cause 155 writes/s, a
    /// fraction of what the object store can handle.
    pub write_interval: Duration,
    /// Number of unwritten entries at which the buffer is full. Further records are lost and
    /// counted in a gap entry.
    pub capacity: usize,
    /// Timeout of one write to the object store.
    pub write_timeout: Duration,
    /// Delay before a failed write is retried.
    pub retry_delay: Duration,
    /// Time after [`Log::close`] in which failed writes are still retried. `close` waits at most
    /// `close_timeout` + `write_timeout`.
    pub close_timeout: Duration,
}

impl LogSettings {
    /// Returns the default settings for a process.
    pub fn new(process: &str, incarnation: Incarnation) -> LogSettings {
        LogSettings {
            process: process.to_owned(),
            incarnation,
            max_batch_entries: 1024,
            write_interval: Duration::from_secs(10),
            capacity: 16 * 1024,
            write_timeout: Duration::from_secs(2),
            retry_delay: Duration::from_secs(1),
            close_timeout: Duration::from_secs(5),
        }
    }
}

/// Error of [`Log::close`]: entries remained that were not confirmed as written.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{entries} audit entries were not written")]
pub struct CloseError {
    /// Number of such entries, including gap entries and the closing entry.
    pub entries: usize,
}

/// Audit log of one process. Clones share the same log.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
}

struct Shared {
    settings: LogSettings,
    queue: Mutex<Queue>,
    wake: Notify,
    /// Number of unwritten entries when the writer stopped; `None` until then.
    writer_result: watch::Sender<Option<usize>>,
}

struct Queue {
    /// Entries that are not in a batch yet.
    pending_bodies: VecDeque<EntryBody>,
    /// Number of entries in the batch that is being written.
    batched_entries: usize,
    /// Number of records lost so far.
    lost_records: u64,
    /// Newest entry that is in the object store.
    written_tip: Tip,
    writer_started: bool,
    /// Time after which the writer stops retrying; `None` until the log is closed.
    close_deadline: Option<Instant>,
}

/// Snapshot of a log's progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogState {
    /// Number of entries that are not yet in the object store.
    pub pending_entries: usize,
    /// Number of records lost so far because the buffer was full.
    pub lost_records: u64,
    /// Newest entry that is in the object store.
    pub written_tip: Tip,
}

impl Log {
    /// Creates a log. Nothing is written until [`Log::run`] is called.
    pub fn new(settings: LogSettings) -> Log {
        let queue = Queue {
            pending_bodies: VecDeque::new(),
            batched_entries: 0,
            lost_records: 0,
            written_tip: Tip::empty(&settings.process, settings.incarnation),
            writer_started: false,
            close_deadline: None,
        };
        let shared = Shared {
            settings,
            queue: Mutex::new(queue),
            wake: Notify::new(),
            writer_result: watch::Sender::new(None),
        };
        Log {
            shared: Arc::new(shared),
        }
    }

    /// Appends a record without waiting. If the buffer is full, the record is counted as lost in a
    /// gap entry. Records after [`Log::close`] are ignored, so a process must close its log last.
    pub fn record(&self, record: impl Into<Record>) {
        let record = Box::new(record.into());
        let settings = &self.shared.settings;
        let mut queue = self.shared.lock();
        if queue.close_deadline.is_some() {
            return;
        }
        if queue.pending_entries() < settings.capacity {
            queue.pending_bodies.push_back(EntryBody::Record(record));
        } else {
            queue.record_loss(record.end());
        }
        let is_full = queue.pending_bodies.len() >= settings.max_batch_entries;
        drop(queue);
        if is_full {
            self.shared.wake.notify_one();
        }
    }

    /// Returns the number of unwritten entries and lost records and the newest written entry.
    pub fn state(&self) -> LogState {
        let queue = self.shared.lock();
        LogState {
            pending_entries: queue.pending_entries(),
            lost_records: queue.lost_records,
            written_tip: queue.written_tip.clone(),
        }
    }

    /// Writes records to the object store until the log is closed. Only the first call starts the
    /// writer; later calls return immediately.
    pub async fn run(&self, store: Arc<dyn ObjectStore>) {
        let tip = {
            let mut queue = self.shared.lock();
            if std::mem::replace(&mut queue.writer_started, true) {
                return;
            }
            queue.written_tip.clone()
        };
        Writer {
            shared: self.shared.clone(),
            store,
            tip,
        }
        .run()
        .await;
    }

    /// Appends a closing entry, writes all remaining entries and stops [`Log::run`].
    ///
    /// # Errors
    ///
    /// Returns [`CloseError`] if entries could not be written within
    /// [`LogSettings::close_timeout`], or if the writer is not running.
    pub async fn close(&self) -> Result<(), CloseError> {
        let settings = &self.shared.settings;
        {
            let mut queue = self.shared.lock();
            if queue.close_deadline.is_none() {
                queue.close_deadline = Some(Instant::now() + settings.close_timeout);
                queue.pending_bodies.push_back(EntryBody::Closed);
            }
        }
        self.shared.wake.notify_one();
        let mut writer_result = self.shared.writer_result.subscribe();
        let writer_result = writer_result.wait_for(Option::is_some);
        // The writer stops by itself, unless it was never started or its future was dropped.
        let limit = settings.close_timeout + settings.write_timeout;
        let remaining = match tokio::time::timeout(limit, writer_result).await {
            Ok(Ok(remaining)) => remaining.unwrap_or_default(),
            Ok(Err(_)) | Err(_) => self.state().pending_entries,
        };
        if remaining > 0 {
            Err(CloseError { entries: remaining })
        } else {
            Ok(())
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no panic under this lock")
    }
}

impl Queue {
    fn pending_entries(&self) -> usize {
        self.pending_bodies.len() + self.batched_entries
    }

    /// Counts a lost record in the gap entry at the end of the buffer. `end_ms` is the record's
    /// end time in milliseconds since the Unix epoch.
    fn record_loss(&mut self, end_ms: u64) {
        self.lost_records += 1;
        if let Some(EntryBody::Gap { lost, last, .. }) = self.pending_bodies.back_mut() {
            *lost += 1;
            *last = end_ms;
            return;
        }
        self.pending_bodies.push_back(EntryBody::Gap {
            lost: 1,
            first: end_ms,
            last: end_ms,
        });
    }
}

/// Writes batches to the object store.
struct Writer {
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    /// Newest entry that was put into a batch.
    tip: Tip,
}

/// An object to write: consecutive entries in the storage format.
struct Batch {
    key: String,
    data: Bytes,
}

impl Writer {
    async fn run(mut self) {
        // The first delay depends on the random incarnation, so that processes that start together
        // spread their writes over the interval.
        let phase = (self.tip.incarnation.0 % 1000) as f64 / 1000.0;
        let mut due = Instant::now() + self.shared.settings.write_interval.mul_f64(phase);
        loop {
            self.wait_for_batch(due).await;
            due = Instant::now() + self.shared.settings.write_interval;
            let is_closing = self.shared.lock().close_deadline.is_some();
            while let Some(batch) = self.take_batch() {
                if !self.write(&batch).await {
                    let remaining = self.shared.lock().pending_entries();
                    self.shared.writer_result.send_replace(Some(remaining));
                    return;
                }
            }
            if is_closing {
                self.shared.writer_result.send_replace(Some(0));
                return;
            }
        }
    }

    /// Waits until a batch is full, the log is closed or `due` is reached.
    async fn wait_for_batch(&self, due: Instant) {
        loop {
            {
                let queue = self.shared.lock();
                if queue.close_deadline.is_some()
                    || queue.pending_bodies.len() >= self.shared.settings.max_batch_entries
                {
                    return;
                }
            }
            tokio::select! {
                () = self.shared.wake.notified() => (),
                () = sleep_until(due) => return,
            }
        }
    }

    /// Moves the oldest pending entries into a batch; returns `None` if there are none.
    fn take_batch(&mut self) -> Option<Batch> {
        let pending_bodies: Vec<EntryBody> = {
            let mut queue = self.shared.lock();
            let count = queue
                .pending_bodies
                .len()
                .min(self.shared.settings.max_batch_entries);
            queue.batched_entries = count;
            queue.pending_bodies.drain(..count).collect()
        };
        if pending_bodies.is_empty() {
            return None;
        }
        let key = chain::object_key(&self.tip.process, self.tip.incarnation, self.tip.seq + 1);
        let lines: Vec<String> = pending_bodies
            .into_iter()
            .map(|b| self.tip.append(b))
            .collect();
        Some(Batch {
            key,
            data: lines.concat().into(),
        })
    }

    /// Writes a batch and retries until it succeeds. Returns `false` if the log is closing and its
    /// deadline leaves no time for another attempt.
    async fn write(&self, batch: &Batch) -> bool {
        let settings = &self.shared.settings;
        loop {
            let put = self
                .store
                .put(&batch.key, batch.data.clone(), settings.write_timeout);
            // `put` also succeeds if the key already exists. The incarnation is random and a batch
            // never changes, so an existing object is this batch, written by an earlier attempt
            // whose response was lost.
            if put.await.is_ok() {
                let mut queue = self.shared.lock();
                queue.batched_entries = 0;
                queue.written_tip = self.tip.clone();
                return true;
            }
            if !self.wait_before_retry().await {
                return false;
            }
        }
    }

    /// Waits for the retry delay. Returns `false` without waiting any longer if the closing deadline
    /// does not come after the retry.
    async fn wait_before_retry(&self) -> bool {
        let retry_at = Instant::now() + self.shared.settings.retry_delay;
        loop {
            let close_deadline = self.shared.lock().close_deadline;
            if close_deadline.is_some_and(|deadline| deadline <= retry_at) {
                return false;
            }
            tokio::select! {
                () = self.shared.wake.notified() => (),
                () = sleep_until(retry_at) => return true,
            }
        }
    }
}
