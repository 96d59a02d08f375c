//! A weight store whose transfers slow down when too many run at once.

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

use crate::faults::take;
use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// Parts in which a transfer is carried out; its speed is computed again for each.
const PARTS: u32 = 16;

/// The size that the store reports for weights which were not declared, in bytes.
const DEFAULT_BYTES: u64 = 64 << 20;

/// The speed of a weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightsConfig {
    /// The time of one transfer at full speed.
    pub transfer_time: Duration,
    /// The transfers in flight at full speed; with more, each is proportionally slower.
    pub max_full_speed: u32,
    /// The transfers in flight at most; others wait in order of arrival.
    pub max_transfers: u32,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        WeightsConfig {
            transfer_time: Duration::from_millis(250),
            max_full_speed: 24,
            max_transfers: 4096,
        }
    }
}

impl WeightsConfig {
    /// A store without delay, for speed tests.
    pub fn instant() -> Self {
        WeightsConfig {
            transfer_time: Duration::ZERO,
            ..WeightsConfig::default()
        }
    }
}

/// A weight store. Every locator exists; the digest of its weights is [`digest_of`] the locator
/// unless declared otherwise.
pub struct Weights {
    server: Server,
    core: Arc<Core>,
}

server_methods!(Weights);

impl Weights {
    /// Starts a weight store.
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

    /// Declares the weights at a locator; `None` declares that there are none.
    pub fn declare(&self, locator: &str, info: Option<WeightInfo>) {
        self.core
            .declared
            .lock()
            .expect("no panic under this lock")
            .insert(locator.into(), info);
    }

    /// Breaks off the next `count` transfers half-way.
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

    /// Returns the number of complete transfers.
    pub fn completed_transfers(&self) -> u64 {
        self.core.transfers.load(Ordering::SeqCst)
    }
}

/// Returns the digest of the weights at a locator that was not declared.
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
            let rest = request.uri().path().strip_prefix("/weights/");
            let Some(rest) = rest.filter(|_| request.method() == Method::GET) else {
                return reply::empty(StatusCode::NOT_FOUND);
            };
            let info_only = rest.strip_suffix("/info");
            let locator = reply::percent_decode(info_only.unwrap_or(rest));
            let Some(info) = self.info(&locator) else {
                return reply::error(StatusCode::NOT_FOUND, "no such weights");
            };
            if info_only.is_none() {
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
                bytes: DEFAULT_BYTES,
            }),
        }
    }

    /// Carries out one transfer. The response carries the digest in place of the weights.
    async fn transfer(&self) -> Result<(), reply::ConnectionClosed> {
        if take(&self.failures) {
            self.link.transfer(0.5).await;
            return Err(reply::ConnectionClosed);
        }
        self.link.transfer(1.0).await;
        self.transfers.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

/// The speed of all transfers of a store together.
pub struct SharedLink {
    config: WeightsConfig,
    places: Semaphore,
    active: AtomicU32,
    peak: AtomicU32,
}

impl SharedLink {
    /// Creates a link without transfers.
    pub fn new(config: WeightsConfig) -> SharedLink {
        SharedLink {
            config,
            places: Semaphore::new(config.max_transfers as usize),
            active: AtomicU32::new(0),
            peak: AtomicU32::new(0),
        }
    }

    /// Takes the time of the given share of one transfer.
    pub async fn transfer(&self, share: f64) {
        let _place = self
            .places
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let _flight = Flight::begin(self);
        if self.config.transfer_time.is_zero() {
            return;
        }
        let part = self.config.transfer_time.mul_f64(share) / PARTS;
        let mut due = Instant::now();
        for _ in 0..PARTS {
            let active = self
                .active
                .load(Ordering::SeqCst)
                .max(self.config.max_full_speed);
            due += part.mul_f64(active as f64 / self.config.max_full_speed as f64);
            tokio::time::sleep_until(due).await;
        }
    }
}

/// One transfer in flight; it ends when it is dropped.
struct Flight<'a>(&'a AtomicU32);

impl<'a> Flight<'a> {
    fn begin(link: &'a SharedLink) -> Flight<'a> {
        let active = link.active.fetch_add(1, Ordering::SeqCst) + 1;
        link.peak.fetch_max(active, Ordering::SeqCst);
        Flight(&link.active)
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
