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
use crate::chain::Body;
use crate::chain::Tip;
use crate::record::Record;

/// How a log keeps and writes its records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The process: letters, digits, `-`, `_` and `.`.
    pub process: String,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Records per object at most; that many are written before the interval has passed.
    pub batch: usize,
    /// The time between two writes. 1,550 processes that write every 10 s make 155 writes/s, a part
    /// of what the object store carries.
    pub interval: Duration,
    /// Records kept in memory at most while the object store does not take them.
    pub capacity: usize,
    /// The timeout of one write.
    pub timeout: Duration,
    /// The time between a write that failed and its repetition.
    pub pause: Duration,
    /// The time that [`Log::close`] may take.
    pub closing: Duration,
}

impl Settings {
    /// Returns the default settings of a process.
    pub fn new(process: &str, incarnation: Incarnation) -> Settings {
        Settings {
            process: process.to_owned(),
            incarnation,
            batch: 1024,
            interval: Duration::from_secs(10),
            capacity: 16 * 1024,
            timeout: Duration::from_secs(2),
            pause: Duration::from_secs(1),
            closing: Duration::from_secs(5),
        }
    }
}

/// The log was closed while records were not written.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{entries} audit entries were not written")]
pub struct Unsaved {
    /// The number of chain entries.
    pub entries: usize,
}

/// The log of one process. Clones share it.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
}

struct Shared {
    settings: Settings,
    queue: Mutex<Queue>,
    wake: Notify,
    /// The number of entries left when the writer ended.
    ended: watch::Sender<Option<usize>>,
}

struct Queue {
    /// Bodies that are not in a batch yet.
    bodies: VecDeque<Body>,
    /// Entries of the batch that is being written.
    sealed: usize,
    /// Records lost so far.
    lost: u64,
    /// The newest entry that is in the object store.
    written: Tip,
    /// Whether a writer was started.
    running: bool,
    /// The time at which the writer gives up, once the log is closing.
    closing: Option<Instant>,
}

/// The state of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Entries that are not in the object store yet.
    pub waiting: usize,
    /// Records lost so far.
    pub lost: u64,
    /// The newest entry that is in the object store.
    pub written: Tip,
}

impl Log {
    /// Creates a log; nothing is written before [`Log::run`].
    pub fn new(settings: Settings) -> Log {
        let queue = Queue {
            bodies: VecDeque::new(),
            sealed: 0,
            lost: 0,
            written: Tip::empty(&settings.process, settings.incarnation),
            running: false,
            closing: None,
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
        if queue.closing.is_some() {
            return;
        }
        if queue.waiting() < settings.capacity {
            queue.bodies.push_back(Body::Record(record));
        } else {
            queue.lose(record.end());
        }
        let is_full = queue.bodies.len() >= settings.batch;
        drop(queue);
        if is_full {
            self.shared.wake.notify_one();
        }
    }

    /// Returns the state of the log.
    pub fn state(&self) -> State {
        let queue = self.shared.lock();
        State {
            waiting: queue.waiting(),
            lost: queue.lost,
            written: queue.written.clone(),
        }
    }

    /// Writes records to the object store until the log is closed. Only the first call does so;
    /// another one returns immediately.
    pub async fn run(&self, store: Arc<dyn ObjectStore>) {
        let tip = {
            let mut queue = self.shared.lock();
            if std::mem::replace(&mut queue.running, true) {
                return;
            }
            queue.written.clone()
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
    pub async fn close(&self) -> Result<(), Unsaved> {
        let settings = &self.shared.settings;
        {
            let mut queue = self.shared.lock();
            if queue.closing.is_none() {
                queue.closing = Some(Instant::now() + settings.closing);
                queue.bodies.push_back(Body::Closed);
            }
        }
        self.shared.wake.notify_one();
        let mut ended = self.shared.ended.subscribe();
        let ended = ended.wait_for(Option::is_some);
        // The writer ends by itself, unless it was never started or its future was dropped.
        let limit = settings.closing + settings.timeout;
        let left = match tokio::time::timeout(limit, ended).await {
            Ok(Ok(left)) => left.unwrap_or_default(),
            Ok(Err(_)) | Err(_) => self.state().waiting,
        };
        if left > 0 {
            Err(Unsaved { entries: left })
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
    fn waiting(&self) -> usize {
        self.bodies.len() + self.sealed
    }

    /// Counts a record that ended at `end` as lost.
    fn lose(&mut self, end: u64) {
        self.lost += 1;
        if let Some(Body::Gap { lost, last, .. }) = self.bodies.back_mut() {
            *lost += 1;
            *last = end;
            return;
        }
        self.bodies.push_back(Body::Gap {
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
        let mut due = Instant::now() + self.shared.settings.interval.mul_f64(phase);
        loop {
            self.wait(due).await;
            due = Instant::now() + self.shared.settings.interval;
            let is_closing = self.shared.lock().closing.is_some();
            while let Some(batch) = self.seal() {
                if !self.write(&batch).await {
                    let left = self.shared.lock().waiting();
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
                if queue.closing.is_some() || queue.bodies.len() >= self.shared.settings.batch {
                    return;
                }
            }
            tokio::select! {
                () = self.shared.wake.notified() => (),
                () = sleep_until(due) => return,
            }
        }
    }

    /// Puts the oldest bodies into a batch, if there are any.
    fn seal(&mut self) -> Option<Batch> {
        let bodies: Vec<Body> = {
            let mut queue = self.shared.lock();
            let count = queue.bodies.len().min(self.shared.settings.batch);
            queue.sealed = count;
            queue.bodies.drain(..count).collect()
        };
        if bodies.is_empty() {
            return None;
        }
        let key = chain::key(&self.tip.process, self.tip.incarnation, self.tip.seq + 1);
        let lines: Vec<String> = bodies.into_iter().map(|b| self.tip.append(b)).collect();
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
                .put(&batch.key, batch.data.clone(), settings.timeout);
            // The incarnation is random and a batch never changes, so an object that exists
            // already is this batch, written by an attempt whose response was lost.
            if put.await.is_ok() {
                let mut queue = self.shared.lock();
                queue.sealed = 0;
                queue.written = self.tip.clone();
                return true;
            }
            if !self.pause().await {
                return false;
            }
        }
    }

    /// Waits before a repetition; returns whether there is time for one.
    async fn pause(&self) -> bool {
        let next = Instant::now() + self.shared.settings.pause;
        loop {
            let closing = self.shared.lock().closing;
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
