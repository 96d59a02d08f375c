//! The platform's object store.

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

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Reads one object.
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Bytes>>>;

    /// Writes one object unless the key exists; returns whether it was written.
    fn put(&self, key: &str, data: Bytes, timeout: Duration) -> BoxFuture<'_, EdgeResult<bool>>;

    /// Lists the keys that start with `prefix`, in order.
    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>>;
}

/// The largest object, in bytes.
const OBJECT_LIMIT: usize = 64 << 20;

/// The largest list of keys, in bytes.
const LIST_LIMIT: usize = 64 << 20;

/// The largest response that carries no object, in bytes.
const STATUS_LIMIT: usize = 64 << 10;

/// The client of an object store that speaks HTTP.
///
/// `GET /objects/{key}` returns the object or 404; `PUT /objects/{key}` with `If-None-Match: *`
/// returns 412 if the key exists; `GET /objects?prefix=` returns `{keys: [..]}`.
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
            let reply = self.client.exchange(call, OBJECT_LIMIT, timeout).await?;
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
            let reply = self.client.exchange(call, STATUS_LIMIT, timeout).await?;
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
            let list: KeyList = self.client.fetch(call, LIST_LIMIT, timeout).await?;
            Ok(list.keys)
        }
        .boxed()
    }
}

/// The response to a list of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys in order.
    pub keys: Vec<String>,
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode_segment(key))
}
