//! A fake weight store whose transfers slow down when too many run at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use edges::weights::WeightInfo;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::faults::take_fault;
use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// The number of steps in a transfer. The speed is computed anew for each step.
const TRANSFER_STEPS: u32 = 16;

/// The reported size of weights that were not declared, in bytes.
const DEFAULT_WEIGHT_BYTES: u64 = 64 << 20;

/// The simulated speed of a weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightsConfig {
    /// The duration of one transfer at full speed.
    pub transfer_time: Duration,
    /// The number of concurrent transfers that run at full speed. With more, all of them slow down
    /// in proportion.
    pub full_speed_transfers: u32,
    /// The maximum number of concurrent transfers. Further ones wait in order of arrival.
    pub max_transfers: u32,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        WeightsConfig {
            transfer_time: Duration::from_millis(250),
            full_speed_transfers: 24,
            max_transfers: 4096,
        }
    }
}

impl WeightsConfig {
    /// Returns the configuration of a store without delays, for performance tests.
    pub fn instant() -> Self {
        WeightsConfig {
            transfer_time: Duration::ZERO,
            ..WeightsConfig::default()
        }
    }
}

/// A weight store. Weights exist at every locator, with the digest that [`digest_of`] returns,
/// unless [`Weights::declare`] says otherwise.
pub struct Weights {
    server: Server,
    core: Arc<Core>,
}

server_methods!(Weights);

impl Weights {
    /// Starts a weight store without declared weights.
    pub async fn start(config: WeightsConfig) -> Weights {
        let core = Arc::new(Core {
            link: SharedLink::new(config),
            declared: Mutex::default(),
            transfers: AtomicU64::new(0),
            failures: AtomicU32::new(0),
        });
        let server = Server::start(core.clone()).await;
        Weights { server, core }
    }

    /// Sets the digest and size of the weights at a locator; `None` makes requests for them fail
    /// with 404.
    pub fn declare(&self, locator: &str, info: Option<WeightInfo>) {
        self.core
            .declared
            .lock()
            .expect("no panic under this lock")
            .insert(locator.into(), info);
    }

    /// Closes the connection of the next `count` transfers after half of their duration.
    pub fn fail_transfers(&self, count: u32) {
        self.core.failures.store(count, Ordering::SeqCst);
    }

    /// Returns the number of transfers in flight.
    pub fn active_transfers(&self) -> u32 {
        self.core.link.active.load(Ordering::SeqCst)
    }

    /// Returns the highest number of transfers in flight so far.
    pub fn peak_transfers(&self) -> u32 {
        self.core.link.peak.load(Ordering::SeqCst)
    }

    /// Returns the number of transfers that ran to their end.
    pub fn completed_transfers(&self) -> u64 {
        self.core.transfers.load(Ordering::SeqCst)
    }
}

/// Returns the default digest of the weights at a locator: `sha256:` and the hash of the locator.
pub fn digest_of(locator: &str) -> String {
    let hex: String = Sha256::digest(locator)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    format!("sha256:{hex}")
}

struct Core {
    link: SharedLink,
    declared: Mutex<BTreeMap<String, Option<WeightInfo>>>,
    transfers: AtomicU64,
    failures: AtomicU32,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        async move {
            let suffix = request.uri().path().strip_prefix("/weights/");
            let Some(suffix) = suffix.filter(|_| request.method() == Method::GET) else {
                return reply::empty(StatusCode::NOT_FOUND);
            };
            let info_locator = suffix.strip_suffix("/info");
            let locator = reply::percent_decode(info_locator.unwrap_or(suffix));
            let Some(info) = self.info(&locator) else {
                return reply::error(StatusCode::NOT_FOUND, &format!("no weights at `{locator}`"));
            };
            if info_locator.is_none() {
                self.transfer().await?;
            }
            reply::json(StatusCode::OK, &info)
        }
        .boxed()
    }
}

impl Core {
    fn info(&self, locator: &str) -> Option<WeightInfo> {
        let declared = self.declared.lock().expect("no panic under this lock");
        match declared.get(locator) {
            Some(info) => info.clone(),
            None => Some(WeightInfo {
                digest: digest_of(locator),
                bytes: DEFAULT_WEIGHT_BYTES,
            }),
        }
    }

    /// Simulates one transfer. Only its duration is simulated; no weights are sent.
    async fn transfer(&self) -> Result<(), reply::ConnectionClosed> {
        if take_fault(&self.failures) {
            self.link.transfer(0.5).await;
            return Err(reply::ConnectionClosed);
        }
        self.link.transfer(1.0).await;
        self.transfers.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

/// The bandwidth that all transfers of a store share.
pub struct SharedLink {
    config: WeightsConfig,
    permits: Semaphore,
    active: AtomicU32,
    peak: AtomicU32,
}

impl SharedLink {
    /// Creates a link that carries no transfers.
    pub fn new(config: WeightsConfig) -> SharedLink {
        SharedLink {
            config,
            permits: Semaphore::new(config.max_transfers as usize),
            active: AtomicU32::new(0),
            peak: AtomicU32::new(0),
        }
    }

    /// Simulates the given fraction of one transfer, including the wait for a free transfer.
    pub async fn transfer(&self, fraction: f64) {
        let _permit = self
            .permits
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let _active = ActiveTransfer::begin(self);
        if self.config.transfer_time.is_zero() {
            return;
        }
        let step = self.config.transfer_time.mul_f64(fraction) / TRANSFER_STEPS;
        let mut due = Instant::now();
        for _ in 0..TRANSFER_STEPS {
            let active = self
                .active
                .load(Ordering::SeqCst)
                .max(self.config.full_speed_transfers);
            due += step.mul_f64(active as f64 / self.config.full_speed_transfers as f64);
            tokio::time::sleep_until(due).await;
        }
    }
}

/// Counts one transfer as active until it is dropped.
struct ActiveTransfer<'a>(&'a AtomicU32);

impl<'a> ActiveTransfer<'a> {
    fn begin(link: &'a SharedLink) -> ActiveTransfer<'a> {
        let active = link.active.fetch_add(1, Ordering::SeqCst) + 1;
        link.peak.fetch_max(active, Ordering::SeqCst);
        ActiveTransfer(&link.active)
    }
}

impl Drop for ActiveTransfer<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
