//! A weight store whose transfers slow down when too many run at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use edges::weights::WeightInfo;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;
use crate::switches::take;

/// Parts in which a transfer is carried out; its speed is computed again for each.
const PARTS: u32 = 16;

/// The size that the store reports for weights which were not declared, in bytes.
const DEFAULT_BYTES: u64 = 64 << 20;

/// The speed of a weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightsConfig {
    /// The time of one transfer at full speed.
    pub load: Duration,
    /// The transfers in flight at full speed; with more, each is proportionally slower.
    pub full_speed: u32,
    /// The transfers in flight at most; others wait in order of arrival.
    pub limit: u32,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        WeightsConfig {
            load: Duration::from_millis(250),
            full_speed: 24,
            limit: 4096,
        }
    }
}

impl WeightsConfig {
    /// A store without delay, for speed tests.
    pub fn instant() -> Self {
        WeightsConfig {
            load: Duration::ZERO,
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
            config,
            declared: Mutex::default(),
            places: Semaphore::new(config.limit as usize),
            active: AtomicU32::new(0),
            peak: AtomicU32::new(0),
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
    pub fn active(&self) -> u32 {
        self.core.active.load(Ordering::SeqCst)
    }

    /// Returns the highest number of transfers in flight so far.
    pub fn peak(&self) -> u32 {
        self.core.peak.load(Ordering::SeqCst)
    }

    /// Returns the number of complete transfers.
    pub fn transfers(&self) -> u64 {
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
    config: WeightsConfig,
    declared: Mutex<BTreeMap<String, Option<WeightInfo>>>,
    places: Semaphore,
    active: AtomicU32,
    peak: AtomicU32,
    transfers: AtomicU64,
    failures: AtomicU32,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        async move {
            let rest = request.uri().path().strip_prefix("/weights/");
            let Some(rest) = rest.filter(|_| request.method() == Method::GET) else {
                return reply::empty(StatusCode::NOT_FOUND);
            };
            let info_only = rest.strip_suffix("/info");
            let locator = reply::decode(info_only.unwrap_or(rest));
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

    /// Takes the time of one transfer. The response carries the digest in place of the weights.
    async fn transfer(&self) -> Result<(), reply::Cut> {
        let _place = self
            .places
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let _flight = Flight::begin(self);
        let fails = take(&self.failures);
        let parts = if fails { PARTS / 2 } else { PARTS };
        if !self.config.load.is_zero() {
            let mut due = Instant::now();
            for _ in 0..parts {
                let active = self
                    .active
                    .load(Ordering::SeqCst)
                    .max(self.config.full_speed);
                let slowdown = active as f64 / self.config.full_speed as f64;
                due += (self.config.load / PARTS).mul_f64(slowdown);
                tokio::time::sleep_until(due).await;
            }
        }
        if fails {
            return Err(reply::Cut);
        }
        self.transfers.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

/// One transfer in flight, also when its caller gives up.
struct Flight<'a>(&'a AtomicU32);

impl<'a> Flight<'a> {
    fn begin(core: &'a Core) -> Flight<'a> {
        let active = core.active.fetch_add(1, Ordering::SeqCst) + 1;
        core.peak.fetch_max(active, Ordering::SeqCst);
        Flight(&core.active)
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
