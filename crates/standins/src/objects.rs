//! An object store in memory.

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

/// An object store. Writes for fault injection are `PUT` requests.
pub struct Objects {
    server: Server,
    core: Arc<Core>,
}

/// The requests that an object store carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectCounts {
    /// Reads of one object and of lists of keys.
    pub reads: u64,
    /// Objects written.
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

    /// Returns one object as it is stored.
    pub fn object(&self, key: &str) -> Option<Bytes> {
        self.core.lock().get(key).cloned()
    }

    /// Returns the keys that start with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.core.list(prefix)
    }

    /// Writes an object directly and replaces an existing one, as a store that corrupts its data.
    pub fn replace(&self, key: &str, data: impl Into<Bytes>) {
        self.core.lock().insert(key.to_owned(), data.into());
    }

    /// Removes an object directly; returns it.
    pub fn remove(&self, key: &str) -> Option<Bytes> {
        self.core.lock().remove(key)
    }

    /// Returns the counters of requests carried out.
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
                (&Method::PUT, Some(key)) => self.answer_put(key, request),
                (&Method::GET, Some(key)) => self.answer_get(&key),
                (&Method::GET, None) if uri.path() == "/objects" => {
                    let prefix = reply::query_param(uri, "prefix").unwrap_or_default();
                    self.reads.fetch_add(1, Ordering::SeqCst);
                    reply::json(
                        StatusCode::OK,
                        &KeyList {
                            keys: self.list(&prefix),
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
    fn answer_get(&self, key: &str) -> Reply {
        self.reads.fetch_add(1, Ordering::SeqCst);
        match self.lock().get(key) {
            Some(data) => reply::full(StatusCode::OK, "application/octet-stream", data.clone()),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn answer_put(&self, key: String, request: Request<Bytes>) -> Reply {
        let absent_only = request.headers().get(header::IF_NONE_MATCH).is_some();
        let data = request.into_body();
        let mut objects = self.lock();
        if absent_only && objects.contains_key(&key) {
            return reply::empty(StatusCode::PRECONDITION_FAILED);
        }
        objects.insert(key, data);
        self.writes.fetch_add(1, Ordering::SeqCst);
        reply::empty(StatusCode::CREATED)
    }

    fn list(&self, prefix: &str) -> Vec<String> {
        let objects = self.lock();
        let range = objects
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        range.map(|(k, _)| k.clone()).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().expect("no panic under this lock")
    }
}
