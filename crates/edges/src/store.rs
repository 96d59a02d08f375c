//! The interface of the object store, and its HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::EdgeResult;
use crate::http::Call;
use crate::http::Client;
use crate::http::encode_segment;

/// An object store whose objects are never overwritten.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if the key does not exist.
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Bytes>>>;

    /// Writes an object unless the key exists. Returns whether it was written.
    fn put(&self, key: &str, data: Bytes, timeout: Duration) -> BoxFuture<'_, EdgeResult<bool>>;

    /// Lists the keys that start with `prefix`, sorted.
    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>>;
}

/// The largest object that is read.
const MAX_OBJECT_BYTES: usize = 64 << 20;

/// The largest response with a list of keys.
const MAX_LIST_BYTES: usize = 64 << 20;

/// The largest response to a write.
const MAX_STATUS_BYTES: usize = 64 << 10;

/// The client of an object store over HTTP.
///
/// `GET /objects/{key}` returns the object or 404. `PUT /objects/{key}` with `If-None-Match: *`
/// returns 412 if the key exists. `GET /objects?prefix=` returns `{keys: [..]}`.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    client: Client,
}

impl HttpObjects {
    /// Creates a client of the object store at `addr`.
    pub fn new(addr: SocketAddr) -> HttpObjects {
        HttpObjects {
            client: Client::new(addr),
        }
    }
}

impl ObjectStore for HttpObjects {
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Bytes>>> {
        let operation = "read object";
        let call = Call::get(operation, object_path(key));
        async move {
            let reply = self
                .client
                .exchange(call, MAX_OBJECT_BYTES, timeout)
                .await?;
            match reply.status {
                StatusCode::OK => Ok(Some(reply.body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(self.client.error(operation, reply.error_kind())),
            }
        }
        .boxed()
    }

    fn put(&self, key: &str, data: Bytes, timeout: Duration) -> BoxFuture<'_, EdgeResult<bool>> {
        let operation = "write object";
        let call = Call {
            operation,
            method: Method::PUT,
            path: object_path(key),
            headers: vec![("if-none-match", "*".into())],
            body: data,
        };
        async move {
            let reply = self
                .client
                .exchange(call, MAX_STATUS_BYTES, timeout)
                .await?;
            match reply.status {
                StatusCode::PRECONDITION_FAILED => Ok(false),
                status if status.is_success() => Ok(true),
                _ => Err(self.client.error(operation, reply.error_kind())),
            }
        }
        .boxed()
    }

    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>> {
        let call = Call::get(
            "list objects",
            format!("/objects?prefix={}", encode_segment(prefix)),
        );
        async move {
            let list: KeyList = self.client.fetch(call, MAX_LIST_BYTES, timeout).await?;
            Ok(list.keys)
        }
        .boxed()
    }
}

/// The response to `GET /objects?prefix=`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys, sorted.
    pub keys: Vec<String>,
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode_segment(key))
}
