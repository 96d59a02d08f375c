//! The log of one incarnation of one process.

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

/// How a log keeps and writes its records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The process: letters, digits, `-`, `_` and `.`.
    pub process: String,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Records per object at most; that many are written before the interval has passed.
    pub max_batch_entries: usize,
    /// The time between two writes. 1,550 processes that write every 10 s make 155 writes/s, a part
    /// of what the object store carries.
    pub write_interval: Duration,
    /// Records kept in memory at most while the object store does not take them.
    pub capacity: usize,
    /// The timeout of one write.
    pub write_timeout: Duration,
    /// The time between a write that failed and its repetition.
    pub retry_delay: Duration,
    /// The time that [`Log::close`] may take.
    pub close_timeout: Duration,
}

impl LogSettings {
    /// Returns the default settings of a process.
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

/// The log was closed while records were not written.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{entries} audit entries were not written")]
pub struct CloseError {
    /// The number of chain entries.
    pub entries: usize,
}

/// The log of one process. Clones share it.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
}

struct Shared {
    settings: LogSettings,
    queue: Mutex<Queue>,
    wake: Notify,
    /// The number of entries left when the writer ended.
    ended: watch::Sender<Option<usize>>,
}

struct Queue {
    /// Bodies that are not in a batch yet.
    pending_bodies: VecDeque<EntryBody>,
    /// Entries of the batch that is being written.
    batched_entries: usize,
    /// Records lost so far.
    lost_records: u64,
    /// The newest entry that is in the object store.
    written_tip: Tip,
    /// Whether a writer was started.
    writer_started: bool,
    /// The time at which the writer gives up, once the log is closing.
    close_deadline: Option<Instant>,
}

/// The state of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogState {
    /// Entries that are not in the object store yet.
    pub pending_entries: usize,
    /// Records lost so far.
    pub lost_records: u64,
    /// The newest entry that is in the object store.
    pub written_tip: Tip,
}

impl Log {
    /// Creates a log; nothing is written before [`Log::run`].
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
            ended: watch::Sender::new(None),
        };
        Log {
            shared: Arc::new(shared),
        }
    }

    /// Appends a record. When the memory is full, the record is counted as lost in a gap entry.
    /// Records after [`Log::close`] are ignored, so a process closes its log last.
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

    /// Returns the state of the log.
    pub fn state(&self) -> LogState {
        let queue = self.shared.lock();
        LogState {
            pending_entries: queue.pending_entries(),
            lost_records: queue.lost_records,
            written_tip: queue.written_tip.clone(),
        }
    }

    /// Writes records to the object store until the log is closed. Only the first call does so;
    /// another one returns immediately.
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

    /// Writes what is left, with an entry that nothing follows, and ends [`Log::run`].
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
        let mut ended = self.shared.ended.subscribe();
        let ended = ended.wait_for(Option::is_some);
        // The writer ends by itself, unless it was never started or its future was dropped.
        let limit = settings.close_timeout + settings.write_timeout;
        let left = match tokio::time::timeout(limit, ended).await {
            Ok(Ok(left)) => left.unwrap_or_default(),
            Ok(Err(_)) | Err(_) => self.state().pending_entries,
        };
        if left > 0 {
            Err(CloseError { entries: left })
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

    /// Counts a record that ended at `end` as lost.
    fn record_loss(&mut self, end: u64) {
        self.lost_records += 1;
        if let Some(EntryBody::Gap { lost, last, .. }) = self.pending_bodies.back_mut() {
            *lost += 1;
            *last = end;
            return;
        }
        self.pending_bodies.push_back(EntryBody::Gap {
            lost: 1,
            first: end,
            last: end,
        });
    }
}

/// The task that writes batches.
struct Writer {
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    /// The newest entry that was put into a batch.
    tip: Tip,
}

/// Entries in the form in which they are stored.
struct Batch {
    key: String,
    data: Bytes,
}

impl Writer {
    async fn run(mut self) {
        // Processes that start together do not write together.
        let phase = (self.tip.incarnation.0 % 1000) as f64 / 1000.0;
        let mut due = Instant::now() + self.shared.settings.write_interval.mul_f64(phase);
        loop {
            self.wait(due).await;
            due = Instant::now() + self.shared.settings.write_interval;
            let is_closing = self.shared.lock().close_deadline.is_some();
            while let Some(batch) = self.take_batch() {
                if !self.write(&batch).await {
                    let left = self.shared.lock().pending_entries();
                    self.shared.ended.send_replace(Some(left));
                    return;
                }
            }
            if is_closing {
                self.shared.ended.send_replace(Some(0));
                return;
            }
        }
    }

    /// Waits until a batch is full, the log is closing, or `due`.
    async fn wait(&self, due: Instant) {
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

    /// Puts the oldest pending bodies into a batch, if there are any.
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
        let key = chain::key(&self.tip.process, self.tip.incarnation, self.tip.seq + 1);
        let lines: Vec<String> = pending_bodies
            .into_iter()
            .map(|b| self.tip.append(b))
            .collect();
        Some(Batch {
            key,
            data: lines.concat().into(),
        })
    }

    /// Writes a batch, as often as it takes; returns whether it was written before the log's time
    /// to close was over.
    async fn write(&self, batch: &Batch) -> bool {
        let settings = &self.shared.settings;
        loop {
            let put = self
                .store
                .put(&batch.key, batch.data.clone(), settings.write_timeout);
            // The incarnation is random and a batch never changes, so an object that exists
            // already is this batch, written by an attempt whose response was lost.
            if put.await.is_ok() {
                let mut queue = self.shared.lock();
                queue.batched_entries = 0;
                queue.written_tip = self.tip.clone();
                return true;
            }
            if !self.pause().await {
                return false;
            }
        }
    }

    /// Waits before a repetition; returns whether there is time for one.
    async fn pause(&self) -> bool {
        let next = Instant::now() + self.shared.settings.retry_delay;
        loop {
            let closing = self.shared.lock().close_deadline;
            if closing.is_some_and(|end| end <= next) {
                return false;
            }
            tokio::select! {
                () = self.shared.wake.notified() => (),
                () = sleep_until(next) => return true,
            }
        }
    }
}
