//! The interface of the weight store, and its HTTP client. Engines read the weights themselves;
//! dotterelwheel reads only their digest and size.

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

/// The metadata of one set of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The digest: `sha256:` followed by 64 hex digits.
    pub digest: String,
    /// The size in bytes.
    pub bytes: u64,
}

/// A store of adapter weights, addressed by locator.
pub trait WeightStore: Send + Sync {
    /// Returns the metadata of the weights at `locator`, or `None` if the store does not hold them.
    fn info(
        &self,
        locator: &str,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<Option<WeightInfo>>>;
}

/// The largest response of the weight store.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The client of a weight store with JSON over HTTP: `GET /weights/{locator}/info` returns
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
            .fetch_optional(call, MAX_RESPONSE_BYTES, timeout)
            .boxed()
    }
}
