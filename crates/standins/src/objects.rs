//! A fake object store that keeps its objects in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use edges::store::KeyList;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;

use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// An object store. Fault injection counts `PUT` requests as writes.
pub struct Objects {
    server: Server,
    core: Arc<Core>,
}

/// Counts of the requests that reached an object store's data, without those that faults stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectCounts {
    /// Reads of one object, found or not, and of lists of keys.
    pub reads: u64,
    /// Objects written, without writes whose condition failed.
    pub writes: u64,
}

server_methods!(Objects);

impl Objects {
    /// Starts an empty object store.
    pub async fn start() -> Objects {
        let core = Arc::new(Core::default());
        let server = Server::start(core.clone()).await;
        Objects { server, core }
    }

    /// Returns the content of an object, without a request.
    pub fn object(&self, key: &str) -> Option<Bytes> {
        self.core.lock().get(key).cloned()
    }

    /// Returns the keys that start with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.core.keys(prefix)
    }

    /// Overwrites an object without a request, to simulate a store that corrupts its data.
    pub fn replace(&self, key: &str, data: impl Into<Bytes>) {
        self.core.lock().insert(key.to_owned(), data.into());
    }

    /// Removes an object without a request, to simulate a store that loses data. Returns its
    /// content.
    pub fn remove(&self, key: &str) -> Option<Bytes> {
        self.core.lock().remove(key)
    }

    /// Returns the request counts since the start.
    pub fn counts(&self) -> ObjectCounts {
        let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
        ObjectCounts {
            reads: load(&self.core.reads),
            writes: load(&self.core.writes),
        }
    }
}

#[derive(Default)]
struct Core {
    objects: Mutex<BTreeMap<String, Bytes>>,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        async move {
            let uri = request.uri();
            let key = reply::path_suffix(uri, "/objects/");
            match (request.method(), key) {
                (&Method::PUT, Some(key)) => self.handle_put(key, request),
                (&Method::GET, Some(key)) => self.handle_get(&key),
                (&Method::GET, None) if uri.path() == "/objects" => {
                    let prefix = reply::query_param(uri, "prefix").unwrap_or_default();
                    self.reads.fetch_add(1, Ordering::SeqCst);
                    reply::json(
                        StatusCode::OK,
                        &KeyList {
                            keys: self.keys(&prefix),
                        },
                    )
                }
                _ => reply::empty(StatusCode::NOT_FOUND),
            }
        }
        .boxed()
    }
}

impl Core {
    fn handle_get(&self, key: &str) -> Reply {
        self.reads.fetch_add(1, Ordering::SeqCst);
        match self.lock().get(key) {
            Some(data) => reply::full(StatusCode::OK, "application/octet-stream", data.clone()),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_put(&self, key: String, request: Request<Bytes>) -> Reply {
        let only_if_absent = request.headers().get(header::IF_NONE_MATCH).is_some();
        let data = request.into_body();
        let mut objects = self.lock();
        if only_if_absent && objects.contains_key(&key) {
            return reply::empty(StatusCode::PRECONDITION_FAILED);
        }
        objects.insert(key, data);
        self.writes.fetch_add(1, Ordering::SeqCst);
        reply::empty(StatusCode::CREATED)
    }

    fn keys(&self, prefix: &str) -> Vec<String> {
        let objects = self.lock();
        let matching = objects
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        matching.map(|(k, _)| k.clone()).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().expect("no panic under this lock")
    }
}
