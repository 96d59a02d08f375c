//! The platform's weight store. Engines read weights from it; the system only asks about them.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::EdgeResult;
use crate::http::Call;
use crate::http::Client;
use crate::http::encode_segment;

/// What the weight store tells of one set of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The digest, `sha256:` and 64 hex digits.
    pub digest: String,
    /// The size in bytes.
    pub bytes: u64,
}

/// The weight store.
pub trait WeightStore: Send + Sync {
    /// Returns what is known of the weights at `locator`.
    fn info(
        &self,
        locator: &str,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<Option<WeightInfo>>>;
}

/// The largest response, in bytes.
const ANSWER_LIMIT: usize = 64 << 10;

/// The client of a weight store over HTTP: `GET /weights/{locator}/info` returns
/// `{digest, bytes}` or 404.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    client: Client,
}

impl HttpWeights {
    /// Creates a client of the weight store at `addr`.
    pub fn new(addr: SocketAddr) -> HttpWeights {
        HttpWeights {
            client: Client::new(addr),
        }
    }
}

impl WeightStore for HttpWeights {
    fn info(
        &self,
        locator: &str,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<Option<WeightInfo>>> {
        let call = Call::get(
            "read weight info",
            format!("/weights/{}/info", encode_segment(locator)),
        );
        self.client
            .fetch_optional(call, ANSWER_LIMIT, timeout)
            .boxed()
    }
}
